"""Registers this limiter in the epoch's membership, and reads how many limiters registered."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Callable

from ..model import Outcome
from .epochs import NO_EPOCH, EpochNumber, Epochs
from .ports import RecoveryPort, ignore_answer

LIFETIME_INTERVALS = 4  # heartbeat intervals that a membership is kept at the counter


@dataclass(frozen=True, slots=True)
class Registration:
    """An epoch and the heartbeat interval in which this limiter registered."""

    epoch: EpochNumber
    interval: int


class EpochMembership:
    """One limiter's registrations.

    `on_member_count` is called when `epochs` has a new member count.
    """

    def __init__(self, port: RecoveryPort, epochs: Epochs, on_member_count: Callable[[], None]):
        self._port = port
        self._epochs = epochs
        self._lifetime = LIFETIME_INTERVALS * epochs.heartbeat_interval
        self._on_member_count = on_member_count
        self._last_registration = Registration(NO_EPOCH, 0)

    def register(self, clock: float) -> None:
        """Register in this heartbeat interval's membership, and read that of the interval before.

        At most one registration an interval and epoch, also when heartbeats are brought forward.
        """
        registration = Registration(self._epochs.epoch, self._epochs.interval_number(clock))
        if registration != self._last_registration:
            self._last_registration = registration
            name = self._epochs.membership_name(clock)
            self._port.add_to_counter(name, 1.0, self._lifetime, ignore_answer)

        def on_answer(outcome: Outcome, total: float, seconds: float) -> None:
            if outcome is Outcome.OK and registration.epoch == self._epochs.epoch:
                self._epochs.record_member_count(clock, total)
                self._on_member_count()

        last_name = self._epochs.membership_name(clock, 1)
        self._port.add_to_counter(last_name, 0.0, self._lifetime, on_answer)
