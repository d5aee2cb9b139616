"""The epoch of the counter instance that this limiter uses, and the names of counts in that epoch.

All state that limiters share is stored in the counter itself, under three kinds of names:

- The *register* of an era (a period of `ERA_S` on the shared clock) holds the epoch number: a random token
  that was added by the limiter that found the register empty. A counter instance that was wiped has no token,
  and another instance has a different one. A name expires after at most 60 s, so the epoch is copied into the
  next era's register before that era begins. When a former epoch returns, another token is added to it, which
  makes it a new epoch.
- The *claim* on a register's value elects the limiter that adds the token or copies the epoch: the first one
  that adds to the claim.
- The *membership* of an epoch counts, for each heartbeat interval, the limiters that registered in it. These
  are the limiters that use the same counter instance.

This module does not call the counter; `epoch_register` and `epoch_membership` do.
"""

from __future__ import annotations

from enum import Enum, auto
from math import floor
from typing import NewType

from .ledger import MAX_LIFETIME_S
from .ports import CounterKey

EpochNumber = NewType("EpochNumber", int)
"""Number of an epoch; `NO_EPOCH` until the first epoch is known."""

NO_EPOCH = EpochNumber(0)
ERA_S = MAX_LIFETIME_S / 3  # In an era's second half, its register and the next one have not expired.
MAX_TOKEN = 99_999  # The sum of a few tokens has at most seven digits, which the counter stores exactly.
MAX_FORMER_EPOCHS = 32
# Maximum age, in heartbeat intervals, of a membership that indicates which limiters use the counter instance.
MEMBERSHIP_MAX_AGE_INTERVALS = 3

# Names are wider than the 64 bits of the policy's names. The kind of name, the epoch number and the
# remaining values are bit fields.
REGISTER_KIND = 1 << 100
MEMBERSHIP_KIND = 2 << 100
CLAIM_KIND = 3 << 100
COUNT_EPOCH_SHIFT = 70
MEMBERSHIP_EPOCH_SHIFT = 40
MEMBERSHIP_INTERVAL_MASK = (1 << MEMBERSHIP_EPOCH_SHIFT) - 1
CLAIM_ERA_SHIFT = 33
CLAIM_AHEAD_SHIFT = 32
CLAIM_VALUE_MASK = 0xFFFFFFFF


class RegisterState(Enum):
    """Relation of a register's value to the epochs that this limiter knows."""

    EMPTY = auto()
    CURRENT = auto()
    NEW = auto()
    FORMER = auto()
    """An earlier epoch. It needs another token, so that no limiter treats its counts as complete."""


class Epochs:
    """The current and former epochs that one limiter knows, and the members of the current one.

    `clock` is always in seconds on the shared clock.

    Args:
        slot: Index of this limiter according to the settings, from 0 to `limiters - 1`.
        limiters: Number of limiters according to the settings.
        heartbeat_interval: Seconds between two heartbeats.
    """

    def __init__(self, slot: int, limiters: int, heartbeat_interval: float) -> None:
        self.slot = slot
        self.limiters = max(1, limiters)
        self.heartbeat_interval = heartbeat_interval
        self.epoch = NO_EPOCH
        self._former_epochs: list[EpochNumber] = []
        # Heartbeat interval in which this epoch was entered; its membership is incomplete.
        self._entered_interval = 0
        # By interval: the member counts of the last two complete memberships.
        self._member_counts: dict[int, int] = {}

    def era_number(self, clock: float) -> int:
        """Return the number of the era that contains `clock`."""
        return floor(clock / ERA_S)

    def interval_number(self, clock: float) -> int:
        """Return the number of the heartbeat interval that contains `clock`."""
        return floor(clock / self.heartbeat_interval)

    # Names at the counter

    def register_name(self, clock: float, eras_ahead: int = 0) -> CounterKey:
        """Return the name of the register of an era."""
        return CounterKey(REGISTER_KIND | self.era_number(clock) + eras_ahead)

    def membership_name(self, clock: float, intervals_ago: int = 0) -> CounterKey:
        """Return the name of this epoch's membership in a heartbeat interval."""
        interval = self.interval_number(clock) - intervals_ago & MEMBERSHIP_INTERVAL_MASK
        return CounterKey(MEMBERSHIP_KIND | self.epoch << MEMBERSHIP_EPOCH_SHIFT | interval)

    def claim_name(self, clock: float, value: float, eras_ahead: int = 0) -> CounterKey:
        """Return the name of the claim on a register that holds `value`.

        `eras_ahead` is 1 for the claim on copying the value into the next era.
        """
        era = self.era_number(clock) + eras_ahead
        value_bits = round(value) & CLAIM_VALUE_MASK
        return CounterKey(CLAIM_KIND | era << CLAIM_ERA_SHIFT | eras_ahead << CLAIM_AHEAD_SHIFT | value_bits)

    def count_name(self, name: int) -> CounterKey:
        """Return a count's name in this epoch.

        Counts of two epochs have different names, so they never mix, even in the same counter instance.
        """
        return CounterKey(self.epoch << COUNT_EPOCH_SHIFT | name)

    # The register

    def next_register_may_exist(self, clock: float) -> bool:
        """Return whether the next era's register may exist, as it is written in an era's second half."""
        return clock % ERA_S >= ERA_S / 2

    def is_due_to_copy(self, clock: float) -> bool:
        """Return whether this limiter should copy the epoch into the next era's register.

        Limiters become due one after another, so that the next one compensates for one that is down. Their
        order rotates with each era.
        """
        if self.epoch == NO_EPOCH:
            return False
        position = (self.slot - self.era_number(clock)) % self.limiters
        return clock % ERA_S >= ERA_S / 2 * (1 + (position + 1) / (self.limiters + 1))

    def classify(self, value: float) -> RegisterState:
        """Return how a register's value relates to the epochs that this limiter knows."""
        number = round(value)
        if number <= 0:
            return RegisterState.EMPTY
        if number == self.epoch:
            return RegisterState.CURRENT
        return RegisterState.FORMER if number in self._former_epochs else RegisterState.NEW

    def enter(self, value: float, clock: float) -> None:
        """Make a register's value the current epoch; the previous one becomes a former epoch."""
        if self.epoch != NO_EPOCH:
            self._former_epochs = [*self._former_epochs[1 - MAX_FORMER_EPOCHS :], self.epoch]
        self.epoch = EpochNumber(round(value))
        self._member_counts = {}
        self._entered_interval = self.interval_number(clock)

    # The membership

    def record_member_count(self, clock: float, count: float) -> None:
        """Record how many limiters registered in the heartbeat interval before the one of `clock`."""
        interval = self.interval_number(clock) - 1
        if interval <= self._entered_interval:
            return
        recent = {number: value for number, value in self._member_counts.items() if number >= interval - 1}
        self._member_counts = recent | {interval: round(count)}

    def member_count(self, clock: float) -> int | None:
        """Return the number of limiters that use this counter instance.

        It is the larger of the last two complete memberships, or None if no membership is known for an
        interval that began after this epoch was entered and is among the last `MEMBERSHIP_MAX_AGE_INTERVALS`
        intervals.
        """
        oldest = self.interval_number(clock) - MEMBERSHIP_MAX_AGE_INTERVALS
        counts = [count for number, count in self._member_counts.items() if number >= oldest]
        return max(counts, default=None)
