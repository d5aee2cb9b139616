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

SWEEP = 0.02  # s between looks at what waits: a small part of any latency target
BATCH = 0.15  # s, about, that units wait to be added in the background: far inside any window
LIVES = 3.0  # windows that a count is kept: the last one's end is still read in the next
FORGET = 180.0  # s without an ask after which a customer's account is dropped: the design's "some minutes"
IDLE = 2.0  # idle time in horizons: the design wants more than one, so a returner's freeze outlives any loan
LOST = 2.0  # largest API calls by which a total may shrink (give-backs) before the counter counts as emptied
PACE = 100.0  # counter calls a second at first; they follow what it answers, but for ...
PACE_LEAST = 10.0  # ... these, by which its return is noticed
OUTCOMES = 8  # last outcomes of a server that judge it: few, so that a failing one is noticed in a second or two
FAILING = 0.5  # share of successes among them under which a server rests
REST, REST_MOST = 1.0, 8.0  # s of rest, doubled up to this while it goes on failing: one that is back soon gets work
PLACES = 6.0  # places at a server for all gateways together to begin with: a few cores' worth, they follow its answers
GAIN, LOSS = 0.1, 0.25  # places won by a quick answer, and the least part that a slow one leaves
CROWDED = 2.5  # times the usual delay at its best from which an answer is slow: servers should hold no lines
SURE = 60.0  # answers in the mean before it counts as a best: the first to come are the quick ones
RELAX = 0.01  # share by which that best rises each second, so that a fleet that slowed for good is served
PATIENCE = 0.5  # share of the latency target after which an answer is slow, and another server may do better
MEMORY = 10.0  # s over which rates, delays and successes fade: several windows, shorter than most troubles
CROSS = 1.3  # how much longer a server in another zone may seem: crossing costs, but less than a wait
COLD_SHARE = 0.7  # of this gateway's share of a cold server's budget: chance, probes and unseen work need the rest
NEVER_RAN = (Outcome.FULL, Outcome.UNCONNECTED, Outcome.UNSENT)  # outcomes that prove that nothing ran


class Dice:
    """Chance: a linear congruential generator, of which the high bits are used."""

    def __init__(self, seed):
        self.state = seed

    def roll(self):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2 ** 64
        return (self.state >> 33) / 2 ** 31


class Fading:
    """A sum that fades over MEMORY, brought up to date when read."""

    def __init__(self):
        self.sum, self.at = 0.0, 0.0

    def read(self, now):
        if now > self.at:
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
        return max(0.0, units - self.read(now)) / max(self.rate, 1e-9)


class Rq:
    """One API call on its way."""

    def __init__(self, call, account, now):
        self.call, self.account, self.target_at = call, account, min(now + call.route.target, call.expires)
        self.counted = self.drawn = self.wait = 0.0  # units out of the quota and the ceiling; s to come back in
        self.loan, self.out = None, []  # (lender, units) pairs; tries out
        self.beyond = self.held = self.sent = self.done = self.began = self.moving = False

    def may_have_run(self):
        return [one for one in self.call.tries if one.outcome not in NEVER_RAN]


class Account:
    """What this gateway knows of a customer: the quota as far as told, its share of it, loans made of its room."""

    def __init__(self, customer, gateways, now, launched):
        plan, part = customer.plan, 1.0 / gateways
        self.customer, self.plan, self.gateways, self.active = customer, plan, gateways, now
        self.store = Store(plan.rate, plan.burst, plan.burst, now)
        # A launch may be a restart: what an earlier life spent is unknown, so the own shares start empty.
        self.share = Store(plan.rate * part, plan.burst * part, 0.0, now)
        self.ceiling = Store(plan.ceiling_rate * part, plan.ceiling_burst * part, 0.0, launched)
        self.window, self.total, self.unsaid, self.due, self.doubtful = None, 0.0, 0.0, 0.0, 0.0
        self.mine, self.all = Fading(), Fading()  # units that went through here, and through all gateways
        self.lent, self.out, self.asking, self.queue = 0.0, 0, False, []


class Stage:
    """One step of the chain."""

    next = before = None

    def ended(self, rq, answer):
        self.before.ended(rq, answer)


