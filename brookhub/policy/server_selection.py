"""Selection of the server with room whose answer is expected first."""

from __future__ import annotations

from ..model import PendingRequest, Server, Upstream
from ..ports import Clock
from ..site import Idempotency
from ..structures import RandomGenerator
from .constants import (
    CROSS_ZONE_FACTOR,
    MEMORY_S,
    MIN_SUCCESS_WEIGHT,
    SAME_SERVER_FACTOR,
    SELECTION_JITTER,
)
from .outlier_detection import expected_latency, has_room
from .repeat_safety import attempts_that_may_have_run, may_repeat_at
from .subset import ServerSubset


class ServerSelector:
    """Selector of a server in the subset for each request."""

    def __init__(
        self,
        port: Clock,
        random: RandomGenerator,
        zone: int,
        subset: ServerSubset,
    ) -> None:
        """Create the selector. `zone`: zone of this gateway; servers of other zones have a higher cost."""
        self.port = port
        self.random = random
        self.zone = zone
        self.subset = subset
        self.mean_latency = subset.statistics.mean_latency
        self.slow_start = subset.slow_start
        self.limit = subset.limit

    def choose(self, pending: PendingRequest) -> Upstream | None:
        """Return the server that a request should be sent to now, or None if no usable server has room."""
        now = self.port.now
        subset = self.subset
        typical_latency = self.mean_latency()
        route = pending.request.route
        may_have_run = attempts_that_may_have_run(pending)
        tried = [attempt.server for attempt in pending.request.attempts]
        # One gateway probes an ejected server for the whole fleet, with a request that may be executed twice.
        may_be_probe = route.idempotency is Idempotency.IDEMPOTENT and not tried
        subset.refresh_if_due()
        if not self.limit.has_room():
            return None
        coordination = subset.coordination
        slow_start = self.slow_start
        best: Upstream | None = None
        least_cost = 0.0
        for upstream in subset.members:
            server = upstream.server
            is_probe = coordination.may_probe(server.id) and may_be_probe
            if not has_room(upstream, now):
                continue
            if not is_probe and coordination.is_ejected(server.id):
                continue
            if not may_repeat_at(server, route, may_have_run, now):
                continue
            if not slow_start.is_warm(upstream) and not slow_start.admits(
                upstream, subset.warm_members, subset.competing_gateways
            ):
                continue
            cost = self._cost(upstream, now, typical_latency, tried, is_probe)
            if best is None or cost < least_cost:
                best = upstream
                least_cost = cost
        return best

    def _cost(
        self, upstream: Upstream, now: float, typical_latency: float, tried: list[Server], is_probe: bool
    ) -> float:
        """Return the cost of a server: the expected seconds until an answer, weighted by its disadvantages.

        The cost of a probe is 0.
        """
        server = upstream.server
        # A server that was not used for a long time gets attempts again, regardless of its success rate.
        unused_share = min(1.0, (now - upstream.last_result_at) / MEMORY_S)
        success_weight = max(MIN_SUCCESS_WEIGHT, upstream.successes.rate, unused_share)
        latency = expected_latency(upstream, now, typical_latency) / success_weight
        repeat_factor = SAME_SERVER_FACTOR ** tried.count(server)
        cost = (len(upstream.in_flight) + 1) * latency * repeat_factor * (not is_probe)
        zone_factor = CROSS_ZONE_FACTOR if server.zone != self.zone else 1.0
        return cost * (zone_factor * (1 + SELECTION_JITTER * self.random.uniform()))
