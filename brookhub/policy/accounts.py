"""Division of a customer's quota and ceiling among the gateways that hold them together."""

from __future__ import annotations

from ..model import Account, Customer
from ..site import GatewaySettings, Plan
from ..structures import TokenBucket
from .constants import OVERFLOW_USED_SHARE, OWN_CEILING_SHARE, UNCONFIRMED_SHARE_FACTOR


def open_account(
    customer: Customer,
    holders: int,
    settings: GatewaySettings,
    now: float,
    launched_at: float,
    granted_share: float,
) -> Account:
    """Create the record of a customer whose quota is held by `holders` gateways.

    The start of the process may be a restart, and the units used by the process before it are unknown.
    Therefore this gateway's own shares are empty at `launched_at` (seconds) and fill from then on. If its
    share of the quota is less than one request, the shares of the quota fill only from `now` on.
    """
    plan = customer.plan
    share_is_below_request = plan.burst / holders < settings.max_request_units
    filled_since = now if share_is_below_request else launched_at
    account = Account(
        customer=customer,
        plan=plan,
        max_request_units=settings.max_request_units,
        has_counter=settings.counter_timeout > 0,
        granted_share=granted_share,
        last_active_at=now,
        quota=TokenBucket(plan.rate, plan.burst, plan.burst, now, OVERFLOW_USED_SHARE),
        own_share=TokenBucket(0.0, 0.0, 0.0, filled_since),
        unconfirmed=TokenBucket(0.0, 0.0, 0.0, filled_since),
        ceiling=TokenBucket(0.0, 0.0, 0.0, launched_at),
    )
    set_shares(account, holders)
    account.credit = account.max_credit
    return account


def set_shares(account: Account, holders: int) -> None:
    """Set the account's shares for `holders` gateways; levels above a bucket's new depth are cut to it."""
    plan = account.plan
    largest_request = account.max_request_units
    share = 1.0 / holders
    account.holders = holders
    # If a share is less than one request, one request may pass on credit when the counter can't be asked.
    account.max_credit = largest_request if plan.burst * share < largest_request else 0.0
    account.unconfirmed_share = _unconfirmed_share(account, share)
    own_ceiling_share = _own_ceiling_share(plan, share, largest_request)
    account.shared_ceiling_rate = _shared_ceiling_rate(account, own_ceiling_share)
    ceiling_share = share * (own_ceiling_share if account.shared_ceiling_rate else 1.0)
    account.quota.resize(
        plan.rate * (account.granted_share or share), plan.burst * (account.granted_share or 1)
    )
    account.own_share.resize(plan.rate * share, max(plan.burst * share, largest_request))
    account.unconfirmed.resize(
        plan.rate * account.unconfirmed_share, max(plan.burst * account.unconfirmed_share, largest_request)
    )
    account.ceiling.resize(plan.ceiling_rate * ceiling_share, plan.ceiling_burst * ceiling_share)
    account.full_refill_time = max(
        bucket.time_to_fill() for bucket in (account.quota, account.own_share, account.ceiling)
    )


def _unconfirmed_share(account: Account, share: float) -> float:
    """Return the share of the quota that is admitted without the counter's answer."""
    if account.max_credit or not account.granted_share:
        return share
    return min(1.0, UNCONFIRMED_SHARE_FACTOR * share)


def _own_ceiling_share(plan: Plan, share: float, largest_request: float) -> float:
    """Return the share of its part of the ceiling that this gateway keeps to itself.

    It is OWN_CEILING_SHARE if that part holds the largest request, else 0.
    """
    own_burst = plan.ceiling_burst * share * OWN_CEILING_SHARE
    return OWN_CEILING_SHARE if own_burst >= largest_request else 0.0


def _shared_ceiling_rate(account: Account, own_ceiling_share: float) -> float:
    """Return the units per second of the ceiling that are admitted by the window's total.

    It is 0 without a counter, and if a gateway's share of the burst is at least one request. The total gives
    each unit a number: unit n may pass n / rate seconds after the start of the window. In any period, the
    units admitted are therefore no more than the refill of that period plus one burst.
    """
    plan = account.plan
    if not (account.has_counter and account.max_credit):
        return 0.0
    max_rate = min(plan.ceiling_rate, plan.ceiling_burst * plan.rate / plan.burst) if plan.rate else 0.0
    return (1 - own_ceiling_share) * (account.granted_share * max_rate)
