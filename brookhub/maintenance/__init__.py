"""Rolling maintenance: machines are taken out of service in an order that the limiters agree on.

The package does no I/O. The caller passes each received message to `Maintenance.on_message` and calls
`Maintenance.tick` periodically; Maintenance acts through a MaintenancePort. All times are in seconds. See
docs/maintenance.md.
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
