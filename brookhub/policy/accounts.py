"""A customer's parts of quota and ceiling, among the gateways that hold these together."""

from ..state import Account
from ..structures import TokenBucket
from .constants import FORGET, OVERFLOW_USED, UNHEARD


def open_account(customer, gateways, settings, now, launched, granted):
    """The record of a customer that this gateway knows nothing of."""
    plan, largest, counted = customer.plan, settings.largest, settings.counter_wait > 0
    # A launch may be a restart: what an earlier life spent is unknown, so the own shares are empty then.
    since = now if plan.burst / gateways < largest else launched
    quota = TokenBucket(plan.rate, plan.burst, plan.burst, now, OVERFLOW_USED)
    share, unconfirmed, ceiling = (TokenBucket(0.0, 0.0, 0.0, at) for at in (since, since, launched))
    told_at = -FORGET
    account = Account(
        customer, plan, largest, counted, granted, now, told_at, quota, share, unconfirmed, ceiling
    )
    divide(account, gateways)
    account.credit = account.most_credit
    return account


def divide(account, gateways):
    """Set the parts where so many gateways hold the quota. What is in the buckets stays, as far as it fits."""
    plan, largest, nth, account.gateways = account.plan, account.largest, 1.0 / gateways, gateways
    # Where an Nth is less than one API call, one may pass unasked if the counter can't be asked.
    account.most_credit = largest if plan.burst * nth < largest else 0.0
    account.part = nth if account.most_credit or not account.granted else min(1.0, UNHEARD * nth)
    # Where an Nth of a ceiling is thin it goes by the window's count, which numbers each unit for all gateways: the
    # nth of a window may go n / joint_rate after its start. So no window holds more than comes in while it lasts,
    # and a span that begins late in one holds that at once: at most the burst. Half stays with own parts while they
    # hold a call.
    own = 0.5 if plan.ceiling_burst * nth / 2 >= largest else 0.0
    most = min(plan.ceiling_rate, plan.ceiling_burst * plan.rate / plan.burst) if plan.rate else 0.0
    joint = account.counted and account.most_credit
    account.joint_rate = (1 - own) * (account.granted * most) if joint else 0.0
    ceiling_part = nth * (own if account.joint_rate else 1.0)
    account.quota.resize(plan.rate * (account.granted or nth), plan.burst * (account.granted or 1))
    account.share.resize(plan.rate * nth, max(plan.burst * nth, largest))
    account.unconfirmed.resize(plan.rate * account.part, max(plan.burst * account.part, largest))
    account.ceiling.resize(plan.ceiling_rate * ceiling_part, plan.ceiling_burst * ceiling_part)
    buckets = (account.quota, account.share, account.ceiling)
    account.refills_in = max(bucket.wait_for_full() for bucket in buckets)
