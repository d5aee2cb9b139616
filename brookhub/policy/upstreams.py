"""Server selection, slow start, retries and the concurrency limit."""

from math import floor

from ..model import Answer, Outcome, ServerState, Upstream
from ..pipeline import Stage
from ..ports import IndependentCoordination
from ..site import Idempotency
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
        self.cold_share = min(tuned.COLD_MOST, tuned.COLD_PART * settings.overload_multiple)
        self.servers, self.subset, self.warm, self.drawn_at, self.horizon = [], [], 0, 0.0, horizon
        self.concurrency_limit, self.in_flight, self.sure_at = 0.0, 0, port.now + tuned.SURE_FROM
        self.delays, self.best = DecayingMean(tuned.MEMORY), RisingMinimum(tuned.RELAX)  # s of answers
        self.retries, self.helpful, self.sends = (DecayingSum(tuned.MEMORY) for _ in range(3))
        self.choices = IndependentCoordination()

    def delay(self):  # seconds that an answer takes in the mean, 0 while none is known
        return self.delays.read(self.port.now)

    def listed(self, servers):  # nothing new goes to what drains or is gone; what restarted is judged afresh
        for server in servers:
            if server.upstream and (
                server.state is not ServerState.READY
                or server.upstream.server_started_at != server.started_at
            ):
                self.servers.remove(server.upstream)
                server.upstream = None
            if server.upstream is None and server.state is ServerState.READY:
                phase, memories = self.random.uniform(), (tuned.MEMORY, tuned.OUTCOMES_KEPT)
                server.upstream = Upstream.create(
                    server, tuned.PLACES / self.peers, phase, self.port.now, *memories
                )
                self.servers.append(server.upstream)
        self.servers.sort(key=lambda view: view.server.id)
        self.choices.on_servers_updated({view.server.id: view.server for view in self.servers})
        self.draw()
        self.queue.dispatch()

    def draw(self):  # its subset: a stretch of the ring from this gateway's number on, or as the fleet chose
        now, count, sound, self.subset = self.port.now, len(self.servers), 0, []
        rate, self.drawn_at = self.sends.read(now) / tuned.MEMORY, now
        size = max(tuned.SUBSET_LEAST, self.choices.min_servers, rate * tuned.EACH_WITHIN)
        for view in self.choices.rank_servers(
            self.servers, floor(self.settings.index * tuned.GOLDEN % 1.0 * count)
        ):
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
        return (
            not view.server_started_at or self.port.now - view.server_started_at >= self.settings.warm_up_time
        )

    def admits_cold(self, view):  # slow start: by warmth, of what a warm one is sent or one core bears
        now, least = self.port.now, self.settings.cold_capacity
        usual = self.sends.read(now) / tuned.MEMORY / self.warm if self.warm else 0.0
        warmth = least + (1 - least) * max(0.0, now - view.server_started_at) / self.settings.warm_up_time
        most = max(usual, 1 / max(self.delay(), 0.05) / self.rivals)
        view.slow_start.change_rate(now, warmth * self.cold_share * most)
        return view.slow_start.level >= 1

    def choose_server(self, pending):  # the free place where an answer should come soonest, or None
        now, typical, best, least = self.port.now, self.delay(), None, 0.0
        ran, tried = attempts_that_may_have_run(pending), [one.server for one in pending.request.attempts]
        route, zone = pending.request.route, self.settings.zone
        if now - self.drawn_at >= tuned.REDRAW:
            self.draw()
        for view in self.subset if self.in_flight < self.concurrency_limit else ():
            server = view.server
            # Whose turn it is tries a failing server for all, with a call that may run again.
            due = (
                self.choices.may_probe(server.id)
                and route.idempotency is Idempotency.IDEMPOTENT
                and not tried
            )
            usable = is_open(view, now) and (due or not self.choices.is_ejected(server.id))
            usable = usable and may_repeat_at(server, route, ran, now)
            if usable and (self.is_warm(view) or self.admits_cold(view)):
                unseen = min(1.0, (now - view.last_result_at) / tuned.MEMORY)  # long unseen: a new chance
                delay = expected_delay(view, now, typical) / max(0.1, view.successes.rate, unseen)
                cost = (len(view.in_flight) + 1) * delay * 4 ** tried.count(server) * (not due)
                cost *= (tuned.CROSSING if server.zone != zone else 1.0) * (1 + 0.05 * self.random.uniform())
                best, least = (view, cost) if best is None or cost < least else (best, least)
        return best

    def start_attempt(self, pending, view):
        pending.account.in_flight += not pending.sent
        pending.sent = True
        view.slow_start.level -= 1
        self.sends.add(self.port.now, 1)
        self.choices.attempt_started(view.server.id)
        self.retries.add(self.port.now, 1 if pending.request.attempts else 0)
        one = self.port.start_attempt(pending.request, view.server, self.horizon if pending.loan else 0.0)
        one.upstream = view
        view.in_flight.append(one)
        self.in_flight += 1
        self.port.later(
            tuned.PATIENCE * pending.request.route.latency_target, lambda: self.reconsider(pending, one)
        )

    def attempt_ended(self, one, took, final):
        pending = one.request.pending
        one.upstream.in_flight.remove(one)
        self.in_flight -= 1
        self.record_outcome(one.upstream, one, took)
        if pending and final:
            self.helpful.add(self.port.now, 1 if one.index else 0)
            self.ended(pending, Answer.SERVED)
        elif pending and (one.outcome is Outcome.CANCELLED or self.may_retry(pending)):
            self.queue.waiting.appendleft(pending)  # a retry goes to the head of the queue
        elif pending:
            self.ended(pending, Answer.FAILED)
        self.queue.dispatch()

    def record_outcome(self, view, one, took):
        now, outcome, patience = self.port.now, one.outcome, tuned.PATIENCE * one.request.route.latency_target
        if outcome is Outcome.NOT_SENT or outcome is Outcome.CANCELLED and took < patience:
            return  # but given up for its slowness it counts as failed, whether work or answer was lost
        record_end(view, outcome, took, now, self.random)
        if outcome is not Outcome.BUSY:
            self.choices.attempt_ended(view.server.id, outcome)
        if outcome is Outcome.OK:
            self.delays.add(now, took)
            if self.delays.count.sum > tuned.SURE_AFTER and now > self.sure_at:
                self.best.add(now, self.delay())
        self.adapt_limit(view, outcome, took > min(tuned.CROWDED * self.best.value or patience, patience))
        self.drawn_at = (
            -tuned.REDRAW if view.consecutive_rejections else self.drawn_at
        )  # the subset is made up for

    def adapt_limit(self, view, outcome, slow):
        # A gateway sees a server seldom, the fleet often: while answers are slow, fewer are out in all. One
        # that has none counts less: it may be lost. Who turns away tells of itself; the cold have slow start.
        if slow and not view.consecutive_rejections and self.is_warm(view):
            least = max(1.0, tuned.LIMIT_LEAST * len(self.servers) / self.gateways)
            factor = tuned.NARROW ** (1 if outcome is Outcome.OK else tuned.GIVEN_UP)
            self.concurrency_limit = max(least, min(self.concurrency_limit, self.in_flight + 1) * factor)
        elif outcome is Outcome.OK and not slow and 2 * self.in_flight + 2 >= self.concurrency_limit:
            self.concurrency_limit *= tuned.WIDEN

    def may_retry(self, pending):  # whether rules, time and recent luck allow a further attempt
        now, ran, attempts = self.port.now, attempts_that_may_have_run(pending), pending.request.attempts
        allowed = any(may_repeat_at(view.server, pending.request.route, ran, now) for view in self.subset)
        if (
            len(attempts) >= self.settings.max_attempts
            or now + self.delay() > pending.target_at
            or not allowed
        ):
            return False
        # Where nothing ran, the next costs nothing but its time.
        luck = (self.helpful.read(now) + 1) / (self.retries.read(now) + 1) if ran else 1.0
        return not ran or self.random.uniform() < luck

    def reconsider(self, pending, one):  # one out for long is given up if another server should do better
        now, over = self.port.now, one.outcome or pending.done or pending.response_started
        bound = over or pending.loan or self.queue.waiting or not self.settings.can_cancel
        view = None if bound or not self.may_retry(pending) else self.choose_server(pending)
        better = view and view is not one.upstream
        if better and now + 2 * expected_delay(view, now, self.delay()) < pending.target_at:
            self.port.cancel_attempt(one)

    def give_up(self, pending, left=False):  # the client's patience is over, or it left
        if not pending.done and (left or not pending.response_started):
            for one in pending.request.attempts if self.settings.can_cancel else ():
                one.outcome or self.port.cancel_attempt(one)
            self.ended(pending, Answer.FAILED)
