"""Updates waiting to be gossiped, each sent a limited number of times (memberlist's broadcast queue)."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import nsmallest
from math import ceil, log10
from typing import Iterable

from .messages import MemberUpdate

RETRANSMIT_FACTOR = 4.0  # transmissions of an update for each factor of ten members
FULL_SORT_LIMIT = 8  # queued broadcasts up to which all are sorted; of more only those that may fit
MIN_UPDATE_BYTES = 20  # of an encoded update, about


@dataclass
class Broadcast:
    """A queued update and how often it was transmitted."""

    update: MemberUpdate
    transmissions: int = 0


class BroadcastQueue:
    """The newest update of each member that is still to be gossiped."""

    def __init__(self) -> None:
        self._broadcasts: dict[str, Broadcast] = {}

    def __len__(self) -> int:
        return len(self._broadcasts)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update in place of a queued one of the same member."""
        self._broadcasts[update.name] = Broadcast(update)

    def clear(self) -> None:
        """Drop all queued updates."""
        self._broadcasts.clear()

    def take(self, max_bytes: int, present: int) -> list[MemberUpdate]:
        """Updates for one datagram, the least transmitted first, of at most `max_bytes` encoded.

        Counts their transmissions, and drops those transmitted often enough for `present` peers.
        """
        if not self._broadcasts:
            return []
        transmit_limit = ceil(RETRANSMIT_FACTOR * log10(present + 10))
        taken: list[MemberUpdate] = []
        remaining_bytes = max_bytes
        for name, broadcast in self._least_transmitted(max_bytes):
            remaining_bytes -= broadcast.update.max_encoded_bytes
            if remaining_bytes < 0:
                break
            taken.append(broadcast.update)
            broadcast.transmissions += 1
            if broadcast.transmissions >= transmit_limit:
                del self._broadcasts[name]
        return taken

    def _least_transmitted(self, max_bytes: int) -> list[tuple[str, Broadcast]]:
        """Queued broadcasts by transmissions; of a long queue only as many as may fit."""
        items: Iterable[tuple[str, Broadcast]] = self._broadcasts.items()
        if len(self._broadcasts) > FULL_SORT_LIMIT:
            may_fit = max_bytes // MIN_UPDATE_BYTES + 1
            items = nsmallest(may_fit, items, key=lambda item: item[1].transmissions)
        return sorted(items, key=lambda item: item[1].transmissions)
