"""The windows in which a customer's units are counted, with a different phase for each customer."""

from __future__ import annotations

from math import floor, inf

from ..model import Account
from ..ports import Clock
from .constants import BACKGROUND_RESERVE, GOLDEN_RATIO, TIMER_MARGIN_S
from .counter_reports import CounterReporter
from .quota_estimate import QuotaEstimator


def phase(account: Account) -> float:
    """Return the share of a window by which a customer's windows start early.

    The phases spread the customers' window starts over time.
    """
    return account.customer.id * GOLDEN_RATIO % 1.0


class CounterWindows:
    """Component that moves accounts on to the current counter window."""

    def __init__(self, port: Clock, reporter: CounterReporter, estimator: QuotaEstimator) -> None:
        self.port = port
        self.reporter = reporter
        self.estimator = estimator

    def advance(self, account: Account) -> None:
        """Begin a new window if one is due.

        If a counter call is allowed, the unreported units are first added to the count of the previous
        window, and the answer contains its total. Otherwise these units are never reported.
        """
        now = self.port.now
        length = account.window_length
        position = now / length + phase(account)
        number = floor(position)
        if number == account.window:
            return
        quota = account.quota
        window_began_at = now - position % 1.0 * length
        quota.available(max(quota.updated_at, window_began_at))
        if number - 1 == account.window and self.reporter.may_call(BACKGROUND_RESERVE):
            self.reporter.report(account)
        self.estimator.unreported.add(now, account.unreported_units)
        account.window = number
        account.window_total = 0.0
        account.unreported_units = 0.0
        account.window_used = inf
        quota.overflow = 0.0
        if now - account.last_active_at < length:
            time_left = (number + 1 - position) * length
            self.port.call_later(time_left + TIMER_MARGIN_S, lambda: self.advance(account))
