"""Statistics over all attempts of one gateway."""

from __future__ import annotations

from ..ports import Clock
from ..structures import DecayingMean, DecayingSum
from .constants import MEMORY_S


class AttemptStatistics:
    """Attempt rate and mean latency for all servers together, in which older attempts weigh less."""

    def __init__(self, port: Clock) -> None:
        self.port = port
        self.latencies = DecayingMean(MEMORY_S)  # Latencies of answers, in seconds.
        self.attempts = DecayingSum(MEMORY_S)

    def mean_latency(self) -> float:
        """Return the mean latency of answers in seconds, or 0 before the first answer."""
        return self.latencies.mean(self.port.now)

    def attempt_rate(self) -> float:
        """Return the recent rate of attempts per second."""
        return self.attempts.value(self.port.now) / MEMORY_S
