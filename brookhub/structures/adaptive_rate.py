"""A token bucket of calls whose rate follows how quickly the other side answers them."""

from __future__ import annotations

from dataclasses import dataclass

from .decaying_sum import DecayingSum
from .token_bucket import TokenBucket


@dataclass(frozen=True)
class RateLimits:
    """How the rate changes: additive increase, multiplicative decrease."""

    increase: float  # calls a second won by a quick answer
    decrease: float  # factor for a late one
    least: float  # share of the wanted rate that is kept
    at_once: float  # calls at one stroke, at the least
    memory: float  # s over which the wanted rate is averaged


class AdaptiveRate:
    """Calls a second that grow with quick answers and shrink with late ones, from what was used."""

    def __init__(self, limits: RateLimits, hold: float, rate: float, now: float) -> None:
        """`hold`: s between two decreases, also the time whose calls the bucket holds; `rate`: at first."""
        self.limits = limits
        self.hold = hold
        self.bucket = TokenBucket(rate, limits.at_once, 1.0, now)
        self.began_at = now
        self.held_until = 0.0
        self.wanted = DecayingSum(limits.memory)

    def allows(self, now: float, spare: float = 0.0) -> bool:
        """Whether a call may go now and leave a share of the bucket for others."""
        return self.bucket.read(now) >= 1 + spare * self.bucket.depth

    def wait(self, now: float, spare: float) -> float:
        """Seconds until `allows`."""
        return self.bucket.wait(now, 1 + spare * self.bucket.depth)

    def take(self) -> None:
        """A call goes."""
        self.bucket.level -= 1

    def answered(self, now: float, quick: bool, late: bool) -> None:
        """A call ended: quickly, late, or neither where it says nothing of the other side."""
        bucket, limits = self.bucket, self.limits
        elapsed = max(1.0, now - self.began_at)
        wanted = max(1.0, self.wanted.read(now) / min(limits.memory, elapsed))
        if quick and bucket.read(now) < bucket.depth / 2:  # what is not used is not won
            bucket.rate += limits.increase
        elif late and now >= self.held_until:  # from what was used: less of more would be no less
            bucket.rate = max(limits.least * wanted, min(bucket.rate, 2 * wanted) * limits.decrease)
            self.held_until = now + self.hold
        bucket.depth = max(limits.at_once, bucket.rate * self.hold)
