"""TCP and UDP relays between processes on loopback, into which faults are injected at runtime.

`Relays()` owns one thread. Its methods `tcp` and `udp_mesh` create links. `link.set("forward", cut=True)`
injects a fault, `link.clear()` removes all faults. Docs: docs/process-lab.md.
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
