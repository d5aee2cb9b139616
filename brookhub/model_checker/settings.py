"""Settings of a maintenance model: its limiters, machines, bounds and faults."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..maintenance import Machine, Plan, Settings
from .planted_faults import RolesFactory, sound_roles
from .state import Fault

LEASE_S = 2.0
START_WITHIN_S = 2.0
UNLIMITED = 9  # Larger than the number of machines and zones of any model.
DEFAULT_FAULTS: Mapping[Fault, int] = {
    Fault.CRASH: 1,
    Fault.STALL: 1,
    Fault.CUT: 1,
    Fault.MUTE: 1,
    Fault.SPLIT: 1,
    Fault.DELAY: 2,
    Fault.DUPLICATE: 1,
    Fault.SLOW_WORKER: 2,
    Fault.MACHINE_FAILURE: 1,
}


@dataclass(frozen=True)
class ModelSettings:
    """Settings of a maintenance model. Times are in whole seconds."""

    voters: int = 3
    max_out: int = 1
    machines: int = 2
    max_out_per_zone: int = UNLIMITED
    zones: int = UNLIMITED
    last_voter_joins: bool = False  # Whether the last voter joins while the plan runs.
    faults: Mapping[Fault, int] = field(default_factory=lambda: DEFAULT_FAULTS)  # Number of faults by kind.
    roles: RolesFactory = sound_roles  # Factory of the register's roles.
    # If true, one default step delivers all messages and then advances the clock, so that the search reaches
    # longer trails. If false, each message is a step.
    rounds: bool = False
    cut_off: str = ""  # The limiter that is cut off at the start, "" for none.
    single_leader: bool = True  # Whether two limiters that may act as leader at once are a violation.
    # Whether a limiter sees that a machine is down only if it knows that the machine is out, as without a
    # server list.
    sees_only_machines_out: bool = False
    work_s: int = 2

    def names(self) -> list[str]:
        """Return the limiters' names."""
        return [f"n{number}" for number in range(self.voters)]

    def plan(self) -> Plan:
        """Return the plan that all limiters have."""
        names = self.names()
        machines = tuple(
            Machine(f"m{number}", zone=f"z{number % self.zones}") for number in range(self.machines)
        )
        return Plan(
            1,
            machines,
            tuple(names[:-1] if self.last_voter_joins else names),
            max_out=self.max_out,
            max_out_per_zone=self.max_out_per_zone,
            min_capacity_share=0.0,
            start_within_s=START_WITHIN_S,
            warm_up_s=0.0,
            pause_s=0.0,
            max_work_s=50.0,
            next_voters=tuple(names) if self.last_voter_joins else (),
        )

    def core_settings(self) -> Settings:
        """Return the timing settings of each limiter's maintenance."""
        return Settings(lease_s=LEASE_S, request_timeout_s=0.0, announce_interval_s=0.0)
