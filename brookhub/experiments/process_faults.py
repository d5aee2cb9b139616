"""Faults of an experiment on processes. Each one is cleared after its duration."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from typing import Protocol, TypeVar

from ..config.models import FaultSpec
from ..emulator.faults import pick_share
from ..emulator.server_model import ServerMode
from ..fakes import CounterMode, FakeCounter, ModelServer
from ..fault_injection import DirectionName, TcpLink, UdpMesh
from .errors import ExperimentError
from .fleet_files import FleetLinks
from .limiter_process import Limiter
from .upstreams import Upstreams

RESTART_DELAY = 1.0  # Seconds from the end of a limiter to its restart, as in the emulator.

Item = TypeVar("Item")


class FaultyFleet(Protocol):
    """The fleet that faults are injected into. `processes.ProcessFleet` implements it."""

    rng: random.Random
    limiters: list[Limiter]
    upstreams: Upstreams
    counter: FakeCounter
    fleet_links: FleetLinks

    def record_event(self, text: str) -> None:
        """Record an event of the run."""

    def schedule(self, seconds: float, action: Callable[[], object]) -> None:
        """Run an action after `seconds` in a thread of its own."""

    def kill(self, limiter: Limiter, restart_after: float | None = None, number: int = ...) -> None:
        """End a limiter by a signal; start it again after `restart_after` seconds unless that is None."""

    def stall(self, limiter: Limiter, seconds: float) -> None:
        """Stop a limiter for `seconds`."""

    def cut(self, limiter: Limiter, servers: Sequence[int], direction: DirectionName, seconds: float) -> None:
        """Cut a limiter's links to servers for `seconds`."""


