"""The operator's plan: which machines are taken out for work, how many at once, within which bounds. No I/O.

Times in seconds; capacity in the operator's own unit, the same for all machines (cores, or requests a
second). The fields are sent by position: their order is part of the wire format and of the digest.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256

import msgspec

# Hexadecimal digits of a plan's digest: enough to tell the plans of one site apart and to be read aloud
DIGEST_DIGITS = 12


class Machine(msgspec.Struct, frozen=True, array_like=True):
    """A machine with servers on it (names as discovery lists them), a limiter ("" for none), or both."""

    name: str
    zone: str = ""
    capacity: float = 1.0
    servers: tuple[str, ...] = ()
    limiter: str = ""


class Plan(msgspec.Struct, frozen=True, array_like=True):
    """Everything that the operator decides. `voters`: the limiters whose majority permits work."""

    version: int
    machines: tuple[Machine, ...]
    voters: tuple[str, ...]
    max_out: int = 1
    max_out_per_zone: int = 1
    min_capacity_share: float = 0.5  # of all capacity, which must stay in service
    min_served_share: float = 0.0  # of the fleet's requests, below which the plan halts
    max_response_s: float = 0.0  # mean response time above which the plan halts; 0: not checked
    max_work_s: float = 3600.0  # that work on a machine may take, before the plan halts
    # From the release of a machine until it has to be gone from discovery's list
    start_within_s: float = 60.0
    warm_up_s: float = 30.0  # from a machine's return until its slot is free
    pause_s: float = 5.0  # between a free slot and the next machine
    next_voters: tuple[str, ...] = ()  # who votes once the plan runs; (): the same
    resume: int = 0  # raised by the operator to resume a halted plan at once

    def digest(self) -> str:
        """A short hash of the whole plan."""
        return sha256(msgspec.msgpack.encode(self)).hexdigest()[:DIGEST_DIGITS]

    def machine(self, name: str) -> Machine | None:
        """A machine by its name, None where the plan has none of that name."""
        return next((machine for machine in self.machines if machine.name == name), None)

    def done_bit(self, name: str) -> int:
        """The bit of a machine of this plan in PlanProgress.done."""
        return 1 << [machine.name for machine in self.machines].index(name)

    def all_done(self) -> int:
        """PlanProgress.done with the bits of all machines."""
        return (1 << len(self.machines)) - 1

    def total_capacity(self) -> float:
        """The capacity of all machines together."""
        return sum(machine.capacity for machine in self.machines)

    def changes_voters(self, voters: tuple[str, ...]) -> bool:
        """Whether the plan asks for another set of voters than these."""
        return bool(self.next_voters) and set(self.next_voters) != set(voters)


@dataclass
class AdoptedPlan:
    """The plan that a limiter acts on. A newer version replaces both fields in place."""

    plan: Plan
    digest: str
