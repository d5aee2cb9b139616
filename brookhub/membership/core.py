"""SWIM with Lifeguard.

Probes in rounds, indirect probes, suspicion, incarnations, piggybacked news, exchanges.

Sources: Das, Gupta, Motivala, "SWIM" (DSN 2002); Dadgar, Phillips, Currey, "Lifeguard" (DSN-W 2018). What was
kept, changed and why: docs/membership.md.
"""

from __future__ import annotations

from collections import Counter
from math import log, log10
from random import Random
from typing import Callable, Iterable, Protocol

from . import messages
from .gossip import Gossip
from .members import ABSENT, ALIVE, DEAD, LEFT, PRESENT, SUSPECT, UNHEARD, Member
from .messages import ACK, HELLO, NACK, NEWS, PING, PING_FOR, TABLE, WORD, Message, Piece, encode, weight
from .numbers import FleetNumbers, Tally

ANSWER = 0.4  # periods until a probe without an answer is made again, and by others
HELPERS = 3  # members asked to probe for one: with 10% loss one in 25 such rounds fails
CONFIRM = 3  # further members whose suspicion brings its time down to the least
LEAST, LEAST_LOG = 3.0, 1.2  # periods of the shortest suspicion: at least, and for each factor of ten members
# Times the shortest that an unconfirmed suspicion lasts: a lost refutation has time to come again
LONGER = 4.0
# Of a suspicion's time from which the suspect itself is asked: it may have put it right, unheard here
ASKS = 0.5
HEALTH_MOST = 8  # of own doubts: a period and a wait for answers are up to so many times longer, plus one
SLEPT = 2.0  # periods that a timer may come late before this member takes itself for the one that was away
PULSE = 0.1  # s between packets of news while there is any: well below a suspicion's time
FANOUT = 2  # members that get news at a pulse
PIGGYBACK = 160  # bytes of news on a probe or its answer: they cost most by their number
PACKET = 1000  # bytes of news in a packet of them: below messages.LARGEST with its head
REACH = 1.0  # s between tries at one absent member: a split's two sides find each other within it
REACH_FIRST, HURRY = 0.15, 3.0  # s between them at first, while most are unheard, and how long
EXCHANGE = 2.0  # s between sendings of a part of the table to one member: what news missed, with flat cost
SLICE = 450  # bytes of that part
# Seconds after it slept in which a member takes news of deaths for suspicions: they waited, and may be old
GROGGY = 1.0
SHRINK = 5.0  # s that a fleet grown smaller counts as it was: longer than a stall or a flap is
LEAVES_TO = 8  # members told directly of a planned end


class MembershipPort(Protocol):
    """How membership acts: the clock (s), timers, datagrams to a listed peer, and who is told the numbers."""

    now: float

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back after so many seconds."""

    def send(self, peer: str, data: bytes) -> None:
        """Send a datagram to a listed peer; it may be lost."""

    def told(self, live: int, rank: int, sure: int) -> None:
        """The fleet's numbers changed (numbers.FleetNumbers)."""

    def changed(self, member: str, state: int) -> None:
        """A member's state changed."""

    def said(self, peer: str, topic: int, data: bytes) -> None:
        """Another part's word came from a peer."""


