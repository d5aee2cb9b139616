"""Accounting of a run's requests: which are open, how each ended, and the checks of each answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..model import Answer, Request
from .customers import EmulatedRequest
from .engine import Engine
from .invariants import ANSWERS_IN_TRAIL, ROUNDING, InvariantChecker
from .result import Result

# Seconds from its arrival after which a request that is still open is a violation, far above any client
# timeout.
OVERDUE_AFTER = 60.0


class AnsweringLimiter(Protocol):
    """The limiter that answers a request.

    `served` is the number of requests that it served since counting started.
    """

    index: int
    served: int
    suspended_until: float


class RequestAccounting:
    """Tracker of each request from its arrival to its end, which updates the run's `result`.

    Requests that arrived before `start_counting` are tracked, but not counted in the result.
    `on_rejected` is called with each counted request that was rejected and with its Retry-After in seconds
    (0: none).
    """

    def __init__(
        self,
        engine: Engine,
        checker: InvariantChecker,
        on_rejected: Callable[[EmulatedRequest, float], None] = lambda request, retry_after: None,
    ) -> None:
        self.engine = engine
        self.checker = checker
        self.on_rejected = on_rejected
        self.result = Result()
        self._arrived_at: dict[int, float] = {}  # Arrival times of the open requests, by request id.
        self._answered: set[int] = set()
        self._uncounted: set[int] = set()  # Ids of the requests that were open when counting started.

    def is_open(self, request: Request) -> bool:
        """Return whether a request still awaits its answer."""
        return request.id in self._arrived_at

    def open_count(self) -> int:
        """Return the number of requests that still await their answer."""
        return len(self._arrived_at)

    def start_counting(self) -> None:
        """Discard the result so far and count only requests that arrive from now on."""
        self.result = Result()
        self._uncounted = set(self._arrived_at)

    def on_arrival(self, request: Request) -> None:
        """Record the arrival of a request."""
        self.result.requests += 1
        self._arrived_at[request.id] = self.engine.now
        self.checker.now = self.engine.now

    def on_no_limiter(self) -> None:
        """Count a request that arrived while no limiter was running."""
        self.result.requests += 1
        self.result.lost += 1

    def on_lost(self, request: Request) -> None:
        """Record that a request ended without an answer because its limiter or its connection ended."""
        was_open = self._arrived_at.pop(request.id, None) is not None
        if was_open and request.id not in self._uncounted:
            self.result.lost += 1

    def on_client_left(self, request: Request) -> None:
        """Record that a client disconnected before its request was answered."""
        self._arrived_at.pop(request.id)
        self.result.left += request.id not in self._uncounted

    def on_answer(
        self, limiter: AnsweringLimiter, request: Request, answer: Answer, retry_after: float = 0.0
    ) -> None:
        """Check and record a limiter's final answer.

        `retry_after` is the Retry-After of a rejection in seconds.
        """
        assert isinstance(request, EmulatedRequest)
        now = self.engine.now
        self.checker.now = now
        self.checker.record("answer", limiter.index, request.id, ANSWERS_IN_TRAIL[answer])
        if now > request.deadline + ROUNDING and limiter.suspended_until > request.deadline:
            # The limiter was suspended past the deadline, so that the connection has ended without an answer.
            self.on_lost(request)
            return
        self.checker.check_answer(request, request.id in self._answered)
        self._answered.add(request.id)
        arrived_at = self._arrived_at.pop(request.id, None)
        if arrived_at is None:
            return  # The client had already disconnected.
        if answer is Answer.SERVED:
            request.emulated_customer.record_served(now, request.units)
        if request.id not in self._uncounted:
            self._count_answer(limiter, request, answer, arrived_at)
            if answer is Answer.REJECTED:
                self.on_rejected(request, retry_after)

    def _count_answer(
        self, limiter: AnsweringLimiter, request: Request, answer: Answer, arrived_at: float
    ) -> None:
        """Count a final answer in the result."""
        result = self.result
        result.attempts += len(request.attempts)
        if answer is Answer.SERVED:
            limiter.served += 1
            result.served += 1
            result.record_latency(self.engine.now - arrived_at)
        elif answer is Answer.REJECTED:
            result.rejected += 1
        else:
            result.failed += 1

    def check_overdue(self) -> None:
        """Report each request that has been open for more than OVERDUE_AFTER as a violation."""
        now = self.engine.now
        self.checker.now = now
        for request_id, arrived_at in list(self._arrived_at.items()):
            if arrived_at + OVERDUE_AFTER < now:
                self.checker.report(1, f"call {request_id} never got a final answer")
                self._arrived_at.pop(request_id)
