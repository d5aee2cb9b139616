"""The components of a limiter that has a plan: its register, candidacy and leadership."""

from __future__ import annotations

from .candidacy import Candidacy
from .follower import Follower
from .halting import HaltMonitor
from .leader import Leader, is_finished
from .machine_phases import MachinePhases
from .messages import PlanProgress
from .peer_reports import PeerReports
from .plan import AdoptedPlan
from .ports import MaintenancePort
from .register import Register
from .settings import Settings


class PlanMember:
    """A limiter's participation in a plan. All its components share one AdoptedPlan."""

    def __init__(
        self,
        adopted: AdoptedPlan,
        port: MaintenancePort,
        register: Register,
        follower: Follower,
        reports: PeerReports,
        settings: Settings,
    ) -> None:
        started_at = port.now()
        self.adopted = adopted
        self.register = register
        self.reports = reports
        self.phases = MachinePhases(adopted, port, reports, started_at)
        self.halting = HaltMonitor(adopted, port, reports, settings, started_at)
        self.leader = Leader(adopted, port, register, follower, self.phases, self.halting)
        self.candidacy = Candidacy(port, register, settings)

    def tick(self, now: float) -> None:
        """Act as leader, or campaign if the plan has no leader; called periodically."""
        self.register.tick(now)
        if self.register.proposer.is_leader:
            self.reports.note_present_peers(now)
            self.leader.tick(now)
            return
        self.leader.end_term()
        voter = self.register.voter
        if not voter.abstains and voter.has_vote() and not self.is_finished(voter.value):
            self.candidacy.tick(now)

    def is_finished(self, progress: PlanProgress) -> bool:
        """Return whether the plan is finished at this progress."""
        return is_finished(self.adopted, progress)
