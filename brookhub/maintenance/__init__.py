"""Taking machines out for work in an order that the limiters settle among themselves, without I/O.

Design: docs/maintenance.md.

`Maintenance(port, me, ...)` is told what arrives and what time it is, and acts through a
MaintenancePort. Times in s.
"""

from .core import Maintenance, MaintenancePort, Settings
from .messages import FILLING, LEAVING, OPEN, TOPIC, Report, Table, UnreadableError, pack, unpack
from .plan import Machine, Plan, fits, order

__all__ = [
    "FILLING",
    "LEAVING",
    "Machine",
    "Maintenance",
    "MaintenancePort",
    "OPEN",
    "Plan",
    "Report",
    "Settings",
    "TOPIC",
    "Table",
    "UnreadableError",
    "fits",
    "order",
    "pack",
    "unpack",
]
