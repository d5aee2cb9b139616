"""All decisions of brookhub, for one gateway process: fair-share-ceiling on each API call's path, and guards.

Build one Gateway with a Port, a seed and the site's settings and tell it what happens; it acts by the port.
Types: interface.py. Reasons: docs/design.md. An API call passes Intake, Quota, Loans, Ceiling, Line and then
Upstreams; each passes it on, keeps it or ends it, and what comes back runs through them the other way.
"""

from collections import deque
from itertools import islice, takewhile
from math import exp, floor, inf

from .interface import Group, Outcome, Repeat, State

SWEEP = 0.02  # s between looks at a line that waits: a small part of any latency target
BATCH = 0.15  # s, about, that units wait to be added in the background: far inside any window
FRESH = 0.5  # s that a told total is word to go by: the room left may since have gone through another gateway
UNHEARD = 1.5  # times its Nth that a gateway lets in without word: most customers are far from their quotas
LIVES = 3.0  # windows that a count is kept: the last one's end is still read in the next
FORGET, LOOKS = 180.0, 8  # s without an ask until a record goes: "some minutes"; those looked at an ask
LENDERS = 200  # idle customers that a loan looks at, the longest idle: work must not grow with their number
IDLE = 2.0  # idle time in horizons: the design wants more than one, so a returner's freeze outlives any loan
LOST = 2.0  # largest API calls by which a total may shrink (give-backs) before the counter counts as emptied
PACE, PACE_LEAST = 150.0, 0.2  # counter calls a second at first, of all gateways; share of those wanted kept
QUICKER = 1.5  # calls a second won by a quick answer: all together win so many times them a second, few or many
SLOWER = 0.8  # share kept after a late answer, once a wait
AT_ONCE = 2.0  # counter calls at one stroke at least: calls that come together
LATE = 0.4  # share of the counter's wait from which an answer counts as late: its line grows
OUTCOMES, FAILING = 8, 0.5  # last outcomes, few, that judge a server; share of successes under which it rests
REST = 4.0  # s of rest after a failure for one that only fails, less for one that fails less
AWAY, AWAY_MOST = 0.5, 16.0  # s of rest, about, for one that takes nothing, doubled while it does; at most
PLACES = 6.0  # places at a server, for all gateways that use it together: a few cores' worth
WINDOW = 2.0  # tries out for each server at least, by all gateways: a core or two are not jammed by them
PART, SEEN, REDRAW = 12, 2.5, 1.0  # servers used at least; s between tries at each, to know it; between looks
WIDEN, NARROW = 1.07, 0.9  # factors on all tries out for a quick and a slow answer: 4 in 10 may be slow
GIVEN_UP = 0.25  # of a slow answer that a try without one counts: a third of the answers may be lost
SPILT = 0.5  # of what spilt from a full store, that others used as it came: the rest was there before they did
UNSAID = 3.0  # times what is said that is taken to have passed, at most: beyond that it is guesswork
HOLD = 5.0  # s, about, at most, that a customer told to be without room is left alone: a spike is over
CROWDED = 2.5  # times the usual delay at its best from which an answer is slow: servers should hold no lines
SURE, SOON = 20.0, 4.0  # answers, and s since the start, until a mean counts as best: quick ones come first
RELAX = 0.03  # share by which that best rises each second, so that a fleet that slowed for good is served
LINE = 0.5  # share of the latency target that line and answer may be thought to take: the rest is for chance
PATIENCE = 0.5  # share of the latency target after which an answer is slow, and another server may do better
MEMORY = 10.0  # s over which rates, delays and successes fade: several windows, shorter than most troubles
CROSS = 1.3  # how much longer a server in another zone may seem: crossing costs, but less than a wait
COLD_PART = 0.5  # of what a cold server falls from, by its settings: chance and unseen work need the rest
COLD_MOST = 1.5  # times its warmth of what a warm one is sent, at most: beyond its capacity its line only grows
GOLDEN = 0.6180339887  # of a circle between numbers in turn: any few of them lie evenly round it
NEVER_RAN = (Outcome.FULL, Outcome.UNCONNECTED, Outcome.UNSENT)  # outcomes that prove that nothing ran


class RandomGenerator:  # chance: a linear congruential generator, of which the high bits are used
    def __init__(self, seed):
        self.state = seed

    def uniform(self):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2 ** 64
        return (self.state >> 33) / 2 ** 31


class DecayingSum:  # a sum that fades over MEMORY, brought up to date when read
    sum = at = 0.0

    def add(self, now, amount=0.0):
        self.sum, self.at = self.sum * exp((self.at - now) / MEMORY) + amount, now
        return self.sum

    read = add


