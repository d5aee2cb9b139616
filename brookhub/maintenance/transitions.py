"""Changes of a plan's progress and reasons to halt: pure functions of the plan, its progress and figures."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from .messages import MachineOut, Phase, PlanProgress, TrafficSample
from .ordering import ROUNDING
from .plan import Plan


def total_traffic(samples: Iterable[TrafficSample]) -> TrafficSample:
    """The traffic of several limiters together."""
    requests = 0.0
    served = 0.0
    served_seconds = 0.0
    for sample in samples:
        requests += sample.requests
        served += sample.served
        served_seconds += sample.served_seconds
    return TrafficSample(requests, served, served_seconds)


def next_voters(current: tuple[str, ...], target: tuple[str, ...]) -> tuple[str, ...]:
    """The voters one step nearer to `target`, which differs from `current` as a set.

    One voter is added or removed at a time, so any majority before shares a voter with any majority after.
    """
    added = [name for name in target if name not in current]
    if added:
        return (*current, added[0])
    removed = [name for name in current if name not in target]
    return tuple(name for name in current if name != removed[0])


def start_draining(progress: PlanProgress, machine: str) -> PlanProgress:
    """The progress with one more machine out."""
    machines_out = (*progress.machines_out, MachineOut(machine, Phase.DRAINING))
    return msgspec.structs.replace(progress, machines_out=machines_out)


def with_phase(progress: PlanProgress, machine: str, phase: Phase) -> PlanProgress:
    """The progress with a machine that is out in another phase."""
    machines_out = tuple(
        MachineOut(out.name, phase) if out.name == machine else out for out in progress.machines_out
    )
    return msgspec.structs.replace(progress, machines_out=machines_out)


def returned(progress: PlanProgress, machine: str) -> PlanProgress:
    """The progress with a machine no longer out, its work not done."""
    machines_out = tuple(out for out in progress.machines_out if out.name != machine)
    return msgspec.structs.replace(progress, machines_out=machines_out)


def completed(plan: Plan, progress: PlanProgress, machine: str) -> PlanProgress:
    """The progress with a machine no longer out, its work done."""
    done = progress.done | plan.done_bit(machine)
    return msgspec.structs.replace(returned(progress, machine), done=done)


def capacity_shortage(plan: Plan, progress: PlanProgress, failed: Collection[str]) -> str | None:
    """Why too little capacity is in service, None where enough is. `failed`: machines down on their own."""
    total = plan.total_capacity()
    unavailable = sum(
        machine.capacity
        for machine in plan.machines
        if machine.name in failed or progress.phase(machine.name) is not None
    )
    remaining = total - unavailable
    required = plan.min_capacity_share * total
    if remaining < required - ROUNDING:
        return f"capacity in service is {remaining:g} of {total:g}, required are {required:g}"
    return None


def service_degradation(plan: Plan, traffic: TrafficSample, min_requests: float) -> str | None:
    """Why service is too bad, None where it is good or the requests are too few to tell."""
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
