"""All decisions of brookhub, for one gateway process: fair-share-ceiling on every API call's path, and its guards.

How to call: build one Gateway with a Port, a seed and the site's terms; tell it what happens (arrived, try_ended,
answer_began, client_left, servers_told, servers_unheard, probed, told); it acts through the port alone, at once or
from callbacks it asked for. Types and port: interface.py. Why it decides so: docs/design.md.

An API call passes Intake, Quota, Loans, Ceiling, Line, Upstreams; each passes it on, keeps it or ends it, and what
comes back runs through them the other way. Rq is the decisions' record of an API call, Account of a customer,
Upstream of a server.
"""

from collections import deque
from math import exp, floor

from .interface import Group, Outcome, Repeat, State

BATCH = 0.1  # s between background adds: ten a second and customer at most, far inside any window
SWEEP = 0.02  # s between looks at what waits: a small part of any latency target
LIFE = 3.0  # windows that a count is kept: the last one's end is read in the next
FORGET = 180.0  # s without an ask after which a customer's account is dropped: the design's "some minutes"
IDLE = 2.0  # idle time in horizons: the design wants more than one, so a returner's freeze outlives any loan
LOST = 2.0  # largest API calls by which a total may shrink (give-backs) before the counter counts as emptied
QUIET = 0.25  # s to leave a counter alone that gave no answer, doubled at each further silence ...
QUIET_MOST = 2.0  # s ... up to this, so that its return is noticed within a window
OUTCOMES = 8  # last outcomes of a server that judge it: few, so that a failing one is noticed in a second or two
FAILING = 0.5  # share of successes among them under which a server rests
REST = 1.0  # s of rest, doubled while it goes on failing ...
REST_MOST = 8.0  # s ... up to this: a server that came back gets work again soon
PLACES = 2.0  # places at a server to begin with; they grow as long as answers come soon
CROWDED = 0.5  # share of the latency target: a server that takes longer loses a place in five, a faster one gains
PATIENCE = 0.5  # share of the latency target after which a try may be given up for another server
MEMORY = 10.0  # s over which rates, delays and successes fade: several windows, shorter than most troubles
CROSS = 1.3  # how much longer a server in another zone may seem: crossing costs, but less than a wait
COLD_SHARE = 0.7  # of this gateway's share of a cold server's budget: chance, probes and unseen work need the rest
MASK = 2 ** 64 - 1

NEVER_RAN = (Outcome.FULL, Outcome.UNCONNECTED, Outcome.UNSENT)  # outcomes that prove that nothing ran


class Dice:
    """Chance: a linear congruential generator, of which the high bits are used."""

    def __init__(self, seed):
        self.state = seed & MASK

    def roll(self):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & MASK
        return (self.state >> 33) / 2 ** 31


class Fading:
    """A sum that fades over MEMORY, brought up to date when read."""

    def __init__(self):
        self.sum, self.at = 0.0, 0.0

    def read(self, now):
        self.sum *= exp((self.at - now) / MEMORY)
        self.at = now
        return self.sum

    def add(self, now, amount):
        self.sum = self.read(now) + amount


class Store:
    """Units that refill at a rate up to a depth."""

    def __init__(self, rate, depth, level, now):
        self.rate, self.depth, self.level, self.at = rate, depth, level, now

    def read(self, now):
        self.level = min(self.depth, self.level + self.rate * (now - self.at))
        self.at = now
        return self.level

    def wait(self, now, units):
        short = units - self.read(now)
        return 0.0 if short <= 0 else short / self.rate if self.rate else MASK


class Rq:
    """One API call on its way."""

    def __init__(self, call, account, now):
        self.call, self.account = call, account
        self.target_at = min(now + call.route.target, call.expires)
        self.counted = self.drawn = 0.0  # units taken from the quota, from the ceiling
        self.loan, self.beyond, self.wait = None, False, 0.0
        self.sent = self.done = self.waiting = self.switching = False
        self.out = []  # tries out
        self.began = False

    def may_have_run(self):
        return [one for one in self.call.tries if one.outcome not in NEVER_RAN]