class TokenBucket:  # units that refill at a rate up to a depth
    def __init__(self, rate, depth, level, now):
        self.rate, self.depth, self.level, self.at, self.spilt = rate, depth, level, now, 0.0

    def read(self, now):
        level, self.at = self.level + self.rate * (now - self.at), now
        self.level, self.spilt = min(self.depth, level), self.spilt + SPILT * max(0.0, level - self.depth)
        return self.level

    def wait(self, now, units):
        return max(0.0, units - self.read(now)) / max(self.rate, 1e-9)


class Request:  # one API call on its way
    def __init__(self, call, account, now):
        self.call, self.account, self.target_at = call, account, min(now + call.route.target, call.expires)
        self.counted = self.drawn = self.wait = 0.0  # units out of quota and ceiling; s to come back in
        self.window = None  # whose count has them
        self.loan, self.soft = None, account.plan.beyond_value > account.plan.beyond_cost  # lenders and units
        self.asks_by = 0.0  # until when it waits for its turn to ask the counter
        self.beyond = self.sent = self.done = self.began = False
        self.turn = inf  # when it may go by its number in the window's count

    def may_have_run(self):
        return [one for one in self.call.attempts if one.outcome not in NEVER_RAN]


class Account:  # what this gateway knows of a customer: the quota as told, its share, loans of its room

    def __init__(self, customer, gateways, largest, now, launched, counted, granted):
        plan, self.counted, self.credit, self.used, self.granted = customer.plan, counted, 0.0, inf, granted
        self.customer, self.plan, self.active, self.largest = customer, plan, now, largest
        self.store = TokenBucket(plan.rate, plan.burst, plan.burst, now)
        # A launch may be a restart: what an earlier life spent is unknown, so the own shares are empty then.
        since = now if plan.burst / gateways < largest else launched
        self.share, self.alone, self.ceiling = (TokenBucket(0.0, 0.0, 0.0, since if n < 2 else launched) for n in range(3))
        self.divide(gateways)
        self.credit = self.most_credit
        self.window, self.total, self.unsaid, self.told_at, self.hold = None, 0.0, 0.0, -FORGET, 0.0
        self.lent, self.out = 0.0, 0

    def divide(self, gateways):
        """Its parts, where so many gateways hold the quota. What is in the stores by now stays, as far as it fits."""
        plan, largest, part, self.gateways = self.plan, self.largest, 1.0 / gateways, gateways
        # Where an Nth is less than one API call, one may pass unasked if the counter can't be asked.
        self.most_credit = largest if plan.burst * part < largest else 0.0
        self.part = part if self.most_credit or not self.granted else min(1.0, UNHEARD * part)
        # Where an Nth of a ceiling is thin it goes by the window's count, which numbers each unit for all gateways: the
        # nth of a window may go n / joint after its start. So no window holds more than comes in while it lasts, and a span
        # that begins late in one holds that at once: at most the burst. A half stays with own shares while they hold a call.
        own = 0.5 if plan.ceiling_burst * part / 2 >= largest else 0.0
        most = self.granted * min(plan.ceiling_rate, plan.ceiling_burst * plan.rate / plan.burst) if plan.rate else 0.0
        self.joint = (1 - own) * most if self.counted and self.most_credit else 0.0  # units a second
        half = part * (own if self.joint else 1.0)
        for store, rate, depth in ((self.store, plan.rate * (self.granted or part), plan.burst * (self.granted or 1)),
                                   (self.share, plan.rate * part, max(plan.burst * part, largest)),
                                   (self.alone, plan.rate * self.part, max(plan.burst * self.part, largest)),
                                   (self.ceiling, plan.ceiling_rate * half, plan.ceiling_burst * half)):
            store.rate, store.depth, store.level = rate, depth, min(store.level, depth)
        self.refills = max(one.depth / max(one.rate, 1e-9) for one in (self.store, self.share, self.ceiling))


class Stage:
    def ended(self, request, answer):
        self.before.ended(request, answer)


class Intake(Stage):  # sees that each API call gets one final answer, in time

    def __init__(self, port, line, longest_retry_after):
        self.port, self.line, self.longest = port, line, longest_retry_after

    def take(self, request):
        request.call.request, request.wait = request, self.line.too_long(request)  # before counting: it should not use up the quota
        self.ended(request, "rate-limit") if request.wait else self.next.take(request)
        left = max(0.0, request.call.expires - self.port.now)
        request.done or self.port.later(left, lambda: self.line.next.give_up(request))

    def ended(self, request, answer):
        route, request.done, request.call.request = request.call.route, True, None
        safe = route.repeat is Repeat.IDEMPOTENT or (route.repeat, route.group) == (Repeat.TOKENED, Group.ALL)
        if answer == "rate-limit" and (safe or not request.may_have_run()):
            self.port.rate_limit(request.call, min(request.wait, self.longest))
        elif answer != "proxied":
            self.port.error(request.call)


