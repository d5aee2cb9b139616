"""Shared signals.

What one limiter found out about a server, told to all before each has paid for learning it.

A limiter that a server failed says so; once WITNESSES of them did, all leave that server alone for a few
seconds. Who holds the turn for it (turns.py) tries it once meanwhile: a failure keeps it away, a success has
all come back. A word only ever lowers use: without any, and whenever one is withdrawn, each limiter decides
by what it saw itself.

Not believed: one that finds fault with more than DOUBTED of the servers (it is rather its own link), one that
just woke (its tries timed out while it stood still). At most AWAY of all servers are left alone at a time,
the best attested first. I/O-free: a Carrier brings words to the others, by membership or by the counter
(carriers.py).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Callable, Hashable, Protocol

from ..interface import Outcome
from .turns import GRACE, Turns

# What a word says of a server; on the wire. STILL_SICK: the one whose turn it was tried it in vain
SICK, WELL, STILL_SICK = 1, 2, 3
WITNESSES = 2  # limiters whose word it takes: one alone may be the one at fault
# Seconds that a word counts; also the least time that a server is left alone: longer than a death takes to be
# known
FADE = 5.0
# Seconds that it is left alone at most without a new word: two turns' epochs; doubled up to it from FADE, as
# each try by turn costs one call. At 10 s a server that was bad for a minute cost the fleet 11 to 14 calls,
# at 20 s 8 to 9
HOLD_MOST = 20.0
TRY_AT = 0.5  # of that time from which who holds the turn tries it: the rest is for a holder that has died
TRY_FOR = 2.0  # s that such a try may be out until the next: about a client timeout
# Share and number of the servers that one limiter may find fault with and be believed
DOUBTED, DOUBTED_LEAST = 0.25, 2
AWAY = 0.3  # share of all servers that signals leave alone at the most: what is left has to carry the load
# Share of tries elsewhere, over so many s, given up for their slowness, beyond which one more says nothing of
# its server: where service times scatter, healthy servers have them all the time
SLOW_USUAL, SLOW_OVER = 0.02, 10.0
# Seconds between looks at the clock; s it may be late until this process counts as stopped
BEAT, STOPPED = 0.25, 1.0
PULSE = 0.02  # s that words wait for others to go with them: zones are lost at one stroke
ENDS = 500  # tries remembered of that: bounds the work of a look
ENOUGH = 3  # witnesses beyond which one more is not told: a fleet that fails together would only shout


class Carrier(Protocol):
    """How words travel, and what time it is.

    `now` s on a clock that never jumps, `calendar` s since some moment that is the same at all limiters, to
    within a small part of a turn.
    """

    now: float
    calendar: float

    def later(self, seconds: float, callback: Callable[[], None]) -> None: ...
    def say(self, words: list[tuple[int, int]]) -> None: ...


@dataclass(eq=False)
class Case:
    """A server that words are out about.

    Each witness's last word (s, by name), until when it is left alone (s).
    """

    by: dict[Hashable, float] = field(default_factory=dict)
    since: float = 0.0  # when it was first left alone
    until: float = 0.0  # 0: not left alone
    hold: float = FADE
    try_at: float = 0.0
    tried: bool = False  # this limiter has had its turn to try it, and has not told yet what came of it
    extended_at: float = float("-inf")  # when a try by turn last failed (s)
    allowed: bool = False  # within AWAY


class Signals:
    """One limiter's part.

    The decisions ask `shuns` and `due`, and tell `saw`, `tried` and `listed`; the carrier's side tells
    `heard`, `attested` and `woke`. Servers by their ids, times in s.
    """

    def __init__(self, carrier: Carrier, turns: Turns):
        self.carrier, self.turns, self.me = carrier, turns, turns.me
        self.cases: dict[int, Case] = {}
        self.faults: dict[int, float] = {}  # servers that failed this limiter, when last
        self.named: dict[Hashable, dict[int, float]] = {}  # witness -> servers it named, when
        self.waiting: dict[int, int] = {}  # words that wait for the pulse
        self.up_since: dict[int, float] = {}
        self.servers = self.told = self.refused = 0
        self.quiet_until, self.beat_at = 0.0, carrier.now
        # tries: when (s), where, given up for slowness
        self.ends: deque[tuple[float, int, bool]] = deque(maxlen=ENDS)
        carrier.later(BEAT, self.beat)

    # what the decisions ask

    def shuns(self, server: int) -> bool:
        """Whether to send it nothing now, but what `due` allows."""
        case = self.cases.get(server)
        return bool(case and case.allowed and self.carrier.now < case.until)

    def due(self, server: int) -> bool:
        """Whether this limiter is to try a server that all leave alone.

        Once, with a call that may run again.
        """
        case, now = self.cases.get(server), self.carrier.now
        return bool(
            case
            and case.allowed
            and case.try_at <= now < case.until
            and self.turns.mine(f"sick/{server}", now, self.carrier.calendar)
        )

    # what the decisions tell

    def listed(self, servers: dict[int, float]) -> None:
        """The servers that there are, and since when each is up (s).

        One that came up anew is judged afresh.
        """
        for server in [
            one for one in {**self.cases, **self.faults} if servers.get(one) != self.up_since.get(one)
        ]:
            self.cases.pop(server, None)
            self.faults.pop(server, None)
        self.up_since, self.servers = servers, len(servers)
        self.weigh()

    def tried(self, server: int) -> None:
        """A try goes to it: if it was this one's turn, that was it for a while."""
        if self.due(server):
            self.cases[server].try_at = self.carrier.now + TRY_FOR
            self.cases[server].tried = True

    def saw(self, server: int, outcome: Outcome) -> None:
        """How a try ended there, with nothing else to blame than the server or the way to it."""
        self.awake()
        now, case, good = self.carrier.now, self.cases.get(server), outcome is Outcome.OK
        slow = outcome in (Outcome.CANCELLED, Outcome.TIMEOUT)
        usual = slow and self.usual(server)
        self.ends.append((now, server, slow))
        if good:
            self.faults.pop(server, None)
            if case:  # it answers: a fault now and then is none, and one that got well is used by all at once
                self.clear(server)
                self.word(server, WELL)
            return
        if usual:
            return
        self.faults[server] = now
        if now < self.quiet_until or self.doubted(self.faults):
            return
        if case and case.tried:
            case.tried = False
            self.word(server, STILL_SICK)
            self.attest(server, self.me, still=True)
            return
        # One that enough others told of is nothing new to them, unless it was left alone and has come back.
        if not case or self.over(case) or self.me not in case.by and len(self.fresh(case)) < ENOUGH:
            self.word(server, SICK)
        self.attest(server, self.me)

    def usual(self, server: int) -> bool:
        """Whether tries at the other servers, too, were given up for their slowness in the last while."""
        while self.ends and self.ends[0][0] < self.carrier.now - SLOW_OVER:
            self.ends.popleft()
        elsewhere = [slow for _, other, slow in self.ends if other != server]
        return sum(elsewhere) > SLOW_USUAL * len(elsewhere)

    # what comes from the others

    def heard(self, peer: Hashable, words: list[tuple[int, int]]) -> None:
        """Words of one other limiter, just said."""
        self.awake()
        for server, what in words:
            if what == WELL:
                self.clear(server)
                self.named.get(peer, {}).pop(server, None)
            elif what in (SICK, STILL_SICK):
                named = self.named.setdefault(peer, {})
                named[server] = self.carrier.now
                if self.doubted(named):
                    self.disbelieve(peer)
                else:
                    self.attest(server, peer, still=what == STILL_SICK)

    def attested(self, server: int, witnesses: int) -> None:
        """Word of so many witnesses, without names (the counter's), this one among them."""
        for number in range(witnesses - 1):
            self.attest(server, ("counted", number))

    def woke(self) -> None:
        """This limiter was stopped: what its tries came to meanwhile says nothing of the servers."""
        self.quiet_until = self.carrier.now + GRACE
        self.turns.woke(self.carrier.now)
        self.faults.clear()

    # inside

    def beat(self) -> None:
        self.awake()
        self.beat_at = self.carrier.now
        self.carrier.later(BEAT, self.beat)

    def awake(self) -> None:
        """Whichever event comes first after a stop finds it out."""
        if self.carrier.now - self.beat_at > STOPPED:
            self.beat_at = self.carrier.now
            self.woke()

    def fresh(self, case: Case) -> list:
        return [one for one, at in case.by.items() if self.carrier.now - at < FADE]

    def doubted(self, named: dict[int, float]) -> bool:
        for server in [one for one, at in named.items() if self.carrier.now - at >= FADE]:
            del named[server]
        return len(named) > max(DOUBTED_LEAST, DOUBTED * self.servers)

    def disbelieve(self, peer: Hashable) -> None:
        self.refused += 1
        for case in self.cases.values():
            case.by.pop(peer, None)
            if case.until and len(case.by) < 1:
                case.until = 0.0
        self.weigh()

    def over(self, case: Case) -> bool:
        """Whether the server was left alone and is used again."""
        return 0 < case.until <= self.carrier.now

    def attest(self, server: int, witness: Hashable, still: bool = False) -> None:
        """Book a witness's word.

        `still`: it tried the server by turn, while all left it alone. Only the word says so: when each
        limiter began to leave it alone differs by as long as a machine is busy.
        """
        now = self.carrier.now
        case = self.cases.setdefault(server, Case())
        if self.over(case):
            case = self.cases[server] = Case()
        case.by[witness] = now
        needed = min(WITNESSES, len(self.turns.present))
        longer = still and now - case.extended_at >= TRY_FOR  # tries that were out together count once
        if longer:  # also where this one heard nothing of the beginning: the others leave it alone as long
            case.hold, case.extended_at = min(HOLD_MOST, 2 * case.hold), now
        if longer and case.until:
            self.leave_alone(case)
        elif not case.until and len(self.fresh(case)) >= needed:
            case.since = now
            self.leave_alone(case)
        self.weigh()

    def leave_alone(self, case: Case) -> None:
        now = self.carrier.now
        case.until, case.try_at = now + case.hold, now + TRY_AT * case.hold

    def clear(self, server: int) -> None:
        if self.cases.pop(server, None):
            self.weigh()

    def weigh(self) -> None:
        """Which of them may be left alone: no more than AWAY of all, those with the most witnesses first."""
        now = self.carrier.now
        for server in [
            one
            for one, case in self.cases.items()
            if now >= case.until and all(now - at >= FADE for at in case.by.values())
        ]:
            del self.cases[server]
        held = [
            (-len(case.by), case.since, server) for server, case in self.cases.items() if now < case.until
        ]
        room = int(AWAY * self.servers)
        kept = {server for *_, server in sorted(held)[:room]}
        for server, case in self.cases.items():
            case.allowed = server in kept

    def word(self, server: int, what: int) -> None:
        if not self.waiting:
            self.carrier.later(PULSE, self.pulse)
        self.waiting[server] = what

    def pulse(self) -> None:
        words, self.waiting = list(self.waiting.items()), {}
        self.told += len(words)
        self.carrier.say(words)
