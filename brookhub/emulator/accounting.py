"""Accounts for the requests of a run: which are open, how each ended, and what is checked of its answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..model import Answer, Request
from .customers import EmulatedRequest
from .engine import Engine
from .invariants import ANSWERS_IN_TRAIL, ROUNDING, InvariantChecker
from .result import Result

OVERDUE_AFTER = 60.0  # s after its arrival, far past any client timeout, that an open request is a violation


class AnsweringLimiter(Protocol):
    """The limiter that gives an answer. `served`: requests that it served while the run counts."""

    index: int
    served: int
    suspended_until: float


class RequestAccounting:
    """Follows each request from its arrival to its end, and fills the run's `result`.

    Requests that arrived before `settle` are followed, but not counted in the result.
    `on_rejected` is called with each counted request that was rejected, and its Retry-After (s; 0: none).
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
        self._arrived_at: dict[int, float] = {}  # of the open requests, by id
        self._answered: set[int] = set()
        self._uncounted: set[int] = set()  # requests that were open when the run began to count

    def is_open(self, request: Request) -> bool:
        """Whether a request still awaits its answer."""
        return request.id in self._arrived_at

    def open_count(self) -> int:
        """How many requests still await their answer."""
        return len(self._arrived_at)

    def settle(self) -> None:
        """Count requests from now on."""
        self.result = Result()
        self._uncounted = set(self._arrived_at)

    def on_arrival(self, request: Request) -> None:
        """A request arrived."""
        self.result.requests += 1
        self._arrived_at[request.id] = self.engine.now
        self.checker.now = self.engine.now

    def on_no_limiter(self) -> None:
        """A request arrived while no limiter ran."""
        self.result.requests += 1
        self.result.lost += 1

    def on_lost(self, request: Request) -> None:
        """A request ended without an answer: its limiter ended, or its connection did."""
        was_open = self._arrived_at.pop(request.id, None) is not None
        if was_open and request.id not in self._uncounted:
            self.result.lost += 1

    def on_client_left(self, request: Request) -> None:
        """A client disconnected before its answer."""
        self._arrived_at.pop(request.id)
        self.result.left += request.id not in self._uncounted

    def on_answer(
        self, limiter: AnsweringLimiter, request: Request, answer: Answer, retry_after: float = 0.0
    ) -> None:
        """A limiter gave a final answer; `retry_after` (s) of a rejection."""
        assert isinstance(request, EmulatedRequest)
        now = self.engine.now
        self.checker.now = now
        self.checker.record("answer", limiter.index, request.id, ANSWERS_IN_TRAIL[answer])
        if now > request.deadline + ROUNDING and limiter.suspended_until > request.deadline:
            self.on_lost(request)  # a limiter that was stopped so long ends the connection instead
            return
        self.checker.check_answer(request, request.id in self._answered)
        self._answered.add(request.id)
        arrived_at = self._arrived_at.pop(request.id, None)
        if arrived_at is None:
            return  # its client left before
        if answer is Answer.SERVED:
            request.emulated_customer.record_served(now, request.units)
        if request.id not in self._uncounted:
            self._count_answer(limiter, request, answer, arrived_at)
            if answer is Answer.REJECTED:
                self.on_rejected(request, retry_after)

    def _count_answer(
        self, limiter: AnsweringLimiter, request: Request, answer: Answer, arrived_at: float
    ) -> None:
        """Add a final answer to the result."""
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
        """Report requests that should have been answered long ago."""
        now = self.engine.now
        self.checker.now = now
        for request_id, arrived_at in list(self._arrived_at.items()):
            if arrived_at + OVERDUE_AFTER < now:
                self.checker.report(1, f"call {request_id} never got a final answer")
                self._arrived_at.pop(request_id)
