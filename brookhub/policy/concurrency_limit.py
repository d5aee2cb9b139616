"""The limit on attempts in flight, which decreases with slow answers and increases with quick ones.

A single gateway gets few answers from each server, but many from all servers together. Therefore one limit
covers all servers.
"""

from __future__ import annotations

from ..model import Outcome
from ..ports import Clock
from ..structures import RisingMinimum
from .attempt_statistics import AttemptStatistics
from .constants import (
    BASELINE_MIN_AGE_S,
    BASELINE_MIN_ANSWERS,
    BASELINE_RISE_PER_S,
    LIMIT_DECREASE,
    LIMIT_INCREASE,
    MIN_ATTEMPTS_PER_SERVER,
    NO_ANSWER_WEIGHT,
    SERVER_CONCURRENCY,
    SLOW_ANSWER_FACTOR,
)
from .fleet_size import FleetSize


class ConcurrencyLimit:
    """Adaptive limit on the attempts in flight from one gateway to all servers together."""

    def __init__(self, port: Clock, fleet_size: FleetSize, statistics: AttemptStatistics) -> None:
        self.port = port
        self.fleet_size = fleet_size
        self.statistics = statistics
        self.value = 0.0  # Maximum number of attempts in flight; 0: not set yet.
        self.in_flight = 0
        self.baseline = RisingMinimum(BASELINE_RISE_PER_S)  # Lowest recent mean latency, in seconds.
        self._baseline_from = port.now + BASELINE_MIN_AGE_S

    def has_room(self) -> bool:
        """Return whether one more attempt may be started."""
        return self.in_flight < self.value

    def initialise(self, servers: int) -> None:
        """Set the initial limit for a number of servers, if it is not set yet."""
        if not self.value:
            self.value = max(1.0, SERVER_CONCURRENCY * servers / self.fleet_size.live)

    def record_answer(self, duration: float) -> None:
        """Record an answer that arrived after `duration` seconds."""
        now = self.port.now
        latencies = self.statistics.latencies
        latencies.add(now, duration)
        if latencies.count.sum > BASELINE_MIN_ANSWERS and now > self._baseline_from:
            self.baseline.observe(now, self.statistics.mean_latency())

    def is_slow(self, duration: float, max_threshold: float) -> bool:
        """Return whether an attempt of `duration` seconds was slow.

        The threshold follows the baseline latency and is at most `max_threshold` seconds.
        """
        baseline_threshold = SLOW_ANSWER_FACTOR * self.baseline.value
        return duration > min(baseline_threshold or max_threshold, max_threshold)

    def decrease(self, outcome: Outcome, servers: int) -> None:
        """Decrease the limit after a slow attempt.

        An attempt without an answer has a lower weight, because only the answer may have been lost.
        """
        weight = 1 if outcome is Outcome.OK else NO_ANSWER_WEIGHT
        minimum = max(1.0, MIN_ATTEMPTS_PER_SERVER * servers / self.fleet_size.live)
        self.value = max(minimum, min(self.value, self.in_flight + 1) * LIMIT_DECREASE**weight)

    def increase(self) -> None:
        """Increase the limit after a quick answer, if about half of the limit is in use."""
        if 2 * self.in_flight + 2 >= self.value:
            self.value *= LIMIT_INCREASE
