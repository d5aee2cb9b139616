"""Which limiters of a fleet are there: SWIM with Lifeguard's health, without I/O (docs/membership.md).

`Membership(port, ...)` is told what arrives and acts through a MembershipPort; `Heartbeats` is a baseline
with the same face. Names are texts, times seconds, sizes bytes.
"""

from .baseline import Heartbeats
from .core import Membership, MembershipPort
from .members import ABSENT, ALIVE, DEAD, LEFT, SUSPECT, UNHEARD, WORDS
from .messages import LARGEST, WORD_MOST, UnreadableError, decode

__all__ = [
    "ABSENT",
    "ALIVE",
    "DEAD",
    "Heartbeats",
    "LARGEST",
    "LEFT",
    "Membership",
    "MembershipPort",
    "SUSPECT",
    "UNHEARD",
    "UnreadableError",
    "WORDS",
    "WORD_MOST",
    "decode",
]
