"""Detects that this process was suspended: by a signal, or with its machine."""

from __future__ import annotations

from math import inf

MAX_LATENESS = 1.0  # s that a regular check may come late before the process counts as suspended


class SuspensionDetector:
    """Finds a suspension by the lateness of regular checks. Guarded by the event loop's lock.

    `last_ended_at` (s, monotonic) and `last_duration` (s, at most) tell of the last one.
    """

    def __init__(self, check_interval: float, first_check_by: float) -> None:
        """`check_interval` in seconds; `first_check_by`: when the first check is made at the latest."""
        self.last_ended_at = -inf
        self.last_duration = 0.0
        self._check_interval = check_interval
        self._next_check_at = first_check_by

    def is_resumed(self, now: float) -> bool:
        """Whether the process was suspended since the last call or regular check."""
        lateness = now - self._next_check_at
        if lateness <= MAX_LATENESS:
            return False
        self._next_check_at = now
        self.last_ended_at = now
        self.last_duration = lateness + self._check_interval
        return True

    def on_check(self, now: float) -> None:
        """A regular check is made; the next one is due after the interval."""
        self._next_check_at = now + self._check_interval