class Intake(Stage):
    """Takes API calls in and sees that each gets one final answer, in time."""

    def __init__(self, port, line, longest_retry_after):
        self.port, self.line, self.longest = port, line, longest_retry_after

    def take(self, rq):
        rq.call.rq = rq
        self.port.later(max(0.0, rq.call.expires - self.port.now), lambda: self.line.next.give_up(rq))
        rq.wait = self.line.too_long(rq)
        if rq.wait:  # before counting: what can't be answered in time should not use up the quota
            self.ended(rq, "rate-limit")
        else:
            self.next.take(rq)

    def ended(self, rq, answer):
        if rq.done:
            return
        rq.done, rq.call.rq, route = True, None, rq.call.route
        safe = route.repeat is Repeat.IDEMPOTENT or not rq.may_have_run() or (
            route.repeat is Repeat.TOKENED and route.group is Group.ALL)
        if answer == "rate-limit" and safe:
            self.port.rate_limit(rq.call, min(rq.wait, self.longest))
        elif answer != "proxied":
            self.port.error(rq.call)


class Quota(Stage):
    """The counter rule: every unit passed is added to the customer's count for a window of burst over rate."""

    def __init__(self, port, dice, counter_wait, largest, trued_up):
        self.port, self.dice, self.counter_wait = port, dice, counter_wait
        self.largest, self.trued_up, self.accounts, self.slowed = largest, trued_up, [], 0.0
        self.pace = Store(PACE, max(2.0, PACE * counter_wait), PACE * counter_wait, port.now)

    def take(self, rq):
        account, units, now = rq.account, rq.call.units, self.port.now
        if account.plan.rate <= 0:
            return self.next.take(rq)
        self.turn(account)
        if account.store.read(now) < units:
            return self.beyond(rq)
        if account.share.read(now) < units and account.asking:
            return account.queue.append(rq)  # one answer of the counter serves all who wait for it
        inside = account.share.level >= units
        self.spend(rq, units)
        if inside:  # pass, and add in the background
            self.later_say(account, units)
            self.next.take(rq)
        elif self.may_ask():  # beyond the share: add first, and pass while the total leaves room
            account.asking = True
            self.say(account, units, lambda outcome: self.answered(rq, outcome))
        else:
            self.asked(rq, Outcome.UNSENT)

    def may_ask(self, spare=0.0):
        """Calls keep to a pace that the counter answers; a crowd of them would only time out."""
        return self.counter_wait > 0 and self.pace.read(self.port.now) >= 1 + spare * self.pace.depth

    def spend(self, rq, units):
        account, rq.counted = rq.account, rq.counted + units
        account.store.level -= units
        account.share.level -= units

    def answered(self, rq, outcome):
        account = rq.account
        account.asking, queue, account.queue = False, account.queue, []
        self.asked(rq, outcome)
        for other in queue:
            if not other.done and outcome is Outcome.OK:
                self.take(other)
            elif not other.done:
                self.spend(other, other.call.units)
                self.asked(other, Outcome.UNSENT)

    def asked(self, rq, outcome):
        account, now = rq.account, self.port.now
        if rq.done:
            return
        fits = account.store.read(now) >= 0
        if outcome is not Outcome.OK:
            # No word: what came through here of late, of all that did, is the share that still can be kept alone.
            part = max(1 / account.gateways, min(1.0, account.mine.read(now) / max(1e-9, account.all.read(now))))
            account.share.rate, account.share.depth = account.plan.rate * part, account.plan.burst * part
            fits = fits and account.share.read(now) >= 0
            if outcome is not Outcome.TIMEOUT:
                self.later_say(account, rq.call.units)
        if fits:
            self.next.take(rq)
        else:
            self.give_back(rq)
            self.beyond(rq)

    def give_back(self, rq):
        if rq.counted:
            self.later_say(rq.account, -rq.counted)
            self.spend(rq, -rq.counted)

    def beyond(self, rq):
        rq.beyond, rq.wait = True, rq.account.store.wait(self.port.now, rq.call.units)
        self.next.take(rq)

    def turn(self, account):
        """Move to the current window, reading what the others still added to the last. Windows of customers are
        out of step with each other, so that the turns don't crowd the counter."""
        shift = account.customer.id * 0.6180339887 % 1.0
        index = floor(self.port.now * account.plan.rate / account.plan.burst + shift)
        if index != account.window:
            if account.window is not None and self.may_ask():
                self.say(account, 0.0)
            account.window, account.total = index, 0.0

    def later_say(self, account, units):
        if not account.unsaid:
            account.due = self.port.now + BATCH * (0.5 + self.dice.roll())
        account.unsaid += units

    def say(self, account, amount, then=None):
        """Add to the count, with whatever waits to be added; the total that comes back is what all have added."""
        window, before, unsaid = account.window, account.total, account.unsaid
        amount, account.unsaid = amount + unsaid, 0.0
        self.pace.level -= 1

        def told(outcome, total, took):
            self.heard(outcome)
            if outcome is Outcome.OK:
                current = window == account.window
                others = total - (account.total if current else before) - amount
                account.total = total if current else account.total
                self.learn(account, amount, others)
            elif outcome is Outcome.TIMEOUT:
                account.doubtful += amount  # it may have been added: seen again, it is not others' use
            else:
                self.later_say(account, unsaid)
            if then:
                then(outcome)

        name = account.customer.id << 31 | window & 0x7FFFFFFF
        self.port.count(name, amount, min(60.0, LIVES * account.plan.burst / account.plan.rate), told)

    def learn(self, account, amount, others):
        now, store, share = self.port.now, account.store, account.share
        if others < -LOST * self.largest:
            others = 0.0  # an emptied counter: what this gateway knew of the store still stands
        own = min(max(others, 0.0), max(account.doubtful, 0.0))
        account.doubtful -= own
        others -= own
        account.mine.add(now, max(0.0, amount))
        account.all.add(now, max(0.0, amount + others))
        store.level = max(-self.largest, store.read(now) - others)
        share.rate, share.depth = store.rate / account.gateways, store.depth / account.gateways
        share.level, share.at = store.level / account.gateways, now

    def heard(self, outcome):
        """A call that went well quickens the pace a little; one that did not slows it, once for each wait."""
        now, pace = self.port.now, self.pace
        pace.read(now)
        if outcome is Outcome.OK:
            pace.rate += 0.5
        elif now >= self.slowed:
            pace.rate, self.slowed = max(PACE_LEAST, pace.rate * 0.7), now + self.counter_wait
        pace.depth = max(2.0, pace.rate * self.counter_wait)

    def sweep(self):
        """Background adds, as far as the pace allows, and window turns of those who were here of late."""
        now = self.port.now
        for account in self.accounts:
            if account.window is not None and self.may_ask(0.5):
                if now - account.active < account.plan.burst / account.plan.rate:
                    self.turn(account)
                if account.unsaid and now >= account.due and self.may_ask(0.5):
                    self.say(account, 0.0)

    def settle(self, rq, charged):
        """What the API call really counted, where that is told afterwards."""
        if self.trued_up and rq.counted and charged:
            more = charged - rq.counted
            self.later_say(rq.account, more)
            self.spend(rq, more)

    def ended(self, rq, answer):
        if not rq.sent:
            self.give_back(rq)
        self.before.ended(rq, answer)


