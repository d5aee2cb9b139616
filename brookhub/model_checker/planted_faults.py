"""Faulty implementations of the register. The model checker must find the fault of each."""

from __future__ import annotations

from collections.abc import Callable, Collection
from functools import partial

import msgspec

from ..maintenance import Plan, PlanProgress, RegisterRoles
from ..maintenance.messages import Accept, Accepted, Ballot, Prepare, Promise, Revision
from ..maintenance.proposer import Proposer
from ..maintenance.state_fetch import StateFetch
from ..maintenance.voter import RegisterHost, RegisterSettings, Voter, is_majority


class CountingVoter(Voter):
    """A voter that only counts the machines that it approved, and ignores ballots and revisions.

    It approves the machines of any leader as long as it has not approved more than may be out at once.
    """

    def __init__(self, plan: Plan, settings: RegisterSettings, host: RegisterHost, now: float) -> None:
        super().__init__(settings, host, now)
        self.plan = plan
        self.approved: tuple[str, ...] = ()

    def may_promise(self, ballot: Ballot, now: float) -> bool:
        """Return whether this voter may promise a ballot: always, unless it abstains."""
        return not self.abstains

    def on_prepare(self, peer: str, message: Prepare, now: float) -> None:
        """Promise any ballot, regardless of earlier promises."""
        self.host.send_register_message(peer, Promise(message.ballot, self.revision, self.value))

    def approve(self, finished: Collection[str], value: PlanProgress) -> bool:
        """Approve the machines of a value that are out; return whether they are approved.

        Machines that were approved before count against the bound until they are in `finished`.
        """
        names = value.names_out()
        kept = {name for name in self.approved if name in names or name not in finished}
        if len(kept | names) > self.plan.max_out:
            return False
        self.approved = tuple(sorted(kept | names))
        return True

    def on_accept(self, peer: str, message: Accept, now: float) -> None:
        """Accept a leader's value if its machines are approved."""
        done = {
            machine.name
            for machine in self.plan.machines
            if message.value.done & self.plan.done_bit(machine.name)
        }
        if self.approve(done, message.value):
            self.host.value_learned(message.value)
            self.host.send_register_message(peer, Accepted(message.revision, self.host.own_report()))

    def may_accept(self, revision: Revision, value: PlanProgress) -> bool:
        """Return whether the machines of a value that this limiter proposes are approved."""
        return self.approve(self.value.names_out(), value)


class CountingProposer(Proposer):
    """A proposer that leads with any majority of promises and proposes one machine at a time."""

    def lead_if_elected(self, now: float) -> None:
        """Become the leader if a majority promised within the lease, regardless of other ballots."""
        in_time = now < self.prepare_sent_at + self.settings.lease_s
        if not self.is_leader and in_time and is_majority(self.promises, self.voter.voters()):
            self._begin_leading()
            self.propose(self.voter.value, now)

    def propose(self, value: PlanProgress, now: float) -> None:
        """Propose a value with only the first of its machines that are out."""
        super().propose(msgspec.structs.replace(value, machines_out=value.machines_out[:1]), now)


class UncheckedLeaseProposer(Proposer):
    """A proposer that does not check its lease after it was stopped, and continues to lead."""

    def check_lease(self, now: float) -> None:
        """Extend the lease instead of checking it."""
        if self.is_leader:
            self.leader_lease_end = max(self.leader_lease_end, now + 1)
        super().check_lease(now)

    def may_act(self, now: float) -> bool:
        """Return whether a majority holds the value, without checking the lease."""
        return self.is_leader and self.committed is not None and self.proposed is None


class UnabstainingVoter(Voter):
    """A voter that votes immediately after a restart without state."""

    def on_prepare(self, peer: str, message: Prepare, now: float) -> None:
        """Promise or reject a ballot without abstaining after a restart."""
        self.abstains = False
        super().on_prepare(peer, message, now)

    def on_accept(self, peer: str, message: Accept, now: float) -> None:
        """Accept or reject a value without abstaining after a restart."""
        self.abstains = False
        super().on_accept(peer, message, now)


class NoStateFetch(StateFetch):
    """A StateFetch that fetches no state."""

    def tick(self, now: float) -> None:
        """Let the voter vote immediately."""
        self.voter.abstains = False


def sound_roles(plan: Plan) -> RegisterRoles:
    """Return the roles of the correct register."""
    return RegisterRoles()


def _counted_votes(plan: Plan) -> RegisterRoles:
    """Return roles of a register that only counts votes, up to the number of machines that may be out."""
    return RegisterRoles(voter=partial(CountingVoter, plan), proposer=CountingProposer)


def _no_lease_check(plan: Plan) -> RegisterRoles:
    """Return roles of a register whose leader does not check its lease before acting."""
    return RegisterRoles(proposer=UncheckedLeaseProposer)


def _no_abstaining(plan: Plan) -> RegisterRoles:
    """Return roles of a register whose voters do not abstain after a restart without state."""
    return RegisterRoles(voter=UnabstainingVoter, state_fetch=NoStateFetch)


RolesFactory = Callable[[Plan], RegisterRoles]
PLANTED: dict[str, RolesFactory] = {
    "counted votes": _counted_votes,
    "no look at the lease": _no_lease_check,
    "no abstaining": _no_abstaining,
}