class Account:
    """What this gateway knows of a customer: the quota as far as told, its share, and loans made of its room."""

    def __init__(self, customer, gateways, now, launched):
        plan, part = customer.plan, 1.0 / gateways
        self.customer, self.plan, self.gateways, self.active = customer, plan, gateways, now
        self.store = Store(plan.rate, plan.burst, plan.burst, now)
        # A launch may be a restart: what an earlier life spent is unknown, so the own share starts empty.
        self.share = Store(plan.rate * part, plan.burst * part, 0.0, now)
        self.ceiling = Store(plan.ceiling_rate * part, plan.ceiling_burst * part, 0.0, launched)
        self.window, self.total, self.unsaid = None, 0.0, 0.0
        self.mine, self.all = Fading(), Fading()
        self.doubtful, self.lent, self.out = 0.0, 0.0, 0


class Stage:
    """One step of the chain."""

    next = before = None

    def take(self, rq):
        self.next.take(rq)

    def ended(self, rq, answer):
        self.before.ended(rq, answer)


class Intake(Stage):
    """Takes API calls in and sees that each gets one final answer, in time."""

    def __init__(self, port, line, longest_retry_after):
        self.port, self.line, self.longest = port, line, longest_retry_after

    def take(self, rq):
        rq.call.rq = rq
        self.port.later(max(0.0, rq.call.expires - self.port.now), lambda: self.overdue(rq))
        wait = self.line.too_long(rq)
        if wait:  # before counting: what can't be answered in time should not use up the quota
            rq.wait = wait
            self.ended(rq, "rate-limit")
        else:
            self.next.take(rq)

    def overdue(self, rq):
        if not rq.done:
            self.line.next.give_up(rq)

    def ended(self, rq, answer):
        if rq.done:
            return
        rq.done, rq.call.rq = True, None
        ran = rq.may_have_run()
        route = rq.call.route
        safe = not ran or route.repeat is Repeat.IDEMPOTENT or (
            route.repeat is Repeat.TOKENED and route.group is Group.ALL)
        if answer == "rate-limit" and safe and not rq.out:
            self.port.rate_limit(rq.call, min(rq.wait, self.longest))
        elif answer != "proxied":
            self.port.error(rq.call)


