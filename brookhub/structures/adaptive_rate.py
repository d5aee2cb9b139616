"""A rate limit for calls to a remote service that adapts to how quickly the service answers."""

from __future__ import annotations

from dataclasses import dataclass

from .decaying_sum import DecayingSum
from .token_bucket import TokenBucket


@dataclass(frozen=True)
class RateLimits:
    """Parameters of the additive increase and multiplicative decrease (AIMD) of the rate."""

    increase: float  # Calls per second added by a quick answer.
    decrease: float  # Factor applied to the rate by a late answer.
    min_share: float  # Minimum rate, as a share of the demand.
    min_burst: float  # Minimum depth of the token bucket, in calls.
    memory: float  # Time constant of the average demand, in seconds.


class AdaptiveRate:
    """A token bucket of calls whose rate rises with quick answers and falls with late ones.

    Decreases are relative to the demand: the rate of calls that callers wanted to make.
    """

    def __init__(self, limits: RateLimits, decrease_interval: float, rate: float, now: float) -> None:
        """Create a bucket that starts with `rate` calls per second.

        `decrease_interval`: minimum seconds between two decreases; also the seconds whose calls the bucket
        holds, if these are more than `limits.min_burst`.
        """
        self.limits = limits
        self.decrease_interval = decrease_interval
        self.bucket = TokenBucket(rate, limits.min_burst, 1.0, now)
        self.demand = DecayingSum(limits.memory)  # Calls that callers wanted to make, allowed or not.
        self._started_at = now
        self._no_decrease_before = 0.0

    def allows(self, now: float, reserve: float = 0.0) -> bool:
        """Return whether a call is allowed that leaves the share `reserve` of the bucket to other calls."""
        return self.bucket.available(now) >= 1 + reserve * self.bucket.depth

    def time_until_allowed(self, now: float, reserve: float) -> float:
        """Return the seconds until `allows` becomes true."""
        return self.bucket.time_until(now, 1 + reserve * self.bucket.depth)

    def consume(self) -> None:
        """Remove one call from the bucket."""
        self.bucket.level -= 1

    def record_answer(self, now: float, is_quick: bool, is_late: bool) -> None:
        """Adapt the rate to the end of a call.

        Both flags are false if the end does not indicate how loaded the remote service is.
        """
        bucket = self.bucket
        demand = self._demand_rate(now)
        # An unused rate is not raised.
        if is_quick and bucket.available(now) < bucket.depth / 2:
            bucket.rate += self.limits.increase
        elif is_late and now >= self._no_decrease_before:
            # Relative to the demand: decreasing the unused part of a rate would change nothing.
            decreased = min(bucket.rate, 2 * demand) * self.limits.decrease
            bucket.rate = max(self.limits.min_share * demand, decreased)
            self._no_decrease_before = now + self.decrease_interval
        bucket.depth = max(self.limits.min_burst, bucket.rate * self.decrease_interval)

    def _demand_rate(self, now: float) -> float:
        """Return the average demand in calls per second, at least 1."""
        elapsed = max(1.0, now - self._started_at)
        return max(1.0, self.demand.value(now) / min(self.limits.memory, elapsed))
