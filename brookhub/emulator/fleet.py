"""Emulated fleet: limiters with the real policy, servers, counter, discovery, clients and faults.

`Fleet(experiment).run()` returns a Result. The same experiment and seed give the same Result and the same
digest of its trail. Times are in simulated seconds.
"""

from __future__ import annotations

import random
import time
from types import ModuleType

from .. import policy
from ..config.models import Experiment
from ..model import ServerState
from ..recovery import Ledger
from ..registry import RegistryEntry
from .accounting import RequestAccounting
from .clients import Clients
from .coordination_setup import coordinate_by_counter, join_membership
from .counter import EmulatedCounter
from .customers import EmulatedCustomer
from .discovery import EmulatedDiscovery
from .engine import Engine
from .environment import Environment, RecoveryEvent
from .faults import FaultInjector
from .gateway_settings import gateway_settings_from_spec, plan_from_spec, route_from_spec
from .invariants import InvariantChecker
from .limiter import EmulatedLimiter
from .peers import PeerNetwork
from .result import Result
from .server_model import ServerModel, ServerSettings
from .servers import EmulatedServer, EmulatedServers

CELLS_PER_ZONE = 4  # With this number, a deduplication scope of the kind `cell` contains a few servers.
OVERDUE_CHECK_INTERVAL = 1.0  # In seconds.


