"""What failures say of a server: when they say nothing, as the limiter or its network may be at fault."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from .reports import REPORT_TTL_SECONDS

# A limiter that finds more than this share of the servers failing (and more than this many) is not believed:
# its own network is more likely at fault.
MAX_FAILING_SHARE = 0.25
MIN_PLAUSIBLE_FAILURES = 2
# Where more than this share of the recent attempts at other servers was given up as too slow, one more says
# nothing of its server: with scattered service times that happens at healthy servers all the time.
COMMON_SLOW_SHARE = 0.02
SLOW_WINDOW_SECONDS = 10.0
MAX_RECORDED_ATTEMPTS = 500  # bounds the work for each attempt that was too slow


class RecentFailures:
    """The servers that one limiter, this or another, found failing within REPORT_TTL_SECONDS."""

    def __init__(self) -> None:
        self._failed_at: dict[int, float] = {}  # by server, the last time (s)

    def add(self, server: int, now: float) -> None:
        """Record a failure."""
        self._failed_at[server] = now

    def remove(self, server: int) -> None:
        """Forget the failures of a server."""
        self._failed_at.pop(server, None)

    def clear(self) -> None:
        """Forget all failures."""
        self._failed_at.clear()

    def servers(self) -> list[int]:
        """The servers with a failure on record."""
        return list(self._failed_at)

    def are_implausible(self, now: float, server_count: int) -> bool:
        """Whether too many of `server_count` servers failed for this limiter to be believed."""
        self._failed_at = {
            server: failed_at
            for server, failed_at in self._failed_at.items()
            if now - failed_at < REPORT_TTL_SECONDS
        }
        return len(self._failed_at) > max(MIN_PLAUSIBLE_FAILURES, MAX_FAILING_SHARE * server_count)


class AttemptEnd(NamedTuple):
    """The end of an attempt; `too_slow`: it was given up for that."""

    ended_at: float
    server: int
    too_slow: bool


class SlowAttempts:
    """The share of this limiter's recent attempts that were given up as too slow."""

    def __init__(self) -> None:
        self._ends: deque[AttemptEnd] = deque(maxlen=MAX_RECORDED_ATTEMPTS)  # the oldest first

    def add(self, server: int, now: float, too_slow: bool) -> None:
        """Record the end of an attempt."""
        self._ends.append(AttemptEnd(now, server, too_slow))

    def are_common_elsewhere(self, server: int, now: float) -> bool:
        """Whether slow attempts were common at the servers other than this one in SLOW_WINDOW_SECONDS."""
        while self._ends and self._ends[0].ended_at < now - SLOW_WINDOW_SECONDS:
            self._ends.popleft()
        elsewhere = [end.too_slow for end in self._ends if end.server != server]
        return sum(elsewhere) > COMMON_SLOW_SHARE * len(elsewhere)
