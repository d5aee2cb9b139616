"""This gateway's share of the limits of a plan: the hard ceiling and the cap on requests in flight."""

from __future__ import annotations

from ..model import Answer, PendingRequest
from .answers import CompletionStep


class PlanLimits:
    """Completion step that releases the limits used by a request; checks the cap on requests in flight."""

    def __init__(self, next_step: CompletionStep) -> None:
        self.next_step = next_step

    def has_room(self, pending: PendingRequest) -> bool:
        """Return whether the cap on requests in flight allows a request to be sent.

        It is checked when a request is to be sent: requests in the queue don't count towards the cap.
        """
        account = pending.account
        cap = account.plan.max_concurrency
        if not cap or pending.sent:
            return True
        return account.in_flight < max(1, round(cap / account.holders))

    def finish(self, pending: PendingRequest, answer: Answer) -> None:
        """Release a request's slot in the cap, or return its units to the ceiling if it was never sent."""
        account = pending.account
        if pending.sent:
            account.in_flight -= 1
        else:
            account.ceiling.level += pending.ceiling_units
        self.next_step.finish(pending, answer)
