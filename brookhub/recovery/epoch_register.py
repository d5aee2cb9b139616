"""Writes to the registers of eras: installing a new epoch, and copying the epoch into the next era."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from ..model import Outcome
from .epochs import MAX_TOKEN, Epochs, RegisterState
from .ledger import MAX_LIFETIME_S
from .ports import RecoveryPort, ignore_reply

CLAIM_RETRY_INTERVALS = 0.5  # Heartbeat intervals until a limiter that lost a claim reads the register again.
# The first limiter that adds to a claim gets a total below this. The total is 1, apart from rounding.
MAX_FIRST_CLAIM_TOTAL = 1.5


class EpochChangeReason(StrEnum):
    """Reason why an epoch was entered; the `reason` of the log events."""

    REGISTER_EMPTY = "register empty"
    FORMER_EPOCH_RETURNED = "former epoch returned"
    UNITS_LOST = "units lost"
    NEW_EPOCH_READ = "new epoch read"


EpochListener = Callable[[float, EpochChangeReason, float], None]
"""Callback for an installed epoch: the register's value, the reason, and the shared clock in seconds."""


class EpochRegister:
    """Writer of the registers of the current and the next era, which writes only after winning a claim.

    `on_epoch_installed` is called after this limiter installed a new epoch. `on_claim_lost` is called
    `CLAIM_RETRY_INTERVALS` heartbeat intervals after a claim failed; by then, the limiter that won it has
    usually written the register.
    """

    def __init__(
        self,
        port: RecoveryPort,
        epochs: Epochs,
        on_epoch_installed: EpochListener,
        on_claim_lost: Callable[[], None],
    ) -> None:
        self._port = port
        self._epochs = epochs
        self._heartbeat_interval = epochs.heartbeat_interval
        self._on_epoch_installed = on_epoch_installed
        self._on_claim_lost = on_claim_lost

    def claim(self, clock: float, value: float, reason: EpochChangeReason) -> None:
        """Install a new epoch in place of a register's value, unless another limiter claimed the value first.

        A claim expires after one heartbeat interval.
        """

        def on_reply(outcome: Outcome, total: float, seconds: float) -> None:
            if outcome is Outcome.OK and total < MAX_FIRST_CLAIM_TOTAL:
                self._install_epoch(clock, reason)
            else:
                self._port.call_later(CLAIM_RETRY_INTERVALS * self._heartbeat_interval, self._on_claim_lost)

        name = self._epochs.claim_name(clock, value)
        self._port.add_to_counter(name, 1.0, self._heartbeat_interval, on_reply)

    def _install_epoch(self, clock: float, reason: EpochChangeReason) -> None:
        """Add a random token to the register, which turns its value into a new epoch."""
        token = 1 + int(self._port.random() * MAX_TOKEN)

        def on_reply(outcome: Outcome, total: float, seconds: float) -> None:
            if outcome is not Outcome.OK or self._epochs.classify(total) is not RegisterState.NEW:
                return
            self._on_epoch_installed(total, reason, clock)
            if self._epochs.next_register_may_exist(clock):
                self._correct_next_register(clock)

        self._port.add_to_counter(self._epochs.register_name(clock), token, MAX_LIFETIME_S, on_reply)

    def _correct_next_register(self, clock: float) -> None:
        """Replace the old epoch by the current one if it was already copied into the next era's register."""
        name = self._epochs.register_name(clock, 1)
        epoch = self._epochs.epoch

        def on_reply(outcome: Outcome, total: float, seconds: float) -> None:
            copied_epoch = round(total)
            is_copied = outcome is Outcome.OK and total > 0.5
            if is_copied and epoch == self._epochs.epoch and epoch != copied_epoch:
                self._port.add_to_counter(name, epoch - copied_epoch, MAX_LIFETIME_S, ignore_reply)

        self._port.add_to_counter(name, 0.0, MAX_LIFETIME_S, on_reply)

    def copy_to_next_era(self, clock: float) -> None:
        """Copy the epoch into the next era's register if this limiter is due and the register is empty.

        The claim prevents two limiters that are due at the same time from both adding the epoch: the sum of
        the two would be another epoch.
        """
        if not self._epochs.is_due_to_copy(clock):
            return
        name = self._epochs.register_name(clock, 1)
        epoch = self._epochs.epoch

        def on_claimed(outcome: Outcome, total: float, seconds: float) -> None:
            is_first = outcome is Outcome.OK and total < MAX_FIRST_CLAIM_TOTAL
            if is_first and epoch == self._epochs.epoch:
                self._port.add_to_counter(name, epoch, MAX_LIFETIME_S, ignore_reply)

        def on_read(outcome: Outcome, total: float, seconds: float) -> None:
            if outcome is Outcome.OK and round(total) == 0:
                claim_name = self._epochs.claim_name(clock, epoch, 1)
                self._port.add_to_counter(claim_name, 1.0, self._heartbeat_interval, on_claimed)

        self._port.add_to_counter(name, 0.0, MAX_LIFETIME_S, on_read)
