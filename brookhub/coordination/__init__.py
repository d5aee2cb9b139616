"""Choices that add up over a fleet, without I/O.

Who may use which servers, whose turn it is (docs/choices.md).

Each is a function of names and of views alone, so that limiters with the same view choose alike without
talking, and ones with other views do harm that is bounded.
"""

from .ejections import Report, SharedEjections
from .epoch_leases import Turns
from .report_transport import TOPIC, ByCounter, ByPeers, UnusableError, unpack
from .subset_assignment import Parts, Shared
from .subsets import Subsets, size

__all__ = [
    "TOPIC",
    "ByCounter",
    "ByPeers",
    "Parts",
    "Shared",
    "Report",
    "SharedEjections",
    "Subsets",
    "Turns",
    "UnusableError",
    "size",
    "unpack",
]
