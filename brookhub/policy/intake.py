"""The first filter, which rejects requests that would wait too long and starts the deadline timer."""

from __future__ import annotations

from ..model import Answer, PendingRequest
from ..ports import Clock
from .answers import Responder
from .dispatcher import Dispatcher
from .quota import QuotaFilter
from .upstreams import Upstreams


class DeadlineTimer:
    """The timer of a request's deadline. Once it is cancelled, it keeps nothing of the request in memory."""

    __slots__ = ("_pending", "_upstreams")

    def __init__(self, upstreams: Upstreams, pending: PendingRequest) -> None:
        self._upstreams = upstreams
        self._pending: PendingRequest | None = pending

    def cancel(self) -> None:
        """Release the request, which has its final answer."""
        self._pending = None

    def expire(self) -> None:
        """End the request at its deadline, unless it has its final answer."""
        if self._pending:
            self._upstreams.abort_request(self._pending)


class IntakeFilter:
    """Filter that makes sure that each request gets exactly one final answer by its deadline."""

    def __init__(
        self,
        port: Clock,
        dispatcher: Dispatcher,
        upstreams: Upstreams,
        responder: Responder,
        quota: QuotaFilter,
    ) -> None:
        self.port = port
        self.dispatcher = dispatcher
        self.upstreams = upstreams
        self.responder = responder
        self.quota = quota

    def accept(self, pending: PendingRequest) -> None:
        """Start a request, or reject it if the queue is too long for its latency target."""
        request = pending.request
        request.pending = pending
        # Checked before any units are counted: a request that is rejected here must not use the quota.
        pending.retry_after = self.dispatcher.excessive_wait(pending)
        if pending.retry_after:
            self.responder.finish(pending, Answer.REJECTED)
        else:
            self.quota.admit(pending)
        if not pending.done:
            time_left = max(0.0, request.deadline - self.port.now)
            timer = DeadlineTimer(self.upstreams, pending)
            pending.cancel_deadline = timer.cancel
            self.port.call_later(time_left, timer.expire)
