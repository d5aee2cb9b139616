"""Outlier ejection by the whole fleet, so that few limiters lose requests at a failing server.

A limiter whose attempt failed reports the server. When a quorum of witnesses has reported it, all limiters
eject the server for a few seconds. During that time the holder of the server's lease (epoch_leases.py) probes
it once: a failed probe prolongs the ejection, a successful one ends it at all limiters. Reports only reduce
the use of a server: without reports, and after they are withdrawn, each limiter decides by its own attempts.

Reports of a limiter are ignored if it finds too many servers failing (its own network is more likely at
fault). A limiter that was just paused sends none (its attempts timed out during the pause). The module does
no I/O: a `ReportTransport` sends the reports, in membership's datagrams or through the counter
(report_transport.py).
"""

from __future__ import annotations

from collections.abc import Iterable

from ..model import Outcome
from .clocks import FleetClock, PauseDetector
from .ejection_table import (
    PROBE_TIMEOUT_SECONDS,
    AnonymousWitness,
    Ejection,
    EjectionTable,
)
from .epoch_leases import RESUME_GRACE_SECONDS, EpochLeases
from .failure_evidence import RecentFailures, SlowAttempts
from .reports import Health, Report, ReportBatcher, ReportTransport

REPORT_QUORUM = 2  # Witnesses required to eject a server: a single one may be at fault itself.
# Maximum witnesses that report a server. If the whole fleet fails, more reports would flood the network.
MAX_REPORTERS = 3
# Time for which ejections are kept after a pause. It is longer than the time without leases, as this limiter
# has to receive the reports of the others first.
RESUME_EJECTION_SECONDS = 2 * RESUME_GRACE_SECONDS
TOO_SLOW = (Outcome.CANCELLED, Outcome.TIMEOUT)


def probe_resource(server: int) -> str:
    """Return the resource whose lease holder probes a server.

    Its text is hashed, so it must be the same in all versions that run in one fleet.
    """
    return f"sick/{server}"


