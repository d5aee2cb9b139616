"""The replicated register: one value held by a majority of voters, written by one leader at a time.

A register by ballots (Lamport's Paxos; the value overwritten in place as in CASPaxos, Rystsov 2018) with
leader leases (Gray and Cheriton 1989) on monotonic clocks that may run CLOCK_DRIFT apart from true time.
Nothing is written to disk. docs/maintenance.md has the formulas and the faults that each rule guards against.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .messages import (
    Accept,
    Accepted,
    FetchReply,
    FetchRequest,
    PlanProgress,
    Prepare,
    Promise,
    RegisterMessage,
    Reject,
)
from .proposer import Proposer
from .state_fetch import StateFetch
from .voter import RegisterHost, RegisterSettings, Voter


@dataclass(frozen=True)
class RegisterRoles:
    """The classes of a register's parts: the model checker puts faulty ones in."""

    voter: Callable[[RegisterSettings, RegisterHost, float], Voter] = Voter
    state_fetch: Callable[[RegisterSettings, Voter, RegisterHost, float], StateFetch] = StateFetch
    proposer: Callable[[RegisterSettings, Voter, RegisterHost, float], Proposer] = Proposer


DEFAULT_ROLES = RegisterRoles()


class Register:
    """One limiter's part: its voter, the recovery of the voter's state, and its proposer."""

    def __init__(
        self,
        settings: RegisterSettings,
        host: RegisterHost,
        now: float,
        roles: RegisterRoles = DEFAULT_ROLES,
    ) -> None:
        self.name = settings.name
        self.voter = roles.voter(settings, host, now)
        self.state_fetch = roles.state_fetch(settings, self.voter, host, now)
        self.proposer = roles.proposer(settings, self.voter, host, now)

    @property
    def value(self) -> PlanProgress:
        """The newest value known here, committed or not."""
        return self.voter.value

    def other_voters(self) -> list[str]:
        """All others that may have a vote, by the known value and the proposed one."""
        return self.voter.other_voters(self.proposer.proposed)

    def tick(self, now: float) -> None:
        """The clock moved on."""
        self.proposer.check_lease(now)
        self.state_fetch.tick(now)

    def received(self, peer: str, message: RegisterMessage, now: float) -> None:
        """Handle a message of a peer."""
        match message:
            case Prepare():
                self.voter.on_prepare(peer, message, now)
            case Promise():
                self.proposer.on_promise(peer, message, now)
            case Reject():
                self.proposer.on_reject(message)
            case Accept():
                self.voter.on_accept(peer, message, now)
            case Accepted():
                self.proposer.on_accepted(peer, message, now)
            case FetchRequest():
                self.voter.on_fetch_request(peer, message, now)
            case FetchReply():
                self.state_fetch.on_reply(peer, message, now)
