"""The operator's plan: which machines are taken out of service, how many at once, and within which bounds.

Times are in seconds. Capacity is in a unit of the operator's choice, the same for all machines (cores, or
requests per second). Fields are encoded by position: their order is part of the wire format and of the
digest.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256

import msgspec

# Number of hexadecimal digits of a plan's digest: enough to distinguish the plans of one site, and few enough
# to be read aloud.
DIGEST_DIGITS = 12


class Machine(msgspec.Struct, frozen=True, array_like=True):
    """A machine that runs servers, a limiter, or both.

    `servers` has the names under which discovery lists the servers; `limiter` is "" for none.
    """

    name: str
    zone: str = ""
    capacity: float = 1.0
    servers: tuple[str, ...] = ()
    limiter: str = ""


class Plan(msgspec.Struct, frozen=True, array_like=True):
    """The operator's decisions for one maintenance run.

    `voters` are the limiters of which a majority must agree before a machine is released for work.
    """

    version: int
    machines: tuple[Machine, ...]
    voters: tuple[str, ...]
    max_out: int = 1
    max_out_per_zone: int = 1
    min_capacity_share: float = 0.5  # Minimum share of the total capacity that must stay in service.
    min_served_share: float = 0.0  # The plan halts if the fleet serves a smaller share of its requests.
    max_response_s: float = 0.0  # The plan halts if the mean response time is longer; 0 disables the check.
    max_work_s: float = 3600.0  # The plan halts if work on a machine takes longer.
    # Seconds after its release within which a machine has to disappear from discovery's list.
    start_within_s: float = 60.0
    warm_up_s: float = 30.0  # Seconds from a machine's return to service until its slot is free.
    pause_s: float = 5.0  # Seconds between a slot becoming free and the drain of the next machine.
    next_voters: tuple[str, ...] = ()  # The voters to change to while the plan runs; (): no change.
    resume: int = 0  # The operator increments it to resume a halted plan at once.

    def digest(self) -> str:
        """Return a short hash of the whole plan."""
        return sha256(msgspec.msgpack.encode(self)).hexdigest()[:DIGEST_DIGITS]

    def machine(self, name: str) -> Machine | None:
        """Return the machine of the given name, None if the plan has none."""
        return next((machine for machine in self.machines if machine.name == name), None)

    def done_bit(self, name: str) -> int:
        """Return the bit of a machine of this plan in PlanProgress.done."""
        return 1 << [machine.name for machine in self.machines].index(name)

    def all_done(self) -> int:
        """Return the value of PlanProgress.done when all machines are done."""
        return (1 << len(self.machines)) - 1

    def total_capacity(self) -> float:
        """Return the sum of all machines' capacities."""
        return sum(machine.capacity for machine in self.machines)

    def changes_voters(self, voters: tuple[str, ...]) -> bool:
        """Return whether the plan requests a set of voters that differs from the given one."""
        return bool(self.next_voters) and set(self.next_voters) != set(voters)


@dataclass
class AdoptedPlan:
    """The plan that a limiter currently acts on. Both fields are replaced in place by a newer version."""

    plan: Plan
    digest: str
