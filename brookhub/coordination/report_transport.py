"""How reports of failing servers travel: by membership's gossip datagrams, or as counts at the counter.

Both without I/O of their own.
"""

from __future__ import annotations

from typing import Protocol

import xxhash

from ..model import Outcome
from ..ports import CounterCallback
from .clocks import LocalClock
from .reports import REPORT_TTL_SECONDS, Health, Report, encode_reports

REPORT_TOPIC = 1  # of the reports among the payloads that membership carries; on the wire
MAX_COUNTER_CALLS_PER_SECOND = 2.0  # of one limiter's reports: the calls of the quotas come first
LATE_ANSWER_SECONDS = 0.25  # a counter that takes longer is overloaded
BACKOFF_SECONDS = 5.0  # without reports after a late answer of the counter, or none
COUNTER_NAME_OFFSET = 1 << 62  # no customer's count has such a name


class GossipPort(Protocol):
    """Sends payloads of other components with membership's datagrams (membership.Membership)."""

    def send_payload(self, topic: int, data: bytes) -> None:
        """Send to all present members; each datagram may be lost."""


class GossipReportTransport:
    """Sends reports to all present members."""

    def __init__(self, membership: GossipPort) -> None:
        self._membership = membership

    def send(self, reports: list[Report]) -> None:
        """Send to all present members; each datagram may be lost."""
        for payload in encode_reports(reports):
            self._membership.send_payload(REPORT_TOPIC, payload)


class ReportCounterPort(LocalClock, Protocol):
    """The shared counter and the clock: what `ports.GatewayPort` has of these."""

    def add_to_counter(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add to a named count that lives `lifetime` s; `callback` gets the total."""


class WitnessCountListener(Protocol):
    """Gets the counter's totals (outlier_detector.OutlierDetector)."""

    def on_witness_count(self, server: int, count: int) -> None:
        """So many limiters reported a server, this one among them."""


class CounterReportTransport:
    """Counts the witnesses of each server in windows of REPORT_TTL_SECONDS at the shared counter.

    A limiter that a server failed adds one and gets the number of witnesses so far; a limiter that no server
    failed calls nothing and learns nothing. At most MAX_COUNTER_CALLS_PER_SECOND calls, none for
    BACKOFF_SECONDS after a late or missing answer. `key`: the fleet's, the same at all limiters; `listener`
    is set by the owner before the first report. `call_count`: calls so far.
    """

    def __init__(self, port: ReportCounterPort, key: int) -> None:
        self.port = port
        self.listener: WitnessCountListener | None = None
        self.call_count = 0
        self._key = key
        self._allowed_calls = MAX_COUNTER_CALLS_PER_SECOND  # a token bucket of one second's calls
        self._refilled_at = port.now
        self._backoff_until = 0.0

    def count_name(self, server: int) -> int:
        """The name of a server's count in the current window. Hashed: the same in all versions of a fleet."""
        window = int(self.port.now / REPORT_TTL_SECONDS)
        digest = xxhash.xxh3_64_intdigest(f"{server}/{window}", seed=self._key)
        return COUNTER_NAME_OFFSET + digest % COUNTER_NAME_OFFSET

    def send(self, reports: list[Report]) -> None:
        """Count this limiter as a witness of the failing servers, as far as the rate of calls allows."""
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
