"""Leases without messages: the holders of a resource in each epoch, by rendezvous hashing.

The holders of a resource are the first few of all present limiters, ranked by a keyed hash of (resource,
epoch, limiter). Nothing is sent. A limiter that membership does not count as present holds no lease, so the
lease of a dead or stalled holder passes on as soon as membership has noticed; each epoch ranks anew, so a
holder that is present and does nothing blocks a resource for one epoch at most.

Limiters that see different members may hold the same lease at once: one holder for each distinct view.
"""

from __future__ import annotations

from typing import Iterable, NamedTuple

from .hashing import uniform_hash

EPOCH_SECONDS = 10.0  # longer than membership takes to notice that a holder has died
MAX_CACHED_EPOCHS = 256  # the decisions ask for the same holders many times
# After a pause of this process its view of the members is as old as the pause: it holds no lease for so long.
RESUME_GRACE_SECONDS = 1.0

Resource = int | str
"""What a lease is held on; its text is hashed."""


class LeaseEpoch(NamedTuple):
    """One epoch of a resource, with the number of its holders."""

    resource: Resource
    number: int
    holder_count: int


class EpochLeases:
    """The leases as one limiter sees them.

    `key`: the fleet's, the same at all limiters; `me`: this limiter's name; `present`: the members that it
    sees, itself included. Epochs go by the wall clock, which limiters share to within a small part of an
    epoch: where two clocks differ by d seconds, a resource has two holders or none for d of every epoch.
    """

    def __init__(self, key: int, me: str, epoch_seconds: float = EPOCH_SECONDS) -> None:
        self.key = key
        self.me = me
        self.epoch_seconds = epoch_seconds
        self.present = [me]
        self._holders: dict[LeaseEpoch, list[str]] = {}  # cached until the members change
        self._resumed_at = -RESUME_GRACE_SECONDS

    def set_present(self, members: Iterable[str]) -> None:
        """Set the members that are present; this limiter always counts as one of them."""
        self.present = sorted({*members, self.me})
        self._holders = {}

    def on_resumed(self, now: float) -> None:
        """Hold no lease for RESUME_GRACE_SECONDS: this process was paused, and its view is out of date."""
        self._resumed_at = now

    def holders(self, resource: Resource, wall_time: float, count: int = 1) -> list[str]:
        """The `count` holders of a resource in the epoch of `wall_time` (s), the first holder first."""
        # Each resource's epochs are shifted, so that not all leases change hands at the same moment.
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
        """Whether this limiter is one of the `count` holders of a resource.

        `now`: s on this limiter's own clock; `wall_time`: s on the shared clock, `now` where it is left out.
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
