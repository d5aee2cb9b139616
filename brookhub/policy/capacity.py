"""Loans of idle customers' room, and hard ceilings."""

from itertools import islice, takewhile

from ..model import Answer
from ..pipeline import Stage
from .constants import IDLE, LENDERS
from .repeats import attempts_that_may_have_run


class Loans(Stage):
    """Idle customers' room, lent whole to customers on soft plans, for a horizon at most."""

    def __init__(self, port, queue, accounts, horizon):
        self.port, self.queue, self.accounts, self.horizon = port, queue, accounts, horizon

    def take(self, pending):
        lacks_room = pending.beyond_quota and not self.lend(pending)
        self.before.ended(pending, Answer.REJECTED) if lacks_room else self.next.take(pending)

    def lend(self, pending):
        now, units, loan = self.port.now, pending.request.units, []
        fits = (
            pending.may_borrow
            and pending.request.route.latency_target <= self.horizon
            and self.next.has_room(pending)
        )
        if not fits or self.queue.waiting or not self.queue.next.choose_server(pending):
            return False  # loans only fill what is free: they never wait before those inside their quota
        quiet = takewhile(lambda one: now - one.last_active_at > IDLE * self.horizon, self.accounts)
        idle = [one for one in islice(quiet, LENDERS) if not one.in_flight and self.free(one) > 0]
        for lender in sorted(idle, key=self.free, reverse=True):
            loan.append((lender, min(self.free(lender), units)))
            units -= loan[-1][1]
        pending.loan = loan if units <= 0 else None
        self.book(pending.loan or (), 1)
        return pending.loan

    def free(self, account):  # of a guarantee: the gateway's part of the rate times the horizon
        return account.plan.rate / account.holders * self.horizon - account.lent_units

    def book(self, loan, sign):
        for lender, units in loan:
            lender.lent_units += sign * units

    def ended(self, pending, answer):
        loan, pending.loan = pending.loan, None
        if loan:  # cut short, the work may go on at its server: the loan counts for one more horizon
            over = answer is Answer.SERVED or not attempts_that_may_have_run(pending)
            self.port.later(0.0 if over else self.horizon, lambda: self.book(loan, -1))
        self.before.ended(pending, answer)


class Ceiling(Stage):
    """This gateway's part of a customer's hard ceiling and of its cap on attempts: work waits for it."""

    def take(self, pending):
        account, now, wait = pending.account, self.port.now, 0.0
        if account.plan.ceiling_rate > 0:
            wait = min(
                account.ceiling.wait(now, pending.request.units), max(0.0, pending.ceiling_turn_at - now)
            )
        pending.retry_after = wait
        if not wait:
            pending.ceiling_units = 0.0 if pending.ceiling_turn_at <= now else pending.request.units
            account.ceiling.level -= pending.ceiling_units
            self.next.take(pending)
        elif pending.loan or now + wait > pending.target_at:
            self.before.ended(pending, Answer.REJECTED)
        else:
            self.port.later(wait, lambda: pending.done or self.take(pending))

    def ended(self, pending, answer):
        pending.account.in_flight -= pending.sent
        pending.account.ceiling.level += 0.0 if pending.sent else pending.ceiling_units
        self.before.ended(pending, answer)

    def has_room(self, pending):  # asked as it is sent: what only waits in the queue does not fill the cap
        account, cap = pending.account, pending.account.plan.max_concurrency
        return not cap or pending.sent or account.in_flight < max(1, round(cap / account.holders))
