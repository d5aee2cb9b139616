"""Server selection, slow start, retries and the concurrency limit."""

from math import floor

from ..chain import Stage
from ..interface import Answer, IndependentChoices, Outcome, Repeat, State
from ..state import Upstream
from ..structures import DecayingMean, DecayingSum, RisingMinimum, SuccessWindow, TokenBucket
from . import constants as tuned
from .health import eject, expected_delay, is_open, is_sound, record_end
from .repeats import attempts_that_may_have_run, may_repeat_at


class Upstreams(Stage):
    """Chooses servers, sends, judges them, and decides on further attempts."""

    def __init__(self, port, random, queue, settings, horizon):
        self.port, self.random, self.queue, self.settings, self.horizon = (
            port,
            random,
            queue,
            settings,
            horizon,
        )
        self.gateways = self.sure_gateways = settings.gateways  # that are there; that have not surely left
        self.cold_share = min(tuned.COLD_MOST, tuned.COLD_PART * settings.fall_multiple)
        self.best, self.sure_at = (
            RisingMinimum(tuned.RELAX),
            port.now + tuned.SURE_FROM,
        )  # mean delay at its best
        self.servers, self.subset, self.warm, self.drawn_at = [], [], 0, 0.0
        self.concurrency_limit, self.in_flight = 0.0, 0
        self.peers = self.rivals = settings.gateways  # gateways that use a server of the subset; that may
        self.delays = DecayingMean(tuned.MEMORY)  # s of answers
        self.retries, self.helpful, self.sends = (DecayingSum(tuned.MEMORY) for _ in range(3))
        self.choices = IndependentChoices()

    def delay(self):
        """Seconds that an answer takes in the mean, 0 while none is known."""
        return self.delays.read(self.port.now)

    def listed(self, servers):
        """Nothing new goes to what drains or is gone, from now on; what restarted is judged afresh."""
        for server in servers:
            if server.view and (server.state is not State.READY or server.view.up_since != server.up_since):
                self.servers.remove(server.view)
                server.view = None
            if server.view is None and server.state is State.READY:
                server.view = self.watch(server)
                self.servers.append(server.view)
        self.servers.sort(key=lambda view: view.server.id)
        self.choices.listed({view.server.id: view.server for view in self.servers})
        self.draw()
        self.queue.dispatch()

    def watch(self, server):
        """The record of a server that nothing is known of; slow start begins with a part of a token: no rush."""
        slow_start = TokenBucket(0.0, 1.0, self.random.uniform(), self.port.now)
        delays, successes = DecayingMean(tuned.MEMORY), SuccessWindow(tuned.OUTCOMES_KEPT)
        places = max(1.0, tuned.PLACES / self.peers)
        return Upstream(server, places, slow_start, delays, successes, server.up_since)

    def draw(self):
        """This gateway's subset: a short stretch of the ring from its number on, or as the fleet chose."""
        now, count, sound = self.port.now, len(self.servers), 0
        size = max(
            tuned.SUBSET_LEAST, self.choices.least, self.sends.read(now) / tuned.MEMORY * tuned.EACH_WITHIN
        )
        self.subset, self.drawn_at = [], now
        start = floor(self.settings.slot * tuned.GOLDEN % 1.0 * count)
        for view in self.choices.ring(self.servers, start):
            if sound < size:  # those that fail are made up for
                self.subset.append(view)
                sound += is_sound(view) and not self.choices.shuns(view.server.id)
        used = len(self.subset) / max(1, count)
        self.peers, self.rivals = max(1.0, self.gateways * used), max(1.0, self.sure_gateways * used)
        self.concurrency_limit = self.concurrency_limit or max(1.0, tuned.PLACES * count / self.gateways)
        self.warm = sum(self.is_warm(view) for view in self.subset)
        due = [view for view in self.servers if self.choices.due(view.server.id) and view not in self.subset]
        self.subset += due

    def is_warm(self, view):
        return not view.up_since or self.port.now - view.up_since >= self.settings.warm_after

    def admits_cold(self, view):
        """Slow start, own part alone: the least warmth, of what a warm server is sent or one core bears."""
        now, settings = self.port.now, self.settings
        usual = self.sends.read(now) / tuned.MEMORY / self.warm if self.warm else 0.0
        warmed = max(0.0, now - view.up_since) / settings.warm_after
        warmth = settings.cold_from + (1 - settings.cold_from) * warmed
        view.slow_start.read(now)
        most = max(usual, 1 / max(self.delay(), 0.05) / self.rivals)
        view.slow_start.rate = warmth * self.cold_share * most
        return view.slow_start.level >= 1

    def choose_server(self, request):
        """The free place where an answer should come soonest, or None."""
        now, typical, best, least = self.port.now, self.delay(), None, 0.0
        ran, tried = attempts_that_may_have_run(request), [one.server for one in request.call.attempts]
        may_probe = request.call.route.repeat is Repeat.IDEMPOTENT and not tried
        if now - self.drawn_at >= tuned.REDRAW:
            self.draw()
        for view in self.subset if self.in_flight < self.concurrency_limit else ():
            server = view.server
            # Whose turn it is tries a failing server for all, with a call that may run again.
            due = self.choices.due(server.id) and may_probe
            shunned = self.choices.shuns(server.id) and not due
            if not is_open(view, now) or shunned or not may_repeat_at(request, server, ran, now):
                continue
            if self.is_warm(view) or self.admits_cold(view):
                unseen_for = min(1.0, (now - view.last_end_at) / tuned.MEMORY)  # long unseen: a new chance
                good = max(0.1, view.successes.rate, unseen_for)
                delay = expected_delay(view, now, typical)
                cost = (len(view.attempts) + 1) * delay / good * 4 ** tried.count(server)
                crossing = tuned.CROSSING if server.zone != self.settings.zone else 1.0
                cost *= (not due) * crossing * (1 + 0.05 * self.random.uniform())
                if best is None or cost < least:
                    best, least = view, cost
        return best

    def start_attempt(self, request, view):
        request.account.in_flight += not request.sent
        request.sent = True
        view.slow_start.level -= 1
        self.sends.add(self.port.now, 1)
        self.choices.tried(view.server.id)
        self.retries.add(self.port.now, 1 if request.call.attempts else 0)
        one = self.port.send(request.call, view.server, self.horizon if request.loan else 0.0)
        one.view = view
        view.attempts.append(one)
        self.in_flight += 1
        patience = tuned.PATIENCE * request.call.route.target
        self.port.later(patience, lambda: self.reconsider(request, one))

    def attempt_ended(self, one, took, final):
        """Book the end of an attempt, then answer or try further."""
        request = one.call.request
        one.view.attempts.remove(one)
        self.in_flight -= 1
        self.record_outcome(one.view, one, took)
        if request:
            if final:
                self.helpful.add(self.port.now, 1 if one.number else 0)
                self.ended(request, Answer.SERVED)
            elif one.outcome is Outcome.CANCELLED or self.may_retry(request):
                self.queue.waiting.appendleft(request)  # a retry goes to the head of the queue
            else:
                self.ended(request, Answer.FAILED)
        self.queue.dispatch()

    def record_outcome(self, view, one, took):
        now, outcome, good = self.port.now, one.outcome, one.outcome is Outcome.OK
        patience = tuned.PATIENCE * one.call.route.target
        if outcome is Outcome.UNSENT or outcome is Outcome.CANCELLED and took < patience:
            return  # but given up for its slowness it counts as failed, whether work or answer was lost
        record_end(view, outcome, took, now)
        if outcome is not Outcome.FULL:
            self.choices.saw(view.server.id, outcome)
        if good:
            self.delays.add(now, took)
            if self.delays.count.sum > tuned.SURE_AFTER and now > self.sure_at:
                self.best.add(now, self.delay())
        slow = took > min(tuned.CROWDED * self.best.value or patience, patience)
        self.adapt_limit(view, good, slow)
        eject(view, good, now, self.random)
        if view.turned_away:
            self.drawn_at = -tuned.REDRAW  # the subset is made up for

    def adapt_limit(self, view, good, slow):
        """A gateway sees a server seldom, the fleet often: while answers are slow, fewer attempts are out in all.

        Those without an answer count less: it may be lost where work runs well, if none comes all is stuck. One that
        turns away tells of itself alone: it drains, or its answers would have been slow before. Cold ones are slow by
        themselves and have slow start: that is no reason to spare the warm.
        """
        if slow and not view.turned_away and self.is_warm(view):
            limit = min(self.concurrency_limit, self.in_flight + 1) * tuned.NARROW ** (
                1 if good else tuned.GIVEN_UP
            )
            least = max(1.0, tuned.LIMIT_LEAST * len(self.servers) / self.gateways)
            self.concurrency_limit = max(least, limit)
        elif good and not slow and 2 * self.in_flight + 2 >= self.concurrency_limit:
            self.concurrency_limit *= tuned.WIDEN

    def may_retry(self, request):
        """Whether rules, time and recent luck allow a further attempt."""
        now, ran, attempts = self.port.now, attempts_that_may_have_run(request), request.call.attempts
        allowed = any(may_repeat_at(request, view.server, ran, now) for view in self.subset)
        if len(attempts) >= self.settings.max_tries or now + self.delay() > request.target_at or not allowed:
            return False
        if all(one.outcome in tuned.NEVER_RAN for one in attempts):
            return True  # nothing ran: the next costs nothing but its time
        return self.random.uniform() < (self.helpful.read(now) + 1) / (self.retries.read(now) + 1)

    def reconsider(self, request, one):
        """An attempt out for long is given up if another server should do better."""
        now = self.port.now
        bound = request.loan or request.answer_began or self.queue.waiting or not self.settings.may_cancel
        if one.outcome or request.done or bound or not self.may_retry(request):
            return
        view = self.choose_server(request)
        if not view or view is one.view:
            return
        if now + 2 * expected_delay(view, now, self.delay()) < request.target_at:
            self.port.cancel(one)

    def give_up(self, request, left=False):
        """The client's patience is over, or it left: stop what is out and say so."""
        if not request.done and (left or not request.answer_began):
            for one in request.call.attempts if self.settings.may_cancel else ():
                one.outcome or self.port.cancel(one)
            self.ended(request, Answer.FAILED)
