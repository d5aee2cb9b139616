"""Counter calls of one gateway, made at a rate that the counter can answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..model import Account, Outcome
from ..ports import Clock, CounterPort
from ..site import GatewaySettings
from ..structures import AdaptiveRate, RandomGenerator
from .constants import (
    BACKGROUND_RESERVE,
    COUNT_LIFETIME_WINDOWS,
    COUNTER_BATCH_INTERVAL_S,
    COUNTER_RATE_LIMITS,
    INITIAL_COUNTER_CALLS_PER_S,
    LATE_ANSWER_SHARE,
    MAX_COUNT_LIFETIME_S,
)
from .quota_estimate import QuotaEstimator

WINDOW_NUMBER_BITS = 31
WINDOW_NUMBER_MASK = (1 << WINDOW_NUMBER_BITS) - 1


class TimedCounterPort(Clock, CounterPort, Protocol):
    """The functions of the gateway's port that counter calls need."""


def count_name(account: Account, window: int) -> int:
    """Return the name of a customer's count for a window, which is the same at all gateways."""
    return account.customer.id << WINDOW_NUMBER_BITS | window & WINDOW_NUMBER_MASK


class CounterReporter:
    """Reporter that adds admitted units to customers' counts, in the background or with a callback."""

    def __init__(
        self,
        port: TimedCounterPort,
        random: RandomGenerator,
        settings: GatewaySettings,
        estimator: QuotaEstimator,
    ) -> None:
        self.port = port
        self.random = random
        self.timeout = settings.counter_timeout  # In seconds; 0: there is no counter.
        self.estimator = estimator
        # All gateways may start at the same moment, and if they all call the counter at once, all of them get
        # late answers. Therefore each begins with its share of the initial rate.
        initial_rate = INITIAL_COUNTER_CALLS_PER_S / settings.gateways
        self.rate = AdaptiveRate(COUNTER_RATE_LIMITS, self.timeout, initial_rate, port.now)

    def may_call(self, reserve: float) -> bool:
        """Return whether a call may be made now that leaves a share (`reserve`) of the rate to other calls.

        Calls above the rate that the counter can answer would only time out.
        """
        return self.timeout > 0 and self.rate.allows(self.port.now, reserve)

    def add_in_background(self, account: Account, units: float) -> None:
        """Schedule units to be added to the count; negative units are subtracted."""
        if units and not account.unreported_units:
            delay = COUNTER_BATCH_INTERVAL_S * (0.5 + self.random.uniform())
            self.port.call_later(delay, lambda: self._report_if_allowed(account))
        account.unreported_units += units

    def _report_if_allowed(self, account: Account) -> None:
        """Add the unreported units if the call rate allows it, or try again later.

        Additions leave a reserve of the rate to calls that requests wait for. Returned (negative) units have
        priority and leave no reserve.
        """
        if not account.unreported_units:
            return
        if self.may_call(BACKGROUND_RESERVE * (account.unreported_units > 0)):
            self.report(account)
        else:
            self.port.call_later(COUNTER_BATCH_INTERVAL_S, lambda: self._report_if_allowed(account))

    def report(self, account: Account) -> None:
        """Add all unreported units to the count of the current window at once."""
        self.confirm(account, 0.0, lambda outcome: None)

    def confirm(self, account: Account, units: float, on_answer: Callable[[Outcome], None]) -> None:
        """Add `units` and all unreported units to the count of the current window.

        The account is updated with the total of the counter's answer. Then `on_answer` is called with the
        outcome.
        """
        window = account.window
        assert window is not None, "a window is begun before anything is added to it"
        total_before = account.window_total
        overflow_before = account.quota.overflow
        amount = units + account.unreported_units
        account.unreported_units = 0.0
        self.rate.consume()

        def answered(outcome: Outcome, total: float, duration: float) -> None:
            is_current_window = window == account.window
            self._adapt_rate(outcome, duration)
            if outcome is Outcome.OK:
                self.estimator.reported.add(self.port.now, amount)
                if is_current_window:
                    used_by_others = total - account.window_total - amount
                    self.estimator.apply_current_total(account, total, used_by_others)
                    account.window_total = total
                else:
                    used_by_others = total - total_before - amount
                    self.estimator.apply_past_total(account, used_by_others, overflow_before)
            elif outcome not in (Outcome.TIMEOUT, Outcome.DEFERRED) and is_current_window:
                # After TIMEOUT and DEFERRED, the counter may still add the amount.
                self.add_in_background(account, amount)
            on_answer(outcome)

        lifetime = COUNT_LIFETIME_WINDOWS * account.window_length
        self.port.add_to_counter(
            count_name(account, window), amount, min(MAX_COUNT_LIFETIME_S, lifetime), answered
        )

    def _adapt_rate(self, outcome: Outcome, duration: float) -> None:
        """Adapt the rate of calls to an answer. A broken connection is no evidence of the counter's load."""
        is_late = outcome is Outcome.BUSY or duration >= LATE_ANSWER_SHARE * self.timeout
        is_quick = outcome is Outcome.OK and not is_late
        self.rate.record_answer(self.port.now, is_quick, is_late)
