"""Slow start: the rate of attempts to a recently started server increases with its warmth."""

from __future__ import annotations

from ..model import Upstream
from ..ports import Clock
from ..site import GatewaySettings
from .attempt_statistics import AttemptStatistics
from .constants import MAX_SLOW_START_FACTOR, MIN_SLOW_START_LATENCY_S, SLOW_START_OVERLOAD_SHARE


class SlowStart:
    """Limit on the attempts to warming servers, so that all gateways together don't overload one."""

    def __init__(self, port: Clock, settings: GatewaySettings, statistics: AttemptStatistics) -> None:
        self.port = port
        self.statistics = statistics
        self.warm_up_time = settings.warm_up_time
        self.cold_capacity = settings.cold_capacity
        self.factor = min(MAX_SLOW_START_FACTOR, SLOW_START_OVERLOAD_SHARE * settings.overload_multiple)

    def is_warm(self, upstream: Upstream) -> bool:
        """Return whether a server has reached its full capacity."""
        started_at = upstream.server_started_at
        return not started_at or self.port.now - started_at >= self.warm_up_time

    def admits(self, upstream: Upstream, warm_servers: int, competing_gateways: float) -> bool:
        """Return whether a warming server may get an attempt now.

        The rate of its attempts is proportional to its warmth and to the higher of two rates: the rate at
        which this gateway sends attempts to each of the `warm_servers`, and this gateway's part of the rate
        that one core can serve for all `competing_gateways`.
        """
        now = self.port.now
        rate_of_warm_server = self.statistics.attempt_rate() / warm_servers if warm_servers else 0.0
        latency = max(self.statistics.mean_latency(), MIN_SLOW_START_LATENCY_S)
        rate_of_one_core = 1 / latency / competing_gateways
        warm_rate = max(rate_of_warm_server, rate_of_one_core)
        upstream.slow_start.change_rate(now, self._warmth(upstream) * self.factor * warm_rate)
        return upstream.slow_start.level >= 1

    def _warmth(self, upstream: Upstream) -> float:
        """Return the share of its full capacity that a warming server has now."""
        age = max(0.0, self.port.now - upstream.server_started_at)
        return self.cold_capacity + (1 - self.cold_capacity) * age / self.warm_up_time
