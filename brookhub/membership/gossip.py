"""News that is spread on what is sent anyway: each piece some times, what was told least often first."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import nsmallest
from math import ceil, log10
from typing import Iterable

from .messages import Piece, weight

RETELL = 4.0  # times news is told for each factor of ten members
FEW = 8  # pieces that are sorted as they are; of more only so many are looked for as may fit
LIGHTEST = 20  # bytes of a piece, about, at the least


@dataclass
class Rumor:
    """A piece of news, and how often it was told."""

    piece: Piece
    told: int = 0


class Gossip:
    """The news that a member still tells, the newest piece of each name."""

    def __init__(self) -> None:
        self.rumors: dict[str, Rumor] = {}

    def __len__(self) -> int:
        return len(self.rumors)

    def add(self, piece: Piece) -> None:
        """Tell this from now on, in place of what was told of the same name."""
        self.rumors[piece[0]] = Rumor(piece)

    def clear(self) -> None:
        """Tell nothing any more."""
        self.rumors.clear()

    def pick(self, room: int, members: int) -> list[Piece]:
        """The news told least often first, as much as fits into so many bytes.

        What was told often enough for a fleet of so many members is dropped.
        """
        if not self.rumors:
            return []
        most = ceil(RETELL * log10(members + 10))
        picked = []
        for name, rumor in self._least_told(room):
            room -= weight(rumor.piece)
            if room < 0:
                break
            picked.append(rumor.piece)
            rumor.told += 1
            if rumor.told >= most:
                del self.rumors[name]
        return picked

    def _least_told(self, room: int) -> list[tuple[str, Rumor]]:
        items: Iterable[tuple[str, Rumor]] = self.rumors.items()
        if len(self.rumors) > FEW:
            items = nsmallest(room // LIGHTEST + 1, items, key=lambda item: item[1].told)
        return sorted(items, key=lambda item: item[1].told)
