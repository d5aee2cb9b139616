"""Timing of the maintenance protocol. All limiters must use the same values."""

from __future__ import annotations

from dataclasses import dataclass

CLOCK_DRIFT = 0.05  # Maximum relative rate error of any limiter's clock, fast or slow.


@dataclass(frozen=True)
class Settings:
    """Timing settings of one limiter's maintenance, in seconds.

    `request_timeout_s` is the longest client timeout: once it has passed, a limiter that went silent has no
    more requests in flight.
    """

    # Longer than a datagram's transit, a garbage collection and a lost renewal together, but short compared
    # with the work on a machine.
    lease_s: float = 3.0
    request_timeout_s: float = 3.0
    # Seconds between two announcements of the plan, each to a different peer; 0 turns announcements off.
    announce_interval_s: float = 1.0
    # Seconds for which conditions have to be healthy before a halted plan resumes.
    healthy_before_resume_s: float = 10.0
    # Minimum number of recent requests for a judgement of service; fewer are too small a sample.
    min_judged_requests: float = 20.0


def voter_lease_s(lease_s: float) -> float:
    """Return for how many seconds of its own clock a voter honours a lease of `lease_s` seconds.

    The voter's lease ends after the leader's own as long as both clocks stay within CLOCK_DRIFT.
    """
    return lease_s * (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)
