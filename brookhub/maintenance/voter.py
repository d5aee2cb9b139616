"""The voter's (acceptor's) part of the replicated register: promises, accepted values, the lease it grants.

Times in seconds on this limiter's own clock.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass
from typing import Protocol

from .messages import (
    NO_BALLOT,
    NO_REVISION,
    Accept,
    Accepted,
    Ballot,
    FetchReply,
    FetchRequest,
    PlanProgress,
    Prepare,
    Promise,
    RegisterMessage,
    Reject,
    Report,
    Revision,
)
from .settings import voter_lease_s


@dataclass(frozen=True)
class RegisterSettings:
    """Who takes part in the register, and its times in seconds."""

    name: str  # of this limiter
    initial_voters: tuple[str, ...]  # as long as no value names others
    lease_s: float
    # Longest life of a permission to start work, after which a forgotten one can do no harm
    permission_s: float
    # Vote from the start: only where all voters begin together with nothing to forget (tests)
    bootstrap: bool = False


class RegisterHost(Protocol):
    """What the register needs of its limiter."""

    def send_register_message(self, peer: str, message: RegisterMessage) -> None:
        """Send a message of the register; it may be lost."""

    def own_report(self) -> Report:
        """The report that goes with each acceptance."""

    def record_report(self, peer: str, report: Report) -> None:
        """A voter's report arrived at the leader."""

    def value_learned(self, value: PlanProgress) -> None:
        """A newer value is known here, committed or not."""

    def listed_peers(self) -> list[str]:
        """All other limiters: those without a vote know committed values, too."""


def is_majority(names: Container[str], voters: tuple[str, ...]) -> bool:
    """Whether the voters among `names` are a majority."""
    return 2 * sum(name in names for name in voters) > len(voters)


class Voter:
    """What one limiter has promised and accepted, kept in memory alone.

    Invariants: `promised` and `revision` never decrease; while `abstains` holds it neither promises nor
    accepts; until `lease_end` it promises nothing to another proposer than that of `promised`.
    """

    def __init__(self, settings: RegisterSettings, host: RegisterHost, now: float) -> None:
        self.settings = settings
        self.host = host
        self.promised = NO_BALLOT
        self.revision = NO_REVISION
        self.value = PlanProgress()
        self.lease_end = now  # of the lease that this voter granted
        self.abstains = not settings.bootstrap

    # the set of voters

    def voters(self, value: PlanProgress | None = None) -> tuple[str, ...]:
        """The voters by a value, by the newest known one where none is given."""
        return (value or self.value).voters or self.settings.initial_voters

    def has_vote(self) -> bool:
        """Whether this limiter is a voter."""
        return self.settings.name in self.voters() or self.settings.name in self.settings.initial_voters

    def other_voters(self, proposed: PlanProgress | None = None) -> list[str]:
        """All others that may have a vote: at first, by the known value, and by a proposed one."""
        names = dict.fromkeys(self.settings.initial_voters + self.voters() + self.voters(proposed))
        return [name for name in names if name != self.settings.name]

    # promises and accepted values

    def may_promise(self, ballot: Ballot, now: float) -> bool:
        """Whether this voter may promise a ballot."""
        if self.abstains or ballot <= self.promised:
            return False
        return now >= self.lease_end or self.promised.proposer == ballot.proposer

    def may_accept(self, revision: Revision, value: PlanProgress) -> bool:
        """Whether a value is newer than the held one, and no newer ballot was promised."""
        return revision.ballot >= self.promised and revision > self.revision

    def accept(self, revision: Revision, value: PlanProgress, now: float) -> None:
        """Accept a value, and grant its leader a lease."""
        self.promised = revision.ballot
        self.grant_lease(now)
        self.learn(revision, value)

    def grant_lease(self, now: float) -> None:
        """Promise nothing to others for a lease from now on."""
        self.lease_end = now + voter_lease_s(self.settings.lease_s)

    def learn(self, revision: Revision, value: PlanProgress) -> None:
        """Take over a value that is newer than the held one; it counts as no vote."""
        if revision > self.revision:
            self.revision = revision
            self.value = value
            self.host.value_learned(value)

    # messages

    def on_prepare(self, peer: str, message: Prepare, now: float) -> None:
        """A candidate asks for a promise."""
        if self.may_promise(message.ballot, now):
            self.promised = message.ballot
            self.grant_lease(now)
            promise = Promise(message.ballot, self.revision, self.value)
            self.host.send_register_message(peer, promise)
        elif not self.abstains:
            self.host.send_register_message(peer, Reject(message.ballot, self.promised))

    def on_accept(self, peer: str, message: Accept, now: float) -> None:
        """A leader asks to accept a value."""
        if self.abstains:
            self.learn(message.revision, message.value)
        elif self.may_accept(message.revision, message.value):
            self.accept(message.revision, message.value, now)
            self._confirm(peer, message.revision)
        elif message.revision == self.revision:  # the confirmation was lost: repeat it
            self._confirm(peer, message.revision)
        else:
            self.host.send_register_message(peer, Reject(message.revision.ballot, self.promised))

    def _confirm(self, peer: str, revision: Revision) -> None:
        """Tell the leader that its value is accepted."""
        self.host.send_register_message(peer, Accepted(revision, self.host.own_report()))

    def on_fetch_request(self, peer: str, message: FetchRequest, now: float) -> None:
        """A voter without state asks for this one's."""
        reply = FetchReply(
            message.number,
            self.abstains or not self.has_vote(),
            self.promised,
            self.revision,
            self.value,
            now < self.lease_end,
        )
        self.host.send_register_message(peer, reply)
