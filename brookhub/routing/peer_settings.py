"""Settings of the membership of one limiter on sockets."""

from __future__ import annotations

from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True)
class PeerSettings:
    """The fleet as the operators' file of peers has it."""

    fleet: str
    name: str  # of this limiter
    listen: Address
    period: float  # s between two probes
    peers: dict[str, Address]  # all other limiters, by name
    shares_ejections: bool  # whether the fleet decides together which servers it ejects
    uses_subsets: bool  # whether each limiter sends to a subset of the servers