class Membership:
    """One member's view.

    `peers`: the names listed beside its own; `lifeguard` False is plain SWIM, a baseline.

    Tell it `received` (decoded messages with the listed name they came from), `relist`, `leave`; start it
    once.
    """

    def __init__(
        self,
        port: MembershipPort,
        fleet: str,
        name: str,
        peers: Iterable[str],
        seed: int,
        period: float = 0.25,
        lifeguard: bool = True,
    ):
        self.port, self.fleet, self.name, self.period, self.lifeguard = port, fleet, name, period, lifeguard
        self.rng = Random(f"{seed}/{name}")
        self.members: dict[str, Member] = {}
        self.incarnation, self.state, self.health = 0, ALIVE, 0
        self.order: list[Member] = []  # those to probe, in turn; shuffled each round
        self.turn = self.number = 0
        self.probed: Member | None = None  # whose answer is out, and with which number
        self.probe_number = self.nacks = self.helpers = 0
        self.asked: dict[int, tuple[str, int]] = {}  # number of a probe for another -> who asked, its number
        self.news = Gossip()
        self.suspects: dict[str, Member] = {}
        self.pulsing = self.over = False
        self.tally = Tally(name)
        self.numbers: FleetNumbers | None = None  # as last told
        self.cursor, self.started = 0, port.now
        self.due, self.woke = (
            port.now,
            -GROGGY,
        )  # s: when the next probe is to be made; when it last had slept
        # Datagrams and bytes sent, messages dropped and why, refutations
        self.counts: Counter[str] = Counter()
        self.handlers = {
            ACK: self.answered,
            PING_FOR: self.probe_for,
            NACK: self.nacked,
            WORD: self.said,
            HELLO: self.greeted,
            TABLE: self.told_table,
        }
        self.present: set[str] = set()
        self.names: list[str] = []
        self.relist(peers)

    # told from outside

    def start(self) -> None:
        """Begin to probe, to reach out and to exchange."""
        self.due = self.port.now + self.period * self.rng.random()
        self.port.later(self.due - self.port.now, self.tick)
        self.port.later(0.0, self.reach)
        self.port.later(EXCHANGE * (0.5 + self.rng.random()), self.exchange)
        self.port.later(SHRINK, self.unheard)
        self.count()

    def relist(self, peers: Iterable[str]) -> None:
        """The operator's list, at the start and when it is read again.

        Others are not talked to nor counted.
        """
        listed = sorted(set(peers) - {self.name})
        for name in [name for name in self.members if name not in set(listed)]:
            self.suspects.pop(name, None)
            self.present.discard(name)
            del self.members[name]
        for name in listed:
            self.members.setdefault(name, Member(name))
        self.names = listed
        self.order = [one for one in self.order if one.name in self.members]
        self.tally.recount(self.members.values())
        if self.numbers:  # a list read again
            self.port.later(SHRINK, self.unheard)
            self.count()

    def leave(self) -> None:
        """A planned end: say so, so that others need not find out."""
        if not self.over:
            self.state = LEFT
            self.tell(self.name, LEFT, self.incarnation)
            for name in self.some(LEAVES_TO, self.present):
                self.send(name, NEWS, room=PACKET)
            self.over = True

    def say(self, topic: int, data: bytes, peers: Iterable[str] | None = None) -> None:
        """Another part's word to these members, or to all that are present.

        One datagram each, lost like any other. Raises ValueError for more than messages.WORD_MOST bytes.
        """
        for name in sorted(self.present) if peers is None else peers:
            if name in self.members and not self.over:
                self.post(name, Message(self.fleet, messages.VERSION, WORD, self.name, topic, data=data))

    def received(self, peer: str, message: Message) -> None:
        """A message that came from the listed `peer`'s address."""
        if self.over:
            return
        if message.source != peer or peer not in self.members:
            self.counts["foreign"] += 1
            return
        if self.lifeguard and self.port.now - self.due > SLEPT * self.period:
            self.slept()
        held = self.members[peer].state
        wronged = any(piece[0] == self.name and piece[1] != ALIVE for piece in message.news)
        for piece in message.news:
            self.hear(*piece, table=message.kind == TABLE)
        if message.kind in self.handlers:
            self.handlers[message.kind](peer, message)
        elif message.kind == PING:  # who thinks wrongly of this member hears at once how it is, new or not
            news = self.yours(peer) + ([self.piece(self.name)] if wronged else [])
            self.send(peer, ACK, message.number, news=news)
        if held in ABSENT and message.kind in (PING, ACK):  # met again: what each knows of all others
            self.table(peer, whole=True)

    def nacked(self, peer: str, message: Message) -> None:
        """A helper says in time that it had no answer."""
        self.nacks += message.number == self.probe_number

    def said(self, peer: str, message: Message) -> None:
        """Another part's word came."""
        self.port.said(peer, message.number, message.data)

    def greeted(self, peer: str, message: Message) -> None:
        """One that was absent: all that is known, and what is thought of it, which it alone can put right."""
        self.table(peer, whole=True)

    def told_table(self, peer: str, message: Message) -> None:
        """A part of a table: what is newer here goes back, where that is wanted."""
        newer = [self.piece(piece[0]) for piece in message.news if self.newer(*piece)]
        if message.number and newer:
            self.send(peer, TABLE, 0, news=newer)

    # probes

    def tick(self) -> None:
        """One probe a period, longer while this member doubts itself."""
        if self.over:
            return
        if self.lifeguard and self.port.now - self.due > SLEPT * self.period:
            self.slept()
        if self.probed:
            self.failed()
        self.probed, target = None, self.next()
        if target:
            self.probed, self.probe_number, self.nacks, self.helpers = target, self.count_up(), 0, 0
            self.send(target.name, PING, self.probe_number, news=self.yours(target.name))
            number = self.probe_number
            self.port.later(ANSWER * self.stretched(), lambda: self.unanswered(number))
        self.due = self.port.now + self.stretched()
        self.port.later(self.stretched(), self.tick)

    def stretched(self) -> float:
        """Seconds of a period, longer while this member doubts itself."""
        return self.period * (1 + self.health if self.lifeguard else 1)

    def next(self) -> Member | None:
        """The next member to probe, None where there is none."""
        for _ in range(len(self.order) + 1):
            if self.turn >= len(self.order):
                self.order = [self.members[name] for name in self.names if name in self.present]
                self.rng.shuffle(self.order)
                self.turn = 0
            if self.turn < len(self.order):
                self.turn += 1
                if self.order[self.turn - 1].name in self.present:
                    return self.order[self.turn - 1]
        return None

    def unanswered(self, number: int) -> None:
        """No answer yet: once more, and through others."""
        if not self.over and self.probed and self.probe_number == number:
            target = self.probed.name
            if self.lifeguard:
                self.send(target, PING, number, news=self.yours(target))
            helpers = self.some(HELPERS, self.present - {target})
            self.helpers = len(helpers)
            for helper in helpers:
                self.send(helper, PING_FOR, number, about=target)

    def probe_for(self, peer: str, message: Message) -> None:
        """A peer asks to probe a member for it."""
        if message.about in self.members and len(self.asked) < 4 * len(self.members) + 16:
            number = self.count_up()
            self.asked[number] = (peer, message.number)
            self.send(message.about, PING, number, news=self.yours(message.about))
            self.port.later(ANSWER * self.period, lambda: self.nack(number))

    def nack(self, number: int) -> None:
        """Say in time that the one asked for is silent: who asked then knows that this member is not."""
        waits = self.asked.pop(number, None)
        if waits and not self.over:
            if self.lifeguard:
                self.send(waits[0], NACK, waits[1])
            self.asked[-number] = waits  # an answer that comes later is still passed on
            self.port.later(self.period, lambda: self.forget_asked(-number))

    def forget_asked(self, number: int) -> None:
        """An answer that comes now is passed on no more."""
        self.asked.pop(number, None)

    def answered(self, peer: str, message: Message) -> None:
        """A probe was answered: this member's own, or one made for another."""
        number = message.number
        waits = self.asked.pop(number, None) or self.asked.pop(-number, None)
        if waits:
            self.send(waits[0], ACK, waits[1], about=peer)
        elif self.probed and number == self.probe_number and self.probed.name in (peer, message.about):
            self.probed, self.health = None, max(0, self.health - 1)

    def failed(self) -> None:
        """Nobody brought an answer in the whole period.

        Helpers that did not even say so: it may be this member.
        """
        silent = self.helpers - self.nacks
        self.health = min(HEALTH_MOST, self.health + (silent if self.helpers else 1)) if self.lifeguard else 0
        target = self.probed
        if target is not None and target.state in PRESENT:
            self.hear(target.name, SUSPECT, target.incarnation, self.name)

    def slept(self) -> None:
        """This member was stopped: what it waited for is not the others' fault, and suspicions begin anew."""
        self.counts["slept"] += 1
        self.health, self.probed = HEALTH_MOST, None
        self.due = self.woke = self.port.now
        for member in self.suspects.values():
            member.since = self.port.now

    # news

    def hear(self, name: str, state: int, incarnation: int, by: str = "", table: bool = False) -> None:
        """One piece of news.

        A death from a table, or heard while waking, is only a suspicion: it may be as old as a split or a
        sleep.
        """
        if name == self.name:
            return self.refute(state, incarnation)
        member = self.members.get(name)
        if member is None:
            self.counts["unlisted-member"] += 1
            return
        old = table or self.port.now - self.woke < GROGGY
        if old and state == DEAD and member.state in PRESENT and by != self.name and self.lifeguard:
            state, by = SUSPECT, self.name
        if member.overrides(state, incarnation):
            self.become(member, state, incarnation, by)
        elif (
            state == SUSPECT == member.state
            and incarnation == member.incarnation
            and by not in member.by
            and len(member.by) <= CONFIRM
            and self.lifeguard
        ):
            member.by[by] = None
            self.tell(name, SUSPECT, incarnation, by)

    def become(self, member: Member, state: int, incarnation: int, by: str) -> None:
        """A member's state is another one now; tell the others."""
        name, before = member.name, member.state
        member.state, member.incarnation = state, incarnation
        member.by, member.since = {}, self.port.now
        if state == SUSPECT:
            member.by[by] = None
            self.suspects[name] = member
        else:
            self.suspects.pop(name, None)
        if (before in PRESENT) != (state in PRESENT):
            (self.present.add if state in PRESENT else self.present.discard)(name)
        if before != state:
            self.weigh(member)
        self.tell(name, state, incarnation, by)
        if before not in PRESENT and state in PRESENT:
            self.order.insert(
                self.rng.randrange(self.turn, len(self.order) + 1)
                if self.turn <= len(self.order)
                else len(self.order),
                member,
            )
        if before != state:
            self.port.changed(name, state)
            self.count()

    def refute(self, state: int, incarnation: int) -> None:
        """News of this member itself: of an earlier life, or wrong.

        A higher incarnation says that it is there.
        """
        wrong = state != ALIVE and incarnation >= self.incarnation or incarnation > self.incarnation
        if wrong and self.state != LEFT:
            self.incarnation = incarnation + 1
            self.counts["refuted"] += 1
            if state != ALIVE:
                self.health = min(HEALTH_MOST, self.health + 1) if self.lifeguard else 0
            self.tell(self.name, ALIVE, self.incarnation)

    def tell(self, name: str, state: int, incarnation: int, by: str = "") -> None:
        """Spread a piece of news."""
        self.news.add((name, state, incarnation, by))
        if not self.pulsing and not self.over:
            self.pulsing = True
            self.port.later(PULSE * (0.5 + self.rng.random()), self.pulse)

    def pulse(self) -> None:
        """While there is news or suspicion: tell some, and see whose time is up."""
        self.pulsing = False
        if self.over:
            return
        now = self.port.now
        if self.lifeguard and now - self.due > SLEPT * self.period:
            self.slept()
        for member in list(self.suspects.values()):
            waited, patience = now - member.since, self.patience(member)
            if waited >= patience:
                self.hear(member.name, DEAD, member.incarnation, self.name)
            elif self.lifeguard and waited > ASKS * patience and now - member.asked >= self.period:
                # Its word may have missed this one alone: asked itself before it counts as dead
                member.asked = now
                self.send(member.name, PING, 0, news=self.yours(member.name))
        if self.news:
            for name in self.some(FANOUT, self.present):
                self.send(name, NEWS, room=PACKET)
            if not self.present:
                self.news.clear()  # nobody to tell: who is met gets the table
        if self.news or self.suspects:
            self.pulsing = True
            self.port.later(PULSE, self.pulse)

    def patience(self, member: Member) -> float:
        """S that a suspicion lasts: the more members confirm it, the shorter, down to the least."""
        tens = log10(max(10, len(self.present) + 1))
        least = max(LEAST, LEAST_LOG * tens) * self.period
        confirms = min(CONFIRM, len(self.present) - 1)
        if not self.lifeguard or confirms < 1:
            return least if not self.lifeguard else 2 * least
        longest = LONGER * least
        return max(least, longest - (longest - least) * log(len(member.by)) / log(confirms + 1))

    # tables: what news missed, and what a newcomer needs

    def exchange(self) -> None:
        """Send a part of the table to some member, again and again."""
        if not self.over:
            target = self.some(1, self.present)
            if target:
                self.table(target[0], whole=False)
            self.port.later(EXCHANGE * (0.5 + self.rng.random()), self.exchange)

    def table(self, peer: str, whole: bool) -> None:
        """Send a part of what is known, the next one each time, or all of it in several packets."""
        known = [name for name in self.names if self.members[name].state != UNHEARD and name != peer]
        pieces, size, room = [self.piece(self.name), *self.yours(peer)], 0, PACKET if whole else SLICE
        first = 0 if whole else self.cursor
        for step in range(len(known)):
            place = (first + step) % len(known)
            piece = self.piece(known[place])
            size += weight(piece)
            if size > room:
                if not whole:
                    self.cursor = place
                    break
                self.send(peer, TABLE, 0, news=pieces)
                pieces, size = [], weight(piece)
            pieces.append(piece)
        self.send(peer, TABLE, 0 if whole else 1, news=pieces)

    def reach(self) -> None:
        """Try one of those that are absent: a split heals, a machine comes back, a fleet begins."""
        if self.over:
            return
        absent = [name for name in self.names if self.members[name].state in ABSENT]
        if absent:
            self.send(self.rng.choice(absent), HELLO, self.incarnation, chosen=True)
        hurry = self.port.now - self.started < HURRY and 2 * len(absent) > len(self.names)
        self.port.later((REACH_FIRST if hurry else REACH) * (0.5 + self.rng.random()), self.reach)

    def newer(self, name: str, state: int, incarnation: int, by: str) -> bool:
        """Whether this member knows something newer than a piece of news."""
        member = self.members.get(name)
        return (
            member is not None
            and member.state != UNHEARD
            and Member(name, state, incarnation).overrides(member.state, member.incarnation)
        )

    # what is sent

    def piece(self, name: str) -> Piece:
        """What is known of a member, as a piece of news."""
        if name == self.name:
            return (name, self.state, self.incarnation, "")
        member = self.members[name]
        return (name, member.state, max(0, member.incarnation), next(iter(member.by), ""))

    def yours(self, peer: str) -> list[Piece]:
        """What is wrongly thought of the one talked to goes first.

        It can put that right (Lifeguard's buddies).
        """
        member = self.members.get(peer)
        told = member is not None and member.state in (SUSPECT, DEAD, LEFT) and self.lifeguard
        return [self.piece(peer)] if told else []

    def send(
        self,
        peer: str,
        kind: int,
        number: int = 0,
        about: str = "",
        news: list[Piece] | None = None,
        room: int = PIGGYBACK,
        chosen: bool = False,
    ) -> None:
        """Send a message, with as much news as there is room for."""
        pieces = list(news or ())
        if kind == HELLO:
            pieces.append(self.piece(self.name))
            pieces += [self.piece(peer)] if self.members[peer].state != UNHEARD else []
        if kind != TABLE and not chosen:
            pieces += self.news.pick(room - sum(map(weight, pieces)), len(self.present))
        self.post(peer, Message(self.fleet, messages.VERSION, kind, self.name, number, about, pieces))

    def post(self, peer: str, message: Message) -> None:
        """Encode and send a message."""
        data = encode(message)
        self.counts["datagrams"] += 1
        self.counts["bytes"] += len(data)
        self.port.send(peer, data)

    def some(self, most: int, among: set[str]) -> list[str]:
        """So many of these at random (drawn over a sorted list: sets have no order to rely on)."""
        if len(among) <= most:
            return sorted(among)
        if (
            len(among) > len(self.names) // 2
        ):  # draw names until enough are among them: no sorting of a large fleet
            found: dict[str, None] = {}
            while len(found) < most:
                name = self.names[self.rng.randrange(len(self.names))]
                if name in among:
                    found[name] = None
            return list(found)
        return self.rng.sample(sorted(among), most)

    def count_up(self) -> int:
        """A number that no probe had before."""
        self.number += 1
        return self.number

    # the numbers

    def weigh(self, member: Member) -> None:
        """Its state changed: who comes counts at once, who goes only once it has been gone for SHRINK s."""
        member.moves += 1
        moves = member.moves
        if member.state in PRESENT:
            self.set_counted(member, True, True)
        else:
            self.port.later(SHRINK, lambda: self.shrink(member, moves))

    def shrink(self, member: Member, moves: int) -> None:
        """Count one that went as away, unless its presence has changed since it had moved so often."""
        if moves == member.moves and not self.over:
            self.set_counted(member, False, member.state != LEFT)
            self.count()

    def set_counted(self, member: Member, counted: bool, sure: bool) -> None:
        """Change a member's part in the numbers, where it is still listed."""
        if self.members.get(member.name) is member:
            self.tally.set(member, counted, sure)

    def counted(self) -> list[str]:
        """The others that `live` counts, by name.

        All listed at first, who is gone until it has been for SHRINK s.
        """
        return [name for name in self.names if self.members[name].counted]

    def unheard(self) -> None:
        """Those of which nothing was heard since the start count no more; they have not left for all that."""
        for member in self.members.values():
            if member.state == UNHEARD:
                self.set_counted(member, False, True)
        self.count()

    def count(self) -> None:
        """Tell how many are there, this one's place by name, and how many are not known to have left."""
        now = self.tally.numbers()
        if now != self.numbers and not self.over:
            self.numbers = now
            self.port.told(*now)
