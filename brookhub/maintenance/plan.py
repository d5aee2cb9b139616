"""The operator's plan: which machines are to be taken out for work, how many at once, in which order. No I/O.

Times in s; capacity in the operator's own unit, the same for all machines (cores, or calls a second).
"""

from __future__ import annotations

from hashlib import sha256

import msgspec

# Of a plan's digest: hexadecimal, enough to tell the plans of one site apart and to be read aloud
DIGITS = 12


class Machine(msgspec.Struct, frozen=True, array_like=True):
    """A machine.

    The servers on it (names as discovery lists them), the limiter on it ("" for none), or both.
    """

    name: str
    zone: str = ""
    capacity: float = 1.0
    servers: tuple[str, ...] = ()
    limiter: str = ""


class Plan(msgspec.Struct, frozen=True, array_like=True):
    """Everything that the operator settles.

    `voters`: the limiters whose majority permits (few, on machines apart).
    """

    version: int
    machines: tuple[Machine, ...]
    voters: tuple[str, ...]
    most_out: int = 1
    most_zone: int = 1
    capacity_least: float = 0.5  # share of all capacity that must stay
    served_least: float = 0.0  # share of the fleet's API calls that must be served, else the plan halts
    answer_most_s: float = 0.0  # s that an answer may take in the mean, else it halts; 0: not looked at
    work_most_s: float = 3600.0  # s that work may take, else it halts and says so
    # Seconds from "safe to work" by which the machine has to be gone from discovery's list
    start_within_s: float = 60.0
    fill_s: float = 30.0  # s that one that came back is filled before its slot is free
    pause_s: float = 5.0  # s between a slot's end and the next permit
    voters_next: tuple[
        str, ...
    ] = ()  # who is to vote instead, changed by the leader once the plan runs; (): the same
    resume: int = 0  # raised by the operator to go on after a halt

    def digest(self) -> str:
        """A short name of all that the plan says."""
        return sha256(msgspec.msgpack.encode(self)).hexdigest()[:DIGITS]

    def machine(self, name: str) -> Machine | None:
        """A machine by its name."""
        return next((one for one in self.machines if one.name == name), None)

    def everything(self) -> int:
        """The bits of all machines, as a table's `done` counts them."""
        return (1 << len(self.machines)) - 1


def order(plan: Plan, load: dict[str, float], down: frozenset[str]) -> list[Machine]:
    """The order of all machines, the same for the same plan, load (by zone) and failures.

    Machines that are down already come first: they cost nothing more. Then zones take turns, the one with the
    least load a unit of capacity first, so that those that return cold lie in different zones; in a zone the
    smallest machine first, so that what goes wrong goes wrong small. Limiters' own machines go last: while
    they work they carry the plan.
    """
    room: dict[str, float] = {}
    for one in plan.machines:
        room[one.zone] = room.get(one.zone, 0.0) + one.capacity
    zones = sorted(room, key=lambda zone: (load.get(zone, 0.0) / max(room[zone], 1e-9), zone))

    def lane(of: list[Machine]) -> list[Machine]:
        rows = [
            sorted((one for one in of if one.zone == zone), key=lambda one: (one.capacity, one.name))
            for zone in zones
        ]
        return [row[at] for at in range(max(map(len, rows), default=0)) for row in rows if at < len(row)]

    first = [one for one in plan.machines if one.name in down]
    rest = [one for one in plan.machines if one.name not in down]
    return (
        lane(first)
        + lane([one for one in rest if not one.limiter])
        + lane([one for one in rest if one.limiter])
    )


def fits(plan: Plan, name: str, away: set[str]) -> bool:
    """Whether this machine may go out beside those that are away (permitted, or down by themselves)."""
    machine = plan.machine(name)
    if machine is None:
        return False
    others = [one for one in plan.machines if one.name in away and one.name != name]
    if (
        len(others) + 1 > plan.most_out
        or sum(one.zone == machine.zone for one in others) + 1 > plan.most_zone
    ):
        return False
    total = sum(one.capacity for one in plan.machines)
    return (
        total - machine.capacity - sum(one.capacity for one in others) >= plan.capacity_least * total - 1e-9
    )