class Quota(Stage):  # each unit passed is added to the customer's count for a window of burst over rate

    def __init__(self, port, random, counter_wait, largest, gateways):
        self.port, self.random, self.counter_wait, self.largest = port, random, counter_wait, largest
        # All may start at one moment, and what they call for at once they all hear late: each has an Nth.
        self.pace, self.slowed, self.began = TokenBucket(PACE / gateways, AT_ONCE, 1.0, port.now), 0.0, port.now
        self.wanted, self.unheard, self.said, self.granted = DecayingSum(), DecayingSum(), DecayingSum(), 1.0  # asks; units

    def take(self, request):
        account, units, now = request.account, request.call.units, self.port.now
        if account.plan.rate <= 0:
            return self.next.take(request)
        self.turn_window(account)
        inside = account.share.read(now) >= units and now - account.told_at < FRESH
        inside = inside and (not account.joint or account.ceiling.read(now) >= units)
        held = now < account.hold and (request.call.repeated or not self.may_ask(0.5))
        if held or account.store.read(now) < units:
            return self.beyond(request)
        self.wanted.add(now, 0.0 if inside or request.asks_by else 1.0)
        # Where calls are scarce a repeat, refused just now, comes last, and soft plans before it.
        spare = 0.5 if request.call.repeated else 0.25 * request.soft
        asks, request.asks_by = not inside and self.may_ask(spare), request.asks_by or now + self.counter_wait
        turn = self.pace.wait(now, 1 + spare * self.pace.depth)
        if not inside and not asks and now + turn < request.asks_by:  # a moment's crowd passes; word is worth the wait
            return self.port.later(turn + 0.001, lambda: request.done or self.take(request))
        request.window = account.window
        self.spend(request, units, not asks)
        if inside:  # pass, and add in the background
            self.next.take(request)
        elif asks:  # beyond the share: add first, and pass while the total leaves room
            self.add_to_count(account, units, lambda outcome: request.done or self.decide(request, outcome))
        else:
            self.decide(request, Outcome.UNSENT)

    def may_ask(self, spare=0.0):  # at a pace that the counter answers: a crowd of calls would only time out
        return self.counter_wait > 0 and self.pace.read(self.port.now) >= 1 + spare * self.pace.depth

    def decide(self, request, outcome):
        account, plan, now = request.account, request.account.plan, self.port.now
        fits = account.store.read(now) >= 0
        if outcome is not Outcome.OK:
            alone = account.alone  # no word: what this gateway may let in alone, or its credit
            if fits and alone.read(now) < 0 and account.credit >= request.counted and not request.call.repeated:
                alone.level, account.credit = alone.level + request.counted, 0.0
            fits = fits and alone.level >= 0
        elif not fits:
            # Until the own share of the rate has saved up half a call, all others will have used what comes.
            wait = min(HOLD, request.call.units * account.gateways / plan.rate / 2)
            account.hold = now + wait * (0.5 + self.random.uniform())
        if not fits:
            self.spend(request, -request.counted, outcome is not Outcome.TIMEOUT)  # or it might be taken off unadded
        if fits and outcome is Outcome.OK and account.joint and request.window == account.window:
            after, window = account.used / account.joint, plan.burst / plan.rate
            request.turn = (request.window - account.customer.id * GOLDEN % 1.0) * window + after if after <= window else inf
        self.next.take(request) if fits else self.beyond(request)

    def beyond(self, request):
        wait = request.account.store.wait(self.port.now, request.call.units)
        request.beyond, request.wait = True, max(wait, request.account.hold - self.port.now)
        self.next.take(request)

    def spend(self, request, units, say=True):  # book units, below 0: give them back; say: have them added later
        account, request.counted = request.account, request.counted + units
        for one in (account.store, account.share, account.alone):
            one.level = one.read(self.port.now) - units
        self.add_later(account, units if say else 0.0)

    def add_later(self, account, units):  # to be added in the background
        if units and not account.unsaid:
            self.port.later(BATCH * (0.5 + self.random.uniform()), lambda: self.flush(account))
        account.unsaid += units

    def flush(self, account):  # as far as the pace leaves room beside the asks
        if account.unsaid:
            again = lambda: self.flush(account)
            # What is given back goes first: until then it is refused to who has room.
            self.add_to_count(account, 0.0) if self.may_ask(0.5 * (account.unsaid > 0)) else self.port.later(BATCH, again)

    def turn_window(self, account):  # to the current window (customers out of step), reading how the last one ended
        now, window = self.port.now, account.plan.burst / account.plan.rate
        at = now / window + account.customer.id * GOLDEN % 1.0
        if floor(at) != account.window:
            account.store.read(max(account.store.at, now - at % 1.0 * window))
            if floor(at) - 1 == account.window and self.may_ask(0.5):
                self.add_to_count(account, 0.0)
            self.unheard.add(now, account.unsaid)
            account.window, account.total, account.unsaid, account.store.spilt = floor(at), 0.0, 0.0, 0.0
            account.used = inf  # until told
            if now - account.active < window:
                self.port.later((account.window + 1 - at) * window + 0.001, lambda: self.turn_window(account))

    def add_to_count(self, account, amount, then=lambda outcome: None):
        """Add to the count, with whatever waits to be added; the total that comes back is what all added."""
        window, before, amount, account.unsaid = account.window, account.total, amount + account.unsaid, 0.0
        spilt = account.store.spilt
        self.pace.level -= 1

        def told(outcome, total, took):
            pace, now = self.pace, self.port.now
            wanted = max(1.0, self.wanted.read(now) / min(MEMORY, max(1.0, now - self.began)))
            late = outcome is Outcome.FULL or took >= LATE * self.counter_wait  # not where a connection broke
            if outcome is Outcome.OK and not late and pace.read(now) < pace.depth / 2:  # what is not used is not won
                pace.rate += QUICKER
            elif late and now >= self.slowed:  # once for each wait, from what was used: less of more is no less
                pace.rate = max(PACE_LEAST * wanted, min(pace.rate, 2 * wanted) * SLOWER)
                self.slowed = now + self.counter_wait
            current = window == account.window
            if outcome is Outcome.OK:
                self.said.add(now, amount)
                self.learn(account, total, total - (account.total if current else before) - amount, None if current else spilt)
                account.total = total if current else account.total
            elif outcome not in (Outcome.TIMEOUT, Outcome.NOTED) and current:  # else it may have been added, or will be
                self.add_later(account, amount)
            pace.depth = max(AT_ONCE, pace.rate * self.counter_wait)
            then(outcome)

        name = account.customer.id << 31 | window & 0x7FFFFFFF
        self.port.count(name, amount, min(60.0, LIVES * account.plan.burst / account.plan.rate), told)

    def learn(self, account, total, others, spilt):
        now, store, share = self.port.now, account.store, account.share
        store.read(now)
        # Below that it is an emptied counter: what this gateway knew of the store still stands.
        others = others if others >= -LOST * self.largest else 0.0
        # While calls are scarce others, too, say only a part of what they pass: as small as this gateway's.
        unsaid = min(UNSAID, 1.0 + max(0.0, self.unheard.read(now)) / max(1.0, self.said.read(now)))
        others, account.used = others * unsaid, account.used if spilt is not None else total * unsaid
        # They used what came in as well: what spilt here since the last word, or that window's start, was theirs.
        if spilt is None:
            others, store.spilt = max(min(0.0, others), others - store.spilt), max(0.0, store.spilt - max(0.0, others))
        else:
            others = max(min(0.0, others), others - spilt)
        # Debts are kept up to half a burst: refused asks count until given back, which must not make room.
        store.level = max(min(-self.largest, -store.depth / 2), store.read(now) - others)
        share.level, share.at, account.told_at = store.level / account.gateways, now, now
        account.alone.level, account.alone.at = store.level * account.part, now
        account.credit = account.most_credit if 2 * store.level > store.depth else 0.0

    def ended(self, request, answer):
        # What was added in a window before is not taken off this one's count: it would make room for others in it.
        self.spend(request, 0.0 if request.sent else -request.counted, request.window == request.account.window)
        self.before.ended(request, answer)


