"""Dispatch of queued requests to servers that have room."""

from __future__ import annotations

from ..model import Answer, PendingRequest
from ..ports import Clock
from .answers import CompletionStep
from .constants import QUEUE_CHECK_INTERVAL_S, QUEUE_CHECK_SPACING, QUEUE_TARGET_SHARE
from .plan_limits import PlanLimits
from .repeat_safety import attempts_that_may_have_run
from .request_queue import RequestQueue
from .server_selection import ServerSelector
from .upstreams import Upstreams


class Dispatcher:
    """Dispatcher of queued requests to servers; rejects those that can't meet their latency target."""

    def __init__(
        self,
        port: Clock,
        queue: RequestQueue,
        selector: ServerSelector,
        upstreams: Upstreams,
        limits: PlanLimits,
    ) -> None:
        self.port = port
        self.queue = queue
        self.selector = selector
        self.upstreams = upstreams
        self.limits = limits
        self.completion: CompletionStep = limits
        self._next_check_at = 0.0

    def excessive_wait(self, pending: PendingRequest) -> float:
        """Return the expected seconds in the queue if they are too long for a request, else 0.

        They are too long if they and the mean latency exceed QUEUE_TARGET_SHARE of the time that is left
        until the request's latency target.
        """
        latency = self.selector.mean_latency()
        wait = len(self.queue) * latency / max(1, self.selector.limit.in_flight)
        time_left = pending.target_at - self.port.now
        return wait if wait + latency > QUEUE_TARGET_SHARE * time_left else 0.0

    def enqueue(self, pending: PendingRequest) -> None:
        """Queue a request and dispatch the queue."""
        self.queue.append(pending)
        self.dispatch()

    def dispatch(self) -> None:
        """Send queued requests to servers with room; reject those that would miss their latency target."""
        now = self.port.now
        latency = self.selector.mean_latency()
        # A request that may be sent but finds no server blocks all requests behind it, unless its earlier
        # attempts restrict the servers that it may use.
        is_blocked = False
        for pending in self.queue.take_all():
            # The request's deadline timer may be late after a suspension of this process.
            if now > pending.request.deadline:
                self.upstreams.abort_request(pending)
            may_send = not pending.done and not is_blocked and self.limits.has_room(pending)
            upstream = self.selector.choose(pending) if may_send else None
            if upstream:
                self.upstreams.start_attempt(pending, upstream)
            elif pending.done:
                continue
            elif now + latency > pending.target_at:
                pending.retry_after = latency
                self.completion.finish(pending, Answer.REJECTED)
            else:
                self.queue.append(pending)
                is_blocked = is_blocked or (
                    not attempts_that_may_have_run(pending) and self.limits.has_room(pending)
                )
        self._check_again_later(now)

    def _check_again_later(self, now: float) -> None:
        """Schedule another dispatch if requests are waiting and none is scheduled yet."""
        if self.queue.waiting and now >= self._next_check_at:
            self._next_check_at = now + QUEUE_CHECK_SPACING * QUEUE_CHECK_INTERVAL_S
            self.port.call_later(QUEUE_CHECK_INTERVAL_S, self.dispatch)
