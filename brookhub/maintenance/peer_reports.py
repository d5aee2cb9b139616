"""The last report of each other limiter, and the time at which it was last present. Times in seconds."""

from __future__ import annotations

from typing import NamedTuple

from .messages import Report, TrafficSample
from .plan import Machine
from .ports import MaintenancePort
from .settings import Settings, voter_lease_s
from .transitions import total_traffic


class ReceivedReport(NamedTuple):
    """A report and the time at which it arrived."""

    received_at: float
    report: Report


class PeerReports:
    """The newest report of each peer; on the leader also the time at which each was last present."""

    def __init__(self, port: MaintenancePort, name: str, settings: Settings) -> None:
        self.port = port
        self.name = name
        self.settings = settings
        self.reports: dict[str, ReceivedReport] = {}
        self.last_present: dict[str, float] = {}

    def record(self, peer: str, report: Report) -> None:
        """Record a peer's report, which replaces its previous one."""
        self.reports[peer] = ReceivedReport(self.port.now(), report)

    def note_present_peers(self, now: float) -> None:
        """Record the current time for each peer that is present."""
        for peer in self.port.present_peers():
            self.last_present[peer] = now

    def fleet_traffic(self, now: float) -> TrafficSample:
        """Return the recent traffic of this limiter and of all peers whose report is younger than a lease."""
        recent = [
            received.report.traffic()
            for received in self.reports.values()
            if now - received.received_at < self.settings.lease_s
        ]
        return total_traffic([self.port.recent_traffic(), *recent])

    def all_idle(self, machine: Machine, since: float, now: float) -> bool:
        """Return whether no limiter has an attempt in flight to a machine draining from `since`.

        Each limiter reports this itself. If a limiter is absent, the longest client timeout has to pass after
        it was last present. If it is present but sends no such report, a lease has to pass in addition,
        because each renewal asks it for a report. Such a limiter may not know of the drain; attempts that it
        still sends are covered by the servers' own drain before the work starts.
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
        """Return until when a silent peer may have sent attempts to a machine draining from `since`."""
        if not present:
            return max(since, self.last_present.get(peer, since))
        received = self.reports.get(peer)
        last_report = received.received_at if received is not None else since
        return max(since, last_report) + self.settings.lease_s
