"""Enforcement of a plan's hard ceiling by all gateways that hold it together."""

from __future__ import annotations

from ..model import Answer, PendingRequest
from ..ports import Clock
from .answers import CompletionStep
from .dispatcher import Dispatcher


class CeilingFilter:
    """Filter that enforces this gateway's share of a hard ceiling by delaying or rejecting requests."""

    def __init__(self, port: Clock, dispatcher: Dispatcher, completion: CompletionStep) -> None:
        """Create the filter. `completion`: first completion step of a request that is rejected here."""
        self.port = port
        self.dispatcher = dispatcher
        self.completion = completion

    def admit(self, pending: PendingRequest) -> None:
        """Pass a request on once the ceiling has room for it; reject it if that is too late.

        A request that is covered by a loan does not wait: it is rejected if the ceiling has no room now.
        """
        now = self.port.now
        wait = self._wait_time(pending, now)
        pending.retry_after = wait
        if not wait:
            passes_by_total = pending.ceiling_admission_at <= now
            pending.ceiling_units = 0.0 if passes_by_total else pending.request.units
            pending.account.ceiling.level -= pending.ceiling_units
            self.dispatcher.enqueue(pending)
        elif pending.loan or now + wait > pending.target_at:
            self.completion.finish(pending, Answer.REJECTED)
        else:
            self.port.call_later(wait, lambda: self._admit_unless_done(pending))

    def _admit_unless_done(self, pending: PendingRequest) -> None:
        if not pending.done:
            self.admit(pending)

    def _wait_time(self, pending: PendingRequest, now: float) -> float:
        """Return the seconds until the ceiling has room for a request.

        It may pass as soon as this gateway's share holds its units, or at `ceiling_admission_at`, which
        follows from its position in the counter's total.
        """
        account = pending.account
        if account.plan.ceiling_rate <= 0:
            return 0.0
        own_wait = account.ceiling.time_until(now, pending.request.units)
        return min(own_wait, max(0.0, pending.ceiling_admission_at - now))
