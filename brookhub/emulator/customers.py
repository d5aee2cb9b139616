"""Emulated customers and their requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..model import Request
from ..site import Plan

ServedListener = Callable[[float, float], None]  # time (s) and units of a served request


class EmulatedCustomer:
    """A customer and the use of its plan, summed over the whole fleet.

    `served_units`: of all its served requests; `units_over_ceiling`: of those, what a joint token bucket of
    the plan's hard ceiling would not have let pass. `served_listeners` are called after each served request
    is counted.
    """

    def __init__(self, customer_id: int, plan: Plan, requests_per_s: float) -> None:
        self.id = customer_id
        self.plan = plan
        self.requests_per_s = requests_per_s
        self.served_units = 0.0
        self.units_over_ceiling = 0.0
        self.served_listeners: list[ServedListener] = []
        self._ceiling_level = plan.ceiling_burst
        self._ceiling_refilled_at = 0.0

    def record_served(self, now: float, units: float) -> None:
        """Count a served request of so many units at time `now` (s)."""
        self.served_units += units
        if self.plan.ceiling_rate:
            self._take_from_ceiling(now, units)
        for listener in self.served_listeners:
            listener(now, units)

    def _take_from_ceiling(self, now: float, units: float) -> None:
        """Take units out of the token bucket of the ceiling; what it lacks is counted as over the ceiling."""
        plan = self.plan
        refill = (now - self._ceiling_refilled_at) * plan.ceiling_rate
        self._ceiling_level = min(plan.ceiling_burst, self._ceiling_level + refill)
        self._ceiling_refilled_at = now
        self._ceiling_level -= units
        if self._ceiling_level < 0:
            self.units_over_ceiling += -self._ceiling_level
            self._ceiling_level = 0.0

    def quota_overshoot(self, seconds: float) -> float:
        """Share by which it was served beyond its quota over a run of so many seconds; 0 within it."""
        allowed = self.plan.burst + self.plan.rate * seconds
        return max(0.0, self.served_units / allowed - 1.0)

    def ceiling_overshoot(self, seconds: float) -> float:
        """Share by which it was served beyond its ceiling over a run of so many seconds."""
        allowed = self.plan.ceiling_burst + self.plan.ceiling_rate * seconds
        return self.units_over_ceiling / allowed


@dataclass(eq=False, kw_only=True)
class EmulatedRequest(Request):
    """A request that knows its emulated customer.

    `token`: its idempotency key, the id of the client's first request where this one repeats it.
    """

    emulated_customer: EmulatedCustomer
    token: int