class ProcessFaults:
    """Injects faults into a fleet, at targets chosen by the fleet's random generator.

    Actions that wait run in threads of the fleet.
    """

    def __init__(self, fleet: FaultyFleet) -> None:
        self.fleet = fleet
        self.actions: dict[str, Callable[[FaultSpec], None]] = {
            "kill_limiters": self.kill_limiters,
            "restart_limiters": self.restart_limiters,
            "term_limiters": self.shut_down_limiters,
            "stall_limiters": self.stall_limiters,
            "split_limiters": self.cut_peers,
            "cut_peers": self.cut_peers,
            "lose_packets": self.lose_packets,
            "cut_links": self.cut_links,
            "reset_links": self.reset_links,
            "delay_links": self.delay_links,
            "drain_servers": self.drain_servers,
            "replace_servers": self.replace_servers,
            "zone_lost": self.lose_zone,
            "slow_servers": self.degrade_servers,
            "failing_servers": self.degrade_servers,
            "silent_servers": self.degrade_servers,
            "counter_down": self.silence_counter,
            "counter_wipe": self.wipe_counter,
            "counter_lose": self.lose_counts,
            "counter_swap": self.swap_counter,
            "counter_late": self.delay_counter,
            "counter_split": self.split_counter,
            "lose_answers": self.lose_answers,
        }

    def inject(self, fault: FaultSpec) -> None:
        """Inject a fault now, and clear it after `for_s` if it has a duration.

        Raises ExperimentError if the fault cannot be injected into processes.
        """
        self.fleet.record_event(f"fault {fault.action} {fault.share} for {fault.for_s} s")
        action = self.actions.get(fault.action)
        if action is None:
            raise ExperimentError(f"fault {fault.action} is supported only in the emulator, not on processes")
        action(fault)

    def pick(self, items: Sequence[Item], share: float) -> list[Item]:
        """Return a random share of the items."""
        return pick_share(self.fleet.rng, items, share)

    # Limiters

    def pick_running(self, share: float) -> list[Limiter]:
        """Return a random share of the limiters that are running."""
        return self.pick([limiter for limiter in self.fleet.limiters if limiter.is_alive()], share)

    def kill_limiters(self, fault: FaultSpec) -> None:
        """Kill limiters without restarting them."""
        self.end_limiters(fault, None, signal.SIGKILL)

    def restart_limiters(self, fault: FaultSpec) -> None:
        """Kill limiters and restart them after RESTART_DELAY."""
        self.end_limiters(fault, RESTART_DELAY, signal.SIGKILL)

    def shut_down_limiters(self, fault: FaultSpec) -> None:
        """Shut limiters down gracefully and restart them after RESTART_DELAY."""
        self.end_limiters(fault, RESTART_DELAY, signal.SIGTERM)

    def end_limiters(self, fault: FaultSpec, restart_after: float | None, number: int) -> None:
        """End limiters by a signal; restart them after `restart_after` seconds unless that is None."""
        for limiter in self.pick_running(fault.share):
            self.fleet.schedule(0.0, partial(self.fleet.kill, limiter, restart_after, number))

    def stall_limiters(self, fault: FaultSpec) -> None:
        """Stop limiters for the fault's duration."""
        for limiter in self.pick_running(fault.share):
            self.fleet.schedule(0.0, partial(self.fleet.stall, limiter, fault.for_s))

    # Links

    def mesh(self, fault: FaultSpec) -> UdpMesh:
        """Return the links between the members. Raises ExperimentError if membership is disabled."""
        mesh = self.fleet.fleet_links.mesh
        if mesh is None:
            raise ExperimentError(
                f"fault {fault.action} needs peer links, but the experiment's fleet has no membership"
            )
        return mesh

    def lose_packets(self, fault: FaultSpec) -> None:
        """Lose, duplicate and reorder datagrams between the members."""
        mesh = self.mesh(fault)
        mesh.set_all(loss=fault.share, duplicate=fault.share, reorder=fault.share)
        self.fleet.schedule(fault.for_s, mesh.clear)

    def cut_peers(self, fault: FaultSpec) -> None:
        """Cut the peer links between two sides of the fleet, in both directions or in one."""
        mesh = self.mesh(fault)
        side = {limiter.name for limiter in self.pick(self.fleet.limiters, fault.share)}
        for path, direction in mesh.directions.items():
            leaves_side = path.sender in side and path.receiver not in side
            enters_side = path.receiver in side and path.sender not in side
            if (leaves_side and fault.way != "back") or (enters_side and fault.way != "forward"):
                direction.set(cut=True)
        self.fleet.schedule(fault.for_s, mesh.clear)

    def cut_links(self, fault: FaultSpec) -> None:
        """Cut links from limiters to servers for the fault's duration."""
        servers: dict[str, list[int]] = {}
        for address, server in self.pick(sorted(self.fleet.upstreams.links), fault.share):
            servers.setdefault(address, []).append(server)
        for limiter in self.fleet.limiters:
            if limiter.address in servers:
                cut = partial(self.fleet.cut, limiter, servers[limiter.address], fault.way, fault.for_s)
                self.fleet.schedule(0.0, cut)

    def pick_links(self, share: float) -> list[TcpLink]:
        """Return a random share of the links from limiters to servers."""
        links = self.fleet.upstreams.links
        return [links[key] for key in self.pick(sorted(links), share)]

    def clear_links(self, links: Iterable[TcpLink], seconds: float) -> None:
        """Clear the faults of links after `seconds`."""

        def clear() -> None:
            for link in links:
                link.clear()

        self.fleet.schedule(seconds, clear)

    def reset_links(self, fault: FaultSpec) -> None:
        """Reset connections from limiters to servers for the fault's duration."""
        links = self.pick_links(fault.share)
        for link in links:
            link.set(fault.way, reset=1.0)
        self.clear_links(links, fault.for_s)

    def delay_links(self, fault: FaultSpec) -> None:
        """Delay the data on links from limiters to servers for the fault's duration."""
        links = self.pick_links(fault.share)
        for link in links:
            link.set(fault.way, delay=fault.delay_s)
        self.clear_links(links, fault.for_s)

    # Servers

    def drain_servers(self, fault: FaultSpec) -> None:
        """Drain servers, and remove them after the fault's duration."""
        self.remove_servers(fault, replace=False)

    def replace_servers(self, fault: FaultSpec) -> None:
        """Drain servers, and replace them with new ones after the fault's duration."""
        self.remove_servers(fault, replace=True)

    def remove_servers(self, fault: FaultSpec, replace: bool) -> None:
        """Drain servers; remove them after the fault's duration, and add new ones if `replace` is set."""
        upstreams = self.fleet.upstreams
        servers = self.pick(upstreams.ready_ids(), fault.share)
        upstreams.drain(servers)
        self.fleet.schedule(fault.for_s, lambda: upstreams.remove(servers, replace))

    def lose_zone(self, fault: FaultSpec) -> None:
        """Crash all servers of a zone; they return after the fault's duration with a slow start."""
        upstreams = self.fleet.upstreams
        lost = [
            server for server in upstreams.ready_ids() if upstreams.servers[server].model.zone == fault.zone
        ]
        for server in lost:
            upstreams.crash(server)
        self.fleet.schedule(fault.for_s, lambda: upstreams.revive(lost))

    def degrade_servers(self, fault: FaultSpec) -> None:
        """Make servers slow, failing or silent for the fault's duration."""
        upstreams = self.fleet.upstreams
        models = [upstreams.servers[server].model for server in self.pick(upstreams.ready_ids(), fault.share)]
        for model in models:
            model.mode = ServerMode(fault.action.removesuffix("_servers"))
            model.slow_factor = fault.factor

        def recover() -> None:
            for model in models:
                model.mode = ServerMode.OK

        self.fleet.schedule(fault.for_s, recover)

    # The counter

    def silence_counter(self, fault: FaultSpec) -> None:
        """Stop all answers of the counter for the fault's duration."""
        counter = self.fleet.counter
        counter.mode = CounterMode.SILENT

        def recover() -> None:
            counter.mode = CounterMode.OK

        self.fleet.schedule(fault.for_s, recover)

    def wipe_counter(self, fault: FaultSpec) -> None:
        """Delete all counts of the counter."""
        self.fleet.counter.wipe()

    def lose_counts(self, fault: FaultSpec) -> None:
        """Delete a share of the counter's counts."""
        self.fleet.counter.lose(fault.share)

    def swap_counter(self, fault: FaultSpec) -> None:
        """Replace the counter with an empty one for the fault's duration."""
        self.fleet.counter.swap()
        self.fleet.schedule(fault.for_s, self.fleet.counter.restore)

    def delay_counter(self, fault: FaultSpec) -> None:
        """Delay the counter's answers for the fault's duration."""
        counter = self.fleet.counter
        counter.delay += fault.delay_s

        def recover() -> None:
            counter.delay -= fault.delay_s

        self.fleet.schedule(fault.for_s, recover)

    def split_counter(self, fault: FaultSpec) -> None:
        """Connect every second limiter to another counter for the fault's duration."""
        other_side = {limiter.address for limiter in self.fleet.limiters if limiter.index % 2}
        self.fleet.counter.split(lambda limiter: int(limiter in other_side))
        self.fleet.schedule(fault.for_s, self.fleet.counter.heal)

    # Answers

    def lose_answers(self, fault: FaultSpec) -> None:
        """Lose a share of the answers of servers and counter for the fault's duration."""
        fakes: list[FakeCounter | ModelServer] = [self.fleet.counter, *self.fleet.upstreams.servers.values()]
        for fake in fakes:
            fake.answer_loss = fault.share

        def recover() -> None:
            for fake in fakes:
                fake.answer_loss = 0.0

        self.fleet.schedule(fault.for_s, recover)