class Loans(Stage):  # idle customers' room, lent whole to soft-plan customers, for a horizon at most

    def __init__(self, port, line, accounts, horizon):
        self.port, self.line, self.accounts, self.horizon = port, line, accounts, horizon

    def take(self, request):
        self.before.ended(request, "rate-limit") if request.beyond and not self.lend(request) else self.next.take(request)

    def lend(self, request):
        now, units, loan = self.port.now, request.call.units, []
        fits = request.soft and request.call.route.target <= self.horizon and self.next.room(request)
        if not fits or self.line.waiting or not self.line.next.choose_server(request):
            return False  # loans only fill what is free: they never wait before those inside their quota
        quiet = takewhile(lambda one: now - one.active > IDLE * self.horizon, self.accounts)
        idle = [one for one in islice(quiet, LENDERS) if not one.out and self.free(one) > 0]
        for lender in sorted(idle, key=self.free, reverse=True):
            loan.append((lender, min(self.free(lender), units)))
            units -= loan[-1][1]
        request.loan = loan if units <= 0 else None
        self.book(request.loan or (), 1)
        return request.loan

    def free(self, account):  # of a guarantee, the gateway's slice of the rate times the horizon
        return account.plan.rate / account.gateways * self.horizon - account.lent

    def book(self, loan, sign):
        for lender, part in loan:
            lender.lent += sign * part

    def ended(self, request, answer):
        if request.loan:  # cut short, the work may go on at its server: the loan counts for one more horizon
            wait = 0.0 if answer == "proxied" or not request.may_have_run() else self.horizon
            self.port.later(wait, lambda loan=request.loan: self.book(loan, -1))
            request.loan = None
        self.before.ended(request, answer)


