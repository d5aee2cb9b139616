"""What the limiters of an emulated fleet share: clock, servers, counter, checks and accounts."""

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
"""Makes the decisions of a limiter from its port, its seed and its settings."""

RequestListener = Callable[[int, Request], None]
"""Called with the index of a limiter and a request that arrived there, before the decisions get it."""


@dataclass(frozen=True)
class RecoveryEvent:
    """An event that the recovery of a limiter logged at `time` (s)."""

    time: float
    limiter: int
    event: str
    fields: dict[str, object]


@dataclass
class Environment:
    """The surroundings of every limiter of one fleet."""

    engine: Engine
    seed: int
    checker: InvariantChecker
    servers: EmulatedServers
    counter: EmulatedCounter
    accounting: RequestAccounting
    create_gateway: GatewayFactory
    recovery_log: list[RecoveryEvent] = field(default_factory=list)
    request_listeners: list[RequestListener] = field(default_factory=list)
