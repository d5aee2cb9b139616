"""The part of maintenance that every limiter performs: it withholds traffic from machines that are out."""

from __future__ import annotations

from .messages import NO_REVISION, Phase, PlanProgress, Revision
from .plan import AdoptedPlan
from .ports import MachinePort

PHASES_WITHOUT_TRAFFIC = (Phase.DRAINING, Phase.RELEASED)


class Follower:
    """The newest progress known to be committed, and the machines from which traffic is withheld.

    Progress may arrive before its plan. The servers of its machines are known only once the plan arrives.
    """

    def __init__(self, port: MachinePort) -> None:
        self.port = port
        self.adopted: AdoptedPlan | None = None
        self.committed_revision = NO_REVISION
        self.committed = PlanProgress()
        self.withheld: tuple[str, ...] = ()  # The machines of the plan from which traffic is withheld.

    def commit(self, revision: Revision, progress: PlanProgress) -> None:
        """Record a progress that a majority holds, and withhold traffic accordingly."""
        self.committed_revision = revision
        self.committed = progress
        self.withhold_traffic(progress)

    def withhold_traffic(self, progress: PlanProgress) -> None:
        """Stop sending traffic to machines that are draining or released according to this progress.

        The progress need not be committed: stopping too early is harmless.
        """
        withheld = tuple(
            out.name
            for out in progress.machines_out
            if out.phase in PHASES_WITHOUT_TRAFFIC and self.adopted and self.adopted.plan.machine(out.name)
        )
        if withheld != self.withheld:
            self.withheld = withheld
            self.port.withhold_traffic(withheld)

    def idle_machines(self) -> tuple[str, ...]:
        """Return the withheld machines to which this limiter has no attempt in flight."""
        if self.adopted is None:
            return ()
        machines = [self.adopted.plan.machine(name) for name in self.withheld]
        return tuple(
            machine.name for machine in machines if machine is not None and self.port.machine_is_idle(machine)
        )
