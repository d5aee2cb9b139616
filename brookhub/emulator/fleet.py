"""A whole emulated fleet: limiters running the real decisions, servers, counter, discovery, clients, faults.

`Fleet(experiment).run()` -> Result. The same experiment and seed give the same Result and trail digest.
Units: seconds (simulated), latencies in the histogram in microseconds.
"""

from __future__ import annotations

import random
import time
from dataclasses import replace
from types import ModuleType

from .. import policy
from ..config.models import Experiment, PlanSpec, RouteSpec
from ..coordination import (
    REPORT_TOPIC,
    CounterReportTransport,
    EpochLeases,
    FleetCoordinator,
    GossipReportTransport,
    OutlierDetector,
    SubsetAssignment,
    UnsharedClock,
    decode_reports,
)
from ..membership import Membership, MembershipSettings
from ..model import Request, ServerState
from ..recovery import Ledger
from ..site import DeduplicationScope, GatewaySettings, Idempotency, Plan, Route
from .engine import Engine
from .faults import FaultPlayer
from .limiter import Seat
from .peers import FLEET, PeerNet, PeerSeat
from .result import Population, Result
from .rules import LATE, Referee
from .world import Counter, Discovery, ServerModel, Servers

IDEMPOTENCY_BY_NAME = {
    "idempotent": Idempotency.IDEMPOTENT,
    "tokened": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
SCOPE_BY_NAME = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
CELLS = 4  # cells in each zone: tokened groups of the `cell` kind span a few servers


def route_of(spec: RouteSpec) -> Route:
    """A route as an experiment describes it."""
    return Route(
        spec.name,
        spec.target_s,
        spec.client_timeout_s,
        IDEMPOTENCY_BY_NAME[spec.repeat],
        SCOPE_BY_NAME[spec.group],
        spec.window_s,
    )


def plan_of(spec: PlanSpec) -> Plan:
    """A plan as an experiment describes it."""
    return Plan(
        spec.name,
        spec.rate,
        spec.burst,
        spec.open_cap,
        spec.ceiling_rate,
        spec.ceiling_burst,
        spec.ceiling_slack,
        spec.value,
        spec.beyond_value,
        spec.beyond_cost,
    )


class Fleet:
    """Builds the model from an Experiment and plays it; `referee` judges the rules at each event."""

    def __init__(
        self,
        experiment: Experiment,
        seed: int | None = None,
        keep_trail: bool = True,
        decisions: ModuleType = policy,
    ):
        """`decisions`: the module whose Gateway each limiter runs (tests pass a broken copy)."""
        self.experiment, self.decisions = experiment, decisions
        self.seed = experiment.seed if seed is None else seed
        self.rng, self.engine = random.Random(self.seed), Engine()
        self.referee = Referee(strict=experiment.strict, keep_trail=keep_trail)
        fleet = experiment.fleet
        self.second_copies, self.grace = fleet.second_copies, fleet.grace_s
        self.routes = [route_of(one) for one in fleet.routes]
        self.route_weights = [one.share for one in fleet.routes]
        self.plans = [plan_of(one) for one in fleet.plans]
        self.customers = self.make_customers()
        self.weights = [customer.calls_per_s for customer in self.customers]
        self.rate = sum(self.weights)
        self.servers = self.make_servers()
        self.next_server = fleet.servers.count
        self.counter = Counter(
            self.engine, random.Random(self.rng.getrandbits(64)), fleet.counter.delay_s, fleet.counter.wait_s
        )
        self.discovery = Discovery(self.engine, fleet.list_delay_s)
        self.settings = self.gateway_settings()
        self.net = PeerNet(self.engine, self.seed) if fleet.membership.on else None
        self.heard: list[tuple] = []  # what recovery logged: (s, limiter, event, facts)
        self.kept: dict[int, Ledger | None] = {}  # ledgers on disks that last
        self.seats: list[Seat] = []
        for index in range(fleet.limiters):
            self.seats.append(self.launch(index))
        self.discovery.seats = self.seats
        self.result, self.ident = Result(), 0
        self.answered: dict[int, bool] = {}
        self.started: dict[int, float] = {}
        self.faults = FaultPlayer(self)
        self.early: set[int] = set()  # calls of the time before settle_s: their answers are not counted

    # building

    def make_customers(self) -> list[Population]:
        """The customers of all plans."""
        scale = self.experiment.load.scale
        kinds = [
            (plan, one.calls_per_s * scale)
            for plan, one in zip(self.plans, self.experiment.fleet.plans, strict=True)
            for _ in range(one.customers)
        ]
        return [Population(number, plan, rate) for number, (plan, rate) in enumerate(kinds)]

    def make_servers(self) -> Servers:
        """The servers of the run's start, all warm."""
        spec, zones = self.experiment.fleet.servers, self.experiment.fleet.zones
        chance, started_at = random.Random(self.rng.getrandbits(64)), -spec.warm_after_s - 1.0
        models = [
            ServerModel.of(spec, index, index % zones, (index // zones) % CELLS, started_at)
            for index in range(spec.count)
        ]
        return Servers(self.engine, self.referee, chance, models)

    def gateway_settings(self) -> GatewaySettings:
        """The settings that all limiters share."""
        fleet, servers = self.experiment.fleet, self.experiment.fleet.servers
        return GatewaySettings(
            routes=tuple(self.routes),
            plans=tuple(self.plans),
            zone=0,
            index=0,
            gateways=fleet.limiters,
            counter_timeout=fleet.counter.wait_s if fleet.counter.on else 0.0,
            max_request_units=1.0,
            reports_actual_units=False,
            max_attempts=fleet.max_tries,
            allows_hedging=fleet.second_copies,
            can_cancel=fleet.may_cancel,
            max_retry_after=fleet.longest_retry_after_s,
            cold_capacity=servers.cold_from,
            warm_up_time=servers.warm_after_s,
            overload_multiple=servers.fall_multiple,
            overload_window=servers.fall_within_s,
            polls_server_list=False,
            server_list_max_age=10.0,
        )

    def launch(self, index: int) -> Seat:
        """A limiter that begins with nothing, but what a disk kept."""
        zones = self.experiment.fleet.zones
        seat = Seat(
            self, index, index % zones, self.rng.getrandbits(63), replace(self.settings, zone=index % zones)
        )
        seat.servers(self.entries(), whole=True)
        if self.net:
            self.join(seat)
        if self.experiment.fleet.counter.recovery:
            seat.recover(self.experiment.fleet.counter, self.experiment.fleet.limiters, self.kept.get(index))
            self.kept[index] = seat.recovery.ledger if self.experiment.fleet.counter.ledgers_last else None
        if self.experiment.fleet.counter.signals:
            transport = CounterReportTransport(seat, self.seed)
            seat.detector = OutlierDetector(UnsharedClock(seat), transport, self.leases(seat))
            transport.listener = seat.detector
            seat.gateway.use_coordination(FleetCoordinator(seat.detector))
        return seat

    def join(self, seat: Seat) -> None:
        """The limiter's membership.

        At the run's start all know each other, restarted ones begin with nothing.
        """
        spec, count = self.experiment.fleet.membership, self.experiment.fleet.limiters
        seat.peer = peer = PeerSeat(
            self.net,
            f"n{seat.index}",
            told=lambda live, rank, sure: (
                seat.gateway.on_membership_changed(live, rank, sure if spec.hard_by == "sure" else live)
                or seat.recovery
                and seat.recovery.set_fleet_size(sure)
            ),
        )
        detector = assignment = None
        if spec.signals:
            leases = self.leases(seat)
            peer.on_changed = lambda member, state: leases.set_present(peer.core.present)
            peer.on_said = lambda source, topic, data: (
                topic == REPORT_TOPIC and detector.on_reports(source, decode_reports(data))
            )
        settings = MembershipSettings(FLEET, peer.name, self.seed, spec.period_s)
        peer.core = Membership(peer, settings, [f"n{index}" for index in range(count)])
        if self.engine.now == 0.0:
            peer.core.assume_all_alive()
        if spec.signals:
            leases.set_present(peer.core.present)
            detector = OutlierDetector(peer, GossipReportTransport(peer.core), leases)
            seat.detector = detector
        if spec.subsets:
            assignment = SubsetAssignment(self.seed, peer.name, peer.core.names, peer.core.live_names)
        if detector or assignment:
            seat.gateway.use_coordination(FleetCoordinator(detector, assignment))
        peer.core.start()

    def leases(self, seat: Seat) -> EpochLeases:
        """The leases of a limiter that sees all others."""
        leases = EpochLeases(self.seed, f"n{seat.index}")
        leases.set_present(f"n{index}" for index in range(self.experiment.fleet.limiters))
        return leases

    def entries(self) -> list[tuple]:
        """The server list as discovery has it."""
        return [
            model.entry() for model in self.servers.models.values() if model.state is not ServerState.GONE
        ]

    # the clients

    def offered(self, now: float) -> float:
        """Requests a second that clients offer now."""
        load = self.experiment.load
        if load.shape == "bursty" and now % load.burst_every_s < load.burst_for_s:
            return self.rate * load.burst_factor
        return self.rate

    def arrival(self) -> None:
        """A request comes, and the next one is drawn."""
        now = self.engine.now
        self.engine.after(self.rng.expovariate(self.offered(now)), self.arrival)
        customer = self.rng.choices(self.customers, self.weights)[0]
        route = self.rng.choices(self.routes, self.route_weights)[0]
        self.call(customer, route, repeated=False)

    def call(self, customer: Population, route: Route, repeated: bool, token: int = 0) -> None:
        """One API call at a limiter drawn by chance; `token`.

        Of the call that its client asked first, where it asks again.
        """
        now, load = self.engine.now, self.experiment.load
        living = [seat for seat in self.seats if seat.alive and not seat.closing]
        if not living:
            self.result.calls += 1
            self.result.lost += 1
            return
        seat = living[self.rng.randrange(len(living))]
        self.ident += 1
        payer = seat.customers.find(customer.id, customer.plan)
        # The customer's set is the whole fleet as its settings say, whoever lives: a front knows no better.
        request = Request(
            self.ident,
            payer,
            route,
            now + route.client_timeout,
            1.0,
            len(self.seats),
            seat.index,
            repeated,
            route.idempotency is not Idempotency.IDEMPOTENT,
        )
        request.who, request.token = customer, token or self.ident
        self.result.calls += 1
        self.started[request.id] = now
        self.referee.now = now
        seat.arrive(request)
        if request.id in self.started and self.rng.random() < load.give_up_share:
            leave = route.client_timeout * (0.2 + 0.7 * self.rng.random())
            seat.later(leave, lambda: self.leave(seat, request))

    def leave(self, seat: Seat, request: Request) -> None:
        """A client has no patience left."""
        if request.id in self.started:
            self.referee.note("leave", seat.index, request.id)
            self.started.pop(request.id)
            self.result.left += request.id not in self.early
            seat.gateway.on_client_disconnected(request)

    # final answers

    def answer(self, seat: Seat, request: Request, how: str, retry_after: float = 0.0, one=None) -> None:
        """A limiter gives a final answer; `how` in the protocol's words."""
        now = self.engine.now
        self.referee.now = now
        self.referee.note("answer", seat.index, request.id, how)
        if (
            now > request.deadline + LATE and seat.wakes > request.deadline
        ):  # it was stopped: it ends the connection instead
            return self.lost(request)
        self.referee.answering(request, self.answered.get(request.id, False))
        self.answered[request.id] = True
        began = self.started.pop(request.id, None)
        if began is None:
            return  # the client left before: the answer finds no one
        if request.id in self.early:
            if how == "proxied":
                request.who.served(now, request.units)
            return
        result = self.result
        result.tries += len(request.attempts)
        if how == "proxied":
            seat.served += 1
            result.proxied += 1
            result.latency.record_value(max(1, int((now - began) * 1e6)))
            request.who.served(now, request.units)
        elif how == "rate-limited":
            result.rate_limited += 1
            if self.rng.random() < self.experiment.load.repeat_share:
                self.engine.after(
                    retry_after or 1.0, lambda: self.call(request.who, request.route, True, request.token)
                )
        else:
            result.errored += 1

    def settled(self) -> None:
        """The run counts from now on."""
        self.result, self.early = Result(), set(self.started)

    def lost(self, request: Request) -> None:
        """A request that nobody will answer."""
        if self.started.pop(request.id, None) is not None and request.id not in self.early:
            self.result.lost += 1

    # limiters and servers

    def keep_off(self, index: int, servers: set[int]) -> None:
        """A plan of work has a limiter send nothing to these, whatever the list says."""
        seat = self.seats[index]
        told = [
            (
                *entry[:4],
                ServerState.DRAINING if entry[0] in servers and entry[4] is ServerState.READY else entry[4],
                *entry[5:],
            )
            for entry in self.entries()
            if entry[0] in seat.off ^ servers
        ]
        seat.off = set(servers)
        if seat.alive and told:
            seat.gateway.on_servers_updated(seat.roster.update(told, whole=False))

    def restart(self, index: int) -> None:
        """Start a limiter anew in its place."""
        seat = self.seats[index] = self.launch(index)
        self.discovery.seats = self.seats
        self.referee.note("restarted", seat.index)

    def add_server(self, place: ServerModel) -> ServerModel:
        """A cold server in the place of another one."""
        spec = self.experiment.fleet.servers
        fresh = ServerModel.of(spec, self.next_server, place.zone, place.cell, self.engine.now)
        self.next_server += 1
        self.servers.models[fresh.id] = fresh
        return fresh

    # the run

    def run(self) -> Result:
        """Play the experiment to its end.

        Raises RuleBrokenError at a break where the experiment is strict.
        """
        wall = time.perf_counter()
        for fault in self.experiment.faults:
            self.faults.schedule(fault)
        self.engine.after(self.rng.expovariate(self.rate), self.arrival)
        if self.experiment.settle_s:
            self.engine.at(self.experiment.settle_s, self.settled)
        end = self.experiment.duration_s
        step = 1.0
        at = 0.0
        while at < end:  # rule 1 is judged each second for the API calls whose time is up
            at = min(end, at + step)
            self.engine.run(at)
            self.overdue(at)
        self.finish(time.perf_counter() - wall)
        return self.result

    def overdue(self, now: float) -> None:
        """Count requests as lost whose time is over for long."""
        self.referee.now = now
        for ident, began in list(self.started.items()):
            if began + 60.0 < now:  # far past any client timeout: this one was never answered
                self.referee.breaks(1, f"call {ident} never got a final answer")
                self.started.pop(ident)

    def finish(self, wall: float) -> None:
        """Sum up the run; `wall`: s that it took."""
        result, end = self.result, self.experiment.duration_s
        result.wall_s, result.events = wall, self.engine.events
        result.open = len(self.started)
        result.counter_calls = self.counter.calls
        result.cold_falls = sum(model.falls for model in self.servers.models.values())
        result.sent_to_bad, result.sent_to_cold = self.servers.sent_to_bad, self.servers.sent_to_cold
        result.broken, result.first_break = dict(self.referee.broken), self.referee.first_break
        result.digest = self.referee.digest.hexdigest()
        overs = []
        for customer in self.customers:
            plan = customer.plan
            if plan.rate:
                allowed = plan.burst + plan.rate * end
                overs.append(max(0.0, customer.units / allowed - 1.0))
            if plan.ceiling_rate:
                allowed = plan.ceiling_burst + plan.ceiling_rate * end
                result.ceiling_overshoot = max(result.ceiling_overshoot, customer.ceiling_over / allowed)
        result.quota_overshoot = sum(overs) / len(overs) if overs else 0.0
        result.worst_overshoot = max(overs, default=0.0)
