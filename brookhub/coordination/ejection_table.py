"""Table of the servers that are reported as failing and of their ejections. Times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .reports import REPORT_TTL_SECONDS

MIN_EJECTION_SECONDS = REPORT_TTL_SECONDS
# Each failed probe doubles the duration of the ejection up to this limit, which is two epochs of a lease.
# Each probe costs one request: with a limit of 10 s, a server that failed for a minute cost the fleet 11 to
# 14 requests; with 20 s, 8 to 9.
MAX_EJECTION_SECONDS = 20.0
# Share of the duration after which the lease holder probes. The rest is left for a successor if the holder
# died.
PROBE_AFTER_SHARE = 0.5
# Time after which an unanswered probe may be repeated; about the timeout of a client.
PROBE_TIMEOUT_SECONDS = 2.0
# Maximum share of the servers that are ejected at a time, as the others have to serve all requests.
MAX_EJECTED_SHARE = 0.3


class AnonymousWitness(NamedTuple):
    """A numbered witness without a name: the counter reports only the number of witnesses."""

    number: int


Witness = str | AnonymousWitness
"""Limiter that reported a server as failing."""


@dataclass(eq=False)
class Ejection:
    """State of a server that is reported as failing, whether or not it is ejected already.

    Attributes:
        reported_at: time of the last report of each witness.
        ejected_at: time at which it was ejected.
        ejected_until: end of the ejection; 0 if it was not ejected.
        duration: length of the current ejection, or of the next one.
        probe_at: time from which the lease holder may probe the server.
        is_probing: whether this limiter sent a probe and has not reported its result yet.
        prolonged_at: time at which a failed probe last doubled the duration.
        is_within_limit: whether the server is among those that may be ejected under MAX_EJECTED_SHARE.
    """

    reported_at: dict[Witness, float] = field(default_factory=dict)
    ejected_at: float = 0.0
    ejected_until: float = 0.0
    duration: float = MIN_EJECTION_SECONDS
    probe_at: float = 0.0
    is_probing: bool = False
    prolonged_at: float = float("-inf")
    is_within_limit: bool = False

    def is_active(self, now: float) -> bool:
        """Return whether the server is ejected now: it gets no attempts other than a probe."""
        return self.is_within_limit and now < self.ejected_until

    def has_ended(self, now: float) -> bool:
        """Return whether the server was ejected and is used again."""
        return 0 < self.ejected_until <= now

    def recent_witnesses(self, now: float) -> int:
        """Return the number of witnesses whose last report is newer than REPORT_TTL_SECONDS."""
        return sum(now - reported_at < REPORT_TTL_SECONDS for reported_at in self.reported_at.values())

    def start(self, now: float) -> None:
        """Eject the server from now on, for `duration` seconds."""
        self.ejected_until = now + self.duration
        self.probe_at = now + PROBE_AFTER_SHARE * self.duration


class EjectionTable:
    """All ejections by server id, limited to MAX_EJECTED_SHARE of `server_count` servers at a time."""

    def __init__(self) -> None:
        self.by_server: dict[int, Ejection] = {}
        self.server_count = 0

    def get(self, server: int) -> Ejection | None:
        """Return the state of a server that is reported as failing, otherwise None."""
        return self.by_server.get(server)

    def remove(self, server: int, now: float) -> None:
        """Use a server again, and discard its reports and ejection."""
        if self.by_server.pop(server, None):
            self.enforce_limit(now)

    def add_witness(self, server: int, witness: Witness, now: float, quorum: int) -> None:
        """Record a report, and eject the server if `quorum` witnesses have recent reports."""
        ejection = self._record_report(server, witness, now)
        self._eject_by_quorum(ejection, now, quorum)
        self.enforce_limit(now)

    def add_failed_probe(self, server: int, witness: Witness, now: float, quorum: int) -> None:
        """Record the report of a failed probe, and restart the ejection with twice the duration.

        Only the report itself shows that it is about a probe (`Health.STILL_FAILING`). Its time does not, as
        limiters eject a server at different times, which differ by as long as one of them may be busy.
        """
        ejection = self._record_report(server, witness, now)
        # Probes that were sent at about the same time count once.
        is_new_probe = now - ejection.prolonged_at >= PROBE_TIMEOUT_SECONDS
        if is_new_probe:
            # The duration doubles even if this limiter missed the start of the ejection, because it doubles
            # at the other limiters too.
            ejection.duration = min(MAX_EJECTION_SECONDS, 2 * ejection.duration)
            ejection.prolonged_at = now
        if is_new_probe and ejection.ejected_until:
            ejection.start(now)
        else:
            self._eject_by_quorum(ejection, now, quorum)
        self.enforce_limit(now)

    def withdraw_reports(self, witness: Witness, now: float) -> None:
        """Withdraw all reports of a witness; a server without reports of other witnesses is used again."""
        for ejection in self.by_server.values():
            ejection.reported_at.pop(witness, None)
            if not ejection.reported_at:
                ejection.ejected_until = 0.0
        self.enforce_limit(now)

    def extend_active(self, since: float, until: float) -> None:
        """Extend the ejections that were active at the time `since`, at least to the time `until`."""
        for ejection in self.by_server.values():
            if ejection.ejected_until > since:
                ejection.ejected_until = max(ejection.ejected_until, until)

    def enforce_limit(self, now: float) -> None:
        """Remove expired entries, and enforce the limit: servers with the most witnesses stay ejected."""
        for server, ejection in list(self.by_server.items()):
            if now >= ejection.ejected_until and not ejection.recent_witnesses(now):
                del self.by_server[server]
        by_evidence = sorted(
            (-len(ejection.reported_at), ejection.ejected_at, server)
            for server, ejection in self.by_server.items()
            if now < ejection.ejected_until
        )
        limit = int(MAX_EJECTED_SHARE * self.server_count)
        within_limit = {server for _, _, server in by_evidence[:limit]}
        for server, ejection in self.by_server.items():
            ejection.is_within_limit = server in within_limit

    def _record_report(self, server: int, witness: Witness, now: float) -> Ejection:
        ejection = self.by_server.get(server)
        if ejection is None or ejection.has_ended(now):
            ejection = self.by_server[server] = Ejection()
        ejection.reported_at[witness] = now
        return ejection

    def _eject_by_quorum(self, ejection: Ejection, now: float, quorum: int) -> None:
        if not ejection.ejected_until and ejection.recent_witnesses(now) >= quorum:
            ejection.ejected_at = now
            ejection.start(now)
