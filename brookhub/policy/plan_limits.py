"""This gateway's share of a plan's own limits: the hard ceiling and the cap on requests in flight."""

from __future__ import annotations

from ..model import Answer, PendingRequest
from .answers import CompletionStep


class PlanLimits:
    """This gateway's share of a customer's limits, and the release of what requests took of it."""

    def __init__(self, previous: CompletionStep) -> None:
        self.previous = previous

    def has_room(self, pending: PendingRequest) -> bool:
        """Whether the cap on requests in flight lets a request be sent.

        Asked as it is sent: what only waits in the queue does not fill the cap.
        """
        account = pending.account
        cap = account.plan.max_concurrency
        if not cap or pending.sent:
            return True
        return account.in_flight < max(1, round(cap / account.holders))

    def finish(self, pending: PendingRequest, answer: Answer) -> None:
        """Release a request's place in flight, or its units of the ceiling if it was never sent."""
        account = pending.account
        if pending.sent:
            account.in_flight -= 1
        else:
            account.ceiling.level += pending.ceiling_units
        self.previous.finish(pending, answer)
