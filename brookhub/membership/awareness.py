"""Lifeguard's local health awareness: a member that appears slow itself probes less often and waits longer.

The module also detects stalls: times during which this process was stopped.
"""

from __future__ import annotations

from collections.abc import Callable

from .settings import MemberContext, MembershipSettings

# Probe intervals and timeouts are multiplied by 1 + score, so by up to 9.
MAX_SCORE = 8
# The process counts as stopped if a timer is late by more than this number of probe intervals.
STALL_INTERVALS = 2.0
# For this number of seconds after a stall, reported deaths only start suspicions: the messages that report
# them may have waited unread during the stall.
STALL_RECOVERY_TIME = 1.0


class LocalHealth:
    """The local health score: 0 is healthy, MAX_SCORE the worst. It stays 0 in plain SWIM."""

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

    def set_worst_score(self) -> None:
        """Set the score to MAX_SCORE, after a stall."""
        self.score = MAX_SCORE

    def scale(self, seconds: float) -> float:
        """Return a probe interval or timeout in seconds, lengthened by the score."""
        return seconds * (1 + self.score)


class StallDetector:
    """Detects from an overdue timer that this process was stopped (SIGSTOP, a paused machine).

    `on_stall` is called at the first event after a stall, before that event is handled. In plain SWIM it is
    never called.
    """

    def __init__(self, context: MemberContext, on_stall: Callable[[], None]) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._statistics = context.statistics
        self._on_stall = on_stall
        self._timer_due_at = context.clock.now
        self._last_stall_at = -STALL_RECOVERY_TIME

    def expect_timer_at(self, time: float) -> None:
        """Set the time at which the next timer is due, in seconds on the clock."""
        self._timer_due_at = time

    def check(self) -> None:
        """Call `on_stall` if the expected timer is late by more than STALL_INTERVALS probe intervals."""
        if not self._settings.lifeguard:
            return
        lateness = self._clock.now - self._timer_due_at
        if lateness <= STALL_INTERVALS * self._settings.probe_interval:
            return
        self._statistics.stalls += 1
        self._timer_due_at = self._clock.now
        self._last_stall_at = self._clock.now
        self._on_stall()

    @property
    def is_recovering(self) -> bool:
        """Whether the last stall ended less than STALL_RECOVERY_TIME seconds ago."""
        return self._clock.now - self._last_stall_at < STALL_RECOVERY_TIME
