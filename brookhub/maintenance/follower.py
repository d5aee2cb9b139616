"""Every limiter's part: it knows the committed progress, and withholds traffic from machines that are out."""

from __future__ import annotations

from .messages import NO_REVISION, Phase, PlanProgress, Revision
from .plan import AdoptedPlan
from .ports import MachinePort

PHASES_WITHOUT_TRAFFIC = (Phase.DRAINING, Phase.RELEASED)


class Follower:
    """The newest progress that is known to be committed, and the machines that get no traffic.

    A value may arrive before its plan; which servers its machines have is known only with that.
    """

    def __init__(self, port: MachinePort) -> None:
        self.port = port
        self.adopted: AdoptedPlan | None = None
        self.committed_revision = NO_REVISION
        self.committed = PlanProgress()
        self.withheld: tuple[str, ...] = ()  # machines of the plan that get no traffic

    def commit(self, revision: Revision, progress: PlanProgress) -> None:
        """A majority holds this progress."""
        self.committed_revision = revision
        self.committed = progress
        self.withhold_traffic(progress)

    def withhold_traffic(self, progress: PlanProgress) -> None:
        """Send nothing to machines that are out by this progress.

        It need not be committed: to stop sending too early does no harm.
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
        """The withheld machines to which this limiter has no attempt in flight."""
        if self.adopted is None:
            return ()
        machines = [self.adopted.plan.machine(name) for name in self.withheld]
        return tuple(
            machine.name for machine in machines if machine is not None and self.port.machine_is_idle(machine)
        )
