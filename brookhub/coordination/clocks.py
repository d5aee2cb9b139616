"""Clocks of a limiter, and the detection of pauses of its process. All times are in seconds."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

TICK_SECONDS = 0.25
MAX_TICK_AGE_SECONDS = 1.0  # If the last tick is older than this, the process was paused.


class LocalClock(Protocol):
    """Monotonic clock of one limiter, with timers."""

    @property
    def now(self) -> float:
        """Current time in seconds, monotonic."""

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` once, `seconds` from now."""


class FleetClock(LocalClock, Protocol):
    """Clock of one limiter, which also provides the time that all limiters share."""

    @property
    def wall_time(self) -> float:
        """Time in seconds that all limiters share, equal to within a small part of a lease's epoch."""


class UnsharedClock:
    """`FleetClock` of a limiter that does not know the others: its wall time is its monotonic time."""

    def __init__(self, clock: LocalClock) -> None:
        self._clock = clock

    @property
    def now(self) -> float:
        """Current time in seconds, monotonic."""
        return self._clock.now

    @property
    def wall_time(self) -> float:
        """Monotonic time in seconds, the same as `now`."""
        return self._clock.now

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` once, `seconds` from now."""
        self._clock.call_later(seconds, callback)


class PauseDetector:
    """Detects from an overdue tick that this process was paused (SIGSTOP, a frozen virtual machine).

    `on_resumed(last_tick_at)` is called once for each pause.
    """

    def __init__(self, clock: LocalClock, on_resumed: Callable[[float], None]) -> None:
        self._clock = clock
        self._on_resumed = on_resumed
        self._last_tick_at = clock.now
        clock.call_later(TICK_SECONDS, self._tick)

    def check(self) -> None:
        """Detect a pause before the overdue tick runs, as another event may be handled first."""
        if self._clock.now - self._last_tick_at > MAX_TICK_AGE_SECONDS:
            self._on_resumed(self._last_tick_at)
            self._last_tick_at = self._clock.now

    def _tick(self) -> None:
        self.check()
        self._last_tick_at = self._clock.now
        self._clock.call_later(TICK_SECONDS, self._tick)
