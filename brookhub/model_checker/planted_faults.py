"""Registers with a fault each, which the model checker has to find."""

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
    """Votes are merely counted.

    A voter approves any leader's machine while it has approved fewer than may be out.
    """

    def __init__(self, plan: Plan, settings: RegisterSettings, host: RegisterHost, now: float) -> None:
        super().__init__(settings, host, now)
        self.plan = plan
        self.approved: tuple[str, ...] = ()

    def may_promise(self, ballot: Ballot, now: float) -> bool:
        """Any candidate gets a promise."""
        return not self.abstains

    def on_prepare(self, peer: str, message: Prepare, now: float) -> None:
        """Promise, whatever was promised before."""
        self.host.send_register_message(peer, Promise(message.ballot, self.revision, self.value))

    def approve(self, finished: Collection[str], value: PlanProgress) -> bool:
        """Approve the machines that are to go out, unless too many were approved and not finished."""
        names = value.names_out()
        kept = {name for name in self.approved if name in names or name not in finished}
        if len(kept | names) > self.plan.max_out:
            return False
        self.approved = tuple(sorted(kept | names))
        return True

    def on_accept(self, peer: str, message: Accept, now: float) -> None:
        """Approve a machine while fewer are out than may be."""
        done = {
            machine.name
            for machine in self.plan.machines
            if message.value.done & self.plan.done_bit(machine.name)
        }
        if self.approve(done, message.value):
            self.host.value_learned(message.value)
            self.host.send_register_message(peer, Accepted(message.revision, self.host.own_report()))

    def may_accept(self, revision: Revision, value: PlanProgress) -> bool:
        """Approve this limiter's own machine while fewer are out than may be."""
        return self.approve(self.value.names_out(), value)


class CountingProposer(Proposer):
    """Leads where a majority promised, whatever else was promised; a vote is for one machine."""

    def lead_if_elected(self, now: float) -> None:
        """Lead where a majority promised in time."""
        in_time = now < self.prepare_sent_at + self.settings.lease_s
        if not self.is_leader and in_time and is_majority(self.promises, self.voter.voters()):
            self._begin_leading()
            self.propose(self.voter.value, now)

    def propose(self, value: PlanProgress, now: float) -> None:
        """Propose one machine at a time."""
        super().propose(msgspec.structs.replace(value, machines_out=value.machines_out[:1]), now)


class UncheckedLeaseProposer(Proposer):
    """Does not look at its lease after it was stopped, and goes on leading."""

    def check_lease(self, now: float) -> None:
        """Extend the lease instead of checking it."""
        if self.is_leader:
            self.leader_lease_end = max(self.leader_lease_end, now + 1)
        super().check_lease(now)

    def may_act(self, now: float) -> bool:
        """The same without the lease."""
        return self.is_leader and self.committed is not None and self.proposed is None


class UnabstainingVoter(Voter):
    """Votes at once after it restarted without state."""

    def on_prepare(self, peer: str, message: Prepare, now: float) -> None:
        """Answer, with state or without."""
        self.abstains = False
        super().on_prepare(peer, message, now)

    def on_accept(self, peer: str, message: Accept, now: float) -> None:
        """Answer, with state or without."""
        self.abstains = False
        super().on_accept(peer, message, now)


class NoStateFetch(StateFetch):
    """Fetches no state."""

    def tick(self, now: float) -> None:
        """Let the voter vote."""
        self.voter.abstains = False


def sound_roles(plan: Plan) -> RegisterRoles:
    """The register without a planted fault."""
    return RegisterRoles()


def _counted_votes(plan: Plan) -> RegisterRoles:
    """Votes counted up to the number of machines that may be out."""
    return RegisterRoles(voter=partial(CountingVoter, plan), proposer=CountingProposer)


def _no_lease_check(plan: Plan) -> RegisterRoles:
    """No look at the lease before acting."""
    return RegisterRoles(proposer=UncheckedLeaseProposer)


def _no_abstaining(plan: Plan) -> RegisterRoles:
    """No abstaining after a restart."""
    return RegisterRoles(voter=UnabstainingVoter, state_fetch=NoStateFetch)


RolesOfPlan = Callable[[Plan], RegisterRoles]
PLANTED: dict[str, RolesOfPlan] = {
    "counted votes": _counted_votes,
    "no look at the lease": _no_lease_check,
    "no abstaining": _no_abstaining,
}
