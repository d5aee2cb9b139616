"""Admission control: whether a request is worth taking, and whether its customer's quota has room for it."""

from math import floor, inf

from ..chain import Stage
from ..interface import Answer, Group, Outcome, Repeat
from ..structures import AdaptiveRate, DecayingSum, RateLimits
from . import constants as tuned
from .repeats import attempts_that_may_have_run


class Intake(Stage):
    """Sees that each request gets one final answer, in time."""

    def __init__(self, port, queue, longest_retry_after):
        self.port, self.queue, self.longest = port, queue, longest_retry_after

    def take(self, request):
        request.call.request = request
        request.retry_after = self.queue.too_long(request)  # before counting: it should not use up the quota
        if request.retry_after:
            self.ended(request, Answer.REJECTED)
        else:
            self.next.take(request)
        if not request.done:
            left = max(0.0, request.call.expires - self.port.now)
            self.port.later(left, lambda: self.queue.next.give_up(request))

    def ended(self, request, answer):
        route, request.done, request.call.request = request.call.route, True, None
        safe = route.repeat is Repeat.IDEMPOTENT or (route.repeat, route.group) == (Repeat.TOKENED, Group.ALL)
        if answer is Answer.REJECTED and (safe or not attempts_that_may_have_run(request)):
            self.port.rate_limit(request.call, min(request.retry_after, self.longest))
        elif answer is not Answer.SERVED:
            self.port.error(request.call)


