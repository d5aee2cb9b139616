"""Interfaces through which maintenance accesses its environment, one protocol per use. Times in seconds."""

from __future__ import annotations

from typing import Any, Protocol

from .messages import Message, TrafficSample
from .plan import Machine


class PeerPort(Protocol):
    """Access to the clock, the peers, the network and the log."""

    def now(self) -> float:
        """Return the seconds on this limiter's monotonic clock."""

    def present_peers(self) -> list[str]:
        """Return the other limiters that membership considers alive."""

    def listed_peers(self) -> list[str]:
        """Return all other limiters of the fleet, alive or not."""

    def send(self, peer: str, message: Message) -> None:
        """Send a message to a peer; it may be lost."""

    def log(self, event: str, **fields: Any) -> None:
        """Log an event with its fields for the operators."""


class MachinePort(Protocol):
    """Access to the machines and to the traffic that this limiter sends them."""

    def machine_is_up(self, machine: Machine) -> bool:
        """Return whether discovery lists all servers of a machine as ready and its limiter is alive."""

    def withhold_traffic(self, machines: tuple[str, ...]) -> None:
        """Stop sending traffic to the servers of these machines; they replace those of the previous call."""

    def machine_is_idle(self, machine: Machine) -> bool:
        """Return whether this limiter has no attempt in flight to a machine."""

    def recent_traffic(self) -> TrafficSample:
        """Return this limiter's traffic over the last few seconds."""

    def zone_load(self) -> dict[str, float]:
        """Return the number of attempts in flight by zone."""


class MaintenancePort(PeerPort, MachinePort, Protocol):
    """The complete interface that a limiter provides to its Maintenance."""
