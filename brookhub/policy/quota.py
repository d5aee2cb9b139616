"""The counter rule: enforcement of quotas by a count of each customer's units over all gateways.

Each admitted unit is added to the customer's count for a window of burst / rate seconds. Inside its own share
a gateway admits at once and adds the units in the background. Beyond its share it asks the counter first and
admits while the total leaves room. Source: DESIGN and PAPER of fair-share-ceiling (docs/design.md).
"""

from __future__ import annotations

from math import inf

from ..model import Account, Answer, Outcome, PendingRequest
from ..ports import Clock
from ..structures import RandomGenerator
from .answers import CompletionStep
from .constants import (
    BACKGROUND_RESERVE,
    MAX_EXHAUSTED_S,
    SOFT_PLAN_RESERVE,
    TIMER_MARGIN_S,
    TOTAL_FRESH_FOR_S,
)
from .counter_reports import CounterReporter
from .counter_windows import CounterWindows, phase
from .loans import LoanFilter


class QuotaLedger:
    """Completion step that takes units out of customers' quotas and returns unused ones."""

    def __init__(self, port: Clock, reporter: CounterReporter, next_step: CompletionStep) -> None:
        self.port = port
        self.reporter = reporter
        self.next_step = next_step

    def spend(self, pending: PendingRequest, units: float, report: bool = True) -> None:
        """Take units out of the quota, or return them if negative.

        `report`: whether to add them to the customer's count in the background.
        """
        account = pending.account
        pending.counted_units += units
        account.consume(self.port.now, units)
        self.reporter.add_in_background(account, units if report else 0.0)

    def finish(self, pending: PendingRequest, answer: Answer) -> None:
        """Return the units of a request that was not sent.

        Units that were counted in an earlier window are not subtracted from the current count, because that
        would make room that the current window does not have.
        """
        is_current_window = pending.window == pending.account.window
        self.spend(pending, 0.0 if pending.sent else -pending.counted_units, is_current_window)
        self.next_step.finish(pending, answer)


