"""Fakes of the services that a limiter connects to: upstream servers, the shared counter and discovery.

Each fake listens on loopback and serves every connection in a separate thread. Fakes speak the platform's
published protocol as a gateway sees it (RESP2 commands, chunked HTTP/1.1). They record requests for their
users; recorded times are in seconds of this machine's monotonic clock. Used by tests and by experiments on
processes (docs/process-lab.md).
"""

from .counter import CounterMode, FakeCounter
from .discovery import FakeDiscovery, Host, host
from .listener import Endpoint, FakeListener
from .model_server import AttemptEnd, ModelServer, ServerAttempt
from .resp import RespValue, read_value
from .scripted_server import FakeServer
from .timers import Timers

__all__ = [
    "AttemptEnd",
    "CounterMode",
    "Endpoint",
    "FakeCounter",
    "FakeDiscovery",
    "FakeListener",
    "FakeServer",
    "Host",
    "ModelServer",
    "RespValue",
    "ServerAttempt",
    "Timers",
    "host",
    "read_value",
]
