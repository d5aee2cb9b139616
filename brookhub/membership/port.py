"""Interface that the driver of a member implements (`MembershipPort`), as one protocol for each use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .state import MemberState


class Clock(Protocol):
    """Monotonic clock with timers. Callbacks run under the same lock as all calls of membership."""

    @property
    def now(self) -> float:
        """Time in seconds on the member's monotonic clock."""

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` once, `seconds` from now."""


class DatagramTransport(Protocol):
    """Transport that sends datagrams to listed peers."""

    def send(self, peer: str, data: bytes) -> None:
        """Send a datagram to the listed `peer`; it may be lost, duplicated or reordered."""


class MembershipListener(Protocol):
    """Receiver of changes in the membership and of payloads."""

    def on_membership_changed(self, live: int, rank: int, possible: int) -> None:
        """Handle changed counts of the fleet (`fleet_counts.FleetCounts`)."""

    def on_member_state_changed(self, member: str, state: MemberState) -> None:
        """Handle a changed state of a listed member."""

    def on_payload_received(self, peer: str, topic: int, data: bytes) -> None:
        """Handle a payload that a component of a peer sent with `send_payload`."""


class MembershipPort(Clock, DatagramTransport, MembershipListener, Protocol):
    """Complete interface that the driver of one member implements."""
