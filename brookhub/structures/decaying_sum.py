"""A sum whose terms decay exponentially with time."""

from __future__ import annotations

from math import exp


class DecayingSum:
    """A sum that decays to 1/e within `memory` seconds, updated whenever it is added to or read."""

    __slots__ = ("memory", "sum", "updated_at")

    def __init__(self, memory: float) -> None:
        """Create an empty sum; `memory` is the time constant of the decay, in seconds."""
        self.memory = memory
        self.sum = 0.0
        self.updated_at = 0.0  # Time in seconds for which `sum` is valid.

    def add(self, now: float, amount: float) -> float:
        """Add an amount and return the new sum; `now` must not be before the previous call's."""
        self.sum = self.sum * exp((self.updated_at - now) / self.memory) + amount
        self.updated_at = now
        return self.sum

    def value(self, now: float) -> float:
        """Return the decayed sum; `now` must not be before the previous call's."""
        return self.add(now, 0.0)
