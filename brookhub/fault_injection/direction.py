"""One direction of a link: what happens to the bytes and packets that cross it.

No I/O. All random choices come from a seed, so the same seed makes the same choices.
"""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from random import Random
from typing import TypedDict, Unpack

REORDER_DELAY = 0.02  # s, minimum delay of a reordered packet, so that later ones overtake it


@dataclass(frozen=True)
class Conditions:
    """The conditions of a direction. Times in s, shares from 0 to 1, `rate` in bytes/s (0: unlimited).

    `cut`: nothing passes and no error is reported; TCP keeps what was sent, as the sender's system would, UDP
    drops it. `reset`: share of TCP chunks after which the connection is reset at both ends. `loss`,
    `duplicate`, `reorder`: shares of UDP packets; TCP keeps its order and loses nothing. `delay` is constant,
    `spread` the maximum of a random delay added to it. Raises ValueError for values out of range.
    """

    cut: bool = False
    reset: float = 0.0
    delay: float = 0.0
    spread: float = 0.0
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    rate: float = 0.0

    def __post_init__(self) -> None:
        for name in ("reset", "loss", "duplicate", "reorder"):
            share = getattr(self, name)
            if not 0.0 <= share <= 1.0:
                raise ValueError(f"{name} is a share from 0 to 1, not {share}")
        if min(self.delay, self.spread, self.rate) < 0:
            raise ValueError("delay, spread and rate can't be below 0")


class ConditionChanges(TypedDict, total=False):
    """Conditions to change, by name; see `Conditions`."""

    cut: bool
    reset: float
    delay: float
    spread: float
    loss: float
    duplicate: float
    reorder: float
    rate: float


CONDITION_NAMES = frozenset(field.name for field in fields(Conditions))


@dataclass(frozen=True)
class ChunkTransit:
    """When a chunk of TCP bytes arrives (s, monotonic), and whether the connection is reset after it."""

    due: float
    reset: bool


class Direction:
    """One direction of a link: its conditions, its random choices and its counts.

    `conditions` may be changed by any thread; the rest belongs to the relays' thread. `packets` counts UDP
    packets or TCP chunks, `bytes` their sizes, `dropped` and `duplicated` UDP packets.
    """

    def __init__(self, seed: object) -> None:
        self.conditions = Conditions()
        self.rng = Random(str(seed))
        self.free_at = 0.0  # s, when the bytes so far have passed a link of limited rate
        self.last_due = 0.0  # s, when the last TCP chunk arrives
        self.packets = 0
        self.dropped = 0
        self.duplicated = 0
        self.bytes = 0

    def set(self, **changes: Unpack[ConditionChanges]) -> None:
        """Change conditions by name. Raises ValueError for an unknown name or a value out of range."""
        unknown = sorted(set(changes) - CONDITION_NAMES)
        if unknown:
            raise ValueError(f"a link has no condition {unknown[0]!r}")
        self.conditions = replace(self.conditions, **changes)

    def clear(self) -> None:
        """Remove all faults."""
        self.conditions = Conditions()

    def arrival(self, size: int, now: float) -> float:
        """When `size` bytes sent `now` (s) arrive: after the rate limit, the delay and its random part."""
        conditions = self.conditions
        sent = now
        if conditions.rate:
            self.free_at = max(self.free_at, now) + size / conditions.rate
            sent = self.free_at
        spread = conditions.spread * self.rng.random() if conditions.spread else 0.0
        return sent + conditions.delay + spread

    def packet(self, size: int, now: float) -> list[float]:
        """The times (s) at which a UDP packet arrives: none if lost, two if duplicated.

        Each packet takes the same number of random values whatever the conditions are, so that a seed makes
        the same choices for the packets after it.
        """
        loss = self.rng.random()
        duplicate = self.rng.random()
        reorder = self.rng.random()
        conditions = self.conditions
        self.packets += 1
        self.bytes += size
        if conditions.cut or loss < conditions.loss:
            self.dropped += 1
            return []
        due = self.arrival(size, now)
        if reorder < conditions.reorder:
            due += REORDER_DELAY + conditions.spread
        if duplicate < conditions.duplicate:
            self.duplicated += 1
            return [due, due + REORDER_DELAY * reorder]
        return [due]

    def chunk(self, size: int, now: float) -> ChunkTransit:
        """The transit of a chunk of TCP bytes, which never arrives before an earlier one."""
        reset = self.rng.random()
        self.packets += 1
        self.bytes += size
        self.last_due = max(self.last_due, self.arrival(size, now))
        return ChunkTransit(self.last_due, reset < self.conditions.reset)
