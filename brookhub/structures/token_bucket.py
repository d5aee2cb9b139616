"""A token bucket: units that are refilled at a rate up to a depth."""

from __future__ import annotations

MIN_REFILL_RATE = 1e-9  # Units per second assumed for a bucket without refill, so that waits are finite.


class TokenBucket:
    """Units that are refilled at `rate` per second up to `depth`. A level below 0 is a debt.

    `overflow` adds up the refill that exceeded the depth, multiplied by `overflow_weight`. The bucket never
    lowers it: its owner does when the units are accounted for.
    """

    __slots__ = ("rate", "depth", "level", "updated_at", "overflow", "overflow_weight")

    def __init__(
        self, rate: float, depth: float, level: float, now: float, overflow_weight: float = 1.0
    ) -> None:
        self.rate = rate
        self.depth = depth
        self.level = level
        self.updated_at = now  # Time in seconds for which `level` is valid.
        self.overflow = 0.0
        self.overflow_weight = overflow_weight

    def available(self, now: float) -> float:
        """Refill the bucket and return its level; `now` must not be before the previous call's."""
        level = self.level + self.rate * (now - self.updated_at)
        self.updated_at = now
        self.level = min(self.depth, level)
        self.overflow += self.overflow_weight * max(0.0, level - self.depth)
        return self.level

    def consume(self, now: float, units: float) -> None:
        """Remove units even if the level falls below 0; negative units are returned to the bucket."""
        self.level = self.available(now) - units

    def time_until(self, now: float, units: float) -> float:
        """Return the seconds until `units` are available."""
        return max(0.0, units - self.available(now)) / max(self.rate, MIN_REFILL_RATE)

    def change_rate(self, now: float, rate: float) -> None:
        """Refill the bucket at the old rate up to `now`, then set the new rate."""
        self.available(now)
        self.rate = rate

    def resize(self, rate: float, depth: float) -> None:
        """Set rate and depth without a refill; units above the new depth are discarded."""
        self.rate = rate
        self.depth = depth
        self.level = min(self.level, depth)

    def time_to_fill(self) -> float:
        """Return the seconds in which an empty bucket is filled."""
        return self.depth / max(self.rate, MIN_REFILL_RATE)
