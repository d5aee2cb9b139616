"""The customer records of one gateway, created on the first request and deleted once they are of no use."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from math import inf

from ..model import Account, Request
from ..ports import Clock
from ..site import GatewaySettings
from .accounts import open_account, set_shares
from .constants import (
    IDLE_AFTER_HORIZONS,
    MAX_LENDERS_EXAMINED,
    RECORD_KEPT_FOR_S,
    RECORDS_CHECKED_AT_ONCE,
)
from .fleet_size import FleetSize


class AccountTable:
    """All accounts, iterated from the least to the most recently used."""

    def __init__(
        self,
        port: Clock,
        settings: GatewaySettings,
        fleet_size: FleetSize,
        horizon: float,
        max_accounts: float = inf,
    ) -> None:
        """Create an empty table.

        `horizon`: reclaim horizon of loans, in seconds; `max_accounts`: number of accounts that fit into the
        memory.
        """
        self.port = port
        self.settings = settings
        self.fleet_size = fleet_size
        self.horizon = horizon
        self.max_accounts = max_accounts
        self.launched_at = port.now
        self.granted_share = 1.0  # Share of each quota that the counter reachable from here may grant.
        self._by_last_use: dict[Account, None] = {}

    def __iter__(self) -> Iterator[Account]:
        return iter(self._by_last_use)

    def __len__(self) -> int:
        return len(self._by_last_use)

    def open(self, request: Request) -> Account | None:
        """Return the account of a request's customer, creating it if there is none.

        Returns None if there is no memory for it and no other account may be deleted.
        """
        customer = request.customer
        account = customer.account
        if account is None or account not in self._by_last_use:
            if len(self._by_last_use) >= self.max_accounts and not self._delete_for_another():
                return None
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
        """Record that a customer is active; it grants no new loans until it is idle again."""
        account.last_active_at = self.port.now
        self._by_last_use.pop(account, None)
        self._by_last_use[account] = None
        self._delete_old_records()

    def _delete_old_records(self) -> None:
        # Large numbers of customers with a single request each would fill the table. If it has more records
        # than a loan examines, records are deleted as soon as their customers are idle.
        all_are_examined = len(self._by_last_use) <= MAX_LENDERS_EXAMINED
        kept_for = RECORD_KEPT_FOR_S if all_are_examined else IDLE_AFTER_HORIZONS * self.horizon
        for account in list(islice(self._by_last_use, RECORDS_CHECKED_AT_ONCE)):
            # After the full refill time its buckets are full, so a new record would be equal.
            unused = self.port.now - account.last_active_at > max(kept_for, account.full_refill_time)
            if unused and not account.lent_units and not account.in_flight:
                self._delete(account)

    def _delete_for_another(self) -> bool:
        """Delete one of the longest unused accounts; return False if none may be deleted.

        Its customer may get units of its quota again, but nothing beyond its ceiling: the account of a
        customer that has used some of its ceiling is kept.
        """
        for account in islice(self._by_last_use, RECORDS_CHECKED_AT_ONCE):
            ceiling = account.ceiling
            may_forget = not account.plan.ceiling_rate or ceiling.available(self.port.now) >= ceiling.depth
            if may_forget and not account.lent_units and not account.open_requests:
                self._delete(account)
                return True
        return False

    def _delete(self, account: Account) -> None:
        del self._by_last_use[account]
        account.customer.account = None

    def recompute_shares(self) -> None:
        """Set the shares of all accounts by the current fleet size and granted share."""
        for account in self._by_last_use:
            account.refill(self.port.now)
            account.granted_share = self.granted_share
            set_shares(account, self.fleet_size.holders(account.announced_holders))
            account.credit = min(account.credit, account.max_credit)

    def set_granted_share(self, granted_share: float) -> None:
        """Change the share of each quota that the counter may grant; a share of 0 clears all credits."""
        self.granted_share = granted_share
        self.recompute_shares()
        if not granted_share > 0:
            for account in self._by_last_use:
                account.credit = 0.0
