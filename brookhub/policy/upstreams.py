"""Server selection, slow start, retries and the concurrency limit."""

from math import floor

from ..model import Answer, IndependentChoices, Outcome, Repeat, State
from ..pipeline import Stage
from ..policy_state import Upstream
from ..structures import DecayingMean, DecayingSum, RisingMinimum
from . import constants as tuned
from .health import expected_delay, is_open, is_sound, record_end
from .repeats import attempts_that_may_have_run, may_repeat_at


class Upstreams(Stage):
    """Chooses servers, sends, judges them, and decides on further attempts."""

    def __init__(self, port, random, queue, settings, horizon):
        self.port, self.random, self.queue, self.settings = port, random, queue, settings
        self.gateways = self.sure_gateways = settings.gateways  # that are there; that have not surely left
        self.peers = self.rivals = settings.gateways  # of these, that use one server
        self.cold_share = min(tuned.COLD_MOST, tuned.COLD_PART * settings.fall_multiple)
        self.servers, self.subset, self.warm, self.drawn_at, self.horizon = [], [], 0, 0.0, horizon
        self.concurrency_limit, self.in_flight, self.sure_at = 0.0, 0, port.now + tuned.SURE_FROM
        self.delays, self.best = DecayingMean(tuned.MEMORY), RisingMinimum(tuned.RELAX)  # s of answers
        self.retries, self.helpful, self.sends = (DecayingSum(tuned.MEMORY) for _ in range(3))
        self.choices = IndependentChoices()

    def delay(self):  # seconds that an answer takes in the mean, 0 while none is known
        return self.delays.read(self.port.now)

    def listed(self, servers):  # nothing new goes to what drains or is gone; what restarted is judged afresh
        for server in servers:
            if server.view and (server.state is not State.READY or server.view.up_since != server.up_since):
                self.servers.remove(server.view)
                server.view = None
            if server.view is None and server.state is State.READY:
                phase, memories = self.random.uniform(), (tuned.MEMORY, tuned.OUTCOMES_KEPT)
                server.view = Upstream.of(server, tuned.PLACES / self.peers, phase, self.port.now, *memories)
                self.servers.append(server.view)
        self.servers.sort(key=lambda view: view.server.id)
        self.choices.listed({view.server.id: view.server for view in self.servers})
        self.draw()
        self.queue.dispatch()

    def draw(self):  # its subset: a stretch of the ring from this gateway's number on, or as the fleet chose
        now, count, sound, self.subset = self.port.now, len(self.servers), 0, []
        rate, self.drawn_at = self.sends.read(now) / tuned.MEMORY, now
        size = max(tuned.SUBSET_LEAST, self.choices.least, rate * tuned.EACH_WITHIN)
        for view in self.choices.ring(self.servers, floor(self.settings.slot * tuned.GOLDEN % 1.0 * count)):
            if sound < size:  # those that fail are made up for
                self.subset.append(view)
                sound += is_sound(view) and not self.choices.is_ejected(view.server.id)
        used = len(self.subset) / max(1, count)
        self.peers, self.rivals = max(1.0, self.gateways * used), max(1.0, self.sure_gateways * used)
        self.concurrency_limit = self.concurrency_limit or max(1.0, tuned.PLACES * count / self.gateways)
        self.warm = sum(self.is_warm(view) for view in self.subset)
        due = [view for view in self.servers if self.choices.may_probe(view.server.id)]
        self.subset += [view for view in due if view not in self.subset]

    def is_warm(self, view):
        return not view.up_since or self.port.now - view.up_since >= self.settings.warm_after

    def admits_cold(self, view):  # slow start: by warmth, of what a warm one is sent or one core bears
        now, least = self.port.now, self.settings.cold_from
        usual = self.sends.read(now) / tuned.MEMORY / self.warm if self.warm else 0.0
        warmth = least + (1 - least) * max(0.0, now - view.up_since) / self.settings.warm_after
        most = max(usual, 1 / max(self.delay(), 0.05) / self.rivals)
        view.slow_start.change_rate(now, warmth * self.cold_share * most)
        return view.slow_start.level >= 1

    def choose_server(self, request):  # the free place where an answer should come soonest, or None
        now, typical, best, least = self.port.now, self.delay(), None, 0.0
        ran, tried = attempts_that_may_have_run(request), [one.server for one in request.call.attempts]
        route, zone = request.call.route, self.settings.zone
        if now - self.drawn_at >= tuned.REDRAW:
            self.draw()
        for view in self.subset if self.in_flight < self.concurrency_limit else ():
            server = view.server
            # Whose turn it is tries a failing server for all, with a call that may run again.
            due = self.choices.may_probe(server.id) and route.repeat is Repeat.IDEMPOTENT and not tried
            usable = is_open(view, now) and (due or not self.choices.is_ejected(server.id))
            usable = usable and may_repeat_at(server, route, ran, now)
            if usable and (self.is_warm(view) or self.admits_cold(view)):
                unseen = min(1.0, (now - view.last_end_at) / tuned.MEMORY)  # long unseen: a new chance
                delay = expected_delay(view, now, typical) / max(0.1, view.successes.rate, unseen)
                cost = (len(view.attempts) + 1) * delay * 4 ** tried.count(server) * (not due)
                cost *= (tuned.CROSSING if server.zone != zone else 1.0) * (1 + 0.05 * self.random.uniform())
                best, least = (view, cost) if best is None or cost < least else (best, least)
        return best

    def start_attempt(self, request, view):
        request.account.in_flight += not request.sent
        request.sent = True
        view.slow_start.level -= 1
        self.sends.add(self.port.now, 1)
        self.choices.attempt_started(view.server.id)
        self.retries.add(self.port.now, 1 if request.call.attempts else 0)
        one = self.port.send(request.call, view.server, self.horizon if request.loan else 0.0)
        one.view = view
        view.attempts.append(one)
        self.in_flight += 1
        self.port.later(tuned.PATIENCE * request.call.route.target, lambda: self.reconsider(request, one))

    def attempt_ended(self, one, took, final):
        request = one.call.request
        one.view.attempts.remove(one)
        self.in_flight -= 1
        self.record_outcome(one.view, one, took)
        if request and final:
            self.helpful.add(self.port.now, 1 if one.number else 0)
            self.ended(request, Answer.SERVED)
        elif request and (one.outcome is Outcome.CANCELLED or self.may_retry(request)):
            self.queue.waiting.appendleft(request)  # a retry goes to the head of the queue
        elif request:
            self.ended(request, Answer.FAILED)
        self.queue.dispatch()

    def record_outcome(self, view, one, took):
        now, outcome, patience = self.port.now, one.outcome, tuned.PATIENCE * one.call.route.target
        if outcome is Outcome.UNSENT or outcome is Outcome.CANCELLED and took < patience:
            return  # but given up for its slowness it counts as failed, whether work or answer was lost
        record_end(view, outcome, took, now, self.random)
        if outcome is not Outcome.FULL:
            self.choices.attempt_ended(view.server.id, outcome)
        if outcome is Outcome.OK:
            self.delays.add(now, took)
            if self.delays.count.sum > tuned.SURE_AFTER and now > self.sure_at:
                self.best.add(now, self.delay())
        self.adapt_limit(view, outcome, took > min(tuned.CROWDED * self.best.value or patience, patience))
        self.drawn_at = -tuned.REDRAW if view.turned_away else self.drawn_at  # the subset is made up for

    def adapt_limit(self, view, outcome, slow):
        # A gateway sees a server seldom, the fleet often: while answers are slow, fewer are out in all. One
        # that has none counts less: it may be lost. Who turns away tells of itself; the cold have slow start.
        if slow and not view.turned_away and self.is_warm(view):
            least = max(1.0, tuned.LIMIT_LEAST * len(self.servers) / self.gateways)
            factor = tuned.NARROW ** (1 if outcome is Outcome.OK else tuned.GIVEN_UP)
            self.concurrency_limit = max(least, min(self.concurrency_limit, self.in_flight + 1) * factor)
        elif outcome is Outcome.OK and not slow and 2 * self.in_flight + 2 >= self.concurrency_limit:
            self.concurrency_limit *= tuned.WIDEN

    def may_retry(self, request):  # whether rules, time and recent luck allow a further attempt
        now, ran, attempts = self.port.now, attempts_that_may_have_run(request), request.call.attempts
        allowed = any(may_repeat_at(view.server, request.call.route, ran, now) for view in self.subset)
        if len(attempts) >= self.settings.max_tries or now + self.delay() > request.target_at or not allowed:
            return False
        # Where nothing ran, the next costs nothing but its time.
        luck = (self.helpful.read(now) + 1) / (self.retries.read(now) + 1) if ran else 1.0
        return not ran or self.random.uniform() < luck

    def reconsider(self, request, one):  # one out for long is given up if another server should do better
        now, over = self.port.now, one.outcome or request.done or request.answer_began
        bound = over or request.loan or self.queue.waiting or not self.settings.may_cancel
        view = None if bound or not self.may_retry(request) else self.choose_server(request)
        better = view and view is not one.view
        if better and now + 2 * expected_delay(view, now, self.delay()) < request.target_at:
            self.port.cancel(one)

    def give_up(self, request, left=False):  # the client's patience is over, or it left
        if not request.done and (left or not request.answer_began):
            for one in request.call.attempts if self.settings.may_cancel else ():
                one.outcome or self.port.cancel(one)
            self.ended(request, Answer.FAILED)
