"""The conditions under which a plan halts and resumes. Times in seconds."""

from __future__ import annotations

from .messages import PlanProgress
from .peer_reports import PeerReports
from .plan import AdoptedPlan
from .ports import MaintenancePort
from .settings import Settings
from .transitions import capacity_shortage, service_degradation


class HaltMonitor:
    """The check of capacity, service and the duration of work against the plan's bounds."""

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
        """Restart the healthy period that a halted plan needs before it resumes; called for a new leader."""
        self.last_unhealthy_at = now

    def halt_reason(self, progress: PlanProgress, work_overdue: bool, now: float) -> str:
        """Return the reason to halt the plan or to keep it halted, "" if it may run (PlanProgress.halted)."""
        reason = self._current_reason(progress, work_overdue, now)
        if reason is not None:
            self.last_unhealthy_at = now
            # Keep the first reason while any reason applies: its figures would change with each check.
            return progress.halted or reason
        if self.adopted.plan.resume > progress.resume:
            return ""
        if now - self.last_unhealthy_at >= self.settings.healthy_before_resume_s:
            return ""
        return progress.halted

    def _current_reason(self, progress: PlanProgress, work_overdue: bool, now: float) -> str | None:
        """Return the first condition that currently prevents the plan from running, None if there is none."""
        plan = self.adopted.plan
        down = {machine.name for machine in plan.machines if not self.port.machine_is_up(machine)}
        shortage = capacity_shortage(plan, progress, down - progress.names_out())
        if shortage is not None:
            return shortage
        if work_overdue:
            return "work on a machine takes longer than the plan allows"
        traffic = self.reports.fleet_traffic(now)
        return service_degradation(plan, traffic, self.settings.min_judged_requests)