class QuotaFilter:
    """Filter that decides whether a request is inside its customer's quota."""

    def __init__(
        self,
        port: Clock,
        random: RandomGenerator,
        ledger: QuotaLedger,
        windows: CounterWindows,
        loans: LoanFilter,
    ) -> None:
        self.port = port
        self.random = random
        self.ledger = ledger
        self.reporter = ledger.reporter
        self.windows = windows
        self.loans = loans

    def admit(self, pending: PendingRequest) -> None:
        """Pass a request on as inside or beyond the quota, at once or after the counter's answer."""
        account = pending.account
        request = pending.request
        now = self.port.now
        if account.plan.rate <= 0:
            self.loans.admit(pending)
            return
        self.windows.advance(account)
        is_inside = self._is_inside_own_share(account, request.units)
        is_exhausted = now < account.exhausted_until and (
            request.is_retry or not self.reporter.may_call(BACKGROUND_RESERVE)
        )
        if is_exhausted or account.quota.available(now) < request.units:
            self._admit_beyond_quota(pending)
            return
        rate = self.reporter.rate
        rate.demand.add(now, 0.0 if is_inside or pending.counter_deadline else 1.0)
        # While counter calls are scarce, retries of clients have the lowest priority, because they were
        # rejected a moment ago. Requests of soft plans have the second lowest.
        reserve = BACKGROUND_RESERVE if request.is_retry else SOFT_PLAN_RESERVE * pending.may_borrow
        calls_counter = not is_inside and self.reporter.may_call(reserve)
        pending.counter_deadline = pending.counter_deadline or now + self.reporter.timeout
        call_delay = rate.time_until_allowed(now, reserve)
        if not (is_inside or calls_counter) and now + call_delay < pending.counter_deadline:
            # Bursts of counter calls are short, and the counter's answer is worth the delay.
            self.port.call_later(call_delay + TIMER_MARGIN_S, lambda: self._admit_unless_done(pending))
            return
        pending.window = account.window
        self.ledger.spend(pending, request.units, report=not calls_counter)
        if is_inside:
            self.loans.admit(pending)
        elif calls_counter:
            self.reporter.confirm(
                account, request.units, lambda outcome: self._counter_answered(pending, outcome)
            )
        else:
            self._decide_admission(pending, Outcome.NOT_SENT)

    def _admit_unless_done(self, pending: PendingRequest) -> None:
        if not pending.done:
            self.admit(pending)

    def _is_inside_own_share(self, account: Account, units: float) -> bool:
        """Return whether this gateway's share holds the units according to a recent total.

        If requests may also pass the ceiling by the window's total (`shared_ceiling_rate` is above 0), this
        gateway's share of the ceiling must hold the units as well.
        """
        now = self.port.now
        has_room = account.own_share.available(now) >= units
        if not has_room or now - account.total_known_at >= TOTAL_FRESH_FOR_S:
            return False
        return not account.shared_ceiling_rate or account.ceiling.available(now) >= units

    def _counter_answered(self, pending: PendingRequest, outcome: Outcome) -> None:
        if not pending.done:
            self._decide_admission(pending, outcome)

    def _decide_admission(self, pending: PendingRequest, outcome: Outcome) -> None:
        """Admit a request whose units were taken out of the quota, or return them if they do not fit.

        `outcome`: outcome of the counter call.
        """
        account = pending.account
        is_confirmed = outcome is Outcome.OK
        fits = account.quota.available(self.port.now) >= 0
        if not is_confirmed:
            fits = self._fits_unconfirmed(pending, fits)
        elif not fits:
            self._mark_exhausted(account, pending.request.units)
        if not fits:
            # If the call timed out, its units may not have been added, so they are not subtracted either.
            self.ledger.spend(pending, -pending.counted_units, report=outcome is not Outcome.TIMEOUT)
            self._admit_beyond_quota(pending)
            return
        if is_confirmed and account.shared_ceiling_rate and pending.window == account.window:
            self._set_ceiling_admission(pending, account)
        self.loans.admit(pending)

    def _fits_unconfirmed(self, pending: PendingRequest, fits: bool) -> bool:
        """Return whether the unconfirmed share or the credit admits a request without the counter."""
        account = pending.account
        unconfirmed = account.unconfirmed
        is_short = fits and unconfirmed.available(self.port.now) < 0 and not pending.request.is_retry
        if is_short and account.credit >= pending.counted_units:
            unconfirmed.level += pending.counted_units
            account.credit = 0.0
        return fits and unconfirmed.level >= 0

    def _mark_exhausted(self, account: Account, units: float) -> None:
        """Rely for some time on the counter's answer that there is no room.

        During this time the counter is not asked for retries of clients, nor for other requests while calls
        are scarce. On average, this gateway's share of the rate accrues half of the request's units in this
        time, unless MAX_EXHAUSTED_S limits it. The other gateways are expected to use all units that accrue
        until then.
        """
        wait = min(MAX_EXHAUSTED_S, units * account.holders / account.plan.rate / 2)
        account.exhausted_until = self.port.now + wait * (0.5 + self.random.uniform())

    def _set_ceiling_admission(self, pending: PendingRequest, account: Account) -> None:
        """Set the time at which a request may pass the ceiling by its position in the window's total."""
        length = account.window_length
        delay = account.window_used / account.shared_ceiling_rate
        assert pending.window is not None
        window_starts_at = (pending.window - phase(account)) * length
        pending.ceiling_admission_at = window_starts_at + delay if delay <= length else inf

    def _admit_beyond_quota(self, pending: PendingRequest) -> None:
        """Pass on a request that can only be admitted by a loan."""
        now = self.port.now
        account = pending.account
        pending.beyond_quota = True
        pending.retry_after = max(
            account.quota.time_until(now, pending.request.units), account.exhausted_until - now
        )
        self.loans.admit(pending)
