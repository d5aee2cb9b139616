"""Retries of requests, limited by safety rules, remaining time and the success rate of recent retries."""

from __future__ import annotations

from ..model import PendingRequest
from ..ports import Clock
from ..structures import DecayingSum, RandomGenerator
from .constants import MEMORY_S
from .repeat_safety import attempts_that_may_have_run, may_repeat_at
from .subset import ServerSubset


class RetryPolicy:
    """Policy on further attempts: the fewer recent retries succeeded, the fewer are made."""

    def __init__(
        self,
        port: Clock,
        random: RandomGenerator,
        max_attempts: int,
        subset: ServerSubset,
    ) -> None:
        self.port = port
        self.random = random
        self.max_attempts = max_attempts
        self.subset = subset
        self.mean_latency = subset.statistics.mean_latency
        self.retries = DecayingSum(MEMORY_S)
        self.successful_retries = DecayingSum(MEMORY_S)

    def attempt_started(self, is_retry: bool) -> None:
        """Record that an attempt was sent."""
        self.retries.add(self.port.now, 1 if is_retry else 0)

    def attempt_succeeded(self, is_retry: bool) -> None:
        """Record that an attempt brought its request's final answer."""
        self.successful_retries.add(self.port.now, 1 if is_retry else 0)

    def may_retry(self, pending: PendingRequest) -> bool:
        """Return whether a request may get a further attempt.

        If none of its attempts was executed, a retry costs only time and does not depend on the success rate.
        """
        now = self.port.now
        request = pending.request
        may_have_run = attempts_that_may_have_run(pending)
        allowed_somewhere = any(
            may_repeat_at(upstream.server, request.route, may_have_run, now)
            for upstream in self.subset.members
        )
        if len(request.attempts) >= self.max_attempts:
            return False
        if now + self.mean_latency() > pending.target_at or not allowed_somewhere:
            return False
        if not may_have_run:
            return True
        success_rate = (self.successful_retries.value(now) + 1) / (self.retries.value(now) + 1)
        return self.random.uniform() < success_rate