class Quota(Stage):
    """The counter rule: every unit passed is added to the customer's count for a window of burst over rate."""

    def __init__(self, port, counter_wait, largest, trued_up):
        self.port, self.has_counter, self.largest, self.trued_up = port, counter_wait > 0, largest, trued_up
        self.accounts, self.quiet_until, self.quiet = [], 0.0, QUIET

    def take(self, rq):
        account, units, now = rq.account, rq.call.units, self.port.now
        if account.plan.rate <= 0:
            return self.next.take(rq)
        self.turn(account)
        if account.store.read(now) < units:
            self.beyond(rq)
        elif account.share.read(now) >= units:  # inside the share: pass, and add in the background
            self.spend(rq, 1)
            account.unsaid += units
            self.next.take(rq)
        elif self.usable():  # beyond it: add first, and pass while the total leaves room
            self.spend(rq, 1)
            self.say(account, units, lambda outcome: self.asked(rq, outcome))
        else:
            self.beyond(rq)

    def usable(self):
        return self.has_counter and self.port.now >= self.quiet_until

    def spend(self, rq, sign):
        now, account, units = self.port.now, rq.account, rq.call.units * sign
        account.store.read(now)
        account.share.read(now)
        account.store.level -= units
        account.share.level -= units
        rq.counted = rq.call.units if sign > 0 else 0.0

    def asked(self, rq, outcome):
        account, units, now = rq.account, rq.call.units, self.port.now
        if rq.done:
            return
        if outcome is Outcome.OK:
            fits = account.store.read(now) >= 0
        else:  # no word: the own share decides, as if nothing had been asked
            fits = account.share.read(now) >= 0
            account.unsaid += units if outcome is not Outcome.TIMEOUT else 0
        if fits:
            self.next.take(rq)
        else:
            self.give_back(rq)
            self.beyond(rq)

    def give_back(self, rq):
        if rq.counted:
            rq.account.unsaid -= rq.counted
            self.spend(rq, -1)

    def beyond(self, rq):
        rq.beyond = True
        rq.wait = rq.account.store.wait(self.port.now, rq.call.units)
        self.next.take(rq)

    def turn(self, account):
        """Move to the current window, reading what the others still added to the last."""
        index = floor(self.port.now * account.plan.rate / account.plan.burst)
        if index != account.window:
            if account.window is not None and self.usable():
                self.say(account, 0.0)
            account.window, account.total = index, 0.0

    def say(self, account, amount, then=None):
        """Add to the count, with whatever waits to be added; the total that comes back is what all have added."""
        window, name = account.window, account.customer.id << 31 | account.window & 0x7FFFFFFF
        amount, unsaid = amount + account.unsaid, account.unsaid
        before = account.total  # of a window that is over, the only one who still asks is this call
        account.unsaid = 0.0

        def told(outcome, total, took):
            self.heard(outcome)
            if outcome is Outcome.OK:
                base = account.total if window == account.window else before
                others = total - base - amount
                if window == account.window:
                    account.total = total
                self.learn(account, amount, others)
            elif outcome is Outcome.TIMEOUT:
                account.doubtful += amount  # it may have been added: seen again, it is not others' use
            else:
                account.unsaid += unsaid
            if then:
                then(outcome)

        self.port.count(name, amount, min(60.0, LIFE * account.plan.burst / account.plan.rate), told)

    def learn(self, account, amount, others):
        now = self.port.now
        if others < -LOST * self.largest:
            others = 0.0  # emptied counter: what this gateway knew of the store still stands
        own = min(max(others, 0.0), account.doubtful)
        account.doubtful -= own
        others -= own
        account.mine.add(now, max(0.0, amount))
        account.all.add(now, max(0.0, amount + others))
        store, share = account.store, account.share
        store.read(now)
        store.level = max(-self.largest, store.level - others)
        share.read(now)
        share.level = store.level / account.gateways

    def heard(self, outcome):
        if outcome is Outcome.OK:
            self.quiet = QUIET
        elif self.port.now >= self.quiet_until:
            self.quiet_until = self.port.now + self.quiet
            self.quiet = min(QUIET_MOST, self.quiet * 2)

    def flush(self):
        """Background adds, in batches; window turns of those who were here of late."""
        for account in self.accounts:
            if account.plan.rate > 0 and account.window is not None and self.usable():
                self.turn(account)
                if account.unsaid:
                    self.say(account, 0.0)

    def settle(self, rq, charged):
        """What the API call really counted, where that is told afterwards."""
        if self.trued_up and rq.counted and charged:
            account, more = rq.account, charged - rq.counted
            account.store.level -= more
            account.share.level -= more
            account.unsaid += more

    def ended(self, rq, answer):
        if not rq.sent:
            self.give_back(rq)
        self.before.ended(rq, answer)


