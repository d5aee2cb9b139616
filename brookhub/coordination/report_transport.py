"""Transports for reports of failing servers: membership's datagrams, or counts at the shared counter.

Neither transport does I/O of its own.
"""

from __future__ import annotations

from typing import Protocol

import xxhash

from ..model import Outcome
from ..ports import CounterCallback
from .clocks import LocalClock
from .reports import REPORT_TTL_SECONDS, Health, Report, encode_reports

REPORT_TOPIC = 1  # Topic of reports among the payloads that membership sends. The value is on the wire.
# Limit for the reports of one limiter, as the calls for quotas have priority.
MAX_COUNTER_CALLS_PER_SECOND = 2.0
LATE_ANSWER_SECONDS = 0.25  # A counter that takes longer to answer is overloaded.
BACKOFF_SECONDS = 5.0  # Time without reports after a late or missing answer of the counter.
# Lower bound of the names of these counts. The names of customers' counts are lower for ids below 2**31.
COUNTER_NAME_OFFSET = 1 << 62


class GossipPort(Protocol):
    """Sender of payloads of other components in membership's datagrams (membership.Membership)."""

    def send_payload(self, topic: int, data: bytes) -> None:
        """Send a payload to all present members; each datagram may be lost."""


class GossipReportTransport:
    """Transport that sends reports to all present members."""

    def __init__(self, membership: GossipPort) -> None:
        self._membership = membership

    def send(self, reports: list[Report]) -> None:
        """Send reports to all present members; each datagram may be lost."""
        for payload in encode_reports(reports):
            self._membership.send_payload(REPORT_TOPIC, payload)


class ReportCounterPort(LocalClock, Protocol):
    """The part of `ports.GatewayPort` for the shared counter and the clock."""

    def add_to_counter(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add `amount` to a named count that expires after `lifetime` seconds; `callback` gets the total."""


class WitnessCountListener(Protocol):
    """Receiver of the counter's totals (outlier_detector.OutlierDetector)."""

    def on_witness_count(self, server: int, count: int) -> None:
        """Handle the number of limiters that reported a failing server to the counter, including this one."""


class CounterReportTransport:
    """Counts the witnesses of each server at the shared counter, in windows of REPORT_TTL_SECONDS.

    A limiter whose attempt at a server failed adds one to the count and gets the number of witnesses so far.
    A limiter without failures makes no calls and gets no reports. The calls are limited to
    MAX_COUNTER_CALLS_PER_SECOND, and stop for BACKOFF_SECONDS after a late or missing answer.

    `key` is the hash key of the fleet, the same at all limiters. The owner sets `listener` before the first
    report. `call_count` is the number of calls so far.
    """

    def __init__(self, port: ReportCounterPort, key: int) -> None:
        self.port = port
        self.listener: WitnessCountListener | None = None
        self.call_count = 0
        self._key = key
        self._allowed_calls = MAX_COUNTER_CALLS_PER_SECOND  # Token bucket for the calls of one second.
        self._refilled_at = port.now
        self._backoff_until = 0.0

    def count_name(self, server: int) -> int:
        """Return the name of a server's count in the current window.

        It contains a hash, whose input must be the same in all versions that run in one fleet.
        """
        window = int(self.port.now / REPORT_TTL_SECONDS)
        digest = xxhash.xxh3_64_intdigest(f"{server}/{window}", seed=self._key)
        return COUNTER_NAME_OFFSET + digest % COUNTER_NAME_OFFSET

    def send(self, reports: list[Report]) -> None:
        """Count this limiter as a witness of the failing servers; drop reports over the rate limit."""
        self._refill()
        for server, health in reports:
            if health == Health.HEALTHY:
                continue
            if self.port.now < self._backoff_until or self._allowed_calls < 1:
                continue
            self._allowed_calls -= 1
            self.call_count += 1
            self._add_witness(server)

    def _refill(self) -> None:
        now = self.port.now
        refilled = self._allowed_calls + MAX_COUNTER_CALLS_PER_SECOND * (now - self._refilled_at)
        self._allowed_calls = min(MAX_COUNTER_CALLS_PER_SECOND, refilled)
        self._refilled_at = now

    def _add_witness(self, server: int) -> None:
        def on_answer(outcome: Outcome, total: float, duration: float) -> None:
            self._on_answer(server, outcome, total, duration)

        self.port.add_to_counter(self.count_name(server), 1.0, 2 * REPORT_TTL_SECONDS, on_answer)

    def _on_answer(self, server: int, outcome: Outcome, total: float, duration: float) -> None:
        if outcome is not Outcome.OK or duration >= LATE_ANSWER_SECONDS:
            self._backoff_until = self.port.now + BACKOFF_SECONDS
        elif self.listener is not None:
            self.listener.on_witness_count(server, int(total))
