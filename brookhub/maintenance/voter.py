"""The voter (acceptor) of the replicated register: its promises, its accepted value and the lease it grants.

Times are in seconds on this limiter's own clock.
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
    """The participants of the register and its times in seconds."""

    name: str  # The name of this limiter.
    initial_voters: tuple[str, ...]  # The voters until a value names others.
    lease_s: float
    # Maximum validity of a permission to start work; a permission forgotten longer ago is harmless.
    permission_s: float
    # Vote from the start. Only safe if all voters begin together with nothing to forget (in tests).
    bootstrap: bool = False


class RegisterHost(Protocol):
    """The interface that a limiter provides to its register."""

    def send_register_message(self, peer: str, message: RegisterMessage) -> None:
        """Send a register message to a peer; it may be lost."""

    def own_report(self) -> Report:
        """Return the report that is sent with each acceptance."""

    def record_report(self, peer: str, report: Report) -> None:
        """Record a voter's report that arrived at the leader."""

    def value_learned(self, value: PlanProgress) -> None:
        """Handle a newer value, committed or not, that the voter learned."""

    def listed_peers(self) -> list[str]:
        """Return all other limiters; those without a vote also know committed values."""


def is_majority(names: Container[str], voters: tuple[str, ...]) -> bool:
    """Return whether a majority of the voters is among `names`."""
    return 2 * sum(name in names for name in voters) > len(voters)


class Voter:
    """One limiter's promises and accepted value, kept in memory only.

    Invariants: `promised` and `revision` never decrease; while `abstains` is true the voter neither promises
    nor accepts; until `lease_end` it promises only to the proposer of `promised`.
    """

    def __init__(self, settings: RegisterSettings, host: RegisterHost, now: float) -> None:
        self.settings = settings
        self.host = host
        self.promised = NO_BALLOT
        self.revision = NO_REVISION
        self.value = PlanProgress()
        self.lease_end = now  # The end of the lease that this voter granted.
        self.abstains = not settings.bootstrap

    # Set of voters

    def voters(self, value: PlanProgress | None = None) -> tuple[str, ...]:
        """Return the voters that a value names; without `value`, those of the newest known value."""
        return (value or self.value).voters or self.settings.initial_voters

    def has_vote(self) -> bool:
        """Return whether this limiter is a voter."""
        return self.settings.name in self.voters() or self.settings.name in self.settings.initial_voters

    def other_voters(self, proposed: PlanProgress | None = None) -> list[str]:
        """Return all other limiters that may have a vote.

        These are the initial voters and those in the known value and in the proposed value.
        """
        names = dict.fromkeys(self.settings.initial_voters + self.voters() + self.voters(proposed))
        return [name for name in names if name != self.settings.name]

    # Promises and accepted values

    def may_promise(self, ballot: Ballot, now: float) -> bool:
        """Return whether this voter may promise a ballot."""
        if self.abstains or ballot <= self.promised:
            return False
        return now >= self.lease_end or self.promised.proposer == ballot.proposer

    def may_accept(self, revision: Revision, value: PlanProgress) -> bool:
        """Return whether a value is newer than the held one and no newer ballot was promised."""
        return revision.ballot >= self.promised and revision > self.revision

    def accept(self, revision: Revision, value: PlanProgress, now: float) -> None:
        """Accept a value and grant a lease to its leader."""
        self.promised = revision.ballot
        self.grant_lease(now)
        self.learn(revision, value)

    def grant_lease(self, now: float) -> None:
        """Grant a lease from now on, during which no other proposer gets a promise."""
        self.lease_end = now + voter_lease_s(self.settings.lease_s)

    def learn(self, revision: Revision, value: PlanProgress) -> None:
        """Store a value if it is newer than the held one, without casting a vote for it."""
        if revision > self.revision:
            self.revision = revision
            self.value = value
            self.host.value_learned(value)

    # Messages

    def on_prepare(self, peer: str, message: Prepare, now: float) -> None:
        """Promise or reject a candidate's ballot; send no reply while abstaining."""
        if self.may_promise(message.ballot, now):
            self.promised = message.ballot
            self.grant_lease(now)
            promise = Promise(message.ballot, self.revision, self.value)
            self.host.send_register_message(peer, promise)
        elif not self.abstains:
            self.host.send_register_message(peer, Reject(message.ballot, self.promised))

    def on_accept(self, peer: str, message: Accept, now: float) -> None:
        """Accept or reject a leader's value; while abstaining, only learn it."""
        if self.abstains:
            self.learn(message.revision, message.value)
        elif self.may_accept(message.revision, message.value):
            self.accept(message.revision, message.value, now)
            self._send_accepted(peer, message.revision)
        elif message.revision == self.revision:  # The previous Accepted message was lost: send it again.
            self._send_accepted(peer, message.revision)
        else:
            self.host.send_register_message(peer, Reject(message.revision.ballot, self.promised))

    def _send_accepted(self, peer: str, revision: Revision) -> None:
        """Confirm to the leader that its value is accepted."""
        self.host.send_register_message(peer, Accepted(revision, self.host.own_report()))

    def on_fetch_request(self, peer: str, message: FetchRequest, now: float) -> None:
        """Send this voter's state to a voter that restarted without state."""
        reply = FetchReply(
            message.number,
            self.abstains or not self.has_vote(),
            self.promised,
            self.revision,
            self.value,
            now < self.lease_end,
        )
        self.host.send_register_message(peer, reply)
