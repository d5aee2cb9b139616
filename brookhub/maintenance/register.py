"""One table held by a majority of voters, written by one leader at a time under a lease.

Without I/O, without disk.

A register by ballots (Lamport's Paxos; the table overwritten in place as in CASPaxos, Rystsov 2018) with
leader leases (Gray and Cheriton 1989) on monotonic clocks that may run DRIFT apart from true time. Voters
keep it in memory alone: one that starts with nothing abstains, first for a lease and then until it has read
what the others hold (as in Viewstamped Replication Revisited, Liskov and Cowling 2012). docs/maintenance.md
has the formulas and what each trap would cost.

Times in s on this limiter's own clock. `voter` True from the start at the very first start of a fleet only in
tests.
"""

from __future__ import annotations

from typing import Any, Callable, Container

from .messages import NOTHING_SAID, Ask, Ballot, Deny, Grant, Mark, Read, Report, State, Table, Write, Wrote

DRIFT = 0.05  # by how much any clock may run fast or slow
NOBODY = (0, "")


def leased(lease: float) -> float:
    """Seconds that a voter keeps to a lease of so many s.

    Whatever the two clocks do, it ends after the leader's.
    """
    return lease * (1 + DRIFT) / (1 - DRIFT)


class Register:
    """One limiter's part.

    `lease` s; `voters` the first ones, later a table names them. `send(peer, message)`; `report()` goes with
    each vote for the leader to hear; `heard(peer, report)` is told at the leader; `adopt(table)` whenever a
    newer table is known here, held by a majority or not.
    """

    def __init__(
        self,
        me: str,
        voters: tuple[str, ...],
        lease: float,
        alone: float,
        now: float,
        send: Callable[[str, Any], None],
        report: Callable[[], Report],
        heard: Callable[[str, Report], None],
        adopt: Callable[[Table], None],
        knows: bool = False,
        listed: Callable[[], list[str]] = lambda: [],
    ):
        """`alone`: s that one abstains where nobody remembers anything.

        A permission to start has run out by then. `listed`: all limiters: those without a vote were told the
        tables too, and remember them for voters that all forgot.
        """
        self.me, self.lease, self.alone, self.born = me, lease, alone, now
        self.send, self.report, self.heard, self.adopt, self.listed = send, report, heard, adopt, listed
        self.base = tuple(voters)  # where no table names them
        self.promised, self.mark, self.table = NOBODY, NOTHING_SAID, Table()
        self.until = now  # the lease that this voter granted, by its own clock
        self.abstains = not knows
        self.reads: dict[str, State] = {}
        self.number, self.read_at = 0, now - lease
        # as a leader, or one that asks to be it
        self.ballot, self.asked_at = NOBODY, now
        self.grants: dict[str, Grant] = {}
        self.leads, self.valid_until = False, now - 1.0
        self.serial, self.sent_at = 0, now
        self.wrote: dict[str, Any] = {}
        self.pending: Table | None = None
        self.held: Table | None = None  # the table of this leadership that a majority holds

    # voters

    def voters(self, table: Table | None = None) -> tuple[str, ...]:
        """Who votes by this table."""
        return (table or self.table).voters or self.base

    def votes(self) -> bool:
        """Whether this one votes."""
        return self.me in self.voters() or self.me in self.base

    def enough(self, names: Container[str], voters: tuple[str, ...]) -> bool:
        """Whether these are a majority."""
        return 2 * sum(name in names for name in voters) > len(voters)

    def everyone(self) -> list[str]:
        """All that may have a vote, by the table that is known and the one that is being written."""
        names = dict.fromkeys(self.base + self.voters() + self.voters(self.pending))
        return [name for name in names if name != self.me]

    # what arrives

    def received(self, peer: str, message: Any, now: float) -> None:
        """A message of a peer."""
        if isinstance(message, Ask):
            self.asked(peer, message, now)
        elif isinstance(message, Grant):
            self.granted(peer, message, now)
        elif isinstance(message, Deny):
            self.denied(message)
        elif isinstance(message, Write):
            self.written(peer, message, now)
        elif isinstance(message, Wrote):
            self.confirmed(peer, message, now)
        elif isinstance(message, Read):
            self.send(
                peer,
                State(
                    message.number,
                    self.abstains or not self.votes(),
                    self.promised,
                    self.mark,
                    self.table,
                    now < self.until,
                ),
            )
        elif isinstance(message, State):
            self.told(peer, message, now)

    # a voter

    def grants_to(self, ballot: Ballot, now: float) -> bool:
        """Whether this one may promise a ballot."""
        if self.abstains or ballot <= self.promised:
            return False
        return now >= self.until or self.promised[1] == ballot[1]

    def asked(self, peer: str, message: Ask, now: float) -> None:
        """Somebody asks to lead."""
        if self.grants_to(message.ballot, now):
            self.promised, self.until = message.ballot, now + leased(self.lease)
            self.send(peer, Grant(message.ballot, self.mark, self.table))
        elif not self.abstains:
            self.send(peer, Deny(message.ballot, self.promised))

    def takes(self, mark: Mark, now: float) -> bool:
        """Whether a write is newer than what is held, and nobody newer was promised."""
        return mark[:2] >= self.promised and mark > self.mark

    def written(self, peer: str, message: Write, now: float) -> None:
        """The leader writes."""
        if self.abstains:
            self.learn(message.mark, message.table)  # to know is no vote
        elif self.takes(message.mark, now):
            self.promised, self.until = message.mark[:2], now + leased(self.lease)
            self.learn(message.mark, message.table)
            self.send(peer, Wrote(message.mark, self.report()))
        elif message.mark == self.mark:  # its word was lost: the same again
            self.send(peer, Wrote(message.mark, self.report()))
        else:
            self.send(peer, Deny(message.mark[:2], self.promised))

    def learn(self, mark: Mark, table: Table) -> None:
        """A table newer than what is held here."""
        if mark > self.mark:
            self.mark, self.table = mark, table
            self.adopt(table)

    # one that started with nothing

    def tick(self, now: float) -> None:
        """The clock moves on: a lease ends, questions are asked again."""
        if self.leads and now >= self.valid_until:
            self.step_down()
        if (
            self.abstains
            and self.votes()
            and now >= self.born + leased(self.lease)
            and now >= self.read_at + self.lease / 3
        ):
            # What it may have voted for before is void by now, so whatever a majority holds, others remember.
            self.number, self.read_at, self.reads = self.number + 1, now, {}
            for name in dict.fromkeys(self.everyone() + self.listed()):
                self.send(name, Read(self.number))
            self.knows(now)

    def told(self, peer: str, message: State, now: float) -> None:
        """A voter tells one that remembers nothing what it holds."""
        if not self.abstains or message.number != self.number:
            return
        self.reads[peer] = message
        self.knows(now)

    def knows(self, now: float) -> None:
        """Whether it has read enough to vote again: of a majority that remember.

        Or of all, once any permission to start that all may have forgotten has run out (whoever works by then
        is seen to be gone).
        """
        best, known = max(self.reads.values(), key=lambda one: one.mark, default=None), self.voters()
        if best:
            self.learn(best.mark, best.table)
        remember = [name for name, one in self.reads.items() if not one.abstains]
        all_of_them = all(name in self.reads for name in self.everyone()) and now >= self.born + leased(
            self.alone
        )
        if self.enough(remember, known) and self.enough(remember, self.voters()) or all_of_them:
            self.abstains = False
            self.promised = max(
                [self.promised, self.mark[:2], *(one.promised for one in self.reads.values())]
            )
            if any(one.leased for one in self.reads.values()):
                self.until = now + leased(self.lease)

    # a leader

    def ask(self, now: float) -> None:
        """Ask all voters to lead, under a ballot of its own."""
        if self.abstains or not self.votes():
            return
        self.ballot, self.asked_at, self.grants = (
            (max(self.promised[0], self.ballot[0]) + 1, self.me),
            now,
            {},
        )
        self.leads, self.pending, self.held = False, None, None
        if self.grants_to(
            self.ballot, now
        ):  # no lease to itself before it is elected: one that asks in vain is in nobody's way
            self.promised = self.ballot
            self.grants[self.me] = Grant(self.ballot, self.mark, self.table)
        for name in self.everyone():
            self.send(name, Ask(self.ballot))
        self.elected(now)

    def granted(self, peer: str, message: Grant, now: float) -> None:
        """A voter promises."""
        if message.ballot == self.ballot and not self.leads:
            self.grants[peer] = message
            self.elected(now)

    def elected(self, now: float) -> None:
        """A majority of every set of voters that the tables heard of name: the newest one may name others."""
        best = max(self.grants.values(), key=lambda one: one.mark, default=None)
        if best is None or now >= self.asked_at + self.lease or self.ballot != self.promised:
            return
        if self.enough(self.grants, self.voters()) and self.enough(self.grants, self.voters(best.table)):
            self.leads, self.valid_until, self.serial = True, self.asked_at + self.lease, 0
            self.until = (
                max(self.until, self.asked_at + leased(self.lease)) if self.me in self.grants else self.until
            )
            self.learn(best.mark, best.table)
            # What is known to some has to be held by a majority before it is built on
            self.write(self.table, now)

    def denied(self, message: Deny) -> None:
        """A voter has promised another."""
        if message.promised > self.promised and message.ballot == self.ballot:
            self.step_down()
            self.ballot = (max(self.ballot[0], message.promised[0]), self.me)

    def outdone(self, mark: Mark) -> None:
        """Somebody was told a table of a later ballot: of a life that all voters forgot.

        Theirs have to be later still.
        """
        if self.leads and mark[:2] > self.ballot:
            self.step_down()
            self.ballot = (mark[0], self.me)

    def step_down(self) -> None:
        """Lead no more."""
        self.leads, self.pending, self.held = False, None, None
        self.grants, self.wrote = {}, {}

    def acts(self, now: float) -> bool:
        """Whether it may act as the leader now: its lease holds, and a majority holds its table.

        Looked at before each act: it may have been stopped since the last.
        """
        return self.leads and now < self.valid_until and self.held is not None and self.pending is None

    def write(self, table: Table, now: float) -> None:
        """Have a majority hold this table; also to renew the lease."""
        self.serial, self.pending, self.sent_at, self.wrote = self.serial + 1, table, now, {}
        mark = (*self.ballot, self.serial)
        if self.takes(mark, now):
            self.promised, self.until = self.ballot, now + leased(self.lease)
            self.learn(mark, table)
            self.wrote[self.me] = self.report()
        for name in self.everyone():
            self.send(name, Write(mark, table))
        self.committed(now)

    def confirmed(self, peer: str, message: Wrote, now: float) -> None:
        """A voter holds what was written."""
        if not self.leads or message.mark[:2] != self.ballot:
            return
        self.heard(peer, message.report)
        if self.pending is not None and message.mark[2] == self.serial:
            self.wrote[peer] = message.report
            self.committed(now)

    def committed(self, now: float) -> None:
        """Whether a majority holds it: then it counts."""
        if (
            self.pending is None or now >= self.sent_at + self.lease
        ):  # an old vote may be of one that has forgotten it
            return
        before = self.voters(self.held or self.table)
        if all(self.enough(self.wrote, voters) for voters in (before, self.voters(self.pending))):
            self.held, self.pending = self.pending, None
            self.valid_until = self.sent_at + self.lease
