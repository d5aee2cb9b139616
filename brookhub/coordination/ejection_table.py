"""The servers that are reported as failing, and which of them the fleet has ejected. Times in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .reports import REPORT_TTL_SECONDS

MIN_EJECTION_SECONDS = REPORT_TTL_SECONDS
# Each failed probe doubles the duration up to this, two epochs of a lease. Each probe costs one request: at
# 10 s a server that failed for a minute cost the fleet 11 to 14 of them, at 20 s 8 to 9.
MAX_EJECTION_SECONDS = 20.0
# Share of the duration after which the lease holder probes: the rest is for a successor of one that died.
PROBE_AFTER_SHARE = 0.5
PROBE_TIMEOUT_SECONDS = 2.0  # after which an unanswered probe may be repeated: about a client timeout
MAX_EJECTED_SHARE = 0.3  # of all servers: the others have to carry the load


class CountedWitness(NamedTuple):
    """A witness without a name: the counter tells only how many there are."""

    number: int


Witness = str | CountedWitness
"""A limiter that reported a server as failing."""


@dataclass(eq=False)
class Ejection:
    """A server that is reported as failing, ejected or not yet."""

    reported_at: dict[Witness, float] = field(default_factory=dict)  # the last report of each witness
    ejected_at: float = 0.0
    ejected_until: float = 0.0  # 0: not ejected
    duration: float = MIN_EJECTION_SECONDS
    probe_at: float = 0.0
    is_probing: bool = False  # this limiter sent a probe and has not reported its result
    prolonged_at: float = float("-inf")  # when a probe last failed
    is_within_limit: bool = False  # one of the MAX_EJECTED_SHARE of the servers

    def is_active(self, now: float) -> bool:
        """Whether the server gets nothing now but a probe."""
        return self.is_within_limit and now < self.ejected_until

    def has_ended(self, now: float) -> bool:
        """Whether the server was ejected and is used again."""
        return 0 < self.ejected_until <= now

    def recent_witnesses(self, now: float) -> int:
        """How many witnesses have a report that still counts."""
        return sum(now - reported_at < REPORT_TTL_SECONDS for reported_at in self.reported_at.values())

    def start(self, now: float) -> None:
        """Eject the server from now on, for the whole duration."""
        self.ejected_until = now + self.duration
        self.probe_at = now + PROBE_AFTER_SHARE * self.duration


class EjectionTable:
    """All ejections, by server id; at most MAX_EJECTED_SHARE of `server_count` servers at a time."""

    def __init__(self) -> None:
        self.by_server: dict[int, Ejection] = {}
        self.server_count = 0

    def get(self, server: int) -> Ejection | None:
        """The ejection of a server, if it is reported as failing."""
        return self.by_server.get(server)

    def remove(self, server: int, now: float) -> None:
        """Use a server again, with nothing on record of it."""
        if self.by_server.pop(server, None):
            self.enforce_limit(now)

    def add_witness(self, server: int, witness: Witness, now: float, quorum: int) -> None:
        """Record a report; the server is ejected where `quorum` witnesses have one that still counts."""
        ejection = self._record_report(server, witness, now)
        self._eject_by_quorum(ejection, now, quorum)
        self.enforce_limit(now)

    def add_failed_probe(self, server: int, witness: Witness, now: float, quorum: int) -> None:
        """Record a report of a probe that failed: the ejection starts anew and lasts twice as long.

        The report has to say that it is of a probe: limiters eject a server at different times, as far apart
        as one of them may be busy, so it can't be told from the time of the report.
        """
        ejection = self._record_report(server, witness, now)
        is_new_probe = now - ejection.prolonged_at >= PROBE_TIMEOUT_SECONDS  # probes sent together count once
        if is_new_probe:
            # Also where this limiter knows nothing of the beginning: it lasts that long for the others.
            ejection.duration = min(MAX_EJECTION_SECONDS, 2 * ejection.duration)
            ejection.prolonged_at = now
        if is_new_probe and ejection.ejected_until:
            ejection.start(now)
        else:
            self._eject_by_quorum(ejection, now, quorum)
        self.enforce_limit(now)

    def withdraw(self, witness: Witness, now: float) -> None:
        """Withdraw all reports of a witness; a server that no other one reported is used again."""
        for ejection in self.by_server.values():
            ejection.reported_at.pop(witness, None)
            if not ejection.reported_at:
                ejection.ejected_until = 0.0
        self.enforce_limit(now)

    def extend_active(self, since: float, until: float) -> None:
        """Extend what was ejected at the time `since` up to `until` at least."""
        for ejection in self.by_server.values():
            if ejection.ejected_until > since:
                ejection.ejected_until = max(ejection.ejected_until, until)

    def enforce_limit(self, now: float) -> None:
        """Drop what is over; of the others keep those with the most witnesses ejected, up to the limit."""
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