class Quota(Stage):
    """The counter rule: each unit passed is added to the customer's count for a window of burst over rate."""

    def __init__(self, port, random, counter_wait, largest, gateways):
        self.port, self.random, self.wait, self.largest, self.granted = (
            port,
            random,
            counter_wait,
            largest,
            1.0,
        )
        limits = RateLimits(
            tuned.QUICKER, tuned.SLOWER, tuned.PACE_LEAST, tuned.AT_ONCE, counter_wait, tuned.MEMORY
        )
        # All may start at one moment, and what they call for at once they all hear late: each has an Nth.
        self.pace = AdaptiveRate(limits, tuned.PACE / gateways, port.now)
        self.unheard, self.reported = DecayingSum(tuned.MEMORY), DecayingSum(tuned.MEMORY)  # units

    def take(self, request):
        account, units, now = request.account, request.call.units, self.port.now
        if account.plan.rate <= 0:
            return self.next.take(request)
        self.turn_window(account)
        inside = account.share.read(now) >= units and now - account.told_at < tuned.FRESH
        inside = inside and (not account.joint_rate or account.ceiling.read(now) >= units)
        held = now < account.held_until and (request.call.repeated or not self.may_ask(0.5))
        if held or account.quota.read(now) < units:
            return self.beyond(request)
        self.pace.wanted.add(now, 0.0 if inside or request.ask_until else 1.0)
        # Where calls are scarce a repeat, refused just now, comes last, and soft plans before it.
        spare = 0.5 if request.call.repeated else 0.25 * request.soft
        asks = not inside and self.may_ask(spare)
        request.ask_until = request.ask_until or now + self.wait
        turn = self.pace.wait(now, spare)
        if not (inside or asks) and now + turn < request.ask_until:  # a crowd passes; word is worth the wait
            return self.port.later(turn + 0.001, lambda: request.done or self.take(request))
        request.window = account.window
        self.spend(request, units, not asks)
        if inside:  # pass, and add in the background
            self.next.take(request)
        elif asks:  # beyond the share: add first, and pass while the total leaves room
            self.add_to_count(account, units, lambda outcome: request.done or self.decide(request, outcome))
        else:
            self.decide(request, Outcome.UNSENT)

    def may_ask(self, spare):
        """Whether the counter may be asked: at a pace that it answers, as a crowd of calls would only time out."""
        return self.wait > 0 and self.pace.allows(self.port.now, spare)

    def decide(self, request, outcome):
        account, now, told = request.account, self.port.now, outcome is Outcome.OK
        fits = account.quota.read(now) >= 0
        if not told:
            fits = fits and self.fits_unconfirmed(request)
        elif not fits:
            # Until the own share of the rate has saved up half a call, all others will have used what comes.
            wait = min(tuned.HELD_FOR, request.call.units * account.gateways / account.plan.rate / 2)
            account.held_until = now + wait * (0.5 + self.random.uniform())
        if not fits:
            self.spend(
                request, -request.counted, outcome is not Outcome.TIMEOUT
            )  # that may not have been added
            return self.beyond(request)
        if told and account.joint_rate and request.window == account.window:
            after, window = account.used / account.joint_rate, account.window_length
            starts_at = (request.window - account.customer.id * tuned.GOLDEN % 1.0) * window
            request.turn_at = starts_at + after if after <= window else inf
        self.next.take(request)

    def fits_unconfirmed(self, request):
        """No word of the counter: what this gateway may let in alone, or its credit."""
        account, unconfirmed = request.account, request.account.unconfirmed
        short = unconfirmed.read(self.port.now) < 0
        if short and account.credit >= request.counted and not request.call.repeated:
            unconfirmed.level, account.credit = unconfirmed.level + request.counted, 0.0
        return unconfirmed.level >= 0

    def beyond(self, request):
        wait = request.account.quota.wait(self.port.now, request.call.units)
        request.beyond_quota = True
        request.retry_after = max(wait, request.account.held_until - self.port.now)
        self.next.take(request)

    def spend(self, request, units, report=True):
        """Book units, below 0 give them back; `report`: have them added to the count later."""
        account, request.counted = request.account, request.counted + units
        for bucket in (account.quota, account.share, account.unconfirmed):
            bucket.take(self.port.now, units)
        self.add_later(account, units if report else 0.0)

    def add_later(self, account, units):
        if units and not account.unreported:
            self.port.later(tuned.BATCH * (0.5 + self.random.uniform()), lambda: self.flush(account))
        account.unreported += units

    def flush(self, account):
        """Add what waits, as far as the pace leaves room beside the asks; what is given back goes first."""
        if account.unreported and self.may_ask(0.5 * (account.unreported > 0)):
            self.add_to_count(account, 0.0)
        elif account.unreported:
            self.port.later(tuned.BATCH, lambda: self.flush(account))

    def turn_window(self, account):
        """Go to the current window (customers are out of step), reading how the last one ended."""
        now, window = self.port.now, account.window_length
        at = now / window + account.customer.id * tuned.GOLDEN % 1.0
        if floor(at) == account.window:
            return
        account.quota.read(max(account.quota.at, now - at % 1.0 * window))
        if floor(at) - 1 == account.window and self.may_ask(0.5):
            self.add_to_count(account, 0.0)
        self.unheard.add(now, account.unreported)
        account.window, account.total, account.unreported = floor(at), 0.0, 0.0
        account.quota.overflow, account.used = 0.0, inf
        if now - account.active_at < window:
            self.port.later((account.window + 1 - at) * window + 0.001, lambda: self.turn_window(account))

    def add_to_count(self, account, amount, then=lambda outcome: None):
        """Add to the count, with whatever waits to be added; the total that comes back is what all added."""
        window, before, overflow = account.window, account.total, account.quota.overflow
        amount, account.unreported = amount + account.unreported, 0.0
        self.pace.take()

        def told(outcome, total, took):
            current = window == account.window
            late = outcome is Outcome.FULL or took >= tuned.LATE * self.wait  # not where a connection broke
            self.pace.answered(self.port.now, outcome is Outcome.OK and not late, late)
            if outcome is Outcome.OK:
                self.reported.add(self.port.now, amount)
                others = total - (account.total if current else before) - amount
                self.learn(account, total, others, None if current else overflow)
                account.total = total if current else account.total
            elif outcome not in (Outcome.TIMEOUT, Outcome.NOTED) and current:  # else it may be added yet
                self.add_later(account, amount)
            then(outcome)

        name = account.customer.id << 31 | window & 0x7FFFFFFF
        lives = min(60.0, tuned.LIVES * account.window_length)
        self.port.count(name, amount, lives, told)

    def learn(self, account, total, others, overflow):
        """Take in a total and what of it others added; `overflow`: of a window that is over, else None."""
        now, quota, share = self.port.now, account.quota, account.share
        quota.read(now)
        # Below that it is an emptied counter: what this gateway knew of the quota still stands.
        others = others if others >= -tuned.EMPTIED * self.largest else 0.0
        # While calls are scarce others, too, tell only a part of what they pass: as small as this gateway's.
        missing = max(0.0, self.unheard.read(now)) / max(1.0, self.reported.read(now))
        unreported = min(tuned.UNREPORTED_MOST, 1.0 + missing)
        others *= unreported
        # They used what came in as well: what overflowed since the last word, or that window's start, was theirs.
        if overflow is None:
            account.used = total * unreported
            left = max(0.0, quota.overflow - max(0.0, others))
            others, quota.overflow = max(min(0.0, others), others - quota.overflow), left
        else:
            others = max(min(0.0, others), others - overflow)
        # Debts are kept up to half a burst: refused asks count until given back, which must not make room.
        quota.level = max(min(-self.largest, -quota.depth / 2), quota.read(now) - others)
        share.level, share.at, account.told_at = quota.level / account.gateways, now, now
        account.unconfirmed.level, account.unconfirmed.at = quota.level * account.part, now
        account.credit = account.most_credit if 2 * quota.level > quota.depth else 0.0

    def ended(self, request, answer):
        # What was added in a window before is not taken off this one's count: it would make room for others in it.
        units = 0.0 if request.sent else -request.counted
        self.spend(request, units, request.window == request.account.window)
        self.before.ended(request, answer)