class Ceiling(Stage):  # this gateway's share of a customer's hard ceiling and cap on tries out: work waits

    def __init__(self, port):
        self.port = port

    def take(self, request):
        account, plan, request.wait = request.account, request.account.plan, 0.0
        if plan.ceiling_rate > 0:
            request.wait = min(account.ceiling.wait(self.port.now, request.call.units), max(0.0, request.turn - self.port.now))
        if not request.wait:
            request.drawn = 0.0 if request.turn <= self.port.now else request.call.units
            account.ceiling.level -= request.drawn
            self.next.take(request)
        elif request.loan or self.port.now + request.wait > request.target_at:
            self.before.ended(request, "rate-limit")
        else:
            self.port.later(request.wait, lambda: request.done or self.take(request))

    def ended(self, request, answer):
        request.account.out -= request.sent
        request.account.ceiling.level += 0.0 if request.sent else request.drawn
        self.before.ended(request, answer)

    def room(self, request):  # asked as it is sent: what only waits in line does not fill the cap
        account, cap = request.account, request.account.plan.open_cap
        return not cap or request.sent or account.out < max(1, round(cap / account.gateways))


class Line(Stage):  # work waits here, and a server gets the next when one of its places comes free
    def __init__(self, port):
        self.port, self.waiting, self.look_at = port, deque(), 0.0

    def too_long(self, request):  # seconds of wait if the line can't meet the latency target, else 0
        delay = self.next.delay()
        wait = len(self.waiting) * delay / max(1, self.next.out)
        return wait if wait + delay > LINE * (request.target_at - self.port.now) else 0.0

    def take(self, request):
        self.waiting.append(request)
        self.dispatch()

    def dispatch(self):
        """Hand out what places are free; tell at once what can't meet its latency target any more."""
        waiting, self.waiting, blocked, delay = self.waiting, deque(), False, self.next.delay()
        for request in waiting:
            if self.port.now > request.call.expires:  # where this process stood still, timers that are due may not have come yet
                self.next.give_up(request)
            view = self.next.choose_server(request) if not request.done and not blocked and self.before.room(request) else None
            if view:
                self.next.start_attempt(request, view)
            elif not request.done and self.port.now + delay > request.target_at:
                request.wait = delay
                self.next.ended(request, "rate-limit")
            elif not request.done:
                self.waiting.append(request)
                blocked = blocked or not request.may_have_run() and self.before.room(request)
        if self.waiting and self.port.now >= self.look_at:
            self.look_at = self.port.now + 0.9 * SWEEP
            self.port.later(SWEEP, self.dispatch)


class Upstream:  # what this gateway saw of a server
    def __init__(self, server, places, phase, now):
        self.server, self.up_since, self.attempts, self.places = server, server.up_since, [], places
        self.outcomes, self.good, self.free_at, self.seen = deque([True] * OUTCOMES, OUTCOMES), 1.0, 0.0, 0.0
        self.away = 0  # tries in a row that it took nothing of: it is full, drains or is gone, told or not
        self.took, self.ends = DecayingSum(), DecayingSum()
        self.cold = TokenBucket(0.0, 1.0, phase, now)  # tries while cold, first a part of one: no rush of crumbs

    def open(self, now):
        """Whether a place is free. Who fails gets a try at a time, after a rest; who is stuck, none."""
        if now < self.free_at or any(now - one.sent > PATIENCE * one.call.route.target for one in self.attempts):
            return False
        return len(self.attempts) < (int(self.places) if self.sound() else 1)

    def sound(self):
        return self.good >= FAILING and not self.away

    def delay(self, now, typical):  # seconds that an answer takes, or that the oldest try has waited
        mean = (self.took.read(now) + typical) / (self.ends.read(now) + 1)
        return max(mean, now - self.attempts[0].sent if self.attempts else 0.0, 0.001)


