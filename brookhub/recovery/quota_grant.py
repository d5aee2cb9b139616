"""The share of each quota that this side of the counter may grant."""

from __future__ import annotations

from .epochs import Epochs
from .ports import RecoveryPort
from .settings import RecoverySettings

FULL_SHARE = 1.0
MIN_LOGGED_CHANGE = 0.02  # of the share: a limiter more or less of a large fleet is not logged


class QuotaGrant:
    """The granted share, and until when the counts are reconciled after a change of the epoch.

    During reconciliation the share is 0: the decisions get no totals. Then it is 1 while nearly all limiters
    (`max_missing_share`) see the same counter instance; in a split it is this side's share of the limiters.
    `limiters` is the size of the fleet.
    """

    def __init__(self, port: RecoveryPort, epochs: Epochs, settings: RecoverySettings, limiters: int):
        self._port = port
        self._epochs = epochs
        self._max_missing_share = settings.max_missing_share
        self._limiters = max(1, limiters)
        self._share = FULL_SHARE
        self._logged_share = FULL_SHARE
        # s, monotonic; until the first register is read counts pass through under no epoch
        self._reconciled_at = float("-inf")

    def is_reconciled(self) -> bool:
        """Whether the counter has, as far as is known, all units that were added to it."""
        return self._port.now() >= self._reconciled_at and self._share > 0

    def set_fleet_size(self, limiters: int) -> None:
        """Set the number of limiters that are members of the fleet."""
        self._limiters = max(1, limiters)
        self.update()

    def begin_reconciliation(self, now: float, reconciled_at: float) -> None:
        """Grant nothing until `reconciled_at` (s, monotonic), where that is later than `now`."""
        self._reconciled_at = reconciled_at
        if now < reconciled_at:
            self._share = 0.0
            self._port.grant_share(0.0)

    def update(self) -> None:
        """Grant the share that follows from the epoch's membership, if that is known and it changed."""
        members = self._epochs.member_count(self._port.wall_clock())
        if self._port.now() < self._reconciled_at or members is None:
            return
        share = self._share_of(members)
        if share == self._share:
            return
        if abs(share - self._logged_share) > MIN_LOGGED_CHANGE or not self._share:
            self._log_share(share, members)
        self._share = share
        self._port.grant_share(share)

    def _share_of(self, members: int) -> float:
        """The share that a side with so many limiters may grant."""
        if members >= (1 - self._max_missing_share) * self._limiters:
            return FULL_SHARE
        return max(1, members) / self._limiters

    def _log_share(self, share: float, members: int) -> None:
        """Log a share that is to be granted."""
        self._logged_share = share
        self._port.log(
            "counter reconciled" if share == FULL_SHARE else "counter split detected",
            members=members,
            limiters=self._limiters,
            granted_share=round(share, 3),
        )
