"""Transitions of a plan's progress, and reasons to halt it.

All functions are pure functions of the plan, its progress and measured traffic.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from .messages import MachineOut, Phase, PlanProgress, TrafficSample
from .ordering import CAPACITY_TOLERANCE
from .plan import Plan


def total_traffic(samples: Iterable[TrafficSample]) -> TrafficSample:
    """Return the sum of several limiters' traffic."""
    requests = 0.0
    served = 0.0
    served_seconds = 0.0
    for sample in samples:
        requests += sample.requests
        served += sample.served
        served_seconds += sample.served_seconds
    return TrafficSample(requests, served, served_seconds)


def next_voters(current: tuple[str, ...], target: tuple[str, ...]) -> tuple[str, ...]:
    """Return the voters after one step from `current` towards `target`, which must differ as a set.

    Only one voter is added or removed at a time, so that any majority before the step has a voter in common
    with any majority after it.
    """
    added = [name for name in target if name not in current]
    if added:
        return (*current, added[0])
    removed = [name for name in current if name not in target]
    return tuple(name for name in current if name != removed[0])


def start_draining(progress: PlanProgress, machine: str) -> PlanProgress:
    """Return the progress with one more machine out, in the phase DRAINING."""
    machines_out = (*progress.machines_out, MachineOut(machine, Phase.DRAINING))
    return msgspec.structs.replace(progress, machines_out=machines_out)


def with_phase(progress: PlanProgress, machine: str, phase: Phase) -> PlanProgress:
    """Return the progress with another phase of a machine that is out."""
    machines_out = tuple(
        MachineOut(out.name, phase) if out.name == machine else out for out in progress.machines_out
    )
    return msgspec.structs.replace(progress, machines_out=machines_out)


def returned(progress: PlanProgress, machine: str) -> PlanProgress:
    """Return the progress with a machine no longer out; its work is not marked as done."""
    machines_out = tuple(out for out in progress.machines_out if out.name != machine)
    return msgspec.structs.replace(progress, machines_out=machines_out)


def completed(plan: Plan, progress: PlanProgress, machine: str) -> PlanProgress:
    """Return the progress with a machine no longer out; its work is marked as done."""
    done = progress.done | plan.done_bit(machine)
    return msgspec.structs.replace(returned(progress, machine), done=done)


def capacity_shortage(plan: Plan, progress: PlanProgress, failed: Collection[str]) -> str | None:
    """Describe a shortage of capacity in service, None if there is enough.

    `failed` has the machines that are down without being taken out by the plan.
    """
    total = plan.total_capacity()
    unavailable = sum(
        machine.capacity
        for machine in plan.machines
        if machine.name in failed or progress.phase(machine.name) is not None
    )
    remaining = total - unavailable
    required = plan.min_capacity_share * total
    if remaining < required - CAPACITY_TOLERANCE:
        return f"capacity in service is {remaining:g} of {total:g}, required are {required:g}"
    return None


def service_degradation(plan: Plan, traffic: TrafficSample, min_requests: float) -> str | None:
    """Describe how service misses the plan's bounds.

    Returns None if service is good or if the sample has fewer than `min_requests` requests.
    """
    too_few_served = traffic.served < plan.min_served_share * traffic.requests
    if traffic.requests >= min_requests and too_few_served:
        share = traffic.served / traffic.requests
        return f"served share of requests is {share:.3f}, required are {plan.min_served_share:g}"
    if not plan.max_response_s or traffic.served < min_requests:
        return None
    if traffic.served_seconds > plan.max_response_s * traffic.served:
        mean = traffic.served_seconds / traffic.served
        return f"mean response time is {mean:.2f} s, allowed are {plan.max_response_s:g} s"
    return None