class OutlierDetector:
    """Ejections as one limiter sees them. Servers are identified by their ids; times are in seconds.

    The policy calls `is_ejected`, `may_probe`, `attempt_started`, `attempt_ended` and `set_servers`; the
    transport calls `on_reports` and `on_witness_count`. `distrusted_count` is the number of ignored reports
    of implausible peers. Not thread-safe: calls are made under the lock that the adapter holds while it
    calls the policy.
    """

    def __init__(self, clock: FleetClock, transport: ReportTransport, leases: EpochLeases) -> None:
        self.leases = leases
        self.ejections = EjectionTable()
        self.distrusted_count = 0
        self._clock = clock
        self._batcher = ReportBatcher(clock, transport)
        self._own_failures = RecentFailures()
        self._peer_failures: dict[str, RecentFailures] = {}
        self._slow_attempts = SlowAttempts()
        self._started_at: dict[int, float] = {}  # Start time of each server.
        self._reports_suppressed_until = 0.0  # Failures during a pause and shortly after it are not reported.
        self._pause_detector = PauseDetector(clock, self._on_resumed)

    @property
    def sent_count(self) -> int:
        """Number of reports that this limiter has sent."""
        return self._batcher.sent_count

    def ejected_servers(self) -> list[int]:
        """Return the servers that are ejected now, in the order of their first report."""
        return [server for server in self.ejections.by_server if self.is_ejected(server)]

    def is_ejected(self, server: int) -> bool:
        """Return whether a server is ejected: it gets only attempts that `may_probe` allows."""
        self._pause_detector.check()
        ejection = self.ejections.get(server)
        return ejection is not None and ejection.is_active(self._clock.now)

    def may_probe(self, server: int) -> bool:
        """Return whether this limiter should probe an ejected server now, with one repeatable request."""
        self._pause_detector.check()
        ejection = self.ejections.get(server)
        now = self._clock.now
        if ejection is None or not ejection.is_active(now) or now < ejection.probe_at:
            return False
        return self.leases.is_held_by_me(probe_resource(server), now, self._clock.wall_time)

    def set_servers(self, started_at: dict[int, float]) -> None:
        """Set the servers with their start times; a server that restarted is no longer ejected."""
        for server in [*self.ejections.by_server, *self._own_failures.servers()]:
            if started_at.get(server) != self._started_at.get(server):
                self.ejections.by_server.pop(server, None)
                self._own_failures.remove(server)
        self._started_at = started_at
        self.ejections.server_count = len(started_at)
        self.ejections.enforce_limit(self._clock.now)

    def attempt_started(self, server: int) -> None:
        """Handle the start of an attempt at a server. At an ejected server the attempt is the probe."""
        if self.may_probe(server):
            ejection = self.ejections.by_server[server]
            ejection.probe_at = self._clock.now + PROBE_TIMEOUT_SECONDS
            ejection.is_probing = True

    def attempt_ended(self, server: int, outcome: Outcome) -> None:
        """Handle the end of an attempt whose outcome depends on the server or the network to it."""
        self._pause_detector.check()
        now = self._clock.now
        too_slow = outcome in TOO_SLOW
        is_no_evidence = too_slow and self._slow_attempts.are_common_elsewhere(server, now)
        self._slow_attempts.record(server, now, too_slow)
        if outcome is Outcome.OK:
            self._on_success(server)
        elif not is_no_evidence:
            self._on_failure(server)

    def on_reports(self, peer: str, reports: Iterable[Report]) -> None:
        """Handle received reports of another limiter."""
        self._pause_detector.check()
        now = self._clock.now
        for server, health in reports:
            if health == Health.HEALTHY:
                self.ejections.remove(server, now)
                if peer in self._peer_failures:
                    self._peer_failures[peer].remove(server)
            else:
                self._on_failure_report(peer, server, health)

    def on_witness_count(self, server: int, count: int) -> None:
        """Handle the number of limiters that reported a failing server to the counter, including this one."""
        now = self._clock.now
        for number in range(count - 1):
            self.ejections.add_witness(server, AnonymousWitness(number), now, self._required_witnesses())

    def _on_success(self, server: int) -> None:
        """Discard the failures of a server that answered, as single failures do not count.

        If it was reported as failing, all limiters use it again at once.
        """
        self._own_failures.remove(server)
        if self.ejections.get(server):
            self.ejections.remove(server, self._clock.now)
            self._batcher.add(server, Health.HEALTHY)

    def _on_failure(self, server: int) -> None:
        """Report a server whose attempt failed, unless this limiter may be at fault itself."""
        now = self._clock.now
        self._own_failures.record(server, now)
        if now < self._reports_suppressed_until:
            return
        if self._own_failures.are_implausible(now, self.ejections.server_count):
            return
        ejection = self.ejections.get(server)
        me = self.leases.me
        if ejection and ejection.is_probing:
            ejection.is_probing = False
            self._batcher.add(server, Health.STILL_FAILING)
            self.ejections.add_failed_probe(server, me, now, self._required_witnesses())
            return
        if self._is_report_needed(ejection, now):
            self._batcher.add(server, Health.FAILING)
        self.ejections.add_witness(server, me, now, self._required_witnesses())

    def _is_report_needed(self, ejection: Ejection | None, now: float) -> bool:
        """Return whether to report a failure: only once, and only with fewer than MAX_REPORTERS witnesses."""
        if ejection is None or ejection.has_ended(now):
            return True
        return self.leases.me not in ejection.reported_at and ejection.recent_witnesses(now) < MAX_REPORTERS

    def _on_failure_report(self, peer: str, server: int, health: Health) -> None:
        now = self._clock.now
        failures = self._peer_failures.setdefault(peer, RecentFailures())
        failures.record(server, now)
        if failures.are_implausible(now, self.ejections.server_count):
            self.distrusted_count += 1
            self.ejections.withdraw_reports(peer, now)
        elif health == Health.STILL_FAILING:
            self.ejections.add_failed_probe(server, peer, now, self._required_witnesses())
        else:
            self.ejections.add_witness(server, peer, now, self._required_witnesses())

    def _required_witnesses(self) -> int:
        return min(REPORT_QUORUM, len(self.leases.present))

    def _on_resumed(self, last_tick_at: float) -> None:
        """Suppress reports after a pause of this process, and extend ejections.

        The results of attempts during the pause are no evidence about the servers. Servers that were ejected
        at the start of the pause stay ejected until the reports of the other limiters have arrived.
        """
        now = self._clock.now
        self._reports_suppressed_until = now + RESUME_GRACE_SECONDS
        self.ejections.extend_active(since=last_tick_at, until=now + RESUME_EJECTION_SECONDS)
        self.leases.on_resumed(now)
        self._own_failures.clear()
