"""Stand-ins on loopback for what a limiter meets: upstream servers, the shared counter, discovery.

Each listens, serves every connection in a thread of its own and keeps a record of all it received, with times
(seconds, monotonic clock of this machine). They speak the platform's published protocol as the gateway sees
it (RESP2 commands, chunked HTTP/1.1) and are started by tests and by the lab (docs/process-lab.md).
"""

from .base import StandIn, Timers, read_value
from .counter import CounterStandIn
from .discovery import DiscoveryStandIn, host
from .server import ModelServer, ServerStandIn

__all__ = [
    "CounterStandIn",
    "DiscoveryStandIn",
    "ModelServer",
    "ServerStandIn",
    "StandIn",
    "Timers",
    "host",
    "read_value",
]
