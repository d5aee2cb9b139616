"""Whether a plan has to halt, and when it may resume. Times in seconds."""

from __future__ import annotations

from .messages import PlanProgress
from .peer_reports import PeerReports
from .plan import AdoptedPlan
from .ports import MaintenancePort
from .settings import Settings
from .transitions import capacity_shortage, service_degradation


class HaltMonitor:
    """Judges capacity, service and the length of work against the plan's bounds."""

    def __init__(
        self,
        adopted: AdoptedPlan,
        port: MaintenancePort,
        reports: PeerReports,
        settings: Settings,
        started_at: float,
    ) -> None:
        self.adopted = adopted
        self.port = port
        self.reports = reports
        self.settings = settings
        self.last_unhealthy_at = started_at

    def begin_term(self, now: float) -> None:
        """This limiter begins to lead: a halted plan has to be healthy from now on."""
        self.last_unhealthy_at = now

    def halt_reason(self, progress: PlanProgress, work_overdue: bool, now: float) -> str:
        """Why the plan has to stay halted or to halt now, "" where it may run (PlanProgress.halted)."""
        reason = self._current_reason(progress, work_overdue, now)
        if reason is not None:
            self.last_unhealthy_at = now
            # The first reason stays while any holds: its figures would change with each look.
            return progress.halted or reason
        if self.adopted.plan.resume > progress.resume:
            return ""
        if now - self.last_unhealthy_at >= self.settings.healthy_before_resume_s:
            return ""
        return progress.halted

    def _current_reason(self, progress: PlanProgress, work_overdue: bool, now: float) -> str | None:
        """What stands against running the plan just now."""
        plan = self.adopted.plan
        down = {machine.name for machine in plan.machines if not self.port.machine_is_up(machine)}
        shortage = capacity_shortage(plan, progress, down - progress.names_out())
        if shortage is not None:
            return shortage
        if work_overdue:
            return "work on a machine takes longer than the plan allows"
        traffic = self.reports.fleet_traffic(now)
        return service_degradation(plan, traffic, self.settings.min_judged_requests)
