"""What the decisions ask of the fleet: outlier ejection and subsets behind `ports.FleetCoordination`."""

from __future__ import annotations

from typing import Sequence

from ..model import Outcome, Server, Upstream
from .outlier_detector import OutlierDetector
from .subset_assignment import ServerPlacement, SubsetAssignment


class FleetCoordinator:
    """Implements `ports.FleetCoordination` by a detector and an assignment, each of which may be missing.

    Without a detector no server is ejected and none is probed; without an assignment the servers are used in
    the order of the sorted list from the limiter's own start. Called under the adapter's lock around the
    decisions.
    """

    def __init__(
        self, detector: OutlierDetector | None = None, assignment: SubsetAssignment | None = None
    ) -> None:
        self.detector = detector
        self.assignment = assignment

    def on_servers_updated(self, servers: dict[int, Server]) -> None:
        """Take over the servers that may be used, by id."""
        if self.detector:
            self.detector.set_servers({ident: server.started_at for ident, server in servers.items()})
        if self.assignment:
            self.assignment.set_servers(
                {ident: ServerPlacement(server.zone, server.weight) for ident, server in servers.items()}
            )

    def is_ejected(self, server: int) -> bool:
        """Whether the fleet sends nothing to a server now."""
        return self.detector is not None and self.detector.is_ejected(server)

    def may_probe(self, server: int) -> bool:
        """Whether this limiter is the one to send a probing attempt to an ejected server."""
        return self.detector is not None and self.detector.may_probe(server)

    def attempt_started(self, server: int) -> None:
        """An attempt is sent to a server."""
        if self.detector:
            self.detector.attempt_started(server)

    def attempt_ended(self, server: int, outcome: Outcome) -> None:
        """An attempt ended, with an outcome that says something of the server or the network to it."""
        if self.detector:
            self.detector.attempt_ended(server, outcome)

    @property
    def min_servers(self) -> int:
        """How many servers this limiter uses at least; 0 without an assignment."""
        return self.assignment.min_servers() if self.assignment else 0

    def rank_servers(self, upstreams: Sequence[Upstream], start: int) -> Sequence[Upstream]:
        """The servers in this limiter's order of preference.

        `upstreams`: sorted by the server's id; `start`: index from which they are used where there is no
        matching.
        """
        order = self.assignment.preference_order() if self.assignment else None
        if not order:
            return [*upstreams[start:], *upstreams[:start]]
        by_id = {upstream.server.id: upstream for upstream in upstreams}
        return [by_id[server] for server in order if server in by_id]