class Unshared:  # no word of other gateways: nothing is shunned, and nothing awaits this one's turn
    shuns = due = tried = saw = listed = lambda self, *heard: False
    least, ring = 0, lambda self, views, start: views[start:] + views[:start]  # this one's part: a stretch of the ring


class Upstreams(Stage):  # chooses servers, sends, judges them, and decides on further tries

    def __init__(self, port, random, line, settings, horizon):
        self.port, self.random, self.line, self.settings, self.horizon = port, random, line, settings, horizon
        self.gateways = self.sure = gateways = settings.gateways
        self.cold_share = min(COLD_MOST, COLD_PART * settings.fall_multiple)
        self.servers, self.best, self.best_at, self.sure_at, self.out = [], 0.0, 0.0, port.now + SOON, 0
        self.window, self.part, self.peers, self.rivals, self.warm, self.drawn_at = 0.0, [], gateways, gateways, 0, 0.0
        self.took, self.ends, self.further, self.helped, self.sends = (DecayingSum() for _ in range(5))
        self.choices = Unshared()

    def delay(self):  # seconds that an answer takes in the mean, 0 while none is known
        return self.took.read(self.port.now) / max(1e-6, self.ends.read(self.port.now))

    def listed(self, servers):
        """Nothing new goes to what drains or is gone, from now on; what restarted is judged afresh."""
        for server in servers:
            if server.view and (server.state is not State.READY or server.view.up_since != server.up_since):
                self.servers.remove(server.view)
                server.view = None
            if server.view is None and server.state is State.READY:
                server.view = Upstream(server, max(1.0, PLACES / self.peers), self.random.uniform(), self.port.now)
                self.servers.append(server.view)
        self.servers.sort(key=lambda view: view.server.id)
        self.choices.listed({view.server.id: view.server for view in self.servers})
        self.draw()
        self.line.dispatch()

    def draw(self):
        """This gateway's part: a short stretch of the ring from its number on, or as the fleet chose; the sick are made up for."""
        now, count, sound = self.port.now, len(self.servers), 0
        size = max(PART, self.choices.least, self.sends.read(now) / MEMORY * SEEN)
        self.part, self.drawn_at = [], now
        for view in self.choices.ring(self.servers, floor(self.settings.slot * GOLDEN % 1.0 * count)):
            if sound < size:
                self.part.append(view)
                sound += view.sound() and not self.choices.shuns(view.server.id)
        self.peers, self.rivals = (max(1.0, of * len(self.part) / max(1, count)) for of in (self.gateways, self.sure))
        self.window = self.window or max(1.0, PLACES * count / self.gateways)
        self.warm = sum(self.is_warm(view) for view in self.part)
        self.part += [view for view in self.servers if self.choices.due(view.server.id) and view not in self.part]

    def is_warm(self, view):
        return not view.up_since or self.port.now - view.up_since >= self.settings.warm_after

    def admits_cold(self, view):
        """Cold budget, own share alone: the least warmth, of what a warm server is sent or one core bears."""
        now = self.port.now
        usual = self.sends.read(now) / MEMORY / self.warm if self.warm else 0.0
        warmth = self.settings.cold_from + (1 - self.settings.cold_from) * max(0.0, now - view.up_since) / self.settings.warm_after
        view.cold.read(now)
        view.cold.rate = warmth * self.cold_share * max(usual, 1 / max(self.delay(), 0.05) / self.rivals)
        return view.cold.level >= 1

    def group_allows(self, request, server, ran):  # whether a repeat may go there, after tries that may have run
        route = request.call.route
        if not ran or route.repeat is Repeat.IDEMPOTENT:
            return True
        if route.repeat is Repeat.NON_IDEMPOTENT or self.port.now >= ran[0].sent + route.window:
            return False
        group, first = route.group, ran[0].server
        return group is Group.ALL or getattr(server, group.name.lower()) == getattr(first, group.name.lower())

    def choose_server(self, request):  # the free place where an answer should come soonest, or None
        now, typical, best, least = self.port.now, self.delay(), None, 0.0
        ran, tried = request.may_have_run(), [one.server for one in request.call.attempts]
        if now - self.drawn_at >= REDRAW:
            self.draw()
        for view in self.part if self.out < self.window else ():
            server = view.server
            # Whose turn it is tries a sick server for all, with a call that may run again.
            due = self.choices.due(server.id) and request.call.route.repeat is Repeat.IDEMPOTENT and not tried
            if view.open(now) and (due or not self.choices.shuns(server.id)) and self.group_allows(request, server, ran) and (
                    self.is_warm(view) or self.admits_cold(view)):
                good = max(0.1, view.good, min(1.0, (now - view.seen) / MEMORY))  # long unseen: a new chance
                cost = (len(view.attempts) + 1) * view.delay(now, typical) / good * 4 ** tried.count(server)
                cost *= (not due) * (CROSS if server.zone != self.settings.zone else 1.0) * (1 + 0.05 * self.random.uniform())
                if best is None or cost < least:
                    best, least = view, cost
        return best

    def start_attempt(self, request, view):
        request.account.out += not request.sent
        request.sent = True
        view.cold.level -= 1
        self.sends.add(self.port.now, 1)
        self.choices.tried(view.server.id)
        self.further.add(self.port.now, 1 if request.call.attempts else 0)
        one = self.port.send(request.call, view.server, self.horizon if request.loan else 0.0)
        one.view = view
        view.attempts.append(one)
        self.out += 1
        self.port.later(PATIENCE * request.call.route.target, lambda: self.reconsider(request, one))

    def ended_try(self, one, took, final):
        """Book the end of a try, then answer or try further."""
        request = one.call.request
        one.view.attempts.remove(one)
        self.out -= 1
        self.record_outcome(one.view, one, took)
        if request:
            if final:
                self.helped.add(self.port.now, 1 if one.number else 0)
                self.ended(request, "proxied")
            elif one.outcome is Outcome.CANCELLED or self.may_try(request):
                self.line.waiting.appendleft(request)  # a further try goes to the head of the line
            else:
                self.ended(request, "error")
        self.line.dispatch()

    def record_outcome(self, view, one, took):
        now, outcome, good = self.port.now, one.outcome, one.outcome is Outcome.OK
        patience = PATIENCE * one.call.route.target
        if outcome is Outcome.UNSENT or outcome is Outcome.CANCELLED and took < patience:
            return  # but given up for its slowness it counts as failed, whether work or answer was lost
        away = outcome in (Outcome.FULL, Outcome.UNCONNECTED)
        view.away = view.away + 1 if away else 0
        if outcome is not Outcome.FULL:
            view.outcomes.extend([good] * (2 if outcome is Outcome.UNCONNECTED else 1))
            view.good = sum(view.outcomes) / OUTCOMES
            self.choices.saw(view.server.id, outcome)
        for sums in (view, self) if good else ():
            sums.took.add(now, took)
            sums.ends.add(now, 1)
        if good and self.ends.sum > SURE and now > self.sure_at:
            relaxed = self.best * (1 + RELAX * (now - self.best_at))
            self.best, self.best_at = min(self.delay(), relaxed or self.delay()), now
        # A gateway sees a server seldom, the fleet often: while answers are slow, fewer tries are out in all.
        # Tries without an answer count less: it may be lost where work runs well, if none comes all is stuck.
        # One that turns away tells of itself alone: it drains, or its answers would have been slow before.
        # Cold ones are slow by themselves and have a budget of their own: that is no reason to spare the warm.
        slow = took > min(CROWDED * self.best or patience, patience)
        if slow and not away and self.is_warm(view):
            self.window = min(self.window, self.out + 1) * NARROW ** (1 if good else GIVEN_UP)
            self.window = max(1.0, WINDOW * len(self.servers) / self.gateways, self.window)
        elif good and not slow and 2 * self.out + 2 >= self.window:
            self.window *= WIDEN
        view.seen, view.free_at = now, now if good else now + REST * (1 - view.good / FAILING)
        if away:  # all gateways meet it: by chance they don't come back together, and the part is made up for
            wait = min(AWAY_MOST, AWAY * 2 ** min(view.away - 1, 9)) * (0.5 + self.random.uniform())
            view.free_at, self.drawn_at = max(view.free_at, now + wait), -REDRAW

    def may_try(self, request):  # whether rules, time and recent luck allow a further try
        now, ran = self.port.now, request.may_have_run()
        allowed = any(self.group_allows(request, view.server, ran) for view in self.part)
        if len(request.call.attempts) >= self.settings.max_tries or now + self.delay() > request.target_at or not allowed:
            return False
        if all(one.outcome in NEVER_RAN for one in request.call.attempts):
            return True  # nothing ran: the next costs nothing but its time
        return self.random.uniform() < (self.helped.read(now) + 1) / (self.further.read(now) + 1)

    def reconsider(self, request, one):  # a try out for PATIENCE is given up if another server should do better
        now, busy = self.port.now, request.loan or request.began or self.line.waiting or not self.settings.may_cancel
        view = None if one.outcome or request.done or busy or not self.may_try(request) else self.choose_server(request)
        if view and view is not one.view and now + 2 * view.delay(now, self.delay()) < request.target_at:
            self.port.cancel(one)

    def give_up(self, request, left=False):
        """The client's patience is over, or it left: stop what is out and say so."""
        if not request.done and (left or not request.began):
            for one in request.call.attempts if self.settings.may_cancel else ():
                one.outcome or self.port.cancel(one)
            self.ended(request, "error")


