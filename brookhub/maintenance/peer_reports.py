"""What other limiters last reported, and when each was last seen. Times in seconds."""

from __future__ import annotations

from typing import NamedTuple

from .messages import Report, TrafficSample
from .plan import Machine
from .ports import MaintenancePort
from .settings import Settings, voter_lease_s
from .transitions import total_traffic


class ReceivedReport(NamedTuple):
    """A report and when it arrived."""

    received_at: float
    report: Report


class PeerReports:
    """The newest report of each peer; at the leader also when each was last present."""

    def __init__(self, port: MaintenancePort, name: str, settings: Settings) -> None:
        self.port = port
        self.name = name
        self.settings = settings
        self.reports: dict[str, ReceivedReport] = {}
        self.last_present: dict[str, float] = {}

    def record(self, peer: str, report: Report) -> None:
        """A report arrived."""
        self.reports[peer] = ReceivedReport(self.port.now(), report)

    def note_present_peers(self, now: float) -> None:
        """Note which peers are present."""
        for peer in self.port.present_peers():
            self.last_present[peer] = now

    def fleet_traffic(self, now: float) -> TrafficSample:
        """The recent traffic of all limiters whose report is at most a lease old, this one included."""
        fresh = [
            received.report.traffic()
            for received in self.reports.values()
            if now - received.received_at < self.settings.lease_s
        ]
        return total_traffic([self.port.recent_traffic(), *fresh])

    def all_idle(self, machine: Machine, since: float, now: float) -> bool:
        """Whether no limiter has an attempt in flight to a machine that is draining since then.

        Each limiter says so itself. For one that is gone the longest client timeout has to pass since it was
        last present; for one that is present and silent a lease more, as each renewal asked it: it may not
        know of the drain, and what it still sends meets the drain that comes before the work.
        """
        if self.name != machine.limiter and not self.port.machine_is_idle(machine):
            return False
        present = set(self.port.present_peers())
        timeout = voter_lease_s(self.settings.request_timeout_s)
        for peer in self.port.listed_peers():
            received = self.reports.get(peer)
            reported_idle = (
                received is not None
                and received.received_at >= since
                and machine.name in received.report.idle_machines
            )
            if reported_idle:
                continue
            if now < self._may_have_sent_until(peer, peer in present, since) + timeout:
                return False
        return True

    def _may_have_sent_until(self, peer: str, present: bool, since: float) -> float:
        """Until when a silent peer may have sent attempts to a machine that drains since then."""
        if not present:
            return max(since, self.last_present.get(peer, since))
        received = self.reports.get(peer)
        last_report = received.received_at if received is not None else since
        return max(since, last_report) + self.settings.lease_s
