"""The use of a customer beyond its quota or ceiling, and the bound on it while the counter fails.

The bound is derived in docs/counter-recovery.md.
"""

from __future__ import annotations

# Number of times that a customer's units start to go to a counter without the earlier counts, by kind of
# fault.
COUNTER_CHANGES = {"none": 0, "wipe": 1, "lose": 1, "swap": 2, "split": 2}
# Heartbeat intervals until the membership of an epoch no longer contains the other side of a split.
HEARTBEATS_TO_SPLIT = 4
# Timeouts of counter calls until recovery: to read the register, claim the epoch and write the token.
TIMEOUTS_TO_RECOVER = 3


def excess_bound(
    rate: float, burst: float, fault: str, requested_rate: float, heartbeat_interval: float, timeout: float
) -> float:
    """Return the bound on the units that a customer may get beyond its quota or ceiling in any time span.

    It assumes that each side of a split is larger than the setting `missing_most`.

    Args:
        rate: Units per second that the customer may get.
        burst: Units of the quota's or ceiling's burst.
        fault: Kind of fault, a key of COUNTER_CHANGES.
        requested_rate: Units per second that the customer requests.
        heartbeat_interval: In seconds.
        timeout: Timeout of a call to the counter, in seconds.
    """
    detection_time = heartbeat_interval + TIMEOUTS_TO_RECOVER * timeout
    excess_per_change = min(burst, requested_rate * detection_time)
    excess_of_split = 0.0
    if fault == "split":
        excess_of_split = rate * (HEARTBEATS_TO_SPLIT * heartbeat_interval + timeout)
    return COUNTER_CHANGES[fault] * excess_per_change + excess_of_split


class ExcessUse:
    """A token bucket that measures the excess use of a customer.

    Its level (in units) may fall below zero. `worst` is the maximum of the units that were served in any time
    span beyond burst + rate x span. Times are in seconds, `rate` is in units per second.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.worst = 0.0
        self._refilled_at = 0.0

    def record(self, now: float, units: float) -> None:
        """Record the units of a request that was served at the time `now`."""
        refilled_level = self.level + (now - self._refilled_at) * self.rate
        self.level = min(self.burst, refilled_level) - units
        self._refilled_at = now
        self.worst = max(self.worst, -self.level)