class Fleet:
    """Model of the fleet that an experiment specifies.

    `seed` replaces the experiment's own seed. `policy_module` is the module whose Gateway each limiter
    runs (tests pass a faulty copy). All random values come from `rng` and from generators seeded from it,
    drawn in a fixed order.
    """

    def __init__(
        self,
        experiment: Experiment,
        seed: int | None = None,
        keep_trail: bool = True,
        policy_module: ModuleType = policy,
    ) -> None:
        spec = experiment.fleet
        self.experiment = experiment
        self.seed = experiment.seed if seed is None else seed
        self.rng = random.Random(self.seed)
        self.engine = Engine()
        self.checker = InvariantChecker(experiment.strict, keep_trail, spec.second_copies, spec.grace_s)
        self.routes = [route_from_spec(route) for route in spec.routes]
        self.customers = self._create_customers()
        self.servers = self._create_servers()
        self._next_server = spec.servers.count
        self.counter = EmulatedCounter(
            self.engine, random.Random(self.rng.getrandbits(64)), spec.counter.delay_s, spec.counter.wait_s
        )
        self.discovery = EmulatedDiscovery(self.engine, spec.list_delay_s)
        self.settings = gateway_settings_from_spec(spec, tuple(self.routes))
        self.network = PeerNetwork(self.engine, self.seed) if spec.membership.on else None
        self.accounting = RequestAccounting(self.engine, self.checker)
        self.environment = self._create_environment(policy_module)
        # Ledgers on disks that survive a restart, by limiter.
        self._persistent_ledgers: dict[int, Ledger] = {}
        self.limiters = [self._launch(index) for index in range(spec.limiters)]
        self.discovery.limiters = self.limiters
        self.clients = self._create_clients()
        self.faults = FaultInjector(self)

    @property
    def recovery_log(self) -> list[RecoveryEvent]:
        """Events that the recovery of all limiters logged, oldest first."""
        return self.environment.recovery_log

    # building

    def _create_customers(self) -> list[EmulatedCustomer]:
        """Return the customers of all plans. A customer's id is its index."""
        scale = self.experiment.load.scale
        plan_of_each = [spec for spec in self.experiment.fleet.plans for _ in range(spec.customers)]
        return [
            EmulatedCustomer(customer_id, plan_from_spec(spec), spec.calls_per_s * scale)
            for customer_id, spec in enumerate(plan_of_each)
        ]

    def _create_servers(self) -> EmulatedServers:
        """Return the servers at the start of the run, all warm."""
        spec = self.experiment.fleet.servers
        zones = self.experiment.fleet.zones
        rng = random.Random(self.rng.getrandbits(64))
        settings = ServerSettings.from_spec(spec)
        started_at = -spec.warm_after_s - 1.0
        models = [
            EmulatedServer(index, index % zones, (index // zones) % CELLS_PER_ZONE, settings, started_at)
            for index in range(spec.count)
        ]
        return EmulatedServers(self.engine, self.checker, rng, models)

    def _create_environment(self, policy_module: ModuleType) -> Environment:
        """Return the objects that the limiters share. `policy_module` is the module of their Gateway."""
        return Environment(
            engine=self.engine,
            seed=self.seed,
            checker=self.checker,
            servers=self.servers,
            counter=self.counter,
            accounting=self.accounting,
            create_gateway=policy_module.Gateway,
        )

    def _create_clients(self) -> Clients:
        """Return the clients, which retry some of the rejected requests."""
        weights = [route.share for route in self.experiment.fleet.routes]
        clients = Clients(
            self.rng,
            self.experiment.load,
            self.customers,
            list(zip(self.routes, weights, strict=True)),
            self.limiters,
            self.accounting,
        )
        self.accounting.on_rejected = clients.on_rejected
        return clients

    def _launch(self, index: int) -> EmulatedLimiter:
        """Start a limiter without state, except for the ledger on its disk if ledgers survive a restart."""
        spec = self.experiment.fleet
        limiter = EmulatedLimiter(
            self.environment, index, index % spec.zones, self.rng.getrandbits(63), self.settings
        )
        limiter.on_server_list(self.registry_entries(), complete=True)
        if self.network:
            join_membership(limiter, self.network, spec.membership, spec.limiters)
        if spec.counter.recovery:
            ledger = limiter.start_recovery(spec.counter, spec.limiters, self._persistent_ledgers.get(index))
            if spec.counter.ledgers_last:
                self._persistent_ledgers[index] = ledger
        if spec.counter.signals:
            coordinate_by_counter(limiter, self.seed, spec.limiters)
        return limiter

    # limiters and servers

    def registry_entries(self) -> list[RegistryEntry]:
        """Return the complete server list."""
        models = self.servers.models.values()
        return [model.registry_entry() for model in models if model.state is not ServerState.GONE]

    def withhold_servers(self, index: int, server_ids: set[int]) -> None:
        """Make a limiter withhold traffic from exactly these servers, whatever the server list shows."""
        self.limiters[index].withhold_servers(server_ids, self.registry_entries())

    def restart(self, index: int) -> None:
        """Start a new limiter in place of a killed one."""
        self.limiters[index] = self._launch(index)
        self.checker.record("restarted", index)

    def add_server(self, replaced: ServerModel) -> EmulatedServer:
        """Start a cold server in the zone and cell of another one and return it."""
        settings = ServerSettings.from_spec(self.experiment.fleet.servers)
        server = EmulatedServer(self._next_server, replaced.zone, replaced.cell, settings, self.engine.now)
        self._next_server += 1
        self.servers.models[server.id] = server
        return server

    # the run

    def run(self) -> Result:
        """Run the experiment to its end and return its result.

        Raises InvariantViolationError at the first violation if the experiment is strict.
        """
        wall_time = time.perf_counter()
        for fault in self.experiment.faults:
            self.faults.schedule(fault)
        self.clients.start()
        if self.experiment.settle_s:
            self.engine.call_at(self.experiment.settle_s, self.accounting.start_counting)
        end = self.experiment.duration_s
        checked_at = 0.0
        while checked_at < end:
            checked_at = min(end, checked_at + OVERDUE_CHECK_INTERVAL)
            self.engine.run(checked_at)
            self.accounting.check_overdue()
        return self._summarize(time.perf_counter() - wall_time)

    def _summarize(self, wall_time: float) -> Result:
        """Complete and return the run's result. `wall_time` is the real duration of the run in seconds."""
        result = self.accounting.result
        result.wall_s = wall_time
        result.events = self.engine.events
        result.open = self.accounting.open_count()
        result.counter_calls = self.counter.calls
        result.collapses = sum(model.collapses for model in self.servers.models.values())
        result.sent_to_faulty = self.servers.sent_to_faulty
        result.sent_to_warming = self.servers.sent_to_warming
        result.violations = dict(self.checker.violations)
        result.first_violation = self.checker.first_violation
        result.digest = self.checker.digest.hexdigest()
        self._summarize_overshoot(result)
        return result

    def _summarize_overshoot(self, result: Result) -> None:
        """Add the overshoot of quotas and ceilings to the result."""
        duration = self.experiment.duration_s
        overshoots = [customer.quota_overshoot(duration) for customer in self.customers if customer.plan.rate]
        result.quota_overshoot = sum(overshoots) / len(overshoots) if overshoots else 0.0
        result.worst_overshoot = max(overshoots, default=0.0)
        result.ceiling_overshoot = max(
            (
                customer.ceiling_overshoot(duration)
                for customer in self.customers
                if customer.plan.ceiling_rate
            ),
            default=0.0,
        )
