"""The epoch of the counter instance that this limiter sees, and the names that the epoch gives to counts.

All state that limiters share is kept at the counter itself, under three kinds of names:

- The *register* of an era (a stretch of `ERA_S` on the shared clock) holds the epoch number: a random token,
  added by the limiter that found the register empty. A wiped or another counter instance has no token or
  another one. As a name lives at most 60 s, the epoch is copied into the next era's register before that era
  begins. When a former epoch comes back, a token is added to it, which makes it a new epoch.
- The *claim* on a register's value elects the limiter that adds the token or copies the epoch: the first one
  that adds to the claim.
- The *membership* of an epoch counts, for each heartbeat interval, the limiters that registered in it: those
  that see this counter instance.

Nothing here calls the counter; `epoch_register` and `epoch_membership` do.
"""

from __future__ import annotations

from enum import Enum, auto
from math import floor
from typing import NewType

from .ledger import MAX_LIFETIME_S
from .ports import CounterKey

EpochNumber = NewType("EpochNumber", int)
"""The number of an epoch; `NO_EPOCH` before the first one is known."""

NO_EPOCH = EpochNumber(0)
ERA_S = MAX_LIFETIME_S / 3  # so that in an era's second half its register and the next one are both alive
MAX_TOKEN = 99_999  # the sum of a few has at most seven digits, which the counter keeps exactly
MAX_FORMER_EPOCHS = 32
MEMBERSHIP_MAX_AGE_INTERVALS = 3  # how far back a membership still says who sees the counter

# Names are wider than the decisions' 64 bits; the kind of name, the epoch number and the rest are bit fields
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
    """What the value of a register means to this limiter."""

    EMPTY = auto()
    CURRENT = auto()
    NEW = auto()
    FORMER = auto()
    """An epoch that was left; it needs a token, so that no limiter takes its counts for complete."""


class Epochs:
    """Epochs as one limiter knows them.

    `slot` of `limiters` as numbered by the settings; `heartbeat_interval` in s. `clock` is always in s of the
    shared clock.
    """

    def __init__(self, slot: int, limiters: int, heartbeat_interval: float):
        self.slot = slot
        self.limiters = max(1, limiters)
        self.heartbeat_interval = heartbeat_interval
        self.epoch = NO_EPOCH
        self._former_epochs: list[EpochNumber] = []
        self._entered_in = 0  # interval in which this epoch was entered: its membership is incomplete
        self._member_counts: dict[int, int] = {}  # by interval, of the last two that are complete

    def era_number(self, clock: float) -> int:
        """The number of the era."""
        return floor(clock / ERA_S)

    def interval_number(self, clock: float) -> int:
        """The number of the heartbeat interval."""
        return floor(clock / self.heartbeat_interval)

    # names at the counter

    def register_name(self, clock: float, eras_ahead: int = 0) -> CounterKey:
        """The name of an era's register."""
        return CounterKey(REGISTER_KIND | self.era_number(clock) + eras_ahead)

    def membership_name(self, clock: float, intervals_ago: int = 0) -> CounterKey:
        """The name of this epoch's membership in a heartbeat interval."""
        interval = self.interval_number(clock) - intervals_ago & MEMBERSHIP_INTERVAL_MASK
        return CounterKey(MEMBERSHIP_KIND | self.epoch << MEMBERSHIP_EPOCH_SHIFT | interval)

    def claim_name(self, clock: float, value: float, eras_ahead: int = 0) -> CounterKey:
        """The name of the claim on a register that holds `value`.

        `eras_ahead` is 1 for the claim on copying the value into the next era.
        """
        era = self.era_number(clock) + eras_ahead
        field = round(value) & CLAIM_VALUE_MASK
        return CounterKey(CLAIM_KIND | era << CLAIM_ERA_SHIFT | eras_ahead << CLAIM_AHEAD_SHIFT | field)

    def count_name(self, name: int) -> CounterKey:
        """A count's name under this epoch: counts of two epochs never mix, whichever instance has them."""
        return CounterKey(self.epoch << COUNT_EPOCH_SHIFT | name)

    # the register

    def next_register_may_exist(self, clock: float) -> bool:
        """Whether the next era's register may have been written: in an era's second half."""
        return clock % ERA_S >= ERA_S / 2

    def is_due_to_copy(self, clock: float) -> bool:
        """Whether this limiter should copy the epoch into the next era's register.

        Limiters become due one after another, in an order that rotates with the era, so that the next one
        makes up for one that is down.
        """
        if self.epoch == NO_EPOCH:
            return False
        position = (self.slot - self.era_number(clock)) % self.limiters
        return clock % ERA_S >= ERA_S / 2 * (1 + (position + 1) / (self.limiters + 1))

    def classify(self, value: float) -> RegisterState:
        """What a register's value means."""
        number = round(value)
        if number <= 0:
            return RegisterState.EMPTY
        if number == self.epoch:
            return RegisterState.CURRENT
        return RegisterState.FORMER if number in self._former_epochs else RegisterState.NEW

    def enter(self, value: float, clock: float) -> None:
        """Make a register's value the current epoch; the one before becomes a former epoch."""
        if self.epoch != NO_EPOCH:
            self._former_epochs = [*self._former_epochs[1 - MAX_FORMER_EPOCHS :], self.epoch]
        self.epoch = EpochNumber(round(value))
        self._member_counts = {}
        self._entered_in = self.interval_number(clock)

    # the membership

    def record_member_count(self, clock: float, count: float) -> None:
        """Record how many limiters registered in the interval before that of `clock`."""
        interval = self.interval_number(clock) - 1
        if interval <= self._entered_in:
            return
        recent = {number: value for number, value in self._member_counts.items() if number >= interval - 1}
        self._member_counts = recent | {interval: round(count)}

    def member_count(self, clock: float) -> int | None:
        """Limiters that see this counter instance: the larger of the last two complete memberships.

        None while no membership is known of an interval that began after this epoch was entered, or none of
        the last `MEMBERSHIP_MAX_AGE_INTERVALS` intervals.
        """
        oldest = self.interval_number(clock) - MEMBERSHIP_MAX_AGE_INTERVALS
        counts = [count for number, count in self._member_counts.items() if number >= oldest]
        return max(counts, default=None)
