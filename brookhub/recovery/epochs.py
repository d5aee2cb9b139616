"""Which keeper is this, and who else sees it?

Two kinds of names at the counter itself tell: a register and a roll.

The *register* of an era (ERA s of the shared calendar) holds the keeper's epoch: a random token that whoever
found nothing there added. A wiped or another keeper has none, or another one. It is carried into the next era
before that begins, by whose turn it is (a name can't outlive 60 s). An epoch that had been left and comes
back has a token added, which makes it a new one. The *roll* of a beat counts who added 1 to it: the limiters
that see this keeper.

Whoever adds a token has *claimed* it before: the first one on a name of its own, so that one does it where
all see the same.
"""

from __future__ import annotations

from math import floor

from .ledger import LIVES

ERA = LIVES / 3  # s of a register, so that two are alive in its second half
TOKEN = 99_999  # the largest token: a few add up to seven digits at most, which the counter keeps exactly
# Names beyond the decisions' 64 bits; where an epoch stands in one
REGISTER, ROLL, CLAIM, EPOCH = 1 << 100, 2 << 100, 3 << 100, 70


class Epochs:
    """`slot` of `limiters` (settings' numbers), `beat` s.

    The caller reads and adds; this says what, and what the answer means.
    """

    def __init__(self, slot: int, limiters: int, beat: float):
        self.slot, self.limiters, self.beat = slot, max(1, limiters), beat
        self.epoch = 0  # 0: none known yet
        self.past: list[int] = []  # epochs that were left, the last ones
        self.rolls: dict[int, int] = {}  # beat -> limiters on its roll, the last two that are whole
        self.since = 0  # the beat in which this epoch was entered: its own roll is not whole

    # names

    def register(self, clock: float, ahead: int = 0) -> int:
        """The name of an era's register."""
        return REGISTER | floor(clock / ERA) + ahead

    def roll(self, clock: float, behind: int = 0) -> int:
        """The name of a beat's roll under this epoch."""
        return ROLL | self.epoch << 40 | floor(clock / self.beat) - behind & (1 << 40) - 1

    def claim(self, clock: float, value: float, ahead: int = 0) -> int:
        """Whoever is the first to add here changes a register that holds `value`, or carries it `ahead`."""
        return CLAIM | floor(clock / ERA) + ahead << 33 | ahead << 32 | round(value) & 0xFFFFFFFF

    def name(self, name: int) -> int:
        """A count's name under this epoch.

        What another keeper holds under another epoch's never mixes with it.
        """
        return self.epoch << EPOCH | name

    # the register

    def late_half(self, clock: float) -> bool:
        """Whether the next era's register may be there already."""
        return clock % ERA >= ERA / 2

    def carries(self, clock: float) -> bool:
        """Whether it is this limiter's turn, or past it, to carry the epoch into the next era.

        One after another, so that one that is gone is made up for.
        """
        turn = (self.slot - floor(clock / ERA)) % self.limiters
        return self.epoch > 0 and clock % ERA >= ERA / 2 * (1 + (turn + 1) / (self.limiters + 1))

    def read(self, value: float) -> str:
        """What a register's value means.

        "same", "new", "empty" (a token is to be added) or "left" (an epoch that was left came back: a token
        is to be added, so that nobody takes it for what it was).
        """
        value = round(value)
        if value <= 0:
            return "empty"
        if value == self.epoch:
            return "same"
        return "left" if value in self.past else "new"

    def enter(self, value: float, clock: float) -> None:
        """This epoch begins; the one before is remembered."""
        if self.epoch:
            self.past = [*self.past[-31:], self.epoch]
        self.epoch, self.rolls, self.since = round(value), {}, floor(clock / self.beat)

    # the roll

    def rolled(self, clock: float, value: float) -> None:
        """The roll of the beat before that of `clock`, which is whole by now."""
        number = floor(clock / self.beat) - 1
        if number > self.since:
            self.rolls = {at: many for at, many in self.rolls.items() if at >= number - 1} | {
                number: round(value)
            }

    def here(self, clock: float) -> int | None:
        """Limiters that see this keeper: the larger of the last two whole beats' rolls.

        None while none is known of a beat that began since this epoch was entered, or none lately.
        """
        number = floor(clock / self.beat)
        return max((many for at, many in self.rolls.items() if at >= number - 3), default=None)
