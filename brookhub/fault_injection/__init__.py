"""Relays between any two processes on loopback, TCP and UDP, whose links can be hurt while they run.

`Relays()` is one thread; `tcp` and `udp_mesh` make links; `link.set("forward", cut=True)` hurts,
`link.clear()` heals. Docs: docs/process-lab.md.
"""

from .conditions import Conditions, Way
from .ports import reserve
from .relay import Relays, TcpLink, UdpMesh

__all__ = ["Conditions", "Relays", "TcpLink", "UdpMesh", "Way", "reserve"]
