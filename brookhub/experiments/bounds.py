"""The stated bounds of quotas that limiters share (docs/membership.md, "Bounds"), to compare runs with."""

from __future__ import annotations

from ..config.models import Experiment, PlanSpec

UNCOUNTED_FACTOR = 1.5  # times its share of the rate that a limiter admits without the counter's answer
MAX_UNITS = 1.0  # units of the largest request


def quota_bound(plan: PlanSpec, seconds: float, silent: float, limiters: int, excess: float = 0.0) -> float:
    """The maximum of units that a customer gets in `seconds`, of which the counter is silent for `silent`.

    r T + 2 b + N u with the counter's answers; while it is silent 1.5 (1 + e) r instead of r, and 1.5 (1 + e)
    b and 2 N u once more. `excess` e: by how much the shares of all running limiters exceed one. It is 0
    unless members left and returned unnoticed, and 1 in the baseline that divides by the members seen, in a
    split of halves.
    """
    answering = plan.rate * (seconds - silent) + 2 * plan.burst + limiters * MAX_UNITS
    if not silent:
        return answering
    uncounted = UNCOUNTED_FACTOR * (1 + excess) * (plan.rate * silent + plan.burst)
    return answering + uncounted + 2 * limiters * MAX_UNITS


def allowed_overshoot(experiment: Experiment, silent: float) -> float:
    """The bound in terms of `worst_overshoot`: units beyond rate x time + burst, as a share of that.

    The maximum over all plans.
    """
    seconds = experiment.duration_s
    limiters = experiment.fleet.limiters
    overshoots = [
        quota_bound(plan, seconds, silent, limiters) / (plan.rate * seconds + plan.burst) - 1.0
        for plan in experiment.fleet.plans
        if plan.rate
    ]
    return max([0.0, *overshoots])
