"""A mean in which the weight of old values decays."""

from __future__ import annotations

from .decaying_sum import DecayingSum

MIN_COUNT = 1e-6  # Minimum divisor, which avoids a division by 0 before the first value.


class DecayingMean:
    """The mean of values whose weights decay exponentially with their age."""

    __slots__ = ("values", "count")

    def __init__(self, memory: float) -> None:
        """Create an empty mean; `memory` is the time constant of the decay, in seconds."""
        self.values = DecayingSum(memory)
        self.count = DecayingSum(memory)

    def add(self, now: float, value: float) -> None:
        """Add a value; `now` must not be before the previous call's."""
        self.values.add(now, value)
        self.count.add(now, 1)

    def mean(self, now: float) -> float:
        """Return the mean, or 0 if no value was added."""
        return self.values.value(now) / max(MIN_COUNT, self.count.value(now))

    def mean_with_prior(self, now: float, prior: float) -> float:
        """Return the mean of the values and `prior`.

        The prior weighs as much as one new value, so it dominates while there are few recent values.
        """
        return (self.values.value(now) + prior) / (self.count.value(now) + 1)
