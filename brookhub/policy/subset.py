"""The servers that one gateway knows, and the subset of them that it uses.

A gateway sees little traffic: with fewer servers it knows each better and needs fewer connections.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import floor

from ..model import Server, ServerState, Upstream
from ..ports import Clock, FleetCoordination, IndependentCoordination
from ..site import GatewaySettings
from ..structures import RandomGenerator
from .concurrency_limit import ConcurrencyLimit
from .constants import (
    GOLDEN_RATIO,
    MEMORY_S,
    MIN_SUBSET_SERVERS,
    OUTCOMES_PER_SERVER,
    SERVER_CONCURRENCY,
    SUBSET_REFRESH_S,
    SUBSET_VISIT_INTERVAL_S,
)
from .fleet_size import FleetSize
from .outlier_detection import is_healthy
from .slow_start import SlowStart


class ServerSubset:
    """Keeps the records of all usable servers, and draws the subset in use about once a second."""

    def __init__(
        self,
        port: Clock,
        random: RandomGenerator,
        settings: GatewaySettings,
        fleet_size: FleetSize,
        slow_start: SlowStart,
        limit: ConcurrencyLimit,
    ) -> None:
        self.port = port
        self.random = random
        self.index = settings.index
        self.fleet_size = fleet_size
        self.statistics = limit.statistics
        self.slow_start = slow_start
        self.limit = limit
        self.coordination: FleetCoordination = IndependentCoordination()
        self.servers: list[Upstream] = []  # all that may be used, sorted by the server's id
        self.members: list[Upstream] = []  # the subset, in order of preference
        self.warm_members = 0
        self.gateways_per_server: float = settings.gateways  # live gateways that use one server
        self.competing_gateways: float = settings.gateways  # the same of those that have not surely left
        self._refreshed_at = 0.0

    def update(self, servers: Iterable[Server]) -> None:
        """Take in changes of the server list.

        Nothing new goes to a server that drains or is gone; one that restarted is judged afresh.
        """
        for server in servers:
            known = server.upstream
            if known and (
                server.state is not ServerState.READY or known.server_started_at != server.started_at
            ):
                self.servers.remove(known)
                server.upstream = None
            if server.upstream is None and server.state is ServerState.READY:
                server.upstream = self._new_record(server)
                self.servers.append(server.upstream)
        self.servers.sort(key=lambda upstream: upstream.server.id)
        self.coordination.on_servers_updated(self.servers_by_id())
        self.refresh()

    def use_coordination(self, coordination: FleetCoordination) -> None:
        """Ask the fleet from now on."""
        self.coordination = coordination
        coordination.on_servers_updated(self.servers_by_id())

    def servers_by_id(self) -> dict[int, Server]:
        """All servers that may be used."""
        return {upstream.server.id: upstream.server for upstream in self.servers}

    def refresh_if_due(self) -> None:
        """Draw the subset anew if it is older than a second."""
        if self.port.now - self._refreshed_at >= SUBSET_REFRESH_S:
            self.refresh()

    def refresh_soon(self) -> None:
        """Have the subset drawn anew before it is used next: a member takes nothing and is made up for."""
        self._refreshed_at = -SUBSET_REFRESH_S

    def refresh(self) -> None:
        """Draw the subset: the first healthy servers in this gateway's order of preference.

        Outliers are made up for by further servers, and those that this gateway is to probe come last.
        """
        count = len(self.servers)
        self.members = []
        self._refreshed_at = self.port.now
        size = self._size()
        ring_start = floor(self.index * GOLDEN_RATIO % 1.0 * count)
        healthy = 0
        for upstream in self.coordination.rank_servers(self.servers, ring_start):
            if healthy >= size:
                break
            self.members.append(upstream)
            healthy += is_healthy(upstream) and not self.coordination.is_ejected(upstream.server.id)
        used_share = len(self.members) / max(1, count)
        self.gateways_per_server = max(1.0, self.fleet_size.live * used_share)
        self.competing_gateways = max(1.0, self.fleet_size.possible * used_share)
        self.limit.initialise(count)
        self.warm_members = sum(self.slow_start.is_warm(upstream) for upstream in self.members)
        to_probe = [upstream for upstream in self.servers if self.coordination.may_probe(upstream.server.id)]
        self.members += [upstream for upstream in to_probe if upstream not in self.members]

    def _size(self) -> float:
        """How many servers to use: enough that each gets an attempt every few seconds, and no more."""
        rate = self.statistics.attempt_rate()
        return max(MIN_SUBSET_SERVERS, self.coordination.min_servers, rate * SUBSET_VISIT_INTERVAL_S)

    def _new_record(self, server: Server) -> Upstream:
        return Upstream.create(
            server,
            max_concurrency=SERVER_CONCURRENCY / self.gateways_per_server,
            phase=self.random.uniform(),
            now=self.port.now,
            memory=MEMORY_S,
            outcomes=OUTCOMES_PER_SERVER,
        )
