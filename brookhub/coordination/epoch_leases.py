"""Leases without messages: rendezvous hashing determines the holders of a resource in each epoch.

All present limiters are ranked by a keyed hash of (resource, epoch, limiter); the first ones hold the
resource. No messages are sent. A limiter that membership does not count as present holds no lease, so the
lease of a dead or stalled holder passes to another limiter as soon as membership has detected the failure.
Each epoch has a new ranking, so a holder that is present but inactive blocks a resource for no longer than
one epoch.

Limiters that see different members may hold the same lease at once: one holder for each distinct view.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .hashing import uniform_hash

EPOCH_SECONDS = 10.0  # Longer than membership takes to detect that a holder is dead.
MAX_CACHED_EPOCHS = 256  # Limit of the cache of holders, as the policy looks up the same ones many times.
# Time after a pause of this process in which it holds no lease: its view of the members is then out of date.
RESUME_GRACE_SECONDS = 1.0

Resource = int | str
"""Resource on which a lease is held; its text is hashed."""


class LeaseEpoch(NamedTuple):
    """An epoch of a resource, with the number of its holders."""

    resource: Resource
    number: int
    holder_count: int


class EpochLeases:
    """Leases as one limiter sees them.

    `key` is the hash key of the fleet, the same at all limiters. `me` is the name of this limiter. `present`
    contains the members that it sees, including itself. Epochs follow the wall clock, which limiters share to
    within a small part of an epoch: if two clocks differ by d seconds, a resource has two holders or none for
    d seconds of every epoch.
    """

    def __init__(self, key: int, me: str, epoch_seconds: float = EPOCH_SECONDS) -> None:
        self.key = key
        self.me = me
        self.epoch_seconds = epoch_seconds
        self.present = [me]
        self._holders: dict[LeaseEpoch, list[str]] = {}  # Cached until the members change.
        self._resumed_at = -RESUME_GRACE_SECONDS

    def set_present(self, members: Iterable[str]) -> None:
        """Set the present members; this limiter is always included."""
        self.present = sorted({*members, self.me})
        self._holders = {}

    def on_resumed(self, now: float) -> None:
        """Hold no lease for RESUME_GRACE_SECONDS, as this process was paused and its view is out of date."""
        self._resumed_at = now

    def holders(self, resource: Resource, wall_time: float, count: int = 1) -> list[str]:
        """Return the `count` holders of a resource in the epoch of `wall_time` (s), in the order of rank."""
        # The epochs of each resource are shifted, so that not all leases change their holders at the same
        # time.
        shift = uniform_hash(self.key, "shift", resource)
        number = int(wall_time / self.epoch_seconds + shift)
        epoch = LeaseEpoch(resource, number, count)
        holders = self._holders.get(epoch)
        if holders is None:
            if len(self._holders) >= MAX_CACHED_EPOCHS:
                self._holders.clear()
            holders = self._holders[epoch] = self._rank_members(epoch)[:count]
        return holders

    def is_held_by_me(
        self, resource: Resource, now: float, wall_time: float | None = None, count: int = 1
    ) -> bool:
        """Return whether this limiter is one of the `count` holders of a resource.

        `now`: seconds on this limiter's own clock; `wall_time`: seconds on the shared clock, by default
        `now`.
        """
        if now - self._resumed_at < RESUME_GRACE_SECONDS:
            return False
        epoch_time = now if wall_time is None else wall_time
        return self.me in self.holders(resource, epoch_time, count)

    def _rank_members(self, epoch: LeaseEpoch) -> list[str]:
        return sorted(
            self.present,
            key=lambda member: uniform_hash(self.key, epoch.resource, epoch.number, member),
        )
