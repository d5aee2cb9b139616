"""Evaluation of a server's answers by one gateway: outlier ejection, backoff and expected latency."""

from __future__ import annotations

from ..model import Outcome, Upstream
from ..structures import RandomGenerator
from .constants import (
    CONNECT_FAILURE_WEIGHT,
    MAX_BACKOFF_DOUBLINGS,
    MAX_EJECTION_S,
    MAX_REJECTION_BACKOFF_S,
    MIN_EXPECTED_LATENCY_S,
    MIN_SUCCESS_RATE,
    REJECTION_BACKOFF_S,
    SLOW_ATTEMPT_SHARE,
)

REJECTIONS = (Outcome.BUSY, Outcome.CONNECT_FAILED)
"""Outcomes of attempts that a server did not accept."""


def is_healthy(upstream: Upstream) -> bool:
    """Return whether a server accepts attempts and at least half of its last outcomes were successes."""
    return upstream.successes.rate >= MIN_SUCCESS_RATE and not upstream.consecutive_rejections


def has_room(upstream: Upstream, now: float) -> bool:
    """Return whether a server may get an attempt now.

    An outlier gets one attempt at a time after its ejection. A server with a slow attempt in flight gets no
    further one.
    """
    for attempt in upstream.in_flight:
        if now - attempt.sent_at > SLOW_ATTEMPT_SHARE * attempt.request.route.latency_target:
            return False
    if now < upstream.ejected_until:
        return False
    max_concurrency = int(upstream.max_concurrency) if is_healthy(upstream) else 1
    return len(upstream.in_flight) < max_concurrency


def expected_latency(upstream: Upstream, now: float, typical: float) -> float:
    """Return the expected latency of a server in seconds.

    `typical`: mean latency of all servers in seconds, which weighs as much as one answer of this server. The
    result is at least the time for which the server's oldest attempt in flight has been waiting.
    """
    longest_wait = now - upstream.in_flight[0].sent_at if upstream.in_flight else 0.0
    return max(upstream.latencies.mean_with_prior(now, typical), longest_wait, MIN_EXPECTED_LATENCY_S)


def record_result(
    upstream: Upstream, outcome: Outcome, duration: float, now: float, random: RandomGenerator
) -> None:
    """Record the result of an attempt of `duration` seconds; a failure may eject the server."""
    succeeded = outcome is Outcome.OK
    was_rejected = outcome in REJECTIONS
    upstream.consecutive_rejections = upstream.consecutive_rejections + 1 if was_rejected else 0
    if outcome is not Outcome.BUSY:
        weight = CONNECT_FAILURE_WEIGHT if outcome is Outcome.CONNECT_FAILED else 1
        upstream.successes.record(succeeded, times=weight)
    upstream.last_result_at = now
    if succeeded:
        upstream.ejected_until = now
        upstream.latencies.add(now, duration)
    else:
        upstream.ejected_until = now + MAX_EJECTION_S * (1 - upstream.successes.rate / MIN_SUCCESS_RATE)
    if was_rejected:
        backoff_until = now + _rejection_backoff(upstream, random)
        upstream.ejected_until = max(upstream.ejected_until, backoff_until)


def _rejection_backoff(upstream: Upstream, random: RandomGenerator) -> float:
    """Return the seconds of backoff, with jitter so that rejected gateways don't all retry at once."""
    doublings = min(upstream.consecutive_rejections - 1, MAX_BACKOFF_DOUBLINGS)
    backoff = min(MAX_REJECTION_BACKOFF_S, REJECTION_BACKOFF_S * 2.0**doublings)
    return backoff * (0.5 + random.uniform())
