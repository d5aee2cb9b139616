"""The leader's view of each machine that is out: when it moves to the next phase, and which goes out next.

A machine is DRAINING until no limiter sends to it, RELEASED until it went down and came back, WARMING_UP
until its slot is free. Times in seconds.
"""

from __future__ import annotations

from .messages import Phase, PlanProgress
from .ordering import maintenance_order, may_go_out
from .peer_reports import PeerReports
from .plan import AdoptedPlan, Machine
from .ports import MaintenancePort
from .settings import voter_lease_s
from .transitions import completed, returned, start_draining, with_phase

LONG_AGO_S = 1e9  # further back than any pause


class MachinePhases:
    """Moves machines through their phases. Each method returns the progress that is to be replicated next."""

    def __init__(
        self, adopted: AdoptedPlan, port: MaintenancePort, reports: PeerReports, started_at: float
    ) -> None:
        self.adopted = adopted
        self.port = port
        self.reports = reports
        self.phase_since: dict[str, float] = {}  # when this leader saw the machine enter its phase
        self.went_down: dict[str, bool] = {}  # whether the machine was down since it was released
        # Whether work takes too long; a machine has an entry from the moment that its release is logged.
        self.work_overdue: dict[str, bool] = {}
        self.slot_free_since = started_at - LONG_AGO_S

    def begin_term(self, progress: PlanProgress, now: float) -> None:
        """This limiter begins to lead: what it saw in an earlier term counts no more."""
        self.phase_since = {}
        self.went_down = {}
        self.work_overdue = {}
        self.slot_free_since = now - (0 if progress.machines_out else LONG_AGO_S)

    def any_overdue(self, progress: PlanProgress) -> bool:
        """Whether work on any machine that is out takes too long."""
        return any(self.work_overdue.get(out.name) for out in progress.machines_out)

    def advance(self, progress: PlanProgress, now: float) -> PlanProgress:
        """Move each machine that is out to its next phase, where it is time."""
        following = progress
        for name, phase in progress.machines_out:
            self.phase_since.setdefault(name, now)
            machine = self.adopted.plan.machine(name)
            if machine is None:
                continue
            before = following
            following = self._advance_machine(before, machine, phase, now)
            if following != before:
                self.phase_since.pop(name, None)
                self.went_down.pop(name, None)
        return following

    def _advance_machine(
        self, progress: PlanProgress, machine: Machine, phase: Phase, now: float
    ) -> PlanProgress:
        """Move one machine to its next phase, where it is time."""
        if phase is Phase.DRAINING:
            return self._advance_draining(progress, machine, now)
        if phase is Phase.RELEASED:
            return self._advance_released(progress, machine, now)
        return self._advance_warming_up(progress, machine, now)

    def _advance_draining(self, progress: PlanProgress, machine: Machine, now: float) -> PlanProgress:
        """Release a machine once no limiter sends to it; put it back where the plan is halted."""
        name = machine.name
        if progress.halted and self.port.machine_is_up(machine):
            reason = "plan halted before the machine was released"
            self.port.log("machine drain cancelled", machine=name, reason=reason)
            return returned(progress, name)
        if self.reports.all_idle(machine, self.phase_since[name], now):
            return with_phase(progress, name, Phase.RELEASED)
        return progress

    def _advance_released(self, progress: PlanProgress, machine: Machine, now: float) -> PlanProgress:
        """Take a machine back that went down and came up, or that nobody worked on in time."""
        name = machine.name
        plan = self.adopted.plan
        is_up = self.port.machine_is_up(machine)
        waited = now - self.phase_since[name]
        self._log_release(name)
        self.went_down[name] = self.went_down.get(name, False) or not is_up
        if not is_up:
            self._check_overdue(name, waited)
            return progress
        # Down and up again may also have been a failure of its own: as long as somebody may still start to
        # work on the machine it stays out.
        if waited < voter_lease_s(plan.start_within_s):
            return progress
        if self.went_down[name]:
            self.port.log("machine back in service", machine=name)
            return with_phase(progress, name, Phase.WARMING_UP)
        reason = f"work did not start within {plan.start_within_s:.0f} s"
        self.port.log("machine release expired", machine=name, reason=reason)
        self.work_overdue.pop(name, None)
        return returned(progress, name)

    def _log_release(self, name: str) -> None:
        """Log once that a machine may be worked on."""
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

    def _check_overdue(self, name: str, waited: float) -> None:
        """Log once that work on a machine takes too long."""
        max_work_s = self.adopted.plan.max_work_s
        if waited >= max_work_s and not self.work_overdue[name]:
            self.work_overdue[name] = True
            self.port.log("machine work overdue", machine=name, work_most_s=max_work_s)

    def _advance_warming_up(self, progress: PlanProgress, machine: Machine, now: float) -> PlanProgress:
        """Free the slot of a machine that has warmed up."""
        name = machine.name
        if now - self.phase_since[name] < self.adopted.plan.warm_up_s:
            return progress
        self.slot_free_since = now
        self.work_overdue.pop(name, None)
        self.port.log("machine work completed", machine=name)
        return completed(self.adopted.plan, progress, name)

    def drain_next(self, progress: PlanProgress, now: float) -> PlanProgress:
        """Let the next machine go out, where the plan's bounds allow it; else the same progress."""
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
                out = len(progress.machines_out) + 1
                self.port.log("machine drain started", machine=name, machines_out=out)
                self.phase_since[name] = now  # only reports from now on count for this drain
                return start_draining(progress, name)
        return progress
