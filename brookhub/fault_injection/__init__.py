"""Fault injection: TCP and UDP relays between processes on loopback, whose conditions change while they run.

`Relays()` owns one thread; `tcp` and `udp_mesh` create links; `link.set("forward", cut=True)` injects a
fault, `link.clear()` removes it. Docs: docs/process-lab.md.
"""

from .direction import ConditionChanges, Conditions, Direction
from .ports import reserve
from .relays import Relays
from .tcp import DirectionName, TcpLink
from .udp import Path, UdpMesh

__all__ = [
    "ConditionChanges",
    "Conditions",
    "Direction",
    "DirectionName",
    "Path",
    "Relays",
    "TcpLink",
    "UdpMesh",
    "reserve",
]
