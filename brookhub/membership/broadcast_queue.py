"""Queue of updates to gossip, each sent a limited number of times (memberlist's broadcast queue)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import nsmallest
from math import ceil, log10

from .messages import MemberUpdate

RETRANSMIT_FACTOR = 4.0  # Transmissions of an update per factor of ten in the number of members.
# Queues of up to this length are sorted whole; in longer ones only the broadcasts that may fit are sorted.
FULL_SORT_LIMIT = 8
MIN_UPDATE_BYTES = 20  # Approximate size of the smallest encoded update.


@dataclass
class Broadcast:
    """A queued update and the number of its transmissions."""

    update: MemberUpdate
    transmissions: int = 0


class BroadcastQueue:
    """Queued updates that are still to be gossiped: the newest one about each member."""

    def __init__(self) -> None:
        self._broadcasts: dict[str, Broadcast] = {}

    def __len__(self) -> int:
        return len(self._broadcasts)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update; it replaces a queued one about the same member."""
        self._broadcasts[update.name] = Broadcast(update)

    def clear(self) -> None:
        """Remove all queued updates."""
        self._broadcasts.clear()

    def take_updates(self, max_bytes: int, present_count: int) -> list[MemberUpdate]:
        """Return the updates for one datagram, the least transmitted first, up to `max_bytes` encoded.

        Counts their transmissions. Removes an update from the queue when it has been transmitted often enough
        for `present_count` peers.
        """
        if not self._broadcasts:
            return []
        transmit_limit = ceil(RETRANSMIT_FACTOR * log10(present_count + 10))
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
        """Return the queued broadcasts by transmissions; from a long queue, only as many as may fit."""
        items: Iterable[tuple[str, Broadcast]] = self._broadcasts.items()
        if len(self._broadcasts) > FULL_SORT_LIMIT:
            max_count = max_bytes // MIN_UPDATE_BYTES + 1
            items = nsmallest(max_count, items, key=lambda item: item[1].transmissions)
        return sorted(items, key=lambda item: item[1].transmissions)
