"""Which limiters of a fleet are running: SWIM with Lifeguard's extensions, without I/O (docs/membership.md).

A driver passes decoded datagrams to `Membership` and implements `MembershipPort`. `Heartbeats` is a baseline
with the same interface. Times are seconds, sizes bytes, names texts of up to 32 characters.
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