class Loans(Stage):
    """Idle customers' room, lent whole to soft-plan customers beyond their quota, for a horizon at most."""

    def __init__(self, port, line, accounts, horizon):
        self.port, self.line, self.accounts, self.horizon = port, line, accounts, horizon

    def take(self, rq):
        if rq.beyond and not self.lend(rq):
            self.before.ended(rq, "rate-limit")
        else:
            self.next.take(rq)

    def lend(self, rq):
        plan, now, units = rq.account.plan, self.port.now, rq.call.units
        # Loans fill what is free: they never wait in line before those inside their quota.
        if plan.beyond_value <= plan.beyond_cost or rq.call.route.target > self.horizon or not self.line.idle(rq):
            return False
        idle = [one for one in self.accounts if now - one.active > IDLE * self.horizon and not one.out]
        loan = []
        for lender in sorted(idle, key=self.free, reverse=True):
            part = min(self.free(lender), units)
            if part > 0 and units > 0:
                loan.append((lender, part))
                units -= part
        if units <= 0:
            rq.loan = loan
            for lender, part in loan:
                lender.lent += part
        return units <= 0

    def free(self, account):
        """A guarantee, the gateway's slice of the rate times the horizon, less what is lent of it."""
        return account.plan.rate / account.gateways * self.horizon - account.lent

    def ended(self, rq, answer):
        if rq.loan:
            # Cut short, the work may go on at its server: the loan stays counted for one more horizon.
            if answer == "proxied" or not rq.may_have_run():
                self.repay(rq.loan)
            else:
                self.port.later(self.horizon, lambda loan=rq.loan: self.repay(loan))
            rq.loan = None
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
        if not wait:
            account, rq.drawn, rq.held = rq.account, rq.call.units, True
            account.ceiling.level -= rq.drawn
            account.out += 1
            self.next.take(rq)
        elif rq.loan or self.port.now + wait > rq.target_at:
            rq.wait = wait
            self.before.ended(rq, "rate-limit")
        else:
            self.held.append(rq)

    def lacks(self, rq):
        """Seconds until there is room, 0 if there is. Only the first try of an API call draws on the ceiling."""
        account, plan, wait = rq.account, rq.account.plan, 0.0
        if plan.ceiling_rate > 0:
            wait = account.ceiling.wait(self.port.now, rq.call.units)
        if plan.open_cap and account.out >= max(1, round(plan.open_cap / account.gateways)):
            wait = max(wait, SWEEP)
        return wait

    def sweep(self):
        for _ in range(len(self.held)):
            rq = self.held.popleft()
            if not rq.done:
                self.take(rq)

    def ended(self, rq, answer):
        if rq.held:
            rq.account.out -= 1
            rq.account.ceiling.level += 0.0 if rq.sent else rq.drawn
        self.before.ended(rq, answer)


