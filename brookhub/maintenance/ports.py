"""What maintenance needs of its surroundings, as protocols by use. Times in seconds."""

from __future__ import annotations

from typing import Any, Protocol

from .messages import Message, TrafficSample
from .plan import Machine


class PeerPort(Protocol):
    """Clock, peers, messages and log."""

    def now(self) -> float:
        """Seconds on this limiter's monotonic clock."""

    def present_peers(self) -> list[str]:
        """The other limiters that membership sees alive."""

    def listed_peers(self) -> list[str]:
        """All other limiters of the fleet."""

    def send(self, peer: str, message: Message) -> None:
        """Send a message to a peer; it may be lost."""

    def log(self, event: str, **facts: Any) -> None:
        """Write a log line for the operators."""


class MachinePort(Protocol):
    """Machines and the traffic to them."""

    def machine_is_up(self, machine: Machine) -> bool:
        """Whether discovery lists all servers of a machine as ready and its limiter is alive."""

    def withhold_traffic(self, machines: tuple[str, ...]) -> None:
        """Send nothing to the servers of these machines; replaces the former set."""

    def machine_is_idle(self, machine: Machine) -> bool:
        """Whether this limiter has no attempt in flight to a machine."""

    def recent_traffic(self) -> TrafficSample:
        """This limiter's traffic over the last seconds."""

    def zone_load(self) -> dict[str, float]:
        """Attempts in flight by zone."""


class MaintenancePort(PeerPort, MachinePort, Protocol):
    """Everything that maintenance needs."""
