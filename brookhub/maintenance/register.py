"""The replicated register: one value held by a majority of voters, written by one leader at a time.

The register uses ballots (Lamport's Paxos) and overwrites the value in place, as CASPaxos does (Rystsov
2018). Leader leases (Gray and Cheriton 1989) are timed by monotonic clocks whose rate may differ from true
time by CLOCK_DRIFT. Nothing is written to disk. docs/maintenance.md has the formulas and the faults that each
rule guards against.
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
    """Factories of a register's components. The model checker replaces them to plant faults."""

    voter: Callable[[RegisterSettings, RegisterHost, float], Voter] = Voter
    state_fetch: Callable[[RegisterSettings, Voter, RegisterHost, float], StateFetch] = StateFetch
    proposer: Callable[[RegisterSettings, Voter, RegisterHost, float], Proposer] = Proposer


DEFAULT_ROLES = RegisterRoles()


class Register:
    """One limiter's part of the register: the voter, the recovery of the voter's state, and the proposer."""

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
        """The newest value that this limiter knows, committed or not."""
        return self.voter.value

    def other_voters(self) -> list[str]:
        """Return all other limiters that may have a vote, by the known value or the proposed one."""
        return self.voter.other_voters(self.proposer.proposed)

    def tick(self, now: float) -> None:
        """Check the lease and continue a running state fetch; called periodically."""
        self.proposer.check_lease(now)
        self.state_fetch.tick(now)

    def on_message(self, peer: str, message: RegisterMessage, now: float) -> None:
        """Handle a register message from a peer."""
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
