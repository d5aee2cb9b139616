"""The success rate of the most recent outcomes."""

from __future__ import annotations

from collections import deque


class SuccessWindow:
    """The last `size` outcomes, initially all successes."""

    __slots__ = ("outcomes", "rate")

    def __init__(self, size: int) -> None:
        self.outcomes = deque([True] * size, size)
        self.rate = 1.0

    def record(self, succeeded: bool, times: int = 1) -> None:
        """Record an outcome; one that weighs more than others is recorded `times` times."""
        self.outcomes.extend([succeeded] * times)
        self.rate = sum(self.outcomes) / len(self.outcomes)
