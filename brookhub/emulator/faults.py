"""Injection of an experiment's faults into an emulated fleet. Each fault is cleared after its duration."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol, TypeVar

from ..config.models import FaultSpec
from ..model import ServerState
from ..site import Route
from .counter import EmulatedCounter
from .discovery import EmulatedDiscovery
from .engine import Engine
from .invariants import InvariantChecker
from .limiter import EmulatedLimiter
from .peers import PeerNetwork, member_name
from .server_model import ServerMode, ServerModel
from .servers import EmulatedServer, EmulatedServers

RESTART_TIME = 1.0  # Seconds for which a restarted limiter is down: the start of a process.
DRAIN_MARGIN = 0.1  # Seconds from the longest client timeout to the end of a draining limiter.

Item = TypeVar("Item")


def pick_share(rng: random.Random, items: Sequence[Item], share: float) -> list[Item]:
    """Return a random share of the items: at least one, or none if the share is 0."""
    count = min(len(items), max(1, round(share * len(items)))) if share else 0
    return rng.sample(items, count)


class FaultTarget(Protocol):
    """The interface of the fleet into which faults are injected (fleet.Fleet)."""

    engine: Engine
    rng: random.Random
    checker: InvariantChecker
    routes: list[Route]
    limiters: list[EmulatedLimiter]
    servers: EmulatedServers
    counter: EmulatedCounter
    discovery: EmulatedDiscovery
    network: PeerNetwork | None

    def restart(self, index: int) -> None:
        """Start a new limiter in place of a killed one."""

    def add_server(self, replaced: ServerModel) -> EmulatedServer:
        """Start a cold server in place of another one and return it."""


class FaultInjector:
    """Injector of faults. It draws targets with the fleet's own generator, so that runs are reproducible."""

    def __init__(self, fleet: FaultTarget) -> None:
        self.fleet = fleet
        self.engine = fleet.engine
        self.actions: dict[str, Callable[[FaultSpec], None]] = {
            "kill_limiters": self.kill_limiters,
            "restart_limiters": self.kill_limiters,
            "term_limiters": self.drain_limiters,
            "stall_limiters": self.suspend_limiters,
            "split_limiters": self.partition_peers,
            "cut_peers": self.partition_peers,
            "lose_packets": self.lose_datagrams,
            "cut_links": self.cut_links,
            "drain_servers": self.drain_servers,
            "replace_servers": self.drain_servers,
            "zone_lost": self.stop_zone,
            "slow_servers": self.set_server_mode,
            "failing_servers": self.set_server_mode,
            "silent_servers": self.set_server_mode,
            "counter_down": self.stop_counter,
            "counter_wipe": lambda fault: self.fleet.counter.wipe(),
            "counter_lose": lambda fault: self.fleet.counter.lose(fault.share),
            "counter_swap": self.replace_counter,
            "counter_late": self.delay_counter,
            "counter_split": self.split_counter,
            "lose_answers": self.lose_answers,
        }

    def schedule(self, fault: FaultSpec) -> None:
        """Schedule the injection of a fault at its time."""
        self.engine.call_at(fault.at_s, lambda: self.inject(fault))

    def inject(self, fault: FaultSpec) -> None:
        """Inject a fault now. Raises ValueError for a fault that only a fleet of processes supports."""
        checker = self.fleet.checker
        checker.now = self.engine.now
        checker.record("fault", fault.action, fault.share, fault.zone, fault.for_s)
        action = self.actions.get(fault.action)
        if action is None:
            raise ValueError(
                f"fault action '{fault.action}' is not supported in the emulator, only on processes: "
                f"expected one of {', '.join(self.actions)}"
            )
        action(fault)

    def _pick(self, items: Sequence[Item], share: float) -> list[Item]:
        """Return a random share of the items, drawn with the fleet's generator."""
        return pick_share(self.fleet.rng, items, share)

    def _running_limiters(self) -> list[EmulatedLimiter]:
        return [limiter for limiter in self.fleet.limiters if limiter.is_alive]

    def _all_servers(self) -> list[EmulatedServer]:
        """Return all servers of the run, including those that are gone."""
        return list(self.fleet.servers.models.values())

    # limiters

    def kill_limiters(self, fault: FaultSpec) -> None:
        """Kill limiters, which lose their state; `restart_limiters` starts them again."""
        for limiter in self._pick(self._running_limiters(), fault.share):
            limiter.kill()
            if fault.action == "restart_limiters":
                self._restart_later(limiter)

    def drain_limiters(self, fault: FaultSpec) -> None:
        """Restart limiters gracefully: they get no new requests and end after the longest client timeout."""
        drain_time = max(route.client_timeout for route in self.fleet.routes) + DRAIN_MARGIN
        for limiter in self._pick(self._running_limiters(), fault.share):
            limiter.is_draining = True
            if limiter.member:
                limiter.member.core.leave()
            self.engine.call_later(drain_time, partial(self._replace_limiter, limiter))

    def _replace_limiter(self, limiter: EmulatedLimiter) -> None:
        limiter.kill()
        self._restart_later(limiter)

    def _restart_later(self, limiter: EmulatedLimiter) -> None:
        self.engine.call_later(RESTART_TIME, lambda: self.fleet.restart(limiter.index))

    def suspend_limiters(self, fault: FaultSpec) -> None:
        """Suspend limiters for the fault's duration, like stopped processes."""
        for limiter in self._pick(self._running_limiters(), fault.share):
            limiter.suspend(fault.for_s)

    # links

    def _peer_network(self, fault: FaultSpec) -> PeerNetwork:
        """Return the links between limiters. Raises ValueError if the fleet has no membership."""
        if not self.fleet.network:
            raise ValueError(
                f"fault action '{fault.action}' requires peer links, "
                "but the experiment's fleet has no membership"
            )
        return self.fleet.network

    def lose_datagrams(self, fault: FaultSpec) -> None:
        """Drop, duplicate and reorder datagrams between limiters, each with the fault's share."""
        network = self._peer_network(fault)
        network.set_noise(fault.share)
        self.engine.call_later(fault.for_s, network.heal)

    def partition_peers(self, fault: FaultSpec) -> None:
        """Block the datagrams between two sides of the fleet, in both directions or in one."""
        network = self._peer_network(fault)
        side = {member_name(limiter.index) for limiter in self._pick(self.fleet.limiters, fault.share)}

        def is_blocked(source: str, peer: str) -> bool:
            leaves = source in side and peer not in side
            enters = peer in side and source not in side
            return (fault.way != "back" and leaves) or (fault.way != "forward" and enters)

        network.is_blocked = is_blocked
        self.engine.call_later(fault.for_s, network.heal)

    def cut_links(self, fault: FaultSpec) -> None:
        """Block a share of the links from limiters to servers."""
        for limiter in self.fleet.limiters:
            for model in self._all_servers():
                if self.fleet.rng.random() < fault.share:
                    limiter.unreachable_until[model.id] = self.engine.now + fault.for_s

    # servers

    def drain_servers(self, fault: FaultSpec) -> None:
        """Drain servers and then remove them; `replace_servers` starts a cold server in place of each."""
        ready = [model for model in self._all_servers() if model.state is ServerState.READY]
        drained = self._pick(ready, fault.share)
        for model in drained:
            model.state = ServerState.DRAINING
            model.drained_at = self.engine.now
        self.fleet.discovery.publish(drained)
        are_replaced = fault.action == "replace_servers"
        self.engine.call_later(fault.for_s, lambda: self._remove_servers(drained, are_replaced))

    def _remove_servers(self, drained: list[EmulatedServer], are_replaced: bool) -> None:
        for model in drained:
            model.state = ServerState.GONE
        started = [self.fleet.add_server(model) for model in drained] if are_replaced else []
        self.fleet.discovery.publish(drained + started)

    def stop_zone(self, fault: FaultSpec) -> None:
        """Stop all servers of a zone for the fault's duration; they restart cold."""
        stopped = [model for model in self._all_servers() if model.zone == fault.zone]
        for model in stopped:
            model.mode = ServerMode.DEAD
        self.engine.call_later(fault.for_s, lambda: self._restart_servers(stopped))

    def _restart_servers(self, stopped: list[EmulatedServer]) -> None:
        for model in stopped:
            model.restart(self.engine.now)
        self.fleet.discovery.publish(stopped)

    def set_server_mode(self, fault: FaultSpec) -> None:
        """Make servers slow, failing or silent for the fault's duration."""
        faulty = self._pick(self._all_servers(), fault.share)
        for model in faulty:
            model.mode = ServerMode(fault.action.removesuffix("_servers"))
            model.slow_factor = fault.factor
        self.engine.call_later(fault.for_s, lambda: self._repair_servers(faulty))

    def _repair_servers(self, faulty: list[EmulatedServer]) -> None:
        for model in faulty:
            model.mode = ServerMode.OK

    # the counter

    def stop_counter(self, fault: FaultSpec) -> None:
        """Stop the counter's answers for the fault's duration."""
        self._set_counter_down(True)
        self.engine.call_later(fault.for_s, lambda: self._set_counter_down(False))

    def _set_counter_down(self, is_down: bool) -> None:
        self.fleet.counter.is_down = is_down

    def replace_counter(self, fault: FaultSpec) -> None:
        """Replace the counter with an empty instance for the fault's duration."""
        restore = self.fleet.counter.replace_instance()
        self.engine.call_later(fault.for_s, restore)

    def delay_counter(self, fault: FaultSpec) -> None:
        """Delay the counter's answers for the fault's duration."""
        self._change_counter_delay(fault.delay_s)
        self.engine.call_later(fault.for_s, lambda: self._change_counter_delay(-fault.delay_s))

    def _change_counter_delay(self, seconds: float) -> None:
        self.fleet.counter.delay += seconds

    def split_counter(self, fault: FaultSpec) -> None:
        """Connect half of the limiters to another counter instance for the fault's duration."""
        self.fleet.counter.split()
        self.engine.call_later(fault.for_s, self.fleet.counter.heal)

    def lose_answers(self, fault: FaultSpec) -> None:
        """Drop a share of the answers of servers and counter for the fault's duration."""
        self._set_lost_share(fault.share)
        self.engine.call_later(fault.for_s, lambda: self._set_lost_share(0.0))

    def _set_lost_share(self, share: float) -> None:
        self.fleet.servers.lost_share = share
        self.fleet.counter.lost_share = share
