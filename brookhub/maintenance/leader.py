"""The leader of a plan: it decides the next progress and replicates it before acting on it."""

from __future__ import annotations

import msgspec

from .follower import Follower
from .halting import HaltMonitor
from .machine_phases import MachinePhases
from .messages import Commit, PlanProgress, ZoneLoad
from .plan import AdoptedPlan
from .ports import MaintenancePort
from .register import Register
from .transitions import next_voters


def is_finished(adopted: AdoptedPlan, progress: PlanProgress) -> bool:
    """Return whether the plan is finished: all machines done, none out, and the requested voters in place."""
    plan = adopted.plan
    if progress.digest != adopted.digest or progress.machines_out:
        return False
    voters = progress.voters or plan.voters
    return progress.done == plan.all_done() and not plan.changes_voters(voters)


class Leader:
    """The component that runs the plan while this limiter's proposer is the leader."""

    def __init__(
        self,
        adopted: AdoptedPlan,
        port: MaintenancePort,
        register: Register,
        follower: Follower,
        phases: MachinePhases,
        halting: HaltMonitor,
    ) -> None:
        self.adopted = adopted
        self.port = port
        self.register = register
        self.follower = follower
        self.phases = phases
        self.halting = halting
        self.is_acting = False  # Whether the term has begun and "leadership acquired" is logged.

    def tick(self, now: float) -> None:
        """Advance the plan and renew the lease; called periodically while the proposer is the leader."""
        proposer = self.register.proposer
        if proposer.proposed is not None:
            if proposer.renewal_due(now):
                proposer.propose(proposer.proposed, now)  # Requests or replies were lost.
            return
        progress = proposer.committed
        if progress is None or not proposer.may_act(now):
            return
        if not self.is_acting:
            self._begin_term(progress, now)
        renewal_due = proposer.renewal_due(now)
        if renewal_due or self._is_unannounced(progress):
            self._announce(progress)
        next_progress = self._next_progress(progress, now)
        if next_progress != progress:
            proposer.propose(next_progress, now)
        elif renewal_due and not is_finished(self.adopted, progress):
            # Once the plan is finished the lease may expire: a finished plan needs no leader.
            proposer.propose(progress, now)

    def end_term(self) -> None:
        """Log the loss of leadership once; called periodically while the proposer is not the leader."""
        if self.is_acting:
            self.is_acting = False
            self.port.log("leadership lost", leader=self.register.name)

    def _begin_term(self, progress: PlanProgress, now: float) -> None:
        """Start to act as the leader."""
        self.is_acting = True
        self.phases.begin_term(progress, now)
        self.halting.begin_term(now)
        self.port.log(
            "leadership acquired",
            leader=self.register.name,
            version=progress.version,
            digest=progress.digest,
        )

    def _is_unannounced(self, progress: PlanProgress) -> bool:
        """Return whether this progress has not been announced under the current ballot."""
        follower = self.follower
        other_ballot = follower.committed_revision.ballot != self.register.proposer.ballot
        return other_ballot or progress != follower.committed

    def _announce(self, progress: PlanProgress) -> None:
        """Send the committed progress to all present limiters without a vote."""
        revision = self.register.proposer.last_revision()
        self.follower.commit(revision, progress)
        voters = set(self.register.voter.voters(progress))
        for peer in self.port.present_peers():
            if peer not in voters:
                self.port.send(peer, Commit(revision, progress))

    def _next_progress(self, progress: PlanProgress, now: float) -> PlanProgress:
        """Return the next progress to replicate. It takes effect once a majority holds it."""
        plan = self.adopted.plan
        if plan.version > progress.version:
            return self._progress_of_new_plan(progress)
        if progress.digest != self.adopted.digest:
            # A majority holds another plan of this version, or a newer one that has not arrived here yet.
            return progress
        voters = progress.voters or plan.voters
        if plan.changes_voters(voters):
            return msgspec.structs.replace(progress, voters=next_voters(voters, plan.next_voters))
        next_progress = self.phases.advance(progress, now)
        overdue = self.phases.any_overdue(progress)
        halted = self.halting.halt_reason(progress, overdue, now)
        if halted != next_progress.halted:
            self._log_halt(halted)
            return msgspec.structs.replace(next_progress, halted=halted, resume=plan.resume)
        return next_progress if halted else self._fill_slots(next_progress, now)

    def _progress_of_new_plan(self, progress: PlanProgress) -> PlanProgress:
        """Return the initial progress of a newer plan. Machines that are out stay out."""
        plan = self.adopted.plan
        zone_load = sorted(ZoneLoad(zone, round(load, 1)) for zone, load in self.port.zone_load().items())
        return msgspec.structs.replace(
            progress,
            version=plan.version,
            digest=self.adopted.digest,
            done=0,
            halted="",
            voters=progress.voters or plan.voters,
            resume=plan.resume,
            zone_load=tuple(zone_load),
        )

    def _log_halt(self, halted: str) -> None:
        """Log that the plan is halted or resumed."""
        if halted:
            self.port.log("plan halted", reason=halted)
        else:
            self.port.log("plan resumed", reason="conditions are healthy again")

    def _fill_slots(self, progress: PlanProgress, now: float) -> PlanProgress:
        """Start to drain machines until the plan's bounds are reached."""
        while (next_progress := self.phases.drain_next(progress, now)) != progress:
            progress = next_progress
        return progress
