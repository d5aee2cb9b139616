"""Management of attempts: start, evaluation of results, retries and cancellation."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from weakref import ref

from ..model import Answer, Attempt, Outcome, PendingRequest, Upstream
from ..ports import AttemptPort, Clock
from .answers import CompletionStep
from .constants import SLOW_ATTEMPT_SHARE
from .outlier_detection import expected_latency, record_result
from .request_queue import RequestQueue
from .retries import RetryPolicy
from .server_selection import ServerSelector


class TimedAttemptPort(Clock, AttemptPort, Protocol):
    """The functions of the gateway's port that attempts need."""


def slow_threshold(attempt: Attempt) -> float:
    """Return the seconds after which an attempt is slow."""
    return SLOW_ATTEMPT_SHARE * attempt.request.route.latency_target


@dataclass(frozen=True)
class AttemptOptions:
    """Settings for attempts."""

    can_cancel: bool  # Whether attempts in flight may be cancelled.
    loan_timeout: float  # Timeout in seconds of an attempt that is covered by a loan: the reclaim horizon.


class Upstreams:
    """Manager of the attempts of all requests, from their start to their results."""

    def __init__(
        self,
        port: TimedAttemptPort,
        selector: ServerSelector,
        retries: RetryPolicy,
        queue: RequestQueue,
        completion: CompletionStep,
        options: AttemptOptions,
    ) -> None:
        """Create the manager of attempts. `completion`: first completion step of each queued request."""
        self.port = port
        self.random = selector.random
        self.selector = selector
        self.subset = selector.subset
        self.limit = selector.limit
        self.retries = retries
        self.queue = queue
        self.completion = completion
        self.options = options

    def start_attempt(self, pending: PendingRequest, upstream: Upstream) -> None:
        """Send a request to a server."""
        now = self.port.now
        request = pending.request
        if not pending.sent:
            pending.account.in_flight += 1
            pending.sent = True
        upstream.slow_start.level -= 1
        self.subset.statistics.attempts.add(now, 1)
        self.subset.coordination.attempt_started(upstream.server.id)
        self.retries.attempt_started(is_retry=bool(request.attempts))
        timeout = self.options.loan_timeout if pending.loan else 0.0
        attempt = self.port.start_attempt(request, upstream.server, timeout)
        attempt.upstream = upstream
        upstream.in_flight.append(attempt)
        self.limit.in_flight += 1
        attempt_reference = ref(attempt)  # The timer must not keep the request in memory once it is answered.
        self.port.call_later(slow_threshold(attempt), lambda: self._cancel_if_slow(attempt_reference()))

    def attempt_ended(self, attempt: Attempt, duration: float, answered: bool) -> None:
        """Handle the end of an attempt of `duration` seconds.

        `answered`: whether it brought the request's final answer.
        """
        pending = attempt.request.pending
        upstream = attempt.upstream
        assert upstream is not None, "the upstream of an attempt is set when the attempt starts"
        upstream.in_flight.remove(attempt)
        self.limit.in_flight -= 1
        self._record_outcome(upstream, attempt, duration)
        if pending is None:
            return
        if answered:
            self.retries.attempt_succeeded(is_retry=attempt.index > 0)
            self.completion.finish(pending, Answer.SERVED)
        elif attempt.outcome is Outcome.CANCELLED or self.retries.may_retry(pending):
            self.queue.push_front(pending)
        else:
            self.completion.finish(pending, Answer.FAILED)

    def abort_request(self, pending: PendingRequest, client_left: bool = False) -> None:
        """End a request whose deadline has passed or whose client has disconnected.

        A deadline does not end a request whose answer has begun, because the client is already receiving it.
        """
        if pending.done or (pending.response_started and not client_left):
            return
        if self.options.can_cancel:
            for attempt in pending.request.attempts:
                if not attempt.outcome:
                    self.port.cancel_attempt(attempt)
        self.completion.finish(pending, Answer.FAILED)

    def _record_outcome(self, upstream: Upstream, attempt: Attempt, duration: float) -> None:
        """Update the server's record and the concurrency limit with the result of an attempt.

        An attempt that was not sent or was cancelled early gives no evidence. One that was cancelled because
        it was slow counts as a failure, no matter whether its work or only its answer was lost.
        """
        outcome = attempt.outcome
        assert outcome is not None, "the outcome of an attempt is set before its end is reported"
        threshold = slow_threshold(attempt)
        if outcome is Outcome.NOT_SENT or (outcome is Outcome.CANCELLED and duration < threshold):
            return
        record_result(upstream, outcome, duration, self.port.now, self.random)
        if outcome is not Outcome.BUSY:
            self.subset.coordination.attempt_ended(upstream.server.id, outcome)
        if outcome is Outcome.OK:
            self.limit.record_answer(duration)
        self._adapt_limit(upstream, outcome, self.limit.is_slow(duration, threshold))
        if upstream.consecutive_rejections:
            self.subset.refresh_soon()

    def _adapt_limit(self, upstream: Upstream, outcome: Outcome, is_slow: bool) -> None:
        """Decrease or increase the limit on attempts in flight.

        Slow attempts at a server that rejects do not decrease it, because they are no evidence about other
        servers. Those at a warming server do not either, because slow start limits it.
        """
        if is_slow:
            if not upstream.consecutive_rejections and self.subset.slow_start.is_warm(upstream):
                self.limit.decrease(outcome, len(self.subset.servers))
        elif outcome is Outcome.OK:
            self.limit.increase()

    def _cancel_if_slow(self, attempt: Attempt | None) -> None:
        """Cancel an attempt that has no result yet, if another server is expected to answer in time."""
        pending = attempt.request.pending if attempt else None
        if attempt is None or pending is None:
            return  # The request has its final answer.
        if attempt.outcome or pending.response_started:
            return
        if pending.loan or self.queue.waiting or not self.options.can_cancel:
            return
        if not self.retries.may_retry(pending):
            return
        other = self.selector.choose(pending)
        if other is None or other is attempt.upstream:
            return
        now = self.port.now
        typical_latency = self.selector.mean_latency()
        if now + 2 * expected_latency(other, now, typical_latency) < pending.target_at:
            self.port.cancel_attempt(attempt)
