"""What a maintenance model has: limiters, machines, bounds, faults."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..maintenance import Machine, Plan, Settings
from .planted_faults import RolesOfPlan, sound_roles
from .state import Fault

LEASE_S = 2.0
START_WITHIN_S = 2.0
UNLIMITED = 9  # more than a model has of anything
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
    """Times in whole seconds."""

    voters: int = 3
    max_out: int = 1
    machines: int = 2
    max_out_per_zone: int = UNLIMITED
    zones: int = UNLIMITED
    last_voter_joins: bool = False  # the last voter joins while the plan runs
    faults: Mapping[Fault, int] = field(default_factory=lambda: DEFAULT_FAULTS)  # how many of each kind
    roles: RolesOfPlan = sound_roles  # the register's classes
    # One step of the schedule is all messages and then the clock, so that longer trails are reached; else
    # each message is a step.
    rounds: bool = False
    cut_off: str = ""  # a limiter that is cut off at the start
    single_leader: bool = True  # whether two that may act at once are a violation by themselves
    # A limiter sees that a machine is down only if it knows the machine to be out, as without a server list
    sees_only_machines_out: bool = False
    work_s: int = 2

    def names(self) -> list[str]:
        """The limiters' names."""
        return [f"n{number}" for number in range(self.voters)]

    def plan(self) -> Plan:
        """The plan that all limiters have."""
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
        """The timing of each limiter's maintenance."""
        return Settings(lease_s=LEASE_S, request_timeout_s=0.0, announce_interval_s=0.0)
