"""Lifeguard's local health: a member that seems slow itself probes more slowly and waits longer."""

from __future__ import annotations

from typing import Callable

from .settings import MemberContext, MembershipSettings

MAX_SCORE = 8  # probe intervals and timeouts are up to so many times longer, plus one
STALL_INTERVALS = 2.0  # probe intervals that a timer may be late before the process counts as stopped
# Seconds after a stall during which deaths are only suspected: messages about them waited unread
STALL_RECOVERY_TIME = 1.0


class LocalHealth:
    """The awareness score: 0 is healthy. Always 0 in plain SWIM."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._enabled = settings.lifeguard
        self.score = 0

    def degrade(self, by: int = 1) -> None:
        """Raise the score by `by`, up to MAX_SCORE. Does nothing in plain SWIM."""
        if self._enabled:
            self.score = min(MAX_SCORE, self.score + by)

    def improve(self) -> None:
        """Lower the score by one, down to 0."""
        self.score = max(0, self.score - 1)

    def set_worst(self) -> None:
        """Set the worst score, after a stall."""
        self.score = MAX_SCORE

    def scale(self, seconds: float) -> float:
        """A probe interval or timeout as the score lengthens it."""
        return seconds * (1 + self.score)


class StallDetector:
    """Notices that this process was stopped (SIGSTOP, a paused machine), by a timer that comes too late.

    `on_stall` is called at the first event after a stall, before anything else is done. Never in plain SWIM.
    """

    def __init__(self, context: MemberContext, on_stall: Callable[[], None]) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._statistics = context.statistics
        self._on_stall = on_stall
        self._timer_due_at = context.clock.now
        self._last_stall_at = -STALL_RECOVERY_TIME

    def expect_timer_at(self, time: float) -> None:
        """Note when the next timer is due, in seconds of the clock."""
        self._timer_due_at = time

    def check(self) -> None:
        """Call `on_stall` if the expected timer is far too late."""
        if not self._settings.lifeguard:
            return
        late = self._clock.now - self._timer_due_at
        if late <= STALL_INTERVALS * self._settings.probe_interval:
            return
        self._statistics.stalls += 1
        self._timer_due_at = self._clock.now
        self._last_stall_at = self._clock.now
        self._on_stall()

    @property
    def recovering(self) -> bool:
        """Whether the last stall ended less than STALL_RECOVERY_TIME ago."""
        return self._clock.now - self._last_stall_at < STALL_RECOVERY_TIME
