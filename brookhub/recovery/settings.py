"""Settings of counter recovery."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RecoverySettings:
    """Settings that all limiters of a fleet share.

    Attributes:
        heartbeat_interval: Seconds between two reads of the register.
        max_missing_share: Maximum share of the limiters that may be missing from the epoch's membership. They
            are assumed to have crashed; if more are missing, this limiter assumes that the counter is split.
    """

    heartbeat_interval: float = 1.0
    max_missing_share: float = 0.1


DEFAULT_SETTINGS = RecoverySettings()
