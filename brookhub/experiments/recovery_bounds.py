"""The use of a customer beyond its quota or ceiling, and its stated bound while the counter fails.

docs/counter-recovery.md derives the bound.
"""

from __future__ import annotations

# Counters that a customer's units go to without the count of those before, by the kind of the fault
COUNTER_CHANGES = {"none": 0, "wipe": 1, "lose": 1, "swap": 2, "split": 2}
HEARTBEATS_TO_SPLIT = 4  # until the membership of an epoch lacks the other side of a split
TIMEOUTS_TO_RECOVER = 3  # of counter calls: reading the register, claiming the epoch, writing the token


def excess_bound(
    rate: float, burst: float, fault: str, requested_rate: float, heartbeat_interval: float, timeout: float
) -> float:
    """The stated bound of what a customer may get over its quota or its ceiling in any span, in units.

    `rate`, `requested_rate`: units a second that the customer may get and that it requests; `timeout`: of a
    call to the counter; times in s. The parts of a split are larger than `missing_most`.
    """
    detection_time = heartbeat_interval + TIMEOUTS_TO_RECOVER * timeout
    excess_of_a_change = min(burst, requested_rate * detection_time)
    excess_of_sides = 0.0
    if fault == "split":
        excess_of_sides = rate * (HEARTBEATS_TO_SPLIT * heartbeat_interval + timeout)
    return COUNTER_CHANGES[fault] * excess_of_a_change + excess_of_sides


class ExcessUse:
    """The maximum of units served in any span beyond burst + rate x span: `worst`.

    A token bucket whose level (units) may fall below zero. Times in s, `rate` in units a second.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.worst = 0.0
        self._refilled_at = 0.0

    def record(self, now: float, units: float) -> None:
        """Take the units of a served request."""
        refilled = self.level + (now - self._refilled_at) * self.rate
        self.level = min(self.burst, refilled) - units
        self._refilled_at = now
        self.worst = max(self.worst, -self.level)