class Loans(Stage):
    """Idle customers' room, lent whole to soft-plan customers beyond their quota, for a horizon at most."""

    def __init__(self, port, line, accounts, horizon):
        self.port, self.line, self.accounts, self.horizon = port, line, accounts, horizon

    def take(self, rq):
        if not rq.beyond:
            self.next.take(rq)
        elif not self.lend(rq):
            self.before.ended(rq, "rate-limit")
        else:
            self.next.take(rq)

    def lend(self, rq):
        plan, now, units = rq.account.plan, self.port.now, rq.call.units
        soft = plan.beyond_value > plan.beyond_cost
        # Loans fill what is free: they never wait in line before those inside their quota.
        if not soft or rq.call.route.target > self.horizon or not self.line.idle(rq):
            return False
        lenders = sorted((-self.free(account), index) for index, account in enumerate(self.accounts)
                         if account is not rq.account and not account.out
                         and now - account.active > IDLE * self.horizon)
        loan = []
        for free, index in lenders:
            part = min(-free, units)
            if part <= 0:
                break
            loan.append((self.accounts[index], part))
            units -= part
            if units <= 0:
                break
        if units > 0:
            return False
        rq.loan = loan
        for lender, part in loan:
            lender.lent += part
        return True

    def free(self, account):
        """A guarantee, the gateway's slice of the rate times the horizon, less what is lent of it."""
        return account.plan.rate / account.gateways * self.horizon - account.lent

    def ended(self, rq, answer):
        if rq.loan:
            loan, rq.loan = rq.loan, None
            # Cut short, the work may go on at its server: the loan stays counted for one more horizon.
            if answer == "proxied" or not rq.may_have_run():
                self.repay(loan)
            else:
                self.port.later(self.horizon, lambda: self.repay(loan))
        self.before.ended(rq, answer)

    def repay(self, loan):
        for lender, part in loan:
            lender.lent -= part


class Ceiling(Stage):
    """This gateway's own share of a customer's hard ceiling and of its cap on tries out; what lacks room waits."""

    def __init__(self, port):
        self.port, self.held = port, deque()

    def take(self, rq):
        wait = self.lacks(rq)
        if wait and self.port.now + wait > rq.target_at:
            rq.wait = wait
            self.before.ended(rq, "rate-limit")
        elif wait:
            self.held.append(rq)
        else:
            self.pass_on(rq)

    def lacks(self, rq):
        """Seconds until there is room: 0 is now. Only the first try of an API call draws."""
        account, plan = rq.account, rq.account.plan
        wait = 0.0
        if plan.ceiling_rate > 0:
            wait = account.ceiling.wait(self.port.now, rq.call.units)
        if plan.open_cap and account.out >= max(1, round(plan.open_cap / account.gateways)):
            wait = max(wait, SWEEP)
        return wait

    def pass_on(self, rq):
        if rq.account.plan.ceiling_rate > 0:
            rq.drawn = rq.call.units
            rq.account.ceiling.level -= rq.drawn
        rq.account.out += 1
        self.next.take(rq)

    def sweep(self):
        for _ in range(len(self.held)):
            rq = self.held.popleft()
            if not rq.done:
                self.take(rq)

    def ended(self, rq, answer):
        if rq.drawn and not rq.sent:
            rq.account.ceiling.level += rq.drawn
        rq.account.out -= 1
        self.before.ended(rq, answer)


class Line(Stage):
    """Work waits here, and a server gets the next when one of its places comes free."""

    def __init__(self, port):
        self.port, self.waiting = port, deque()

    def idle(self, rq):
        return not self.waiting and self.next.pick(rq) is not None

    def too_long(self, rq):
        """Seconds of wait if the line can't meet the latency target, else 0."""
        if not self.waiting:
            return 0.0
        delay = self.next.delay()
        wait = (len(self.waiting) + 1) * delay / max(1, self.next.out)
        return wait if self.port.now + wait + delay > rq.target_at else 0.0

    def take(self, rq):
        server = None if self.waiting else self.next.pick(rq)
        if server:
            self.next.launch(rq, server)
        else:
            self.waiting.append(rq)

    def again(self, rq):
        """A further try goes to the head of the line."""
        self.waiting.appendleft(rq)
        self.pump()

    def pump(self):
        """Hand out what places are free; only one bound to a group of servers is passed over."""
        kept, blocked = deque(), False
        while self.waiting and not blocked:
            rq = self.waiting.popleft()
            server = None if rq.done else self.next.pick(rq)
            if rq.done:
                continue
            if server:
                self.next.launch(rq, server)
            else:
                kept.append(rq)
                blocked = not rq.may_have_run()
        kept.extend(self.waiting)
        self.waiting = kept

    def sweep(self):
        """What can't be answered within its latency target any more is told so at once."""
        delay = self.next.delay()
        for rq in [rq for rq in self.waiting if not rq.done and self.port.now + delay > rq.target_at]:
            rq.wait = delay
            self.next.ended(rq, "rate-limit")
        self.pump()


