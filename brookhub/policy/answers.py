"""The end of a request: its single final answer, and the steps that release its resources."""

from __future__ import annotations

from typing import Protocol

from ..model import Answer, PendingRequest
from ..ports import AnswerPort
from .repeat_safety import attempts_that_may_have_run, is_safe_anywhere


class CompletionStep(Protocol):
    """A step at the end of a request, which releases resources and then calls the next step."""

    def finish(self, pending: PendingRequest, answer: Answer) -> None:
        """Complete a request with its final answer."""


class Responder:
    """The last completion step, which sends the final answer unless a server has already given it."""

    def __init__(self, port: AnswerPort, max_retry_after: float) -> None:
        """Create the step. `max_retry_after`: maximum Retry-After in seconds; 0: none is stated."""
        self.port = port
        self.max_retry_after = max_retry_after

    def finish(self, pending: PendingRequest, answer: Answer) -> None:
        """Answer the request.

        A rejection promises that the request is safe to repeat. If that is not certain, it fails instead.
        """
        request = pending.request
        pending.done = True
        pending.account.open_requests -= 1
        request.pending = None
        if pending.cancel_deadline:
            pending.cancel_deadline()
            pending.cancel_deadline = None
        if answer is Answer.SERVED:
            return
        is_safe = is_safe_anywhere(request.route) or not attempts_that_may_have_run(pending)
        if answer is Answer.REJECTED and is_safe:
            self.port.reject_request(request, min(pending.retry_after, self.max_retry_after))
        else:
            self.port.fail_request(request)
