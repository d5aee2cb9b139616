"""The upstream servers of a fleet on processes: fakes, their list in discovery, and the links to them."""

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
    """The servers of a fleet, with a link from each limiter to each server, and the fake of discovery.

    Ids of servers are not reused: a replacement has a new id, and the zone and cell of the server that it
    replaces. Methods that change servers may be called by several threads if they change different servers.
    The owner has to call `close`.

    Attributes:
        attempts: All attempts that arrived at any server.
        servers: Servers by id.
        links: Links by the limiter's IP address and the server's id.
        discovery: Fake of discovery, which lists the servers.
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
        self.links: dict[tuple[str, int], TcpLink] = {}
        warm_since = monotonic() - spec.servers.warm_after_s - 1.0
        for place in range(spec.servers.count):
            self.add_server(warm_since, place)
        self.discovery = FakeDiscovery([], dial=self.dial_address)

    def connect(self, limiters: Sequence[Limiter]) -> None:
        """Create the links from all limiters to all servers, and list the servers."""
        self.limiters = limiters
        for server in self.servers:
            self.link_server(server)
        self.update_list()

    def add_server(self, started_at: float, place: int) -> int:
        """Start a server and return its id. Its zone and cell are derived from `place`."""
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
        """Return the links from all limiters to a server."""
        return [self.links[limiter.address, server] for limiter in self.limiters]

    def dial_address(self, limiter: str, name: str) -> str:
        """Return the address at which a limiter, given by IP address, reaches a server, given by name."""
        return self.links[limiter, int(name.removeprefix("s-"))].address

    def host_entry(self, server: int, health: str = "Ready") -> Host:
        """Return the entry of a server in discovery's list."""
        model = self.servers[server].model
        age = monotonic() - model.started_at
        born_ms = int((time.time() - age) * 1000) if age < model.settings.warm_up_time else 0
        return host(f"s-{model.id}", "", health, born_ms, zone_name(model.zone), model.cell)

    def ready_ids(self) -> list[int]:
        """Return the ids of the servers that are neither draining nor gone."""
        return [ident for ident, server in self.servers.items() if server.model.state is ServerState.READY]

    def update_list(self) -> None:
        """Set discovery's list, which each new watch receives first, to the ready servers."""
        self.discovery.hosts = [self.host_entry(server) for server in self.ready_ids()]

    # Faults

    def drain(self, servers: Iterable[int]) -> None:
        """Start the drain of servers and report it to discovery's watches."""
        changed = list(servers)
        for server in changed:
            model = self.servers[server].model
            model.state = ServerState.DRAINING
            model.drained_at = monotonic()
        self.update_list()
        self.discovery.push(*[self.host_entry(server, "Terminating") for server in changed])

    def crash(self, server: int) -> None:
        """Crash a server, which from now on refuses connections, direct ones and those over the links."""
        self.servers[server].die()
        for link in self.links_to(server):
            link.set(refuse=True)

    def revive(self, servers: Iterable[int]) -> None:
        """Restart crashed servers with a slow start and list them in discovery again."""
        now = monotonic()
        changed = list(servers)
        for server in changed:
            self.servers[server].revive(now)
            model = self.servers[server].model
            model.state = ServerState.READY
            model.drained_at = None
            for link in self.links_to(server):
                link.clear()
        self.update_list()
        self.discovery.push(*[self.host_entry(server) for server in changed])

    def remove(self, servers: Iterable[int], replace: bool) -> None:
        """Remove servers permanently, and replace them with new ones if `replace` is set."""
        removed = list(servers)
        added = []
        for server in removed:
            self.servers[server].model.state = ServerState.GONE
            self.crash(server)
            if replace:
                added.append(self.add_server(monotonic(), place=server))
                self.link_server(added[-1])
        self.update_list()
        changed = [self.host_entry(server, "Gone") for server in removed]
        changed += [self.host_entry(server) for server in added]
        self.discovery.push(*changed)

    def close(self) -> None:
        """Close servers and discovery, and end the timers' thread."""
        for listener in (self.discovery, *self.servers.values()):
            listener.close()
        self.timers.close()
