"""Outlier ejection by the whole fleet: a failing server is reported to all before each limiter pays for it.

A limiter that a server failed reports it. Once a quorum of witnesses did, all limiters eject that server for
a few seconds. Meanwhile the holder of the server's lease (epoch_leases.py) probes it once: a failure prolongs
the ejection, a success ends it everywhere. Reports only ever lower the use of a server: without any, and
after they are withdrawn, each limiter decides by what it saw itself.

Not believed are a limiter that finds too many servers failing (its own network is more likely at fault) and
one that was just paused (its attempts timed out meanwhile). Without I/O: a `ReportTransport` carries the
reports, by membership's datagrams or by the counter (report_transport.py).
"""

from __future__ import annotations

from typing import Iterable

from ..model import Outcome
from .clocks import FleetClock, PauseDetector
from .ejection_table import (
    PROBE_TIMEOUT_SECONDS,
    CountedWitness,
    Ejection,
    EjectionTable,
)
from .epoch_leases import RESUME_GRACE_SECONDS, EpochLeases
from .failure_evidence import RecentFailures, SlowAttempts
from .reports import Health, Report, ReportBatcher, ReportTransport

REPORT_QUORUM = 2  # witnesses it takes to eject a server: a single one may be at fault itself
MAX_REPORTERS = 3  # further witnesses report nothing: a fleet that fails as a whole would flood its network
# After a pause, ejections are kept for longer than this limiter holds no lease: it has to catch up first.
RESUME_EJECTION_SECONDS = 2 * RESUME_GRACE_SECONDS
TOO_SLOW = (Outcome.CANCELLED, Outcome.TIMEOUT)


def probe_resource(server: int) -> str:
    """The resource whose lease holder probes a server. Hashed: the same in all versions of a fleet."""
    return f"sick/{server}"


class OutlierDetector:
    """The ejections as one limiter sees them. Servers by their ids, times in s.

    The decisions call `is_ejected`, `may_probe`, `attempt_started`, `attempt_ended` and `set_servers`; the
    transport's side calls `on_reports` and `on_witness_count`. `distrusted_count`: reports that were not
    believed. Not thread-safe: called under the adapter's lock around the decisions.
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
        self._started_at: dict[int, float] = {}  # of the servers
        self._muted_until = 0.0  # after a pause: what this limiter saw meanwhile is not reported
        self._pauses = PauseDetector(clock, self._on_resumed)

    @property
    def sent_count(self) -> int:
        """How many reports this limiter has sent."""
        return self._batcher.sent_count

    def ejected_servers(self) -> list[int]:
        """The servers that are ejected now, in the order of their first report."""
        return [server for server in self.ejections.by_server if self.is_ejected(server)]

    def is_ejected(self, server: int) -> bool:
        """Whether to send a server nothing now, but for what `may_probe` allows."""
        self._pauses.check()
        ejection = self.ejections.get(server)
        return ejection is not None and ejection.is_active(self._clock.now)

    def may_probe(self, server: int) -> bool:
        """Whether this limiter is to probe an ejected server, with one request that may be repeated."""
        self._pauses.check()
        ejection = self.ejections.get(server)
        now = self._clock.now
        if ejection is None or not ejection.is_active(now) or now < ejection.probe_at:
            return False
        return self.leases.is_held_by_me(probe_resource(server), now, self._clock.wall_time)

    def set_servers(self, started_at: dict[int, float]) -> None:
        """Set the servers, with the time at which each started; what restarted has no ejection any more."""
        for server in [*self.ejections.by_server, *self._own_failures.servers()]:
            if started_at.get(server) != self._started_at.get(server):
                self.ejections.by_server.pop(server, None)
                self._own_failures.remove(server)
        self._started_at = started_at
        self.ejections.server_count = len(started_at)
        self.ejections.enforce_limit(self._clock.now)

    def attempt_started(self, server: int) -> None:
        """An attempt is sent to a server; to an ejected one it is the probe."""
        if self.may_probe(server):
            ejection = self.ejections.by_server[server]
            ejection.probe_at = self._clock.now + PROBE_TIMEOUT_SECONDS
            ejection.is_probing = True

    def attempt_ended(self, server: int, outcome: Outcome) -> None:
        """An attempt ended, with an outcome that says something of the server or the network to it."""
        self._pauses.check()
        now = self._clock.now
        too_slow = outcome in TOO_SLOW
        is_no_evidence = too_slow and self._slow_attempts.are_common_elsewhere(server, now)
        self._slow_attempts.add(server, now, too_slow)
        if outcome is Outcome.OK:
            self._on_success(server)
        elif not is_no_evidence:
            self._on_failure(server)

    def on_reports(self, peer: str, reports: Iterable[Report]) -> None:
        """Reports of another limiter arrived."""
        self._pauses.check()
        now = self._clock.now
        for server, health in reports:
            if health == Health.HEALTHY:
                self.ejections.remove(server, now)
                if peer in self._peer_failures:
                    self._peer_failures[peer].remove(server)
            else:
                self._on_failure_report(peer, server, health)

    def on_witness_count(self, server: int, count: int) -> None:
        """The counter knows so many witnesses of a failing server, this limiter among them."""
        now = self._clock.now
        for number in range(count - 1):
            self.ejections.add_witness(server, CountedWitness(number), now, self._required_witnesses())

    def _on_success(self, server: int) -> None:
        """A server answered: single failures don't count, and all use a recovered server at once."""
        self._own_failures.remove(server)
        if self.ejections.get(server):
            self.ejections.remove(server, self._clock.now)
            self._batcher.add(server, Health.HEALTHY)

    def _on_failure(self, server: int) -> None:
        """A server failed this limiter: report it, unless this limiter may be at fault itself."""
        now = self._clock.now
        self._own_failures.add(server, now)
        if now < self._muted_until:
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
        """Whether to report a failure: not again, and not where enough others have reported the server."""
        if ejection is None or ejection.has_ended(now):
            return True
        return self.leases.me not in ejection.reported_at and ejection.recent_witnesses(now) < MAX_REPORTERS

    def _on_failure_report(self, peer: str, server: int, health: Health) -> None:
        now = self._clock.now
        failures = self._peer_failures.setdefault(peer, RecentFailures())
        failures.add(server, now)
        if failures.are_implausible(now, self.ejections.server_count):
            self.distrusted_count += 1
            self.ejections.withdraw(peer, now)
        elif health == Health.STILL_FAILING:
            self.ejections.add_failed_probe(server, peer, now, self._required_witnesses())
        else:
            self.ejections.add_witness(server, peer, now, self._required_witnesses())

    def _required_witnesses(self) -> int:
        return min(REPORT_QUORUM, len(self.leases.present))

    def _on_resumed(self, last_tick_at: float) -> None:
        """This process was paused: what its attempts came to meanwhile says nothing of the servers.

        What was ejected at the pause stays so until the others' reports have arrived.
        """
        now = self._clock.now
        self._muted_until = now + RESUME_GRACE_SECONDS
        self.ejections.extend_active(since=last_tick_at, until=now + RESUME_EJECTION_SECONDS)
        self.leases.on_resumed(now)
        self._own_failures.clear()
