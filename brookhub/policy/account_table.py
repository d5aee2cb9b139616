"""The customers' records of one gateway: opened with a first request, dropped once they say nothing."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from ..model import Account, Request
from ..ports import Clock
from ..site import GatewaySettings
from .accounts import divide, open_account
from .constants import (
    IDLE_AFTER_HORIZONS,
    MAX_LENDERS_EXAMINED,
    RECORD_KEPT_FOR_S,
    RECORDS_CHECKED_AT_ONCE,
)
from .fleet_size import FleetSize


class AccountTable:
    """All accounts, iterated from the longest unused on."""

    def __init__(self, port: Clock, settings: GatewaySettings, fleet_size: FleetSize, horizon: float) -> None:
        """`horizon`: s, the reclaim horizon of loans."""
        self.port = port
        self.settings = settings
        self.fleet_size = fleet_size
        self.horizon = horizon
        self.launched_at = port.now
        self.granted_share = 1.0  # of each quota, that the counter seen from here may grant
        self._by_last_use: dict[Account, None] = {}

    def __iter__(self) -> Iterator[Account]:
        return iter(self._by_last_use)

    def __len__(self) -> int:
        return len(self._by_last_use)

    def open(self, request: Request) -> Account:
        """The account of a request's customer, a new one where there is none."""
        customer = request.customer
        account = customer.account
        if account is None or account not in self._by_last_use:
            account = open_account(
                customer,
                self.fleet_size.holders(request.quota_holders),
                self.settings,
                self.port.now,
                self.launched_at,
                self.granted_share,
            )
            account.announced_holders = request.quota_holders
            customer.account = account
        return account

    def mark_active(self, account: Account) -> None:
        """A request or the end of an attempt: the customer is active, which freezes new loans on it."""
        account.last_active_at = self.port.now
        self._by_last_use.pop(account, None)
        self._by_last_use[account] = None
        self._drop_old_records()

    def _drop_old_records(self) -> None:
        # Customers that come once, in crowds, are dropped as soon as they are no use as lenders either.
        few = len(self._by_last_use) <= MAX_LENDERS_EXAMINED
        kept_for = RECORD_KEPT_FOR_S if few else IDLE_AFTER_HORIZONS * self.horizon
        for account in list(islice(self._by_last_use, RECORDS_CHECKED_AT_ONCE)):
            # After that time its buckets are full: a new record would say the same.
            unused = self.port.now - account.last_active_at > max(kept_for, account.full_refill_time)
            if unused and not account.lent_units and not account.in_flight:
                del self._by_last_use[account]
                account.customer.account = None

    def divide_again(self) -> None:
        """Set all accounts' shares for the present size of the fleet and granted share."""
        for account in self._by_last_use:
            account.refill(self.port.now)
            account.granted_share = self.granted_share
            divide(account, self.fleet_size.holders(account.announced_holders))
            account.credit = min(account.credit, account.max_credit)

    def set_granted_share(self, granted_share: float) -> None:
        """The share of each quota that the counter may grant changed; with none, credits lapse."""
        self.granted_share = granted_share
        self.divide_again()
        if not granted_share > 0:
            for account in self._by_last_use:
                account.credit = 0.0
