"""Estimation of a customer's quota and of unreported use from the counter's totals."""

from __future__ import annotations

from ..model import Account
from ..ports import Clock
from ..structures import DecayingSum
from .constants import EMPTIED_COUNTER_DROP, MAX_UNREPORTED_FACTOR, MEMORY_S


class QuotaEstimator:
    """Estimator that updates accounts with totals of the counter.

    While counter calls are scarce, gateways report only a part of the units that they admit. All gateways are
    assumed to report the same share of their units as this one, which `unreported` and `reported` measure.
    """

    def __init__(self, port: Clock, max_request_units: float) -> None:
        self.port = port
        self.max_request_units = max_request_units
        self.unreported = DecayingSum(MEMORY_S)  # Units not reported by the end of their window.
        self.reported = DecayingSum(MEMORY_S)  # Units confirmed by the counter.

    def apply_current_total(self, account: Account, total: float, used_by_others: float) -> None:
        """Update an account with the total of the current window.

        `used_by_others`: units that other gateways added since the last known total.
        """
        account.quota.available(self.port.now)
        factor = self._unreported_factor()
        overflow = account.quota.overflow
        used = self._ignore_emptied_counter(used_by_others) * factor
        account.window_used = total * factor
        account.quota.overflow = max(0.0, overflow - max(0.0, used))
        self._charge(account, used, overflow)

    def apply_past_total(self, account: Account, used_by_others: float, overflow: float) -> None:
        """Update an account with the total of an earlier window.

        `used_by_others`: units that other gateways added since the last known total; `overflow`: units that
        overflowed the quota in that window.
        """
        account.quota.available(self.port.now)
        used = self._ignore_emptied_counter(used_by_others) * self._unreported_factor()
        self._charge(account, used, overflow)

    def _unreported_factor(self) -> float:
        """Return the ratio of used to reported units, estimated from this gateway's own reports."""
        now = self.port.now
        unreported_ratio = max(0.0, self.unreported.value(now)) / max(1.0, self.reported.value(now))
        return min(MAX_UNREPORTED_FACTOR, 1.0 + unreported_ratio)

    def _ignore_emptied_counter(self, used_by_others: float) -> float:
        """Return the units used by others, or 0 if the counter was emptied.

        The level of the quota that this gateway knows remains valid when the counter is emptied.
        """
        was_emptied = used_by_others < -EMPTIED_COUNTER_DROP * self.max_request_units
        return 0.0 if was_emptied else used_by_others

    def _charge(self, account: Account, used: float, overflow: float) -> None:
        """Take the units used by others out of the quota and set the dependent buckets by its new level.

        Others are assumed to have used the units that overflowed the quota since the last total first; only
        the units beyond these lower the level. The level may fall below 0 by up to half a burst, or by the
        largest request if that is more: the units of rejected requests are counted until they are returned,
        and their return must not make room.
        """
        now = self.port.now
        quota = account.quota
        beyond_overflow = max(min(0.0, used), used - overflow)
        max_debt = min(-self.max_request_units, -quota.depth / 2)
        quota.level = max(max_debt, quota.level - beyond_overflow)
        account.own_share.level = quota.level / account.holders
        account.own_share.updated_at = now
        account.unconfirmed.level = quota.level * account.unconfirmed_share
        account.unconfirmed.updated_at = now
        account.total_known_at = now
        account.credit = account.max_credit if 2 * quota.level > quota.depth else 0.0
