"""Objects that the limiters of an emulated fleet share: clock, servers, counter, checks and accounting."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..model import Request
from ..policy import Gateway
from ..ports import GatewayPort
from ..site import GatewaySettings
from .accounting import RequestAccounting
from .counter import EmulatedCounter
from .engine import Engine
from .invariants import InvariantChecker
from .servers import EmulatedServers

GatewayFactory = Callable[[GatewayPort, int, GatewaySettings], Gateway]
"""Creates the Gateway of a limiter (policy.Gateway) from its port, seed and settings."""

RequestListener = Callable[[int, Request], None]
"""Called with the index of a limiter and a request that arrived there, before the policy receives it."""


@dataclass(frozen=True)
class RecoveryEvent:
    """An event that a limiter's recovery logged at `time` (s)."""

    time: float
    limiter: int
    event: str
    fields: dict[str, object]


@dataclass
class Environment:
    """The shared objects that every limiter of one fleet uses."""

    engine: Engine
    seed: int
    checker: InvariantChecker
    servers: EmulatedServers
    counter: EmulatedCounter
    accounting: RequestAccounting
    create_gateway: GatewayFactory
    recovery_log: list[RecoveryEvent] = field(default_factory=list)
    request_listeners: list[RequestListener] = field(default_factory=list)
