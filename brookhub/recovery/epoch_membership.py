"""Registration of this limiter in the epoch's membership, and the number of limiters that registered."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..model import Outcome
from .epochs import NO_EPOCH, EpochNumber, Epochs
from .ports import RecoveryPort, ignore_reply

MEMBERSHIP_LIFETIME_INTERVALS = 4  # Heartbeat intervals after which a membership expires at the counter.


@dataclass(frozen=True, slots=True)
class Registration:
    """An epoch and the heartbeat interval in which this limiter registered as a member."""

    epoch: EpochNumber
    interval: int


class EpochMembership:
    """Registrar of one limiter in its epochs' memberships, which also reads the number of members.

    `on_member_count` is called after a member count was recorded in `epochs`.
    """

    def __init__(self, port: RecoveryPort, epochs: Epochs, on_member_count: Callable[[], None]) -> None:
        self._port = port
        self._epochs = epochs
        self._lifetime = MEMBERSHIP_LIFETIME_INTERVALS * epochs.heartbeat_interval
        self._on_member_count = on_member_count
        self._last_registration = Registration(NO_EPOCH, 0)

    def register(self, clock: float) -> None:
        """Register in the membership of this heartbeat interval, and read the membership of the previous one.

        A limiter registers at most once per interval and epoch, even if heartbeats are brought forward.
        """
        registration = Registration(self._epochs.epoch, self._epochs.interval_number(clock))
        if registration != self._last_registration:
            self._last_registration = registration
            name = self._epochs.membership_name(clock)
            self._port.add_to_counter(name, 1.0, self._lifetime, ignore_reply)

        def on_reply(outcome: Outcome, total: float, seconds: float) -> None:
            if outcome is Outcome.OK and registration.epoch == self._epochs.epoch:
                self._epochs.record_member_count(clock, total)
                self._on_member_count()

        previous_name = self._epochs.membership_name(clock, 1)
        self._port.add_to_counter(previous_name, 0.0, self._lifetime, on_reply)