class Gateway:  # the chain, and what it is told

    def __init__(self, port, seed, settings):
        gateways, wait = settings.gateways, settings.counter_wait
        self.port, self.launched, self.settings = port, port.now, settings
        random, horizon = RandomGenerator(seed), max((route.target for route in settings.routes), default=1.0)
        self.line, self.quota = Line(port), Quota(port, random, wait, settings.largest, gateways)
        self.gateways = self.sure = gateways
        self.intake, self.accounts = Intake(port, self.line, settings.longest_retry_after), {}  # in order of last use
        self.upstreams = Upstreams(port, random, self.line, settings, horizon)
        loans = Loans(port, self.line, self.accounts, horizon)
        chain = [self.intake, self.quota, loans, Ceiling(port), self.line, self.upstreams]
        for one, following in zip(chain, chain[1:]):
            one.next, following.before = following, one
        self.servers_told = self.upstreams.listed
        if settings.asks_for_servers:
            port.follow_servers(True)

    def touch(self, account):
        """Any ask or end of a try, refused or not, makes a customer active and freezes new loans on it."""
        account.active = self.port.now
        self.accounts.pop(account, None)
        self.accounts[account] = None
        kept = FORGET if len(self.accounts) <= LENDERS else IDLE * self.upstreams.horizon  # crowds come once
        for one in list(islice(self.accounts, LOOKS)):
            if self.port.now - one.active > max(kept, one.refills) and not one.lent and not one.out:
                one.customer.account = self.accounts.pop(one)  # None: its stores are full by now

    def holders(self, told):  # how many gateways hold a quota: of the whole fleet's, those not known to have left
        return self.sure if told == self.gateways else told

    def redivide(self, credit=1.0):
        for account in self.accounts:
            for one in (account.store, account.share, account.alone, account.ceiling):
                one.read(self.port.now)
            account.granted = self.quota.granted
            account.divide(self.holders(account.told))
            account.credit = min(account.credit * credit, account.most_credit)

    def fleet_told(self, live, rank, sure):
        """Membership's word: how many gateways are there, this one's place among them, how many have not surely left.
        What is held jointly is divided by `sure`: in a split both sides are still there. The rest goes by `live`."""
        self.sure, self.upstreams.sure, self.upstreams.gateways = sure, sure, live
        self.redivide()
        self.upstreams.draw()

    def counter_told(self, part):
        """The part of each quota that is granted by the count seen from here; 0: none tells, and no credit is left."""
        self.quota.granted = part
        self.redivide(part > 0)

    def choices_told(self, choices):
        """What the fleet knows and chooses together of its servers (choices.Shared); each decides alone without it."""
        self.upstreams.choices = choices
        choices.listed({view.server.id: view.server for view in self.upstreams.servers})

    def arrived(self, call):
        now, customer = self.port.now, call.customer
        if customer.account not in self.accounts:
            customer.account = Account(customer, self.holders(call.gateways), self.quota.largest, now, self.launched,
                                       self.quota.counter_wait > 0, self.quota.granted)
            customer.account.told = call.gateways
        self.touch(customer.account)
        self.intake.take(Request(call, customer.account, now))

    def answer_began(self, one, took):  # it is the client's from here on; no time is up for it
        if one.call.request:
            one.call.request.began = True

    def try_ended(self, one, took, final, charged, used, report):
        request = one.call.request
        if request:
            self.touch(request.account)
            self.quota.spend(request, charged - request.counted if self.settings.trued_up and charged and request.counted else 0.0)
        self.upstreams.ended_try(one, took, final)

    def client_left(self, call):
        if call.request:
            self.upstreams.give_up(call.request, left=True)

    def servers_unheard(self):
        self.port.later(self.settings.ask_within / 10, lambda: self.port.follow_servers(True))

    probed = told = lambda self, *heard: None  # unused: API calls tell more, and gateways talk by the counter
