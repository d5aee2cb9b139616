"""What a link does to what crosses it in one direction.

No I/O, seeded, so one seed makes the same choices.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from random import Random

REORDER_BY = 0.02  # s that a reordered packet is held at least: later ones pass it


@dataclass
class Conditions:
    """A direction's state. Times in s, shares 0 to 1, `rate` in bytes/s (0: unbounded).

    `cut`: nothing passes and nothing is said; TCP holds what came, as the sender's system would, UDP drops
    it. `reset`: share of TCP chunks passed forward after which the connection is reset at both ends (under a
    request). `loss`, `duplicate`, `reorder`: shares of UDP packets; TCP keeps its order and loses nothing.
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
            if not 0.0 <= getattr(self, name) <= 1.0:
                raise ValueError(f"{name} is a share from 0 to 1, not {getattr(self, name)}")
        if min(self.delay, self.spread, self.rate) < 0:
            raise ValueError("delay, spread and rate can't be below 0")


NAMES = frozenset(field.name for field in fields(Conditions))


class Way:
    """One direction of a link: its conditions and its own seeded chance."""

    def __init__(self, seed: object):
        self.now, self.rng, self.free_at, self.last_due = Conditions(), Random(str(seed)), 0.0, 0.0
        self.packets = self.dropped = self.doubled = self.bytes = 0

    def set(self, **changes) -> None:
        """Change conditions by name. Raises ValueError for one that there is not."""
        unknown = sorted(set(changes) - NAMES)
        if unknown:
            raise ValueError(f"a link has no condition {unknown[0]!r}")
        self.now = Conditions(**{**{name: getattr(self.now, name) for name in NAMES}, **changes})

    def clear(self) -> None:
        """Conditions as they should be."""
        self.now = Conditions()

    def transit(self, size: int, at: float) -> float:
        """When something of `size` bytes that came `at` (s) is through.

        Delay, spread and the slow link's line.
        """
        how = self.now
        if how.rate:
            self.free_at = max(self.free_at, at) + size / how.rate
            at = self.free_at
        return at + how.delay + (how.spread * self.rng.random() if how.spread else 0.0)

    def packet(self, size: int, at: float) -> list[float]:
        """The times (s) at which a UDP packet arrives: none if lost, two if doubled.

        Draws are made for each packet in the same number whatever the conditions are, so that one seed makes
        the same choices.
        """
        lost, doubled, held = self.rng.random(), self.rng.random(), self.rng.random()
        how = self.now
        self.packets += 1
        self.bytes += size
        if how.cut or lost < how.loss:
            self.dropped += 1
            return []
        due = self.transit(size, at)
        if held < how.reorder:
            due += REORDER_BY + how.spread
        if doubled < how.duplicate:
            self.doubled += 1
            return [due, due + REORDER_BY * held]
        return [due]

    def chunk(self, size: int, at: float) -> tuple[float, bool]:
        """When a run of TCP bytes is through (s), and whether a reset follows it.

        Never before an earlier one.
        """
        drawn = self.rng.random()
        self.packets += 1
        self.bytes += size
        self.last_due = max(self.last_due, self.transit(size, at))
        return self.last_due, drawn < self.now.reset
