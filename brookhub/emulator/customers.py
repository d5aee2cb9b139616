"""Customers of an emulated fleet and their requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..model import Request
from ..site import Plan

ServedListener = Callable[[float, float], None]
"""Called with the time in seconds and the units of a served request."""


class EmulatedCustomer:
    """A customer and the use of its plan, summed over the whole fleet.

    `served_units` are the units of all its served requests. `units_over_ceiling` are the served units that a
    single token bucket for the whole fleet, with the plan's hard ceiling, would have refused.
    `served_listeners` are called after each served request is counted.
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
        """Count a request of `units` that was served at time `now` (s)."""
        self.served_units += units
        if self.plan.ceiling_rate:
            self._debit_ceiling(now, units)
        for listener in self.served_listeners:
            listener(now, units)

    def _debit_ceiling(self, now: float, units: float) -> None:
        """Take units from the ceiling's token bucket and count those that it lacks as over the ceiling."""
        plan = self.plan
        refill = (now - self._ceiling_refilled_at) * plan.ceiling_rate
        self._ceiling_level = min(plan.ceiling_burst, self._ceiling_level + refill)
        self._ceiling_refilled_at = now
        self._ceiling_level -= units
        if self._ceiling_level < 0:
            self.units_over_ceiling += -self._ceiling_level
            self._ceiling_level = 0.0

    def quota_overshoot(self, seconds: float) -> float:
        """Return the share by which its served units exceed its quota over a run of `seconds`, at least 0."""
        allowed = self.plan.burst + self.plan.rate * seconds
        return max(0.0, self.served_units / allowed - 1.0)

    def ceiling_overshoot(self, seconds: float) -> float:
        """Return its units over the ceiling as a share of the ceiling over a run of `seconds`."""
        allowed = self.plan.ceiling_burst + self.plan.ceiling_rate * seconds
        return self.units_over_ceiling / allowed


@dataclass(eq=False, kw_only=True)
class EmulatedRequest(Request):
    """A request with its emulated customer.

    `token` is its idempotency key: the id of the client's first request, which retries share.
    """

    emulated_customer: EmulatedCustomer
    token: int
