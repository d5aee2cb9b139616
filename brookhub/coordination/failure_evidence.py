"""Evaluation of failed attempts: whether the server is at fault, or rather the limiter or its network."""

from __future__ import annotations

from collections import deque
from math import inf
from typing import NamedTuple

from .reports import REPORT_TTL_SECONDS

# Reports of a limiter are ignored if it finds more than this share of the servers failing, and more servers
# than MIN_PLAUSIBLE_FAILURES: its own network is more likely at fault.
MAX_FAILING_SHARE = 0.25
MIN_PLAUSIBLE_FAILURES = 2
# If more than this share of the recent attempts at other servers was abandoned as too slow, another such
# attempt is no evidence against its server: with scattered service times, this happens at healthy servers all
# the time.
COMMON_SLOW_SHARE = 0.02
SLOW_WINDOW_SECONDS = 10.0
# Attempts at other servers by which the share is judged in the first SLOW_WINDOW_SECONDS: as many as contain
# three slow ones at a share of COMMON_SLOW_SHARE, so that a higher share has shown with near certainty.
MIN_JUDGED_ATTEMPTS = round(3 / COMMON_SLOW_SHARE)
MAX_RECORDED_ATTEMPTS = 500  # Bounds the work for each attempt that was too slow.


class RecentFailures:
    """Servers that one limiter, this one or a peer, found failing within REPORT_TTL_SECONDS."""

    def __init__(self) -> None:
        self._failed_at: dict[int, float] = {}  # Seconds of the last failure, by server.

    def record(self, server: int, now: float) -> None:
        """Record a failure of a server."""
        self._failed_at[server] = now

    def remove(self, server: int) -> None:
        """Discard the failures of a server."""
        self._failed_at.pop(server, None)

    def clear(self) -> None:
        """Discard the failures of all servers."""
        self._failed_at.clear()

    def servers(self) -> list[int]:
        """Return the servers with a recorded failure."""
        return list(self._failed_at)

    def are_implausible(self, now: float, server_count: int) -> bool:
        """Return whether more of the `server_count` servers failed than is plausible.

        In that case the limiter that found the failures is more likely at fault.
        """
        self._failed_at = {
            server: failed_at
            for server, failed_at in self._failed_at.items()
            if now - failed_at < REPORT_TTL_SECONDS
        }
        return len(self._failed_at) > max(MIN_PLAUSIBLE_FAILURES, MAX_FAILING_SHARE * server_count)


class AttemptEnd(NamedTuple):
    """End of an attempt; `too_slow` is true if the attempt was abandoned as too slow."""

    ended_at: float
    server: int
    too_slow: bool


class SlowAttempts:
    """Recent attempts of this limiter, with those that were abandoned as too slow."""

    def __init__(self) -> None:
        self._ends: deque[AttemptEnd] = deque(maxlen=MAX_RECORDED_ATTEMPTS)  # The oldest first.
        self._first_ended_at = inf  # Time in seconds.

    def record(self, server: int, now: float, too_slow: bool) -> None:
        """Record the end of an attempt."""
        self._first_ended_at = min(self._first_ended_at, now)
        self._ends.append(AttemptEnd(now, server, too_slow))

    def are_common_elsewhere(self, server: int, now: float) -> bool:
        """Return whether attempts at other servers were often too slow in the last SLOW_WINDOW_SECONDS.

        After the start this counts as true until enough attempts have ended to tell.
        """
        while self._ends and self._ends[0].ended_at < now - SLOW_WINDOW_SECONDS:
            self._ends.popleft()
        elsewhere = [end.too_slow for end in self._ends if end.server != server]
        is_starting = now < self._first_ended_at + SLOW_WINDOW_SECONDS
        if is_starting and len(elsewhere) < MIN_JUDGED_ATTEMPTS:
            return True
        return sum(elsewhere) > COMMON_SLOW_SHARE * len(elsewhere)
