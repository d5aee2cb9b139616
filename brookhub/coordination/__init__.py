"""Coordination of the limiters of a fleet, without I/O.

Contains outlier ejection by reports of several limiters, leases for each epoch, and subsets of the servers.
Leases and subsets are functions of the members and servers alone, so limiters with the same view agree
without messages; if views differ, the effect is bounded. Source: docs/choices.md.
"""

from .clocks import UnsharedClock
from .coordinator import FleetCoordinator
from .epoch_leases import EpochLeases
from .outlier_detector import OutlierDetector
from .report_transport import REPORT_TOPIC, CounterReportTransport, GossipReportTransport
from .reports import Health, InvalidReportsError, Report, decode_reports, encode_reports
from .subset_assignment import ServerPlacement, SubsetAssignment
from .subset_matching import SubsetMatching, subset_size

__all__ = [
    "REPORT_TOPIC",
    "CounterReportTransport",
    "EpochLeases",
    "FleetCoordinator",
    "GossipReportTransport",
    "Health",
    "InvalidReportsError",
    "OutlierDetector",
    "Report",
    "ServerPlacement",
    "SubsetAssignment",
    "SubsetMatching",
    "UnsharedClock",
    "decode_reports",
    "encode_reports",
    "subset_size",
]
