"""The share of each quota that the limiters on this side of a split may grant."""

from __future__ import annotations

from .epochs import Epochs
from .ports import RecoveryPort
from .settings import RecoverySettings

FULL_SHARE = 1.0
# Smaller changes of the share are not logged. One limiter of a large fleet changes it less.
MIN_LOGGED_CHANGE = 0.02


class QuotaGrant:
    """The granted share, and the time at which reconciliation after a change of the epoch ends.

    During reconciliation the share is 0, because the policy gets no totals. Afterwards it is 1 while all
    limiters, except for `max_missing_share` of them, use the same counter instance. In a split it is the
    share of the limiters that are on this side. `limiters` is the size of the fleet.
    """

    def __init__(self, port: RecoveryPort, epochs: Epochs, settings: RecoverySettings, limiters: int) -> None:
        self._port = port
        self._epochs = epochs
        self._max_missing_share = settings.max_missing_share
        self._limiters = max(1, limiters)
        self._share = FULL_SHARE
        self._last_logged_share = FULL_SHARE
        # Monotonic time in seconds. Until the register is read once, counts are forwarded without an epoch.
        self._reconciled_at = float("-inf")

    def is_reconciled(self) -> bool:
        """Return whether, to this limiter's knowledge, the counter has all units that were added to it."""
        return self._port.now() >= self._reconciled_at and self._share > 0

    def set_fleet_size(self, limiters: int) -> None:
        """Set the number of limiters that are members of the fleet."""
        self._limiters = max(1, limiters)
        self.update()

    def begin_reconciliation(self, now: float, reconciled_at: float) -> None:
        """Grant nothing until `reconciled_at` if that is later than `now` (both in seconds, monotonic)."""
        self._reconciled_at = reconciled_at
        if now < reconciled_at:
            self._share = 0.0
            self._port.grant_share(0.0)

    def update(self) -> None:
        """Grant the share that follows from the epoch's membership.

        Does nothing if the membership is unknown or the share has not changed.
        """
        members = self._epochs.member_count(self._port.wall_clock())
        if self._port.now() < self._reconciled_at or members is None:
            return
        share = self._compute_share(members)
        if share == self._share:
            return
        if abs(share - self._last_logged_share) > MIN_LOGGED_CHANGE or not self._share:
            self._log_share(share, members)
        self._share = share
        self._port.grant_share(share)

    def _compute_share(self, members: int) -> float:
        """Return the share that a side with `members` limiters may grant."""
        if members >= (1 - self._max_missing_share) * self._limiters:
            return FULL_SHARE
        return max(1, members) / self._limiters

    def _log_share(self, share: float, members: int) -> None:
        """Log a share before it is granted."""
        self._last_logged_share = share
        self._port.log(
            "counter reconciled" if share == FULL_SHARE else "counter split detected",
            members=members,
            limiters=self._limiters,
            granted_share=round(share, 3),
        )
