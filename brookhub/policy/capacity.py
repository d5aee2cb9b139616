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

    def take(self, request):
        lacks_room = request.beyond_quota and not self.lend(request)
        self.before.ended(request, Answer.REJECTED) if lacks_room else self.next.take(request)

    def lend(self, request):
        now, units, loan = self.port.now, request.call.units, []
        fits = request.soft and request.call.route.target <= self.horizon and self.next.has_room(request)
        if not fits or self.queue.waiting or not self.queue.next.choose_server(request):
            return False  # loans only fill what is free: they never wait before those inside their quota
        quiet = takewhile(lambda one: now - one.active_at > IDLE * self.horizon, self.accounts)
        idle = [one for one in islice(quiet, LENDERS) if not one.in_flight and self.free(one) > 0]
        for lender in sorted(idle, key=self.free, reverse=True):
            loan.append((lender, min(self.free(lender), units)))
            units -= loan[-1][1]
        request.loan = loan if units <= 0 else None
        self.book(request.loan or (), 1)
        return request.loan

    def free(self, account):  # of a guarantee: the gateway's part of the rate times the horizon
        return account.plan.rate / account.gateways * self.horizon - account.lent

    def book(self, loan, sign):
        for lender, units in loan:
            lender.lent += sign * units

    def ended(self, request, answer):
        loan, request.loan = request.loan, None
        if loan:  # cut short, the work may go on at its server: the loan counts for one more horizon
            over = answer is Answer.SERVED or not attempts_that_may_have_run(request)
            self.port.later(0.0 if over else self.horizon, lambda: self.book(loan, -1))
        self.before.ended(request, answer)


class Ceiling(Stage):
    """This gateway's part of a customer's hard ceiling and of its cap on attempts: work waits for it."""

    def take(self, request):
        account, now, wait = request.account, self.port.now, 0.0
        if account.plan.ceiling_rate > 0:
            wait = min(account.ceiling.wait(now, request.call.units), max(0.0, request.turn_at - now))
        request.retry_after = wait
        if not wait:
            request.drawn = 0.0 if request.turn_at <= now else request.call.units
            account.ceiling.level -= request.drawn
            self.next.take(request)
        elif request.loan or now + wait > request.target_at:
            self.before.ended(request, Answer.REJECTED)
        else:
            self.port.later(wait, lambda: request.done or self.take(request))

    def ended(self, request, answer):
        request.account.in_flight -= request.sent
        request.account.ceiling.level += 0.0 if request.sent else request.drawn
        self.before.ended(request, answer)

    def has_room(self, request):  # asked as it is sent: what only waits in the queue does not fill the cap
        account, cap = request.account, request.account.plan.open_cap
        return not cap or request.sent or account.in_flight < max(1, round(cap / account.gateways))