class Line(Stage):
    """Work waits here, and a server gets the next when one of its places comes free."""

    def __init__(self, port):
        self.port, self.waiting = port, deque()

    def idle(self, rq):
        return not self.waiting and self.next.pick(rq) is not None

    def too_long(self, rq):
        """Seconds of wait if the line can't meet the latency target, else 0."""
        delay = self.next.delay()
        wait = len(self.waiting) * delay / max(1, self.next.out)
        return wait if self.port.now + wait + delay > rq.target_at else 0.0

    def take(self, rq):
        view = None if self.waiting else self.next.pick(rq)
        if view:
            self.next.launch(rq, view)
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
            view = None if rq.done else self.next.pick(rq)
            if view:
                self.next.launch(rq, view)
            elif not rq.done:
                kept.append(rq)
                blocked = not rq.may_have_run()
        kept.extend(self.waiting)
        self.waiting = kept

    def sweep(self):
        """What can't be answered within its latency target any more is told so at once."""
        latest = self.port.now + self.next.delay()
        for rq in [rq for rq in self.waiting if not rq.done and latest > rq.target_at]:
            rq.wait = self.next.delay()
            self.next.ended(rq, "error" if rq.sent else "rate-limit")
        self.pump()


class Upstream:
    """What this gateway saw of a server: the last outcomes, its delay, its places, its rest."""

    def __init__(self, server, places, now):
        self.server, self.up_since, self.tries, self.places, self.free_at = server, server.up_since, [], places, 0.0
        self.outcomes, self.good = deque([True] * (OUTCOMES // 2), OUTCOMES), 1.0
        self.took, self.ends, self.rest_until, self.rest = Fading(), Fading(), 0.0, REST
        self.cold = Store(0.0, 1.0, 0.0, now)  # tries that this gateway may send it while it is cold

    def open(self, now):
        """Whether a place is free. Less than one place is one that rests after each use."""
        if now < self.rest_until or self.tries and now - self.tries[0].sent > PATIENCE * self.tries[0].call.route.target:
            return False
        if self.places < 1 or self.good < FAILING:
            return not self.tries and now >= self.free_at
        return len(self.tries) < int(self.places)

    def delay(self, now, typical):
        """Seconds that an answer takes: what it took of late, or how long the oldest try has waited."""
        mean = (self.took.read(now) + typical) / (self.ends.read(now) + 1)
        return max(mean, now - self.tries[0].sent if self.tries else 0.0, 0.001)


class Upstreams(Stage):
    """Chooses servers, sends, judges them, and decides on further tries."""

    def __init__(self, port, dice, line, zone, gateways, max_tries, second_copies, may_cancel, horizon, cold_from,
                 warm_after):
        self.port, self.dice, self.line, self.zone, self.gateways = port, dice, line, zone, gateways
        self.max_tries, self.second_copies, self.may_cancel = max_tries, second_copies, may_cancel
        self.horizon, self.cold_from, self.warm_after = horizon, cold_from, warm_after
        self.servers, self.flying, self.out, self.best, self.best_at = [], {}, 0, 0.0, 0.0
        self.took, self.ends, self.further, self.helped, self.sends = (Fading() for _ in range(5))

    def delay(self):
        """Seconds that an answer takes in the mean, 0 while none is known."""
        return self.took.read(self.port.now) / max(1e-6, self.ends.read(self.port.now))

    def listed(self, servers):
        """Nothing new goes to what drains or is gone, from now on; what restarted is judged afresh."""
        for server in servers:
            view = server.view
            if view and (server.state is not State.READY or view.up_since != server.up_since):
                self.servers.remove(view)
                view = server.view = None
            if view is None and server.state is State.READY:
                server.view = Upstream(server, PLACES / self.gateways, self.port.now)
                self.servers.append(server.view)
        self.line.pump()

    def warmth(self, view):
        """The least share of its capacity that a server has by now; 1 once it is warm."""
        age = self.port.now - view.up_since
        if not view.up_since or age >= self.warm_after:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0.0, age) / self.warm_after

    def admits_cold(self, view):
        """Cold budget, own share alone: its warmth times what this gateway sends a warm server, or, where that is
        less, its part of what one core bears."""
        warmth, now = self.warmth(view), self.port.now
        if warmth >= 1:
            return True
        warm = sum(self.warmth(other) >= 1 for other in self.servers)
        usual = self.sends.read(now) / MEMORY / warm if warm else 0.0
        view.cold.read(now)
        view.cold.rate = warmth * COLD_SHARE * max(usual, 1 / max(self.delay(), 0.05) / self.gateways)
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
        now, typical, best, least = self.port.now, self.delay(), None, 0.0
        ran, tried = rq.may_have_run(), [one.server for one in rq.call.tries]
        for view in self.servers:
            if not view.open(now) or not self.admits_cold(view):
                continue
            server = view.server
            if ran and not self.group_allows(rq, server, ran):
                continue
            cost = (len(view.tries) + 1) * view.delay(now, typical) / max(0.1, view.good) * 4 ** tried.count(server)
            cost *= (CROSS if server.zone != self.zone else 1.0) * (1 + 0.05 * self.dice.roll())
            if best is None or cost < least:
                best, least = view, cost
        return best

    def launch(self, rq, view):
        now = self.port.now
        rq.sent = True
        self.out += 1
        view.cold.level -= 1
        self.sends.add(now, 1)
        self.further.add(now, 1 if rq.call.tries else 0)
        one = self.port.send(rq.call, view.server, self.horizon if rq.loan else 0.0)
        one.view = view
        view.tries.append(one)
        rq.out.append(one)
        self.flying[rq] = None

    def ended_try(self, one, took, final):
        """Book the end of a try, then answer or try further."""
        view, rq = one.view, one.call.rq
        self.out -= 1
        view.tries.remove(one)
        self.judge(view, one, took)
        if rq:
            rq.out.remove(one)
            if final:
                self.helped.add(self.port.now, 1 if one.number else 0)
                self.stop(rq)
                self.ended(rq, "proxied")
            elif not rq.out:
                self.flying.pop(rq, None)
                if rq.moving or self.may_try(rq):
                    rq.moving = False
                    self.line.again(rq)
                else:
                    self.ended(rq, "error")
        self.line.pump()

    def judge(self, view, one, took):
        now, outcome, good = self.port.now, one.outcome, one.outcome is Outcome.OK
        if outcome in (Outcome.UNSENT, Outcome.CANCELLED):
            return
        if outcome is not Outcome.FULL:
            view.outcomes.extend([good] * (2 if outcome is Outcome.UNCONNECTED else 1))
            view.good = sum(view.outcomes) / OUTCOMES if len(view.outcomes) == OUTCOMES else view.good
        if good:
            for sums in (view, self):
                sums.took.add(now, took)
                sums.ends.add(now, 1)
            view.rest = REST
            if self.ends.sum > SURE:
                mean = self.delay()
                self.best = min(mean, self.best * (1 + RELAX * (now - self.best_at)) or mean)
                self.best_at = now
        elif view.good < FAILING and now >= view.rest_until:
            view.rest_until = now + view.rest  # after the rest, one try at a time until it does better
            view.rest = min(REST_MOST, view.rest * 2)
        # Places follow the answers: a server that is slow, for whatever reason, holds less, and the rest waits here.
        limit = min(CROWDED * self.best or took, PATIENCE * one.call.route.target)
        if took > limit or outcome is Outcome.FULL:
            view.places = max(0.1, view.places * max(LOSS, min(0.8, 2 * limit / max(took, 1e-6))))
        elif good and len(view.tries) + 1 >= int(view.places):
            view.places += GAIN
        view.free_at = now + took * max(0.0, 1 / view.places - 1)

    def may_try(self, rq):
        """Whether rules, time and recent luck allow a further try."""
        now, call, ran = self.port.now, rq.call, rq.may_have_run()
        if len(call.tries) >= self.max_tries or now + self.delay() > rq.target_at:
            return False
        if ran and not any(self.group_allows(rq, view.server, ran) for view in self.servers):
            return False
        return self.dice.roll() < (self.helped.read(now) + 1) / (self.further.read(now) + 1)

    def stop(self, rq):
        for one in rq.out if self.may_cancel else ():
            self.port.cancel(one)

    def give_up(self, rq):
        """The client's patience is over, or it left: stop what is out and say so."""
        if not rq.done:
            self.stop(rq)
            self.ended(rq, "error")

    def sweep(self):
        """A try that has used up PATIENCE is given up, or doubled, if another server should do better; once each."""
        now = self.port.now
        if self.line.waiting or not (self.second_copies or self.may_cancel):
            return
        for rq in list(self.flying):
            one = rq.out[0]
            if len(rq.out) > 1 or rq.moving or rq.began or rq.loan or one.doubted:
                continue
            if now - one.sent < PATIENCE * rq.call.route.target:
                continue
            one.doubted = True
            view = self.pick(rq) if self.may_try(rq) else None
            if view and view is not one.view and now + 2 * view.delay(now, self.delay()) < rq.target_at:
                if self.second_copies:
                    self.launch(rq, view)
                else:
                    rq.moving = True
                    self.port.cancel(one)

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
        self.port, self.dice, self.launched, self.ask_within = port, Dice(seed), port.now, ask_within
        horizon = max((route.target for route in routes), default=1.0)
        self.line, self.quota = Line(port), Quota(port, self.dice, counter_wait, largest, trued_up)
        self.intake, self.ceiling, self.accounts = Intake(port, self.line, longest_retry_after), Ceiling(port), []
        self.accounts = self.quota.accounts
        self.upstreams = Upstreams(port, self.dice, self.line, zone, gateways, max_tries, second_copies, may_cancel,
                                   horizon, cold_from, warm_after)
        chain = [self.intake, self.quota, Loans(port, self.line, self.accounts, horizon), self.ceiling, self.line,
                 self.upstreams]
        for one, following in zip(chain, chain[1:]):
            one.next, following.before = following, one
        if asks_for_servers:
            port.follow_servers(True)
        port.later(SWEEP, self.sweep)

    def sweep(self):
        old = self.port.now - FORGET
        if self.accounts and self.accounts[0].active < old:
            self.accounts[:] = [one for one in self.accounts if one.active >= old or one.lent or one.out]
        for stage in (self.quota, self.ceiling, self.line, self.upstreams):
            stage.sweep()
        self.port.later(SWEEP, self.sweep)

    def arrived(self, call):
        now, customer = self.port.now, call.customer
        account = customer.account
        if account not in self.accounts:
            account = customer.account = Account(customer, call.gateways, now, self.launched)
            self.accounts.append(account)
        account.active = now  # an ask counts even when it is refused: it freezes new loans on its customer
        self.intake.take(Rq(call, account, now))

    def answer_began(self, one, took):
        """A streamed answer is the client's from here on; no time is up for it any more."""
        rq = one.call.rq
        if rq:
            rq.began = True
            rq.out.remove(one)
            self.upstreams.stop(rq)
            rq.out.append(one)

    def try_ended(self, one, took, final, charged, used, report):
        if one.call.rq:
            one.call.rq.account.active = self.port.now
            self.quota.settle(one.call.rq, charged)
        self.upstreams.ended_try(one, took, final)

    def client_left(self, call):
        if call.rq:
            self.upstreams.give_up(call.rq)

    def servers_told(self, servers):
        self.upstreams.listed(servers)

    def servers_unheard(self):
        pause = self.ask_within / 8 * (0.5 + self.dice.roll())
        self.port.later(pause, lambda: self.port.follow_servers(True))

    def probed(self, server, outcome, took, report):
        """Probes are not used: what they cost cold servers buys less than the answers to API calls tell."""

    def told(self, sender, data):
        """Messages between gateways are not used: the counter is what they talk through."""
