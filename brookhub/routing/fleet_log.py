"""Log lines about the fleet: its members, the servers that it ejects, and dropped datagrams.

Each kind is logged when it changes, at most once per interval.
"""

from __future__ import annotations

from ..coordination import OutlierDetector
from ..membership import DropReason, Membership
from .event_loop import EventLoop
from .log import EventLogger

MAX_NAMES = 8  # Maximum number of names in one line.


class FleetLog:
    """Log of the fleet's members. Its methods are called under the event loop's lock."""

    INTERVAL = 1.0  # Minimum seconds between two lines.

    def __init__(self, loop: EventLoop, logger: EventLogger, membership: Membership) -> None:
        self._loop = loop
        self._logger = logger
        self._membership = membership
        self._is_log_scheduled = False
        self._logged_at = -self.INTERVAL
        self._counts = (0, 0, 0)

    def on_membership_changed(self, live: int, rank: int, possible: int) -> None:
        """Store changed counts: live members, this one's rank, members not known to have left."""
        self._counts = (live, rank, possible)
        self.on_change()

    def on_change(self) -> None:
        """Log the first change at once, and further changes within the interval together in one line."""
        if not self._is_log_scheduled:
            self._is_log_scheduled = True
            self._loop.call_later(max(0.0, self._logged_at + self.INTERVAL - self._loop.now), self._log)

    def _log(self) -> None:
        self._is_log_scheduled = False
        self._logged_at = self._loop.now
        present = self._membership.present
        absent = [
            f"{name} {member.state.name.lower()}"
            for name, member in sorted(self._membership.members.items())
            if name not in present
        ]
        live, rank, sure = self._counts
        fields = {
            "live": live,
            "rank": rank,
            "sure": sure,
            "present": 1 + len(present),
            "absent": absent[:MAX_NAMES],
            "more": max(0, len(absent) - MAX_NAMES),
        }
        self._loop.defer(lambda: self._logger.info("fleet", **fields))


class EjectionLog:
    """Log of the servers that the fleet ejects jointly. Its methods are called under the loop's lock."""

    INTERVAL = 1.0  # Seconds between two checks.

    def __init__(self, loop: EventLoop, logger: EventLogger, detector: OutlierDetector) -> None:
        self._loop = loop
        self._logger = logger
        self._detector = detector
        self._last_logged: list[int] = []

    def check(self) -> None:
        """Log the ejected servers if they changed."""
        detector = self._detector
        ejected = detector.ejected_servers()
        if ejected == self._last_logged:
            return
        self._last_logged = ejected
        fields = {
            "servers": ejected[:MAX_NAMES],
            "more": max(0, len(ejected) - MAX_NAMES),
            "reports_sent": detector.sent_count,
            "reports_distrusted": detector.distrusted_count,
        }
        self._loop.defer(lambda: self._logger.info("upstreams ejected", **fields))


class DroppedDatagramLog:
    """Counts of dropped datagrams by reason, which are logged when they change.

    Any thread may call `count_datagram`; of two concurrent calls one may be lost. All other methods are
    called under the event loop's lock.
    """

    INTERVAL = 5.0  # Seconds between two checks.

    def __init__(self, loop: EventLoop, logger: EventLogger, membership: Membership) -> None:
        self._loop = loop
        self._logger = logger
        self._membership = membership
        self._counts: dict[str, int] = {}
        self._last_logged: dict[str, int] = {}

    def count_datagram(self, reason: str) -> None:
        """Count a dropped datagram."""
        self._counts[reason] = self._counts.get(reason, 0) + 1

    def start(self) -> None:
        """Start checking for changes periodically."""
        self._loop.call_later(self.INTERVAL, self._check)

    def _check(self) -> None:
        """Log the counts if they changed. Reschedules itself by a timer."""
        counts = dict(self._counts)
        dropped_by_membership = self._membership.statistics.dropped
        for reason in (DropReason.WRONG_SOURCE, DropReason.UNLISTED_MEMBER):
            if dropped_by_membership[reason]:
                counts[reason] = dropped_by_membership[reason]
        if counts != self._last_logged:
            self._last_logged = counts
            self._loop.defer(lambda: self._logger.warning("peer datagrams dropped", **counts))
        self._loop.call_later(self.INTERVAL, self._check)
