"""A minimum of observed values that rises slowly, so that it follows a lasting increase."""

from __future__ import annotations


class RisingMinimum:
    """The minimum of the observed values, growing by `rise` per second until a lower value is observed."""

    __slots__ = ("rise", "value", "updated_at")

    def __init__(self, rise: float) -> None:
        """Create a minimum without values; `rise` is its relative growth per second."""
        self.rise = rise
        self.value = 0.0  # 0 until the first value is observed.
        self.updated_at = 0.0

    def observe(self, now: float, value: float) -> None:
        """Update the minimum with a value; `now` must not be before the previous call's."""
        risen = self.value * (1 + self.rise * (now - self.updated_at))
        self.value = min(value, risen or value)
        self.updated_at = now
