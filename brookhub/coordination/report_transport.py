"""How reports of ejections.py travel: by membership's datagrams, or by named windows at the counter.

Both without I/O. `pack` and `unpack` are the datagram's data (msgpack by msgspec, checked).
"""

from __future__ import annotations

from typing import Annotated, Callable, Protocol

import msgspec
import xxhash

from ..model import Outcome
from ..ports import CounterCallback
from .ejections import REPORT_TTL, Health, Report, SharedEjections

TOPIC = 1  # of reports among membership's words
MOST_REPORTS = 60  # in a datagram: below membership.MAX_PAYLOAD_BYTES with the longest ids
ASKS = 2.0  # counter calls a second that one limiter's reports may cost at most: the quotas' own come first
LATE = 0.25  # s from which the counter's answer counts as late: no reports by it until QUIET s later
QUIET = 5.0  # s without reports after a late answer or none
SPARE = 1 << 62  # added to the names of windows: no customer's count has such a name


class UnusableError(ValueError):
    """A datagram's data that is no list of reports."""


WireReport = tuple[Annotated[int, msgspec.Meta(ge=0, le=2**62)], Health]
_decoder = msgspec.msgpack.Decoder(Annotated[list[WireReport], msgspec.Meta(max_length=MOST_REPORTS)])


def pack(reports: list[Report]) -> list[bytes]:
    """The reports as data of one datagram or more."""
    parts = [reports[at : at + MOST_REPORTS] for at in range(0, len(reports), MOST_REPORTS)]
    return [msgspec.msgpack.encode(part) for part in parts]


def unpack(data: bytes) -> list[Report]:
    """The reports of a datagram; raises UnusableError."""
    try:
        return [Report(*one) for one in _decoder.decode(data)]
    except (msgspec.DecodeError, RecursionError) as bad:
        raise UnusableError(str(bad)) from None


class Clock(Protocol):
    """What time it is, and timers. Times in s."""

    @property
    def now(self) -> float:
        """Seconds on this limiter's clock."""

    @property
    def calendar(self) -> float:
        """Seconds on the clock that all share."""

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back after so many seconds."""


class Words(Protocol):
    """How membership carries another part's words (membership.Membership)."""

    def send_payload(self, topic: int, data: bytes) -> None:
        """Send to all that are present; each may be lost."""


class ByPeers:
    """Reports to all members that are present."""

    def __init__(self, clock: Clock, membership: Words) -> None:
        self.clock, self.membership = clock, membership

    @property
    def now(self) -> float:
        """Seconds on this limiter's clock."""
        return self.clock.now

    @property
    def calendar(self) -> float:
        """Seconds on the clock that all share."""
        return self.clock.calendar

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back after so many seconds."""
        self.clock.later(seconds, callback)

    def send(self, reports: list[Report]) -> None:
        """Tell all that are present."""
        for data in pack(reports):
            self.membership.send_payload(TOPIC, data)


class CountPort(Protocol):
    """The part of ports.GatewayPort that reports by the counter use."""

    now: float

    def add_to_counter(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add to a named count; `callback` hears the total."""

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back after so many seconds."""


class ByCounter:
    """Reports as counts of witnesses in windows of REPORT_TTL s.

    Who was failed adds one and hears how many there are by now; who was not asks nothing, and learns nothing.
    `port`: its `count` is used at most ASKS times a second and not for QUIET s after a late answer; `key`:
    the fleet's, the same at all.
    """

    def __init__(self, port: CountPort, key: int) -> None:
        self.port, self.key = port, key
        self.ejections: SharedEjections | None = None
        self.allowed, self.at, self.quiet_until, self.asked = ASKS, port.now, 0.0, 0

    @property
    def now(self) -> float:
        """Seconds on this limiter's clock."""
        return self.port.now

    @property
    def calendar(self) -> float:
        """The same: there are no turns between those that hear nothing of each other; each probes."""
        return self.port.now

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back after so many seconds."""
        self.port.later(seconds, callback)

    def serve(self, ejections: SharedEjections) -> None:
        """Whom to tell what the counts say."""
        self.ejections = ejections

    def name(self, server: int) -> int:
        """The name of a server's count in the present window."""
        window = int(self.port.now / REPORT_TTL)
        return SPARE + xxhash.xxh3_64_intdigest(f"{server}/{window}", seed=self.key) % SPARE

    def send(self, reports: list[Report]) -> None:
        """Count this limiter among the witnesses, as far as the pace allows."""
        now = self.port.now
        self.allowed, self.at = min(ASKS, self.allowed + ASKS * (now - self.at)), now
        for server, health in reports:
            if health == Health.HEALTHY or now < self.quiet_until or self.allowed < 1:
                continue
            self.allowed -= 1
            self.asked += 1
            self.count(server)

    def count(self, server: int) -> None:
        """Add one to a server's count."""

        def told(outcome: Outcome, total: float, took: float) -> None:
            self.told(server, outcome, total, took)

        self.port.add_to_counter(self.name(server), 1.0, 2 * REPORT_TTL, told)

    def told(self, server: int, outcome: Outcome, total: float, took: float) -> None:
        """How a count ended."""
        if outcome is not Outcome.OK or took >= LATE:
            self.quiet_until = self.port.now + QUIET
        elif self.ejections is not None:
            self.ejections.counted(server, int(total))
