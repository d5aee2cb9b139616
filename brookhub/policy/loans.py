"""Loans of unused quota from idle customers to customers on soft plans, for one horizon at most.

A loan covers a whole request or nothing, and starts with the idle lender that has the most free units. It is
granted only if no request waits in the queue and a server has room, so that it never delays requests inside
their quota. Source: DESIGN and PAPER of fair-share-ceiling (docs/design.md).
"""

from __future__ import annotations

from itertools import islice, takewhile

from ..model import Account, Answer, LoanPart, PendingRequest
from ..ports import Clock
from .account_table import AccountTable
from .answers import CompletionStep
from .ceiling import CeilingFilter
from .constants import IDLE_AFTER_HORIZONS, MAX_LENDERS_EXAMINED
from .plan_limits import PlanLimits
from .repeat_safety import attempts_that_may_have_run
from .request_queue import RequestQueue
from .server_selection import ServerSelector


class LoanBook:
    """Loans from idle customers, with a record of the units that each customer has lent."""

    def __init__(
        self, port: Clock, accounts: AccountTable, horizon: float, next_step: CompletionStep
    ) -> None:
        """Create the book.

        `horizon`: reclaim horizon in seconds, within which a lender gets back all units that it has lent.
        """
        self.port = port
        self.accounts = accounts
        self.horizon = horizon
        self.next_step = next_step

    def borrow(self, units: float) -> list[LoanPart] | None:
        """Return a loan of `units`, recorded at its lenders, or None if idle customers can't lend all."""
        now = self.port.now
        idle_for = IDLE_AFTER_HORIZONS * self.horizon
        idle = takewhile(lambda account: now - account.last_active_at > idle_for, self.accounts)
        lenders = [
            account
            for account in islice(idle, MAX_LENDERS_EXAMINED)
            if not account.in_flight and self._free_units(account) > 0
        ]
        missing = units
        loan: list[LoanPart] = []
        for lender in sorted(lenders, key=self._free_units, reverse=True):
            if missing <= 0:
                break
            part = LoanPart(lender, min(self._free_units(lender), missing))
            loan.append(part)
            missing -= part.units
        if missing > 0:
            return None
        for lender, lent in loan:
            lender.lent_units += lent
        return loan

    def finish(self, pending: PendingRequest, answer: Answer) -> None:
        """Return the loan of a request that has its final answer.

        If the request was aborted, a server may still be working on it, so the loan lasts one more horizon.
        """
        loan = pending.loan
        pending.loan = None
        if loan:
            work_is_over = answer is Answer.SERVED or not attempts_that_may_have_run(pending)
            self.port.call_later(0.0 if work_is_over else self.horizon, lambda: self._return_loan(loan))
        self.next_step.finish(pending, answer)

    def _free_units(self, account: Account) -> float:
        """Return the units of the account's guarantee that are not lent.

        The guarantee is this gateway's share of the rate times the horizon.
        """
        return account.plan.rate / account.holders * self.horizon - account.lent_units

    def _return_loan(self, loan: list[LoanPart]) -> None:
        for lender, lent in loan:
            lender.lent_units -= lent


class LoanFilter:
    """Filter that rejects requests beyond their quota, unless a loan covers them."""

    def __init__(
        self,
        book: LoanBook,
        queue: RequestQueue,
        selector: ServerSelector,
        limits: PlanLimits,
        ceiling: CeilingFilter,
        completion: CompletionStep,
    ) -> None:
        """Create the filter. `completion`: first completion step of a request that is rejected here."""
        self.book = book
        self.queue = queue
        self.selector = selector
        self.limits = limits
        self.ceiling = ceiling
        self.completion = completion

    def admit(self, pending: PendingRequest) -> None:
        """Pass on a request that is inside its quota or covered by a loan; reject it otherwise."""
        if pending.beyond_quota and not self._covered_by_loan(pending):
            self.completion.finish(pending, Answer.REJECTED)
        else:
            self.ceiling.admit(pending)

    def _covered_by_loan(self, pending: PendingRequest) -> bool:
        fits_horizon = pending.request.route.latency_target <= self.book.horizon
        if not (pending.may_borrow and fits_horizon and self.limits.has_room(pending)):
            return False
        if self.queue.waiting or not self.selector.choose(pending):
            return False
        pending.loan = self.book.borrow(pending.request.units)
        return bool(pending.loan)
