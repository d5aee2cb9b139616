"""Implementation of `ports.FleetCoordination` by outlier ejection and subsets of the servers."""

from __future__ import annotations

from collections.abc import Sequence

from ..model import Outcome, Server, Upstream
from .outlier_detector import OutlierDetector
from .subset_assignment import ServerPlacement, SubsetAssignment


class FleetCoordinator:
    """Implements `ports.FleetCoordination` with an optional detector and an optional assignment.

    Without a detector no server is ejected or probed. Without an assignment the servers are used in the order
    of the sorted list, from the limiter's start index. All calls are made under the lock that the adapter
    holds while it calls the policy.
    """

    def __init__(
        self, detector: OutlierDetector | None = None, assignment: SubsetAssignment | None = None
    ) -> None:
        self.detector = detector
        self.assignment = assignment

    def on_servers_updated(self, servers: dict[int, Server]) -> None:
        """Replace the set of usable servers with `servers`, given by id."""
        if self.detector:
            self.detector.set_servers({server_id: server.started_at for server_id, server in servers.items()})
        if self.assignment:
            self.assignment.set_servers(
                {
                    server_id: ServerPlacement(server.zone, server.weight)
                    for server_id, server in servers.items()
                }
            )

    def is_ejected(self, server: int) -> bool:
        """Return whether a server is ejected: the fleet sends it no attempts except probes."""
        return self.detector is not None and self.detector.is_ejected(server)

    def may_probe(self, server: int) -> bool:
        """Return whether this limiter should probe an ejected server with one attempt."""
        return self.detector is not None and self.detector.may_probe(server)

    def attempt_started(self, server: int) -> None:
        """Handle the start of an attempt at a server."""
        if self.detector:
            self.detector.attempt_started(server)

    def attempt_ended(self, server: int, outcome: Outcome) -> None:
        """Handle the end of an attempt whose outcome depends on the server or the network to it."""
        if self.detector:
            self.detector.attempt_ended(server, outcome)

    @property
    def min_servers(self) -> int:
        """Minimum number of servers that this limiter uses; 0 without an assignment."""
        return self.assignment.min_servers() if self.assignment else 0

    def rank_servers(self, upstreams: Sequence[Upstream], start: int) -> Sequence[Upstream]:
        """Return the servers in this limiter's order of preference.

        `upstreams` are sorted by the server's id. Without a matching they are used in this order, starting at
        the index `start`.
        """
        order = self.assignment.preference_order() if self.assignment else None
        if not order:
            return [*upstreams[start:], *upstreams[:start]]
        by_id = {upstream.server.id: upstream for upstream in upstreams}
        return [by_id[server] for server in order if server in by_id]
