"""Settings and statistics of one member, and the context that its components share."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from .member_list import MemberList
from .messages import DropReason
from .port import Clock
from .state import LocalMember


@dataclass(frozen=True)
class MembershipSettings:
    """Settings of one member.

    Attributes:
        fleet: name of the fleet, the same at all members; datagrams of other fleets are dropped.
        name: the local member's name, unique in the fleet.
        seed: seed of the random generator. Members with the same seed draw different numbers, as the
            name is hashed too.
        probe_interval: seconds between probes, the same at all members.
        lifeguard: whether Lifeguard's extensions are enabled; without them the protocol is plain SWIM, a
            baseline for measurements.
    """

    fleet: str
    name: str
    seed: int
    probe_interval: float = 0.25
    lifeguard: bool = True

    def random(self) -> Random:
        """Return a random generator that depends only on the seed and the member's name."""
        return Random(f"{self.seed}/{self.name}")


@dataclass
class Statistics:
    """Counters of one member since its start."""

    datagrams_sent: int = 0
    bytes_sent: int = 0  # Without UDP and IP headers.
    refutations: int = 0
    stalls: int = 0  # Detected stops of this process.
    dropped: Counter[DropReason] = field(default_factory=Counter)


@dataclass(frozen=True)
class MemberContext:
    """Context that the components of one member share.

    `random` is drawn from in the order of events, so that runs with one seed are reproducible.
    """

    settings: MembershipSettings
    clock: Clock
    random: Random
    local: LocalMember
    members: MemberList
    statistics: Statistics
