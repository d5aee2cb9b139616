"""Detection of suspensions of this process, by a signal or together with its machine."""

from __future__ import annotations

from math import inf

# Seconds by which a periodic check may be late before the process counts as suspended.
MAX_LATENESS = 1.0


class SuspensionDetector:
    """Detector of suspensions, by the lateness of periodic checks. Guarded by the event loop's lock.

    `last_ended_at` is the monotonic time in seconds at which the last suspension ended. `last_duration` is an
    upper bound of its duration in seconds.
    """

    def __init__(self, check_interval: float, first_check_by: float) -> None:
        """Create a detector that has detected no suspension yet.

        `check_interval`: seconds between two checks; `first_check_by`: latest time of the first check.
        """
        self.last_ended_at = -inf
        self.last_duration = 0.0
        self._check_interval = check_interval
        self._next_check_at = first_check_by

    def detect_suspension(self, now: float) -> bool:
        """Return whether the process was suspended since the last call or check; record it if so."""
        lateness = now - self._next_check_at
        if lateness <= MAX_LATENESS:
            return False
        self._next_check_at = now
        self.last_ended_at = now
        self.last_duration = lateness + self._check_interval
        return True

    def record_check(self, now: float) -> None:
        """Record a periodic check; the next one is due after the interval."""
        self._next_check_at = now + self._check_interval
