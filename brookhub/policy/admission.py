"""Admission control: whether a request is worth taking, and whether its customer's quota has room for it."""

from math import floor, inf

from ..model import Answer, Outcome
from ..pipeline import Stage
from ..site import DeduplicationScope, Idempotency
from ..structures import AdaptiveRate, DecayingSum
from . import constants as tuned
from .repeats import attempts_that_may_have_run


class Intake(Stage):
    """Sees that each request gets one final answer, in time."""

    def __init__(self, port, queue, longest_retry_after):
        self.port, self.queue, self.longest = port, queue, longest_retry_after

    def take(self, pending):
        pending.request.pending = pending
        pending.retry_after = self.queue.too_long(pending)  # before counting: it should not use up the quota
        self.ended(pending, Answer.REJECTED) if pending.retry_after else self.next.take(pending)
        left = max(0.0, pending.request.deadline - self.port.now)
        pending.done or self.port.later(left, lambda: self.queue.next.give_up(pending))

    def ended(self, pending, answer):
        route, pending.done, pending.request.pending = pending.request.route, True, None
        safe = route.idempotency is Idempotency.IDEMPOTENT or (
            route.idempotency,
            route.deduplication_scope,
        ) == (Idempotency.KEYED, DeduplicationScope.ALL)
        if answer is Answer.REJECTED and (safe or not attempts_that_may_have_run(pending)):
            self.port.reject_request(pending.request, min(pending.retry_after, self.longest))
        elif answer is not Answer.SERVED:
            self.port.fail_request(pending.request)