class Upstream:
    """What this gateway saw of a server: the last outcomes, its delay, its places, its rest."""

    def __init__(self, server):
        self.server = server
        self.outcomes = deque([True] * (OUTCOMES // 2), OUTCOMES)
        self.tries, self.places, self.out = [], PLACES, 0
        self.took, self.ends = Fading(), Fading()
        self.rest_until, self.rest = 0.0, REST
        self.cold = None  # Store of tries that a cold server may be sent by this gateway

    def good(self):
        return sum(self.outcomes) / len(self.outcomes)

    def delay(self, now, typical):
        """Seconds that an answer takes: what it took of late, or how long the oldest try has waited."""
        ends = self.ends.read(now)
        mean = (self.took.read(now) + typical) / (ends + 1)
        return max(mean, now - self.tries[0].sent if self.tries else 0.0)


class Upstreams(Stage):
    """Chooses servers, sends, judges them, and decides on further tries."""

    def __init__(self, port, dice, line, zone, gateways, max_tries, second_copies, may_cancel, horizon, cold):
        self.port, self.dice, self.line, self.zone, self.gateways = port, dice, line, zone, gateways
        self.max_tries, self.second_copies, self.may_cancel = max_tries, second_copies, may_cancel
        self.horizon = horizon
        self.cold_from, self.warm_after, self.fall_multiple = cold
        self.servers, self.flying, self.out = [], {}, 0
        self.took, self.ends, self.further, self.helped, self.sends = (Fading() for _ in range(5))

    def delay(self):
        now = self.port.now
        return self.took.read(now) / max(1e-9, self.ends.read(now)) if self.ends.sum > 1e-6 else 0.0

    def listed(self, servers):
        for server in servers:
            view = server.view
            if server.state is not State.READY:
                if view in self.servers:
                    self.servers.remove(view)
                server.view = None
            elif view is None or view.up_since != server.up_since:
                if view in self.servers:
                    self.servers.remove(view)
                view = server.view = Upstream(server)
                view.up_since = server.up_since
                self.servers.append(view)
        self.line.pump()

    def warmth(self, view):
        """The least share of its capacity that a server has by now; 1 once it is warm."""
        age = self.port.now - view.server.up_since
        if not view.server.up_since or age >= self.warm_after:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0.0, age) / self.warm_after

    def admits_cold(self, view):
        """Cold budget, own share alone: what this gateway sends a warm server, or what one core would bear."""
        warmth, now = self.warmth(view), self.port.now
        if warmth >= 1:
            return True
        warm = sum(1 for other in self.servers if self.warmth(other) >= 1)
        usual = self.sends.read(now) / MEMORY / warm if warm else 0.0
        core = 1 / max(self.delay(), 0.05) / self.gateways
        rate = warmth * COLD_SHARE * max(usual, core)
        if view.cold is None:
            view.cold = Store(rate, 1.0, 0.0, now)
        view.cold.read(now)
        view.cold.rate = rate
        return view.cold.level >= 1

    def group_allows(self, rq, server, ran):
        route, first = rq.call.route, ran[0]
        if route.repeat is Repeat.IDEMPOTENT:
            return True
        if route.repeat is Repeat.NON_IDEMPOTENT or self.port.now >= first.sent + route.window:
            return False
        group, other = route.group, first.server
        return group is Group.ALL or (server.zone == other.zone if group is Group.ZONE else server.cell == other.cell)

    def pick(self, rq):
        """The free place where an answer should come soonest, or None."""
        now, typical, best, least = self.port.now, self.delay(), None, None
        ran = rq.may_have_run()
        tried = [one.server for one in rq.call.tries]
        for view in self.servers:
            server = view.server
            resting = now < view.rest_until
            if resting or view.out >= (1 if view.good() < FAILING else int(view.places)):
                continue
            if ran and not self.group_allows(rq, server, ran) or not self.admits_cold(view):
                continue
            cost = (view.out + 1) * max(0.001, view.delay(now, typical)) / max(0.1, view.good())
            cost *= (CROSS if server.zone != self.zone else 1.0) * (1 + 0.05 * self.dice.roll())
            cost *= 4 ** tried.count(server)
            if best is None or cost < least:
                best, least = view, cost
        return best

    def launch(self, rq, view):
        now, call = self.port.now, rq.call
        rq.sent = True
        view.out += 1
        self.out += 1
        self.sends.add(now, 1)
        if view.cold and self.warmth(view) < 1:
            view.cold.level -= 1
        if call.tries:
            self.further.add(now, 1)
        one = self.port.send(call, view.server, self.horizon if rq.loan else 0.0)
        one.view = view
        view.tries.append(one)
        rq.out.append(one)
        self.flying[rq] = None

    def ended_try(self, one, took, final):
        """Book the end of a try, then answer or try further."""
        now, view, rq, outcome = self.port.now, one.view, one.call.rq, one.outcome
        view.out -= 1
        self.out -= 1
        view.tries.remove(one)
        self.judge(view, one, took)
        if rq is not None:
            rq.out.remove(one)
            if final:
                if outcome is Outcome.OK and one.number:
                    self.helped.add(now, 1)
                for other in rq.out:
                    if self.may_cancel:
                        self.port.cancel(other)
                self.ended(rq, "proxied")
            elif not rq.out:
                self.again(rq)
        self.line.pump()

    def judge(self, view, one, took):
        now, outcome, target = self.port.now, one.outcome, one.call.route.target
        if outcome in (Outcome.UNSENT, Outcome.CANCELLED):
            return
        good = outcome is Outcome.OK
        if outcome is Outcome.FULL:
            view.places = max(1.0, view.places * 0.8)
        else:
            view.outcomes.extend([good] * (2 if outcome is Outcome.UNCONNECTED else 1))
        if good:
            view.rest = REST
            for sums in (view, self):
                sums.took.add(now, took)
                sums.ends.add(now, 1)
            if took > CROWDED * target:
                view.places = max(1.0, view.places * 0.8)
            elif view.out + 1 >= int(view.places):
                view.places += 1 / view.places
        elif view.good() < FAILING and now >= view.rest_until:
            view.rest_until = now + view.rest  # after the rest, one try at a time until it does better
            view.rest = min(REST_MOST, view.rest * 2)

    def may_try(self, rq):
        """Whether rules and recent luck allow a further try."""
        now, call = self.port.now, rq.call
        ran = rq.may_have_run()
        if len(call.tries) >= self.max_tries or now + self.delay() > rq.target_at and rq.sent:
            return False
        if ran and not any(self.group_allows(rq, view.server, ran) for view in self.servers):
            return False
        return self.dice.roll() < (self.helped.read(now) + 1) / (self.further.read(now) + 1)

    def again(self, rq):
        self.flying.pop(rq, None)
        if rq.switching or self.may_try(rq):
            rq.switching = False
            self.line.again(rq)
        else:
            self.ended(rq, "error")

    def give_up(self, rq):
        """The client's patience is over: stop what is out and say so."""
        for one in rq.out:
            if self.may_cancel:
                self.port.cancel(one)
        self.ended(rq, "error")

    def sweep(self):
        """A try that has used up PATIENCE is given up, or doubled, if another server should do better."""
        now = self.port.now
        for rq in list(self.flying):
            target = rq.call.route.target
            if len(rq.out) != 1 or rq.switching or rq.began or rq.loan or now - rq.out[0].sent < PATIENCE * target:
                continue
            if not (self.second_copies or self.may_cancel) or self.line.waiting:
                continue
            view = self.pick(rq)
            if view is None or view is rq.out[0].view:
                continue
            if now + 2 * view.delay(now, self.delay()) < rq.target_at and self.may_try(rq):
                if self.second_copies:
                    self.launch(rq, view)
                else:
                    rq.switching = True
                    self.port.cancel(rq.out[0])

    def ended(self, rq, answer):
        self.flying.pop(rq, None)
        self.before.ended(rq, answer)


class Gateway:
    """One gateway: the chain, and what it is told."""

    def __init__(self, port, seed, *, routes, plans, zone, slot, gateways, counter_wait, largest, trued_up, max_tries,
                 second_copies, may_cancel, longest_retry_after, cold_from, warm_after, fall_multiple, fall_within,
                 asks_for_servers, ask_within):
        if gateways < 1 or max_tries < 1:
            raise ValueError(f"there must be a gateway and a try, not {gateways} and {max_tries}")
        for route in routes:
            if route.target <= 0 or route.client_timeout <= 0:
                raise ValueError(f"route {route.name}: target and client timeout must be above 0")
        for plan in plans:
            if min(plan.rate, plan.burst, plan.ceiling_rate, plan.ceiling_burst) < 0 or plan.rate > 0 >= plan.burst:
                raise ValueError(f"plan {plan.name}: a rate needs a burst, and neither may be negative")
        self.port, self.dice, self.launched = port, Dice(seed), port.now
        horizon = max((route.target for route in routes), default=1.0)
        self.line, self.quota = Line(port), Quota(port, counter_wait, largest, trued_up)
        self.accounts = self.quota.accounts
        self.intake = Intake(port, self.line, longest_retry_after)
        self.ceiling = Ceiling(port)
        self.upstreams = Upstreams(port, self.dice, self.line, zone, gateways, max_tries, second_copies, may_cancel,
                                   horizon, (cold_from, warm_after, fall_multiple))
        chain = [self.intake, self.quota, Loans(port, self.line, self.accounts, horizon), self.ceiling, self.line,
                 self.upstreams]
        for one, following in zip(chain, chain[1:]):
            one.next, following.before = following, one
        self.asks, self.ask_within = asks_for_servers, ask_within
        if asks_for_servers:
            port.follow_servers(True)
        port.later(BATCH * self.dice.roll(), self.flush)
        port.later(SWEEP, self.sweep)

    def flush(self):
        self.quota.flush()
        old = self.port.now - FORGET
        if self.accounts and self.accounts[0].active < old:
            self.accounts[:] = [one for one in self.accounts if one.active >= old or one.lent or one.out]
        self.port.later(BATCH, self.flush)

    def sweep(self):
        self.ceiling.sweep()
        self.line.sweep()
        self.upstreams.sweep()
        self.port.later(SWEEP, self.sweep)

    def arrived(self, call):
        now, customer = self.port.now, call.customer
        account = customer.account
        if account is None or account.active < now - FORGET:
            if account in self.accounts:
                self.accounts.remove(account)
            account = customer.account = Account(customer, call.gateways, now, self.launched)
            self.accounts.append(account)
        account.active = now  # an ask counts even when it is refused: it freezes new loans on its customer
        self.intake.take(Rq(call, account, now))

    def answer_began(self, one, took):
        rq = one.call.rq
        if rq:
            rq.began = True
            for other in [other for other in rq.out if other is not one]:
                self.port.cancel(other)

    def try_ended(self, one, took, final, charged, used, report):
        rq = one.call.rq
        if rq:
            rq.account.active = self.port.now
            self.quota.settle(rq, charged)
        self.upstreams.ended_try(one, took, final)

    def client_left(self, call):
        if call.rq:
            self.upstreams.give_up(call.rq)

    def servers_told(self, servers):
        self.upstreams.listed(servers)

    def servers_unheard(self):
        if self.asks:
            self.port.later(min(1.0, self.ask_within / 4) * (0.5 + self.dice.roll()), lambda: self.port.follow_servers(True))

    def probed(self, server, outcome, took, report):
        pass

    def told(self, sender, data):
        pass
