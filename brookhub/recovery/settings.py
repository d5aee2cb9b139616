"""Settings of recovery."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RecoverySettings:
    """Settings that all limiters of a fleet share.

    `heartbeat_interval`: s between two reads of the register. `max_missing_share`: share of the limiters that
    may be missing from the epoch's membership before this limiter takes the counter for split; a smaller
    share is taken for crashed.
    """

    heartbeat_interval: float = 1.0
    max_missing_share: float = 0.1


DEFAULT_SETTINGS = RecoverySettings()
