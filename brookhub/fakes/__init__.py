"""Stand-ins on loopback for what a limiter meets: upstream servers, the shared counter, discovery.

Each listens, serves every connection in a thread of its own and keeps a record of all it received, with times
(seconds, monotonic clock of this machine). They speak the platform's published protocol as the gateway sees
it (RESP2 commands, chunked HTTP/1.1) and are started by tests and by the lab (docs/process-lab.md).
"""

from .base import FakeListener, Timers, read_value
from .counter import FakeCounter
from .discovery import FakeDiscovery, host
from .server import FakeServer, ModelServer

__all__ = [
    "FakeCounter",
    "FakeDiscovery",
    "ModelServer",
    "FakeServer",
    "FakeListener",
    "Timers",
    "host",
    "read_value",
]
