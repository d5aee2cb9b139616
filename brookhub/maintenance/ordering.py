"""The order in which machines go out, and which may be out together. Pure functions of a plan."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from .plan import Machine, Plan

ROUNDING = 1e-9  # capacity that rounded sums may lack


def maintenance_order(plan: Plan, zone_load: Mapping[str, float], down: Collection[str]) -> list[Machine]:
    """All machines in the order in which they go out; the same for the same plan, load and failures.

    Machines that are down already come first: they cost no further capacity. Then zones alternate, the one
    with the least load per unit of capacity first, so that machines that return cold lie in different zones;
    within a zone the smallest machine comes first, so that a mistake stays small. Machines with a limiter
    come last, as limiters carry the plan out.
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
    """The plan's zones, the one with the least load per unit of capacity first."""
    capacity: dict[str, float] = {}
    for machine in plan.machines:
        capacity[machine.zone] = capacity.get(machine.zone, 0.0) + machine.capacity
    return sorted(capacity, key=lambda zone: (zone_load.get(zone, 0.0) / max(capacity[zone], ROUNDING), zone))


def _alternate_zones(machines: Sequence[Machine], zones: Sequence[str]) -> list[Machine]:
    """The machines with zones alternating in the given order, the smallest of each zone first."""
    rows = [
        sorted(
            (machine for machine in machines if machine.zone == zone),
            key=lambda machine: (machine.capacity, machine.name),
        )
        for zone in zones
    ]
    longest = max(map(len, rows), default=0)
    return [row[position] for position in range(longest) for row in rows if position < len(row)]


def may_go_out(plan: Plan, name: str, unavailable: Collection[str]) -> bool:
    """Whether the plan's bounds let a machine go out beside those that are out or down."""
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
    return remaining >= plan.min_capacity_share * total - ROUNDING