class Quota(Stage):
    """The counter rule: each unit passed is added to the customer's count for a window of burst over rate."""

    def __init__(self, port, random, settings):
        self.port, self.random, self.largest = port, random, settings.max_request_units
        self.wait, self.granted = settings.counter_timeout, 1.0
        # All may start at one moment, and what they call for at once they all hear late: each has an Nth.
        self.pace = AdaptiveRate(tuned.COUNTER_RATE, self.wait, tuned.PACE / settings.gateways, port.now)
        self.unheard, self.reported = DecayingSum(tuned.MEMORY), DecayingSum(tuned.MEMORY)  # units

    def take(self, pending):
        account, units, now = pending.account, pending.request.units, self.port.now
        if account.plan.rate <= 0:
            return self.next.take(pending)
        self.turn_window(account)
        inside = account.own_share.read(now) >= units and now - account.total_known_at < tuned.FRESH
        inside = inside and (not account.shared_ceiling_rate or account.ceiling.read(now) >= units)
        held = now < account.exhausted_until and (pending.request.is_retry or not self.may_ask(0.5))
        if held or account.quota.read(now) < units:
            return self.beyond(pending)
        self.pace.wanted.add(now, 0.0 if inside or pending.counter_deadline else 1.0)
        # Where calls are scarce a repeat, refused just now, comes last, and soft plans before it.
        spare = 0.5 if pending.request.is_retry else 0.25 * pending.may_borrow
        asks, pending.counter_deadline = (
            not inside and self.may_ask(spare),
            pending.counter_deadline or now + self.wait,
        )
        turn = self.pace.wait(now, spare)
        if (
            not (inside or asks) and now + turn < pending.counter_deadline
        ):  # a crowd passes; word is worth the wait
            return self.port.later(turn + 0.001, lambda: pending.done or self.take(pending))
        pending.window = account.window
        self.spend(pending, units, not asks)
        if inside:  # pass, and add in the background
            self.next.take(pending)
        elif asks:  # beyond the share: add first, and pass while the total leaves room
            self.add_to_count(account, units, lambda outcome: pending.done or self.decide(pending, outcome))
        else:
            self.decide(pending, Outcome.NOT_SENT)

    def may_ask(self, spare):  # at a pace that the counter answers: a crowd of calls would only time out
        return self.wait > 0 and self.pace.allows(self.port.now, spare)

    def decide(self, pending, outcome):
        account, now, told = pending.account, self.port.now, outcome is Outcome.OK
        fits, unconfirmed = account.quota.read(now) >= 0, account.unconfirmed
        if not told:  # no word: what this gateway may let in alone, or its credit
            short = fits and unconfirmed.read(now) < 0 and not pending.request.is_retry
            if short and account.credit >= pending.counted_units:
                unconfirmed.level, account.credit = unconfirmed.level + pending.counted_units, 0.0
            fits = fits and unconfirmed.level >= 0
        elif not fits:
            # Until the own share of the rate has saved up half a call, all others will have used what comes.
            wait = min(tuned.HELD_FOR, pending.request.units * account.holders / account.plan.rate / 2)
            account.exhausted_until = now + wait * (0.5 + self.random.uniform())
        if not fits:  # one that timed out may not have been added
            self.spend(pending, -pending.counted_units, outcome is not Outcome.TIMEOUT)
        elif told and account.shared_ceiling_rate and pending.window == account.window:
            after, window = account.window_used / account.shared_ceiling_rate, account.window_length
            starts_at = (pending.window - account.customer.id * tuned.GOLDEN % 1.0) * window
            pending.ceiling_turn_at = starts_at + after if after <= window else inf
        self.next.take(pending) if fits else self.beyond(pending)

    def beyond(self, pending):
        now, account, pending.beyond_quota = self.port.now, pending.account, True
        pending.retry_after = max(
            account.quota.wait(now, pending.request.units), account.exhausted_until - now
        )
        self.next.take(pending)

    def spend(self, pending, units, report=True):  # below 0: give back; `report`: add it to the count later
        pending.counted_units += units
        pending.account.take(self.port.now, units)
        self.add_later(pending.account, units if report else 0.0)

    def add_later(self, account, units):
        if units and not account.unreported_units:
            self.port.later(tuned.BATCH * (0.5 + self.random.uniform()), lambda: self.flush(account))
        account.unreported_units += units

    def flush(self, account):  # as the pace leaves room beside the asks; what is given back goes first
        if account.unreported_units and self.may_ask(0.5 * (account.unreported_units > 0)):
            self.add_to_count(account, 0.0)
        elif account.unreported_units:
            self.port.later(tuned.BATCH, lambda: self.flush(account))

    def turn_window(self, account):  # customers are out of step; how the last window ended is read
        now, window = self.port.now, account.window_length
        at = now / window + account.customer.id * tuned.GOLDEN % 1.0
        if floor(at) == account.window:
            return
        account.quota.read(max(account.quota.at, now - at % 1.0 * window))
        if floor(at) - 1 == account.window and self.may_ask(0.5):
            self.add_to_count(account, 0.0)
        self.unheard.add(now, account.unreported_units)
        account.window, account.window_total, account.unreported_units, account.window_used = (
            floor(at),
            0.0,
            0.0,
            inf,
        )
        account.quota.overflow = 0.0
        if now - account.last_active_at < window:
            self.port.later((account.window + 1 - at) * window + 0.001, lambda: self.turn_window(account))

    def add_to_count(self, account, amount, then=lambda outcome: None):  # with whatever waits to be added
        window, before, overflow = account.window, account.window_total, account.quota.overflow
        amount, account.unreported_units = amount + account.unreported_units, 0.0
        self.pace.take()

        def told(outcome, total, took):
            current, good = window == account.window, outcome is Outcome.OK
            late = outcome is Outcome.BUSY or took >= tuned.LATE * self.wait  # not where a connection broke
            self.pace.answered(self.port.now, good and not late, late)
            if good:
                self.reported.add(self.port.now, amount)
                others = total - (account.window_total if current else before) - amount
                self.learn(account, total, others, None if current else overflow)
                account.window_total = total if current else account.window_total
            elif outcome not in (Outcome.TIMEOUT, Outcome.DEFERRED) and current:  # else it may be added yet
                self.add_later(account, amount)
            then(outcome)

        name, lives = account.customer.id << 31 | window & 0x7FFFFFFF, tuned.LIVES * account.window_length
        self.port.add_to_counter(name, amount, min(60.0, lives), told)

    def learn(self, account, total, others, overflow):
        """Take in a total and what of it others added; `overflow`: of a window that is over, else None."""
        now, quota, share = self.port.now, account.quota, account.own_share
        quota.read(now)
        # Below that it is an emptied counter: what this gateway knew of the quota still stands.
        others = others if others >= -tuned.EMPTIED * self.largest else 0.0
        # While calls are scarce others, too, tell only a part of what they pass: as small as this gateway's.
        missing = max(0.0, self.unheard.read(now)) / max(1.0, self.reported.read(now))
        times = min(tuned.UNREPORTED_MOST, 1.0 + missing)
        used = others * times
        # They used what came in as well: what overflowed since the last word was theirs.
        others = max(min(0.0, used), used - (quota.overflow if overflow is None else overflow))
        if overflow is None:
            account.window_used, quota.overflow = total * times, max(0.0, quota.overflow - max(0.0, used))
        # Debts are kept up to half a burst: refused asks count until given back, which must not make room.
        quota.level = max(min(-self.largest, -quota.depth / 2), quota.level - others)
        share.level, share.at, account.total_known_at = quota.level / account.holders, now, now
        account.unconfirmed.level, account.unconfirmed.at = quota.level * account.unconfirmed_share, now
        account.credit = account.max_credit if 2 * quota.level > quota.depth else 0.0

    def ended(self, pending, answer):
        # What was added in a window before is not taken off this one's count: it would make room in it.
        current = pending.window == pending.account.window
        self.spend(pending, 0.0 if pending.sent else -pending.counted_units, current)
        self.before.ended(pending, answer)
