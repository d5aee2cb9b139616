"""The order in which machines are taken out, and the bounds on machines that are out at the same time.

All functions are pure functions of a plan.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from .plan import Machine, Plan

CAPACITY_TOLERANCE = 1e-9  # Tolerance for rounding errors in sums of capacities; also the smallest divisor.


def maintenance_order(plan: Plan, zone_load: Mapping[str, float], down: Collection[str]) -> list[Machine]:
    """Return all machines in the order in which they are taken out.

    The order is deterministic for the same plan, load and failures. Machines that are already down come
    first, because taking them out costs no further capacity. Then zones alternate, starting with the zone of
    the lowest load per unit of capacity, so that machines that return cold are in different zones. Within a
    zone the smallest machine comes first, so that a mistake affects little capacity. Machines with a limiter
    come last, because limiters carry out the plan.
    """
    zones = _zones_by_load(plan, zone_load)
    failed = [machine for machine in plan.machines if machine.name in down]
    running = [machine for machine in plan.machines if machine.name not in down]
    servers_only = [machine for machine in running if not machine.limiter]
    with_limiter = [machine for machine in running if machine.limiter]
    return [
        *_alternate_zones(failed, zones),
        *_alternate_zones(servers_only, zones),
        *_alternate_zones(with_limiter, zones),
    ]


def _zones_by_load(plan: Plan, zone_load: Mapping[str, float]) -> list[str]:
    """Return the plan's zones in ascending order of load per unit of capacity."""
    capacity: dict[str, float] = {}
    for machine in plan.machines:
        capacity[machine.zone] = capacity.get(machine.zone, 0.0) + machine.capacity
    return sorted(
        capacity, key=lambda zone: (zone_load.get(zone, 0.0) / max(capacity[zone], CAPACITY_TOLERANCE), zone)
    )


def _alternate_zones(machines: Sequence[Machine], zones: Sequence[str]) -> list[Machine]:
    """Return the machines with zones alternating in the given order, each zone's smallest machine first."""
    machines_by_zone = [
        sorted(
            (machine for machine in machines if machine.zone == zone),
            key=lambda machine: (machine.capacity, machine.name),
        )
        for zone in zones
    ]
    max_length = max(map(len, machines_by_zone), default=0)
    return [
        zone_machines[position]
        for position in range(max_length)
        for zone_machines in machines_by_zone
        if position < len(zone_machines)
    ]


def may_go_out(plan: Plan, name: str, unavailable: Collection[str]) -> bool:
    """Return whether the plan's bounds allow a machine to be taken out.

    `unavailable` has the names of the machines that are out or down.
    """
    machine = plan.machine(name)
    if machine is None:
        return False
    others = [other for other in plan.machines if other.name in unavailable and other.name != name]
    if len(others) + 1 > plan.max_out:
        return False
    if sum(other.zone == machine.zone for other in others) + 1 > plan.max_out_per_zone:
        return False
    total = plan.total_capacity()
    remaining = total - machine.capacity - sum(other.capacity for other in others)
    return remaining >= plan.min_capacity_share * total - CAPACITY_TOLERANCE
