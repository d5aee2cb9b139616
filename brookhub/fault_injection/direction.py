"""One direction of a link: delay, loss and other faults of the bytes and packets that cross it.

This module does no I/O. All random choices derive from a seed, so the same seed gives the same choices.
"""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from random import Random
from typing import TypedDict, Unpack

REORDER_DELAY = 0.02  # Minimum extra delay in seconds of a reordered packet, so that later ones overtake it.


@dataclass(frozen=True)
class Conditions:
    """The conditions of a direction. Raises ValueError for values out of range.

    `cut`: nothing passes and no error is reported. TCP bytes are buffered, as by the sender's kernel, and UDP
    packets are dropped. `reset`: share of TCP chunks after which the connection is reset at both ends.
    `loss`, `duplicate` and `reorder`: shares of UDP packets; TCP bytes are neither lost nor reordered.
    `delay`: constant delay. `spread`: maximum of a random delay that is added to it. `rate`: bytes per
    second, 0 for unlimited. Times are in seconds, shares from 0 to 1.
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
                raise ValueError(f"{name} is {share}, expected a share from 0 to 1")
        if min(self.delay, self.spread, self.rate) < 0:
            raise ValueError(
                f"delay is {self.delay}, spread is {self.spread} and rate is {self.rate},"
                " expected at least 0 for each"
            )


class ConditionChanges(TypedDict, total=False):
    """Keyword arguments that change conditions; see `Conditions` for their meaning."""

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
    """The arrival time of a chunk of TCP bytes (`due`, seconds on the monotonic clock).

    `resets_connection`: the connection is reset after the chunk.
    """

    due: float
    resets_connection: bool


class Direction:
    """One direction of a link: its conditions, its random choices and its counters.

    Any thread may change `conditions`; only the relays' thread uses the rest. `packets` counts UDP packets or
    TCP chunks and `bytes` is their total size. `dropped` and `duplicated` count UDP packets.
    """

    def __init__(self, seed: object) -> None:
        self.conditions = Conditions()
        self.rng = Random(str(seed))
        self.link_free_at = 0.0  # When a rate-limited link has transmitted all bytes so far, in seconds.
        self.last_arrival_at = 0.0  # When the last TCP chunk arrives, in seconds.
        self.packets = 0
        self.dropped = 0
        self.duplicated = 0
        self.bytes = 0

    def set(self, **changes: Unpack[ConditionChanges]) -> None:
        """Change conditions by name. Raises ValueError for an unknown name or a value out of range."""
        unknown = sorted(set(changes) - CONDITION_NAMES)
        if unknown:
            raise ValueError(
                f"unknown condition {unknown[0]!r}, expected one of {', '.join(sorted(CONDITION_NAMES))}"
            )
        self.conditions = replace(self.conditions, **changes)

    def clear(self) -> None:
        """Restore the default conditions, which contain no fault."""
        self.conditions = Conditions()

    def arrival_time(self, size: int, now: float) -> float:
        """Return the arrival time in seconds of `size` bytes sent at `now`.

        It includes the rate limit, the constant delay and the random delay.
        """
        conditions = self.conditions
        sent = now
        if conditions.rate:
            self.link_free_at = max(self.link_free_at, now) + size / conditions.rate
            sent = self.link_free_at
        spread = conditions.spread * self.rng.random() if conditions.spread else 0.0
        return sent + conditions.delay + spread

    def schedule_packet(self, size: int, now: float) -> list[float]:
        """Return the arrival times in seconds of a UDP packet: none if it is lost, two if duplicated.

        Each packet consumes the same number of random values regardless of the conditions, so that the
        choices for later packets depend only on the seed.
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
        due = self.arrival_time(size, now)
        if reorder < conditions.reorder:
            due += REORDER_DELAY + conditions.spread
        if duplicate < conditions.duplicate:
            self.duplicated += 1
            return [due, due + REORDER_DELAY * reorder]
        return [due]

    def schedule_chunk(self, size: int, now: float) -> ChunkTransit:
        """Return the transit of a chunk of TCP bytes, which never arrives before an earlier one."""
        reset = self.rng.random()
        self.packets += 1
        self.bytes += size
        self.last_arrival_at = max(self.last_arrival_at, self.arrival_time(size, now))
        return ChunkTransit(self.last_arrival_at, reset < self.conditions.reset)
