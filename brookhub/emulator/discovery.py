"""Model of discovery, which pushes each change of the server list to all limiters."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from functools import partial
from typing import Protocol

from ..registry import RegistryEntry
from .engine import Engine
from .server_model import ServerModel


class ServerListReader(Protocol):
    """The interface of a limiter that discovery uses."""

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` once after `seconds`."""

    def on_server_list(self, entries: list[RegistryEntry], complete: bool) -> None:
        """Handle a complete server list, or changes to it if not `complete`."""


class EmulatedDiscovery:
    """Publisher of server list changes, which reach each limiter after `delay` seconds."""

    def __init__(self, engine: Engine, delay: float) -> None:
        self.engine = engine
        self.delay = delay
        self.limiters: Sequence[ServerListReader] = []

    def publish(self, models: Iterable[ServerModel]) -> None:
        """Push the current state of these servers to all limiters."""
        entries = [model.registry_entry() for model in models]
        for limiter in self.limiters:
            limiter.call_later(self.delay, partial(limiter.on_server_list, entries, False))
