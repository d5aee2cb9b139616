"""Timing of maintenance; the same at all limiters."""

from __future__ import annotations

from dataclasses import dataclass

CLOCK_DRIFT = 0.05  # share by which any clock may run fast or slow


@dataclass(frozen=True)
class Settings:
    """Times in seconds.

    `request_timeout_s`: the longest client timeout; after it nothing of a limiter that went silent is in
    flight any more.
    """

    # Longer than a datagram's way, a garbage collection and a lost renewal together; short against work
    lease_s: float = 3.0
    request_timeout_s: float = 3.0
    announce_interval_s: float = 1.0  # between two announcements of the plan, each to another peer; 0: none
    healthy_before_resume_s: float = 10.0  # that conditions have to hold before a halted plan resumes
    min_judged_requests: float = 20.0  # of recent traffic, below which it is not judged: too few to tell


def voter_lease_s(lease_s: float) -> float:
    """How long a voter honours a lease of `lease_s` s, by its own clock.

    Whatever the two clocks do within CLOCK_DRIFT, it ends after the leader's own.
    """
    return lease_s * (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)
