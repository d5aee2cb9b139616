"""Reports of servers' health that limiters send each other, with their encoding and batching.

Each datagram contains a msgpack list (msgspec) of [server id, health] pairs.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, NamedTuple, Protocol

import msgspec

from .clocks import LocalClock

# Time after which a report expires; longer than the detection of a dead server takes.
REPORT_TTL_SECONDS = 5.0
# This number of reports with the longest ids fits into the payload of a membership datagram.
MAX_REPORTS_PER_DATAGRAM = 60
MAX_SERVER_ID = 2**62
# Reports are delayed to be sent in batches: when a zone is lost, many servers fail at the same time.
BATCH_DELAY_SECONDS = 0.02


class Health(IntEnum):
    """Reported health of a server. The values are on the wire."""

    FAILING = 1
    HEALTHY = 2
    STILL_FAILING = 3  # A probe by the holder of the server's lease failed.


class Report(NamedTuple):
    """Report of one limiter about a server, on the wire an array of the two fields."""

    server: int
    health: Health


class InvalidReportsError(ValueError):
    """Error for a datagram's payload that is not a list of reports."""


class ReportTransport(Protocol):
    """Transport of reports to the other limiters."""

    def send(self, reports: list[Report]) -> None:
        """Send the reports to all other limiters; each report may be lost."""


_WireReport = tuple[Annotated[int, msgspec.Meta(ge=0, le=MAX_SERVER_ID)], Health]
_WireReports = Annotated[list[_WireReport], msgspec.Meta(max_length=MAX_REPORTS_PER_DATAGRAM)]
_decoder = msgspec.msgpack.Decoder(_WireReports)


def encode_reports(reports: list[Report]) -> list[bytes]:
    """Return the payloads for the reports, one for each datagram needed."""
    return [
        msgspec.msgpack.encode(reports[start : start + MAX_REPORTS_PER_DATAGRAM])
        for start in range(0, len(reports), MAX_REPORTS_PER_DATAGRAM)
    ]


def decode_reports(payload: bytes) -> list[Report]:
    """Return the reports in a datagram's payload; raises InvalidReportsError."""
    try:
        return [Report(server, health) for server, health in _decoder.decode(payload)]
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidReportsError(str(error)) from None


class ReportBatcher:
    """Collects reports for BATCH_DELAY_SECONDS and sends them together.

    `sent_count` is the number of reports sent so far.
    """

    def __init__(self, clock: LocalClock, transport: ReportTransport) -> None:
        self._clock = clock
        self._transport = transport
        self._pending: dict[int, Health] = {}  # By server; a newer report replaces an older one.
        self.sent_count = 0

    def add(self, server: int, health: Health) -> None:
        """Queue a report for the next batch."""
        if not self._pending:
            self._clock.call_later(BATCH_DELAY_SECONDS, self._send)
        self._pending[server] = health

    def _send(self) -> None:
        reports = [Report(server, health) for server, health in self._pending.items()]
        self._pending = {}
        self.sent_count += len(reports)
        self._transport.send(reports)
