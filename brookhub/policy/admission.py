"""Admission control: whether a request is worth taking, and whether its customer's quota has room for it."""

from math import floor, inf

from ..model import Answer, Group, Outcome, Repeat
from ..pipeline import Stage
from ..structures import AdaptiveRate, DecayingSum
from . import constants as tuned
from .repeats import attempts_that_may_have_run


class Intake(Stage):
    """Sees that each request gets one final answer, in time."""

    def __init__(self, port, queue, longest_retry_after):
        self.port, self.queue, self.longest = port, queue, longest_retry_after

    def take(self, request):
        request.call.request = request
        request.retry_after = self.queue.too_long(request)  # before counting: it should not use up the quota
        self.ended(request, Answer.REJECTED) if request.retry_after else self.next.take(request)
        left = max(0.0, request.call.expires - self.port.now)
        request.done or self.port.later(left, lambda: self.queue.next.give_up(request))

    def ended(self, request, answer):
        route, request.done, request.call.request = request.call.route, True, None
        safe = route.repeat is Repeat.IDEMPOTENT or (route.repeat, route.group) == (Repeat.TOKENED, Group.ALL)
        if answer is Answer.REJECTED and (safe or not attempts_that_may_have_run(request)):
            self.port.rate_limit(request.call, min(request.retry_after, self.longest))
        elif answer is not Answer.SERVED:
            self.port.error(request.call)


class Quota(Stage):
    """The counter rule: each unit passed is added to the customer's count for a window of burst over rate."""

    def __init__(self, port, random, settings):
        self.port, self.random, self.largest = port, random, settings.largest
        self.wait, self.granted = settings.counter_wait, 1.0
        # All may start at one moment, and what they call for at once they all hear late: each has an Nth.
        self.pace = AdaptiveRate(tuned.COUNTER_RATE, self.wait, tuned.PACE / settings.gateways, port.now)
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
        asks, request.ask_until = not inside and self.may_ask(spare), request.ask_until or now + self.wait
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

    def may_ask(self, spare):  # at a pace that the counter answers: a crowd of calls would only time out
        return self.wait > 0 and self.pace.allows(self.port.now, spare)

    def decide(self, request, outcome):
        account, now, told = request.account, self.port.now, outcome is Outcome.OK
        fits, unconfirmed = account.quota.read(now) >= 0, account.unconfirmed
        if not told:  # no word: what this gateway may let in alone, or its credit
            short = fits and unconfirmed.read(now) < 0 and not request.call.repeated
            if short and account.credit >= request.counted:
                unconfirmed.level, account.credit = unconfirmed.level + request.counted, 0.0
            fits = fits and unconfirmed.level >= 0
        elif not fits:
            # Until the own share of the rate has saved up half a call, all others will have used what comes.
            wait = min(tuned.HELD_FOR, request.call.units * account.gateways / account.plan.rate / 2)
            account.held_until = now + wait * (0.5 + self.random.uniform())
        if not fits:  # one that timed out may not have been added
            self.spend(request, -request.counted, outcome is not Outcome.TIMEOUT)
        elif told and account.joint_rate and request.window == account.window:
            after, window = account.used / account.joint_rate, account.window_length
            starts_at = (request.window - account.customer.id * tuned.GOLDEN % 1.0) * window
            request.turn_at = starts_at + after if after <= window else inf
        self.next.take(request) if fits else self.beyond(request)

    def beyond(self, request):
        now, account, request.beyond_quota = self.port.now, request.account, True
        request.retry_after = max(account.quota.wait(now, request.call.units), account.held_until - now)
        self.next.take(request)

    def spend(self, request, units, report=True):  # below 0: give back; `report`: add it to the count later
        request.counted += units
        request.account.take(self.port.now, units)
        self.add_later(request.account, units if report else 0.0)

    def add_later(self, account, units):
        if units and not account.unreported:
            self.port.later(tuned.BATCH * (0.5 + self.random.uniform()), lambda: self.flush(account))
        account.unreported += units

    def flush(self, account):  # as the pace leaves room beside the asks; what is given back goes first
        if account.unreported and self.may_ask(0.5 * (account.unreported > 0)):
            self.add_to_count(account, 0.0)
        elif account.unreported:
            self.port.later(tuned.BATCH, lambda: self.flush(account))

    def turn_window(self, account):  # customers are out of step; how the last window ended is read
        now, window = self.port.now, account.window_length
        at = now / window + account.customer.id * tuned.GOLDEN % 1.0
        if floor(at) == account.window:
            return
        account.quota.read(max(account.quota.at, now - at % 1.0 * window))
        if floor(at) - 1 == account.window and self.may_ask(0.5):
            self.add_to_count(account, 0.0)
        self.unheard.add(now, account.unreported)
        account.window, account.total, account.unreported, account.used = floor(at), 0.0, 0.0, inf
        account.quota.overflow = 0.0
        if now - account.active_at < window:
            self.port.later((account.window + 1 - at) * window + 0.001, lambda: self.turn_window(account))

    def add_to_count(self, account, amount, then=lambda outcome: None):  # with whatever waits to be added
        window, before, overflow = account.window, account.total, account.quota.overflow
        amount, account.unreported = amount + account.unreported, 0.0
        self.pace.take()

        def told(outcome, total, took):
            current, good = window == account.window, outcome is Outcome.OK
            late = outcome is Outcome.FULL or took >= tuned.LATE * self.wait  # not where a connection broke
            self.pace.answered(self.port.now, good and not late, late)
            if good:
                self.reported.add(self.port.now, amount)
                others = total - (account.total if current else before) - amount
                self.learn(account, total, others, None if current else overflow)
                account.total = total if current else account.total
            elif outcome not in (Outcome.TIMEOUT, Outcome.NOTED) and current:  # else it may be added yet
                self.add_later(account, amount)
            then(outcome)

        name, lives = account.customer.id << 31 | window & 0x7FFFFFFF, tuned.LIVES * account.window_length
        self.port.count(name, amount, min(60.0, lives), told)

    def learn(self, account, total, others, overflow):
        """Take in a total and what of it others added; `overflow`: of a window that is over, else None."""
        now, quota, share = self.port.now, account.quota, account.share
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
            account.used, quota.overflow = total * times, max(0.0, quota.overflow - max(0.0, used))
        # Debts are kept up to half a burst: refused asks count until given back, which must not make room.
        quota.level = max(min(-self.largest, -quota.depth / 2), quota.level - others)
        share.level, share.at, account.told_at = quota.level / account.gateways, now, now
        account.unconfirmed.level, account.unconfirmed.at = quota.level * account.part, now
        account.credit = account.most_credit if 2 * quota.level > quota.depth else 0.0

    def ended(self, request, answer):
        # What was added in a window before is not taken off this one's count: it would make room in it.
        current = request.window == request.account.window
        self.spend(request, 0.0 if request.sent else -request.counted, current)
        self.before.ended(request, answer)
