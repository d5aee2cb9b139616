"""Taking machines out for work in an order that the limiters agree on, without I/O (docs/maintenance.md).

`Maintenance(port, name, ...)` is called with the messages that arrive and as time passes, and acts through a
MaintenancePort. Times in seconds.
"""

from .core import Maintenance
from .errors import PlanRejectedError
from .messages import (
    TOPIC,
    Message,
    Phase,
    PlanProgress,
    Report,
    TrafficSample,
    UnreadableError,
    pack,
    unpack,
)
from .ordering import maintenance_order, may_go_out
from .plan import Machine, Plan
from .ports import MaintenancePort
from .register import RegisterRoles
from .settings import Settings

__all__ = [
    "Machine",
    "Maintenance",
    "MaintenancePort",
    "Message",
    "Phase",
    "Plan",
    "PlanProgress",
    "PlanRejectedError",
    "RegisterRoles",
    "Report",
    "Settings",
    "TOPIC",
    "TrafficSample",
    "UnreadableError",
    "maintenance_order",
    "may_go_out",
    "pack",
    "unpack",
]
