"""The leader's state machine of each machine that is out, and the choice of the next machine to drain.

A machine is DRAINING until no limiter sends traffic to it, RELEASED until it went down and came back up, and
WARMING_UP until its slot is free. Times are in seconds.
"""

from __future__ import annotations

from .messages import Phase, PlanProgress
from .ordering import maintenance_order, may_go_out
from .peer_reports import PeerReports
from .plan import AdoptedPlan, Machine
from .ports import MaintenancePort
from .settings import voter_lease_s
from .transitions import completed, returned, start_draining, with_phase

LONG_AGO_S = 1e9  # A time longer than any pause between two machines.


class MachinePhases:
    """The leader's record of each machine's phase.

    Methods that change the progress do so on a copy, which they return for replication.
    """

    def __init__(
        self, adopted: AdoptedPlan, port: MaintenancePort, reports: PeerReports, started_at: float
    ) -> None:
        self.adopted = adopted
        self.port = port
        self.reports = reports
        # By machine: the time at which this leader saw it enter its phase.
        self.phase_since: dict[str, float] = {}
        # By machine: whether it was down since its release.
        self.went_down: dict[str, bool] = {}
        # By machine: whether work on it takes too long. The entry exists once its release was logged.
        self.work_overdue: dict[str, bool] = {}
        self.slot_free_since = started_at - LONG_AGO_S

    def begin_term(self, progress: PlanProgress, now: float) -> None:
        """Discard the observations of an earlier term as leader."""
        self.phase_since = {}
        self.went_down = {}
        self.work_overdue = {}
        self.slot_free_since = now - (0 if progress.machines_out else LONG_AGO_S)

    def any_overdue(self, progress: PlanProgress) -> bool:
        """Return whether work on any machine that is out takes too long."""
        return any(self.work_overdue.get(out.name) for out in progress.machines_out)

    def advance(self, progress: PlanProgress, now: float) -> PlanProgress:
        """Move each machine whose phase is complete to the next phase."""
        next_progress = progress
        for name, phase in progress.machines_out:
            self.phase_since.setdefault(name, now)
            machine = self.adopted.plan.machine(name)
            if machine is None:
                continue
            previous = next_progress
            next_progress = self._advance_machine(previous, machine, phase, now)
            if next_progress != previous:
                self.phase_since.pop(name, None)
                self.went_down.pop(name, None)
        return next_progress

    def _advance_machine(
        self, progress: PlanProgress, machine: Machine, phase: Phase, now: float
    ) -> PlanProgress:
        """Move one machine to its next phase if its current one is complete."""
        if phase is Phase.DRAINING:
            return self._advance_draining(progress, machine, now)
        if phase is Phase.RELEASED:
            return self._advance_released(progress, machine, now)
        return self._advance_warming_up(progress, machine, now)

    def _advance_draining(self, progress: PlanProgress, machine: Machine, now: float) -> PlanProgress:
        """Release a machine once no limiter sends traffic to it; cancel the drain if the plan is halted."""
        name = machine.name
        if progress.halted and self.port.machine_is_up(machine):
            reason = "plan halted before the machine was released"
            self.port.log("machine drain cancelled", machine=name, reason=reason)
            return returned(progress, name)
        if self.reports.all_idle(machine, self.phase_since[name], now):
            return with_phase(progress, name, Phase.RELEASED)
        return progress

    def _advance_released(self, progress: PlanProgress, machine: Machine, now: float) -> PlanProgress:
        """Return a machine to service after work on it, or if no work started in time."""
        name = machine.name
        plan = self.adopted.plan
        is_up = self.port.machine_is_up(machine)
        elapsed_s = now - self.phase_since[name]
        self._log_release(name)
        self.went_down[name] = self.went_down.get(name, False) or not is_up
        if not is_up:
            self._check_overdue(name, elapsed_s)
            return progress
        # A machine that went down and came up may have failed without being worked on, so it stays out as
        # long as an operator may still start to work on it.
        if elapsed_s < voter_lease_s(plan.start_within_s):
            return progress
        if self.went_down[name]:
            self.port.log("machine back in service", machine=name)
            return with_phase(progress, name, Phase.WARMING_UP)
        reason = f"work did not start within {plan.start_within_s:.0f} s"
        self.port.log("machine release expired", machine=name, reason=reason)
        self.work_overdue.pop(name, None)
        return returned(progress, name)

    def _log_release(self, name: str) -> None:
        """Log that a machine may be worked on, once per release."""
        if name in self.work_overdue:
            return
        self.work_overdue[name] = False
        plan = self.adopted.plan
        self.port.log(
            "machine safe to work on",
            machine=name,
            start_within_s=plan.start_within_s,
            work_most_s=plan.max_work_s,
        )

    def _check_overdue(self, name: str, elapsed_s: float) -> None:
        """Mark and log, once per release, that work on a machine takes too long."""
        max_work_s = self.adopted.plan.max_work_s
        if elapsed_s >= max_work_s and not self.work_overdue[name]:
            self.work_overdue[name] = True
            self.port.log("machine work overdue", machine=name, work_most_s=max_work_s)

    def _advance_warming_up(self, progress: PlanProgress, machine: Machine, now: float) -> PlanProgress:
        """Free the slot of a machine whose warm-up is over."""
        name = machine.name
        if now - self.phase_since[name] < self.adopted.plan.warm_up_s:
            return progress
        self.slot_free_since = now
        self.work_overdue.pop(name, None)
        self.port.log("machine work completed", machine=name)
        return completed(self.adopted.plan, progress, name)

    def drain_next(self, progress: PlanProgress, now: float) -> PlanProgress:
        """Start to drain the next machine that the plan's bounds allow to be taken out.

        Returns the progress unchanged if there is none, or if the pause after the last machine is not over.
        """
        plan = self.adopted.plan
        if now - self.slot_free_since < plan.pause_s:
            return progress
        down = frozenset(machine.name for machine in plan.machines if not self.port.machine_is_up(machine))
        unavailable = progress.names_out() | down
        for machine in maintenance_order(plan, dict(progress.zone_load), down):
            name = machine.name
            if progress.done & plan.done_bit(name) or progress.phase(name) is not None:
                continue
            if may_go_out(plan, name, unavailable):
                count_out = len(progress.machines_out) + 1
                self.port.log("machine drain started", machine=name, machines_out=count_out)
                self.phase_since[name] = now  # Only reports received from now on count for this drain.
                return start_draining(progress, name)
        return progress
