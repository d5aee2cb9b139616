"""Choices that add up over a fleet, without I/O.

Who may use which servers, whose turn it is (docs/choices.md).

Each is a function of names and of views alone, so that limiters with the same view choose alike without
talking, and ones with other views do harm that is bounded.
"""

from .coordinator import FleetCoordinator
from .ejections import Report, SharedEjections
from .epoch_leases import EpochLeases
from .report_transport import TOPIC, ByCounter, ByPeers, UnusableError, unpack
from .subset_assignment import ServerPlacement, SubsetAssignment
from .subset_matching import SubsetMatching, subset_size

__all__ = [
    "TOPIC",
    "ByCounter",
    "ByPeers",
    "FleetCoordinator",
    "ServerPlacement",
    "SubsetAssignment",
    "Report",
    "SharedEjections",
    "SubsetMatching",
    "EpochLeases",
    "UnusableError",
    "subset_size",
    "unpack",
]
