"""Detection of the running limiters of a fleet: SWIM with Lifeguard's extensions, without I/O.

A driver passes decoded datagrams to `Membership` and implements `MembershipPort`. `Heartbeats` is a baseline
with the same interface. Times are in seconds, sizes in bytes; names have up to 32 characters.
Source: docs/membership.md.
"""

from .fleet_counts import SHRINK_DELAY, FleetCounts
from .heartbeats import Heartbeats
from .membership import Membership
from .messages import (
    MAX_DATAGRAM_BYTES,
    MAX_PAYLOAD_BYTES,
    DropReason,
    MalformedMessageError,
    MemberUpdate,
    Message,
    MessageKind,
    decode,
)
from .port import MembershipPort
from .settings import MembershipSettings, Statistics
from .state import ABSENT_STATES, PRESENT_STATES, Member, MemberState

__all__ = [
    "ABSENT_STATES",
    "MAX_DATAGRAM_BYTES",
    "MAX_PAYLOAD_BYTES",
    "PRESENT_STATES",
    "SHRINK_DELAY",
    "DropReason",
    "FleetCounts",
    "Heartbeats",
    "MalformedMessageError",
    "Member",
    "MemberState",
    "MemberUpdate",
    "Membership",
    "MembershipPort",
    "MembershipSettings",
    "Message",
    "MessageKind",
    "Statistics",
    "decode",
]
