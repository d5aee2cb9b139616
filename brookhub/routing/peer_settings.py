"""Settings of the membership of one limiter on sockets."""

from __future__ import annotations

from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True)
class PeerSettings:
    """Settings of a limiter's membership, as read from its membership file."""

    fleet: str
    name: str  # Name of this limiter.
    listen: Address
    period: float  # Seconds between two probes.
    peers: dict[str, Address]  # Addresses of all other limiters, by name.
    shares_ejections: bool  # Whether the fleet decides jointly which servers to eject.
    uses_subsets: bool  # Whether each limiter sends to a subset of the servers.
