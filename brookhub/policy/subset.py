"""The usable servers of one gateway, and the subset of them that it sends to.

A single gateway has little traffic. With fewer servers it gets more results from each of them and needs fewer
connections.
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
    """Records of all usable servers, with the subset in use, which is selected about once per second."""

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
        self.servers: list[Upstream] = []  # All usable servers, sorted by server id.
        self.members: list[Upstream] = []  # The subset, in order of preference.
        self.warm_members = 0
        # Numbers of gateways that use one server: live ones, and ones that are not known to have left.
        self.gateways_per_server: float = settings.gateways
        self.competing_gateways: float = settings.gateways
        self._refreshed_at = 0.0

    def update(self, servers: Iterable[Server]) -> None:
        """Apply changes of the server list.

        No further attempts are sent to a server that is draining or gone. A restarted server gets a new
        record.
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
        """Use the fleet's coordination from now on."""
        self.coordination = coordination
        coordination.on_servers_updated(self.servers_by_id())

    def servers_by_id(self) -> dict[int, Server]:
        """Return all usable servers by id."""
        return {upstream.server.id: upstream.server for upstream in self.servers}

    def refresh_if_due(self) -> None:
        """Select the subset again if it is older than the refresh interval."""
        if self.port.now - self._refreshed_at >= SUBSET_REFRESH_S:
            self.refresh()

    def refresh_soon(self) -> None:
        """Refresh the subset before its next use, to compensate for a member that rejects attempts."""
        self._refreshed_at = -SUBSET_REFRESH_S

    def refresh(self) -> None:
        """Select the subset: the first healthy servers in this gateway's order of preference.

        For each outlier a further server is added. Servers that this gateway has to probe come last.
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
        """Return the number of servers to use: as many as get an attempt every few seconds, or a minimum."""
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
