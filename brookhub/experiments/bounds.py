"""The stated bounds of joint quotas (docs/membership.md, "Bounds"), to hold runs against."""

from __future__ import annotations

from ..config.models import Experiment, PlanSpec

UNHEARD = 1.5  # times its Nth that a limiter lets in without the counter's word (policy.UNHEARD)
LARGEST = 1.0  # units of the largest API call


def quota(plan: PlanSpec, seconds: float, silent: float, limiters: int, excess: float = 0.0) -> float:
    """The most units of a customer that may pass a fleet in `seconds`, of which the counter is silent for `silent`.

    r T + 2 b + N u with the counter's word; while it is silent 1.5 (1 + e) r instead of r, and 1.5 (1 + e) b and
    2 N u once more. `excess` e: by how much the parts of all that run pass one (0 but for members that left and run again
    unheard; the baseline that divides by who is seen, in a split of halves: 1).
    """
    answering = plan.rate * (seconds - silent) + 2 * plan.burst + limiters * LARGEST
    if not silent:
        return answering
    return answering + UNHEARD * (1 + excess) * (plan.rate * silent + plan.burst) + 2 * limiters * LARGEST


def allowed_overshoot(experiment: Experiment, silent: float) -> float:
    """The bound as `worst_overshoot` measures: units beyond rate x time + burst, as a share of that.

    Over all plans.
    """
    most, seconds = 0.0, experiment.duration_s
    for plan in experiment.fleet.plans:
        if plan.rate:
            bound = quota(plan, seconds, silent, experiment.fleet.limiters)
            most = max(most, bound / (plan.rate * seconds + plan.burst) - 1.0)
    return most
