"""The upstream servers of a fleet on processes: fakes, discovery's list of them, and the links to them."""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Iterable, Sequence
from time import monotonic

from ..config.models import FleetSpec
from ..emulator.server_model import ServerModel, ServerSettings
from ..fakes import FakeDiscovery, Host, ModelServer, ServerAttempt, Timers, host
from ..fault_injection import Relays, TcpLink
from ..model import ServerState
from .limiter_process import Limiter
from .start_files import CELLS, zone_name


class Upstreams:
    """Servers by id, each with a link from every limiter, as discovery lists them.

    `attempts` gets every attempt at any server. Servers keep their ids for ever; a replacement has a new id
    and the zone and cell of the one that it replaces. Methods that change servers may be called by any
    thread, for different servers at a time. The owner ends servers and discovery by `close`.
    """

    def __init__(self, spec: FleetSpec, seed: int, relays: Relays) -> None:
        self.spec = spec
        self.seed = seed
        self.relays = relays
        self.timers = Timers()
        self.attempts: list[ServerAttempt] = []
        self.server_ids = itertools.count()
        self.servers: dict[int, ModelServer] = {}
        self.limiters: Sequence[Limiter] = ()
        self.links: dict[tuple[str, int], TcpLink] = {}  # by the limiter's IP address and the server's id
        warm_since = monotonic() - spec.servers.warm_after_s - 1.0
        for place in range(spec.servers.count):
            self.add_server(warm_since, place)
        self.discovery = FakeDiscovery([], dial=self.dial_address)

    def connect(self, limiters: Sequence[Limiter]) -> None:
        """Create the links from all limiters to all servers, and list the servers."""
        self.limiters = limiters
        for server in self.servers:
            self.link_server(server)
        self.list_ready()

    def add_server(self, started_at: float, place: int) -> int:
        """Start a server whose zone and cell follow from its place; returns its id."""
        ident = next(self.server_ids)
        zones = self.spec.zones
        cell = (place // zones) % CELLS
        settings = ServerSettings.from_spec(self.spec.servers)
        model = ServerModel(ident, place % zones, cell, settings, started_at)
        rng = random.Random(f"server/{self.seed}/{ident}")
        self.servers[ident] = ModelServer(model, self.timers, rng, self.attempts)
        return ident

    def link_server(self, server: int) -> None:
        """Create a link from each limiter to a server."""
        endpoint = self.servers[server].endpoint
        for limiter in self.limiters:
            name = f"{limiter.name}/s{server}"
            self.links[limiter.address, server] = self.relays.tcp(name, endpoint, limiter.address)

    def links_to(self, server: int) -> list[TcpLink]:
        """The links from all limiters to a server."""
        return [self.links[limiter.address, server] for limiter in self.limiters]

    def dial_address(self, limiter: str, name: str) -> str:
        """Where a limiter (IP address) reaches a server (name)."""
        return self.links[limiter, int(name.removeprefix("s-"))].address

    def entry(self, server: int, health: str = "Ready") -> Host:
        """A server as discovery describes it."""
        model = self.servers[server].model
        age = monotonic() - model.started_at
        born_ms = int((time.time() - age) * 1000) if age < model.settings.warm_up_time else 0
        return host(f"s-{model.id}", "", health, born_ms, zone_name(model.zone), model.cell)

    def ready(self) -> list[int]:
        """The servers that neither drain nor are gone."""
        return [ident for ident, server in self.servers.items() if server.model.state is ServerState.READY]

    def list_ready(self) -> None:
        """Have new watches of discovery begin with the ready servers."""
        self.discovery.hosts = [self.entry(server) for server in self.ready()]

    # faults

    def drain(self, servers: Iterable[int]) -> None:
        """Servers begin to drain; discovery says so."""
        changed = list(servers)
        for server in changed:
            model = self.servers[server].model
            model.state = ServerState.DRAINING
            model.drained_at = monotonic()
        self.list_ready()
        self.discovery.push(*[self.entry(server, "Terminating") for server in changed])

    def crash(self, server: int) -> None:
        """A server's machine refuses connections from now on, also over the links."""
        self.servers[server].die()
        for link in self.links_to(server):
            link.set(refuse=True)

    def revive(self, servers: Iterable[int]) -> None:
        """Crashed servers return with a slow start; discovery lists them again."""
        now = monotonic()
        changed = list(servers)
        for server in changed:
            self.servers[server].revive(now)
            model = self.servers[server].model
            model.state = ServerState.READY
            model.drained_at = None
            for link in self.links_to(server):
                link.clear()
        self.list_ready()
        self.discovery.push(*[self.entry(server) for server in changed])

    def remove(self, servers: Iterable[int], replace: bool) -> None:
        """Servers are gone for good; with `replace` new ones take their places."""
        removed = list(servers)
        added = []
        for server in removed:
            self.servers[server].model.state = ServerState.GONE
            self.crash(server)
            if replace:
                added.append(self.add_server(monotonic(), place=server))
                self.link_server(added[-1])
        self.list_ready()
        changed = [self.entry(server, "Gone") for server in removed]
        changed += [self.entry(server) for server in added]
        self.discovery.push(*changed)

    def close(self) -> None:
        """End servers, discovery and the timers' thread."""
        for listener in (self.discovery, *self.servers.values()):
            listener.close()
        self.timers.close()
