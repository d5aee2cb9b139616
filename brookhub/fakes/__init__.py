"""Fakes on loopback of what a limiter connects to: upstream servers, the shared counter, discovery.

Each fake listens, serves every connection in a thread of its own and records all requests, with times
(seconds, monotonic clock of this machine). They speak the platform's published protocol as a gateway sees it
(RESP2 commands, chunked HTTP/1.1). Used by tests and by experiments on processes (docs/process-lab.md).
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
