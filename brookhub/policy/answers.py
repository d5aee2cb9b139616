"""The end of a request: its one final answer, and the steps that release what was held for it."""

from __future__ import annotations

from typing import Protocol

from ..model import Answer, PendingRequest
from ..ports import AnswerPort
from .repeat_safety import attempts_that_may_have_run, is_safe_anywhere


class CompletionStep(Protocol):
    """A step at the end of a request: releases what it holds and passes the end on to the step before it."""

    def finish(self, pending: PendingRequest, answer: Answer) -> None:
        """The request gets its final answer."""


class Responder:
    """The last completion step: gives the final answer, unless a server's answer was it."""

    def __init__(self, port: AnswerPort, max_retry_after: float) -> None:
        """`max_retry_after`: s that a client is told to wait, at most; 0: it is told nothing."""
        self.port = port
        self.max_retry_after = max_retry_after

    def finish(self, pending: PendingRequest, answer: Answer) -> None:
        """Answer the request.

        A rejection promises that it is safe to ask again; a request that can't have this promise fails.
        """
        request = pending.request
        pending.done = True
        request.pending = None
        if answer is Answer.SERVED:
            return
        is_safe = is_safe_anywhere(request.route) or not attempts_that_may_have_run(pending)
        if answer is Answer.REJECTED and is_safe:
            self.port.reject_request(request, min(pending.retry_after, self.max_retry_after))
        else:
            self.port.fail_request(request)
