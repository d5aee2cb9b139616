"""A customer's parts of quota and ceiling, among the gateways that hold these together."""

from ..model import Account
from ..structures import TokenBucket
from .constants import OVERFLOW_USED, UNHEARD


def open_account(customer, gateways, settings, now, launched, granted):
    plan, counted = customer.plan, settings.counter_timeout > 0
    # A launch may be a restart: what an earlier life spent is unknown, so the own shares are empty then.
    since = now if plan.burst / gateways < settings.max_request_units else launched
    quota = TokenBucket(plan.rate, plan.burst, plan.burst, now, OVERFLOW_USED)
    own = [TokenBucket(0.0, 0.0, 0.0, at) for at in (since, since, launched)]
    account = Account(customer, plan, settings.max_request_units, counted, granted, now, quota, *own)
    divide(account, gateways)
    account.credit = account.max_credit
    return account


def divide(account, gateways):  # where so many hold the quota; what they hold stays, if it fits
    plan, largest, nth, account.holders = account.plan, account.max_request_units, 1.0 / gateways, gateways
    # Where an Nth is less than one request, one may pass unasked if the counter can't be asked.
    account.max_credit = largest if plan.burst * nth < largest else 0.0
    account.unconfirmed_share = (
        nth if account.max_credit or not account.granted_share else min(1.0, UNHEARD * nth)
    )
    # Where an Nth of a ceiling is thin it goes by the window's count, which numbers each unit: the nth
    # may go n / joint_rate after the window's start, so no span holds more than a burst over what came in.
    # Half stays with own parts while they hold a request.
    own = 0.5 if plan.ceiling_burst * nth / 2 >= largest else 0.0
    most = min(plan.ceiling_rate, plan.ceiling_burst * plan.rate / plan.burst) if plan.rate else 0.0
    joint = account.has_counter and account.max_credit
    account.shared_ceiling_rate = (1 - own) * (account.granted_share * most) if joint else 0.0
    ceiling_part = nth * (own if account.shared_ceiling_rate else 1.0)
    account.quota.resize(
        plan.rate * (account.granted_share or nth), plan.burst * (account.granted_share or 1)
    )
    account.own_share.resize(plan.rate * nth, max(plan.burst * nth, largest))
    account.unconfirmed.resize(
        plan.rate * account.unconfirmed_share, max(plan.burst * account.unconfirmed_share, largest)
    )
    account.ceiling.resize(plan.ceiling_rate * ceiling_part, plan.ceiling_burst * ceiling_part)
    account.full_refill_time = max(
        one.wait_for_full() for one in (account.quota, account.own_share, account.ceiling)
    )
