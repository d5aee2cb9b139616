"""Recovery of one limiter: stands between the decisions and the counter, behind Port.count.

While the keeper is the one it was, calls pass through under its epoch's names. Once it is another (wiped,
swapped, the other side of a split, one that came back) the decisions hear no word for `settle`, all limiters
add what they had passed under the new epoch's names, each unit once, and then the totals are whole again.
What the decisions may grant meanwhile they decide; they are told the part of each quota that belongs to this
side of the counter.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Callable, Protocol

from ..model import Outcome
from ..ports import CounterCallback
from .epochs import TOKEN, Epochs
from .ledger import LIVES, Ledger

# Outcomes of a count that prove that nothing was added
NEVER_ADDED = (
    Outcome.BUSY,
    Outcome.CONNECT_FAILED,
    Outcome.NOT_SENT,
)
AGAIN = 0.25  # of a beat: the least between two beats that a doubt brings forward
AT_ONCE = 25  # names that are added again at one stroke: a call of some 50 bytes each
STROKE = 0.05  # s between two strokes: 500 names a second for each limiter
SETTLE = 2.0  # beats until all others have noticed, and added again: one each
NOTABLE = 0.02  # by how much a part has to change to be logged: not each limiter more or less
ALL = 1.0  # a part of a quota that is all of it


class RecoveryPort(Protocol):
    """`now` s, monotonic; `clock` s of a calendar that all limiters share (to a tenth of a beat).

    `chance()` in [0, 1).
    """

    def now(self) -> float:
        """Seconds on this limiter's clock."""

    def clock(self) -> float:
        """Seconds on the clock that all limiters share."""

    def chance(self) -> float:
        """A number from 0 to 1 by chance."""

    def add(self, name: int, amount: float, lives: float, told: CounterCallback) -> None:
        """Add to a count at the counter; `told` hears the total."""

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back after so many seconds."""

    def grant(self, part: float) -> None:
        """Tell the decisions which part of each quota is granted."""

    def log(self, event: str, **facts: Any) -> None:
        """Log an event."""


@dataclass(frozen=True)
class Settings:
    """`beat` s between looks at the register; `missing_most`.

    Share of the limiters that may be missing from the roll before this side takes it for a split: fewer are
    taken for crashed.
    """

    beat: float = 1.0
    missing_most: float = 0.1


class Recovery:
    """One limiter's part.

    `slot` of `limiters` by the settings' numbers. `ledger`: of an earlier life, read from disk.
    """

    def __init__(
        self,
        port: RecoveryPort,
        slot: int,
        limiters: int,
        settings: Settings = Settings(),
        ledger: Ledger | None = None,
    ):
        self.port, self.settings, self.limiters = port, settings, max(1, limiters)
        self.epochs, self.ledger = Epochs(slot, limiters, settings.beat), ledger or Ledger()
        self.sure_at = -1e9  # until the first look epoch 0 is as good as any
        self.beat_at, self.looking, self.sending = -1e9, False, False
        self.suspect = False  # a total was below this limiter's own part
        self.marked = (0, 0)  # epoch and beat of the last roll that this one is on
        self.part = self.logged = ALL
        self.resent = 0  # names added again, in all
        # The disk's, where there is one
        self.on_unit: Callable[[int, float, float], None] = lambda name, amount, lives: None

    def start(self) -> None:
        """Look at once, then each beat at a moment of its own."""
        self.beat()
        self.port.later(self.settings.beat * self.port.chance(), self.tick)

    def tick(self) -> None:
        """Look at the counter once a beat."""
        self.port.later(self.settings.beat, self.tick)
        self.beat()

    def fleet(self, limiters: int) -> None:
        """So many limiters have not surely left (membership's word; else the settings' number)."""
        self.limiters = max(1, limiters)
        self.judge()

    def sure(self) -> bool:
        """Whether the counter holds what was added to it, as far as is known."""
        return self.port.now() >= self.sure_at and self.part > 0

    # the decisions' counts

    def count(self, name: int, amount: float, lives: float, told: CounterCallback) -> None:
        """Port.count: passes through while the keeper is sure; else it is noted and there is no total.

        What the decisions give back beyond this limiter's own part of the name (an ask of the window before,
        refused in this one) is left out: a part is never below 0, which is what a total is held against.
        """
        if not self.sure():
            return self.note(name, amount, lives, told)
        entry = self.ledger.entry(name, lives, self.port.now())
        epoch, owed, amount = self.epochs.epoch, entry.owed(), max(amount, -entry.own)
        entry.own += amount
        entry.held += amount + owed
        held = entry.held
        self.unit(name, amount, lives)

        def answered(outcome: Outcome, total: float, took: float) -> None:
            same = epoch == self.epochs.epoch
            if outcome in NEVER_ADDED:
                entry.own -= amount
                self.unit(name, -amount, lives)
                if same:
                    entry.held -= amount + owed
            elif not same:
                outcome = Outcome.TIMEOUT  # it tells of a keeper that is no more
            elif outcome is Outcome.TIMEOUT:
                entry.doubt += max(0.0, amount + owed)
            elif self.ledger.lost(entry, held, total):
                self.port.log("count lost", name=str(name), total=total, own=round(held - entry.doubt, 3))
                self.suspect, outcome = True, Outcome.TIMEOUT
                self.beat()
            told(outcome, total - entry.unseen if outcome is Outcome.OK else 0.0, took)

        self.port.add(self.epochs.name(name), amount + owed, lives, answered)

    def note(self, name: int, amount: float, lives: float, told: CounterCallback) -> None:
        """No word for now: what the decisions count is kept, and added with the rest."""
        entry = self.ledger.entry(name, lives, self.port.now())
        amount = max(amount, -entry.own)
        entry.own += amount
        entry.unseen += amount
        self.unit(name, amount, lives)
        self.port.later(0.0, lambda: told(Outcome.DEFERRED, 0.0, 0.0))
        self.resend()

    def unit(self, name: int, amount: float, lives: float) -> None:
        """Tell the disk of units, where there is one."""
        if amount:
            self.on_unit(name, amount, lives)

    # the beat

    def beat(self) -> None:
        """Look at the register, unless a look is out or was just made."""
        now, clock, epochs = self.port.now(), self.port.clock(), self.epochs
        if self.looking or now < self.beat_at + AGAIN * self.settings.beat:
            return
        self.looking, self.beat_at = True, now
        self.ledger.sweep(now)
        self.port.add(
            epochs.register(clock), 0.0, LIVES, lambda outcome, total, took: self.read(outcome, total, clock)
        )

    def read(self, outcome: Outcome, total: float, clock: float) -> None:
        """What the register holds, or that it was not to be read."""
        self.looking = False
        if outcome is not Outcome.OK:
            return
        what = self.epochs.read(total)
        if what == "empty":
            return self.claim(clock, 0, "it is empty")
        if what == "left":
            return self.claim(clock, total, "one that was left came back")
        suspect, self.suspect = self.suspect, False
        if what == "same" and suspect:
            return self.claim(clock, total, "a part of its counts is lost")
        if what == "new":
            self.enter(total, "another")
        self.call_the_roll(clock)
        self.carry(clock)

    def claim(self, clock: float, value: float, why: str) -> None:
        """Make this keeper's epoch a new one, unless another does; a claim lapses after a beat."""

        def answered(outcome: Outcome, total: float, took: float) -> None:
            if outcome is Outcome.OK and total < 1.5:
                self.add_token(clock, why)
            else:  # the one that is first adds within a moment
                self.port.later(2 * AGAIN * self.settings.beat, self.beat)

        self.port.add(self.epochs.claim(clock, value), 1.0, self.settings.beat, answered)

    def add_token(self, clock: float, why: str) -> None:
        """Add to an empty register, or to one that came back, what makes its epoch a new one."""
        token = 1 + int(self.port.chance() * TOKEN)

        def answered(outcome: Outcome, total: float, took: float) -> None:
            if outcome is Outcome.OK and self.epochs.read(total) == "new":
                self.enter(total, why)
                self.call_the_roll(clock)
                if self.epochs.late_half(clock):
                    self.amend(clock)

        self.port.add(self.epochs.register(clock), token, LIVES, answered)

    def amend(self, clock: float) -> None:
        """The next era's register may be there already, with the old epoch: make it this one."""
        name, epoch = self.epochs.register(clock, 1), self.epochs.epoch

        def answered(outcome: Outcome, total: float, took: float) -> None:
            if outcome is Outcome.OK and total > 0.5 and epoch == self.epochs.epoch != round(total):
                self.port.add(name, epoch - round(total), LIVES, lambda outcome, total, took: None)

        self.port.add(name, 0.0, LIVES, answered)

    def enter(self, value: float, why: str) -> None:
        """Another epoch begins: the keeper lacks all of this limiter's units."""
        first, now = self.epochs.epoch == 0, self.port.now()
        self.epochs.enter(value, self.port.clock())
        self.ledger.forgotten()
        self.suspect = False
        # Who is new has lost nothing, and finds the others' counts whole; if just then they are not, it is
        # one of many.
        self.sure_at = now if first else now + SETTLE * self.settings.beat
        self.port.log(
            "counter known" if first else "counter changed",
            epoch=self.epochs.epoch,
            why=why,
            names=len(self.ledger.entries),
            sure_in_s=round(self.sure_at - now, 2),
        )
        if now < self.sure_at:
            self.part = 0.0
            self.port.grant(0.0)
        self.resend()

    def carry(self, clock: float) -> None:
        """Write the epoch into the next era's register, where it is this limiter's turn."""
        if not self.epochs.carries(clock):
            return
        name, epoch = self.epochs.register(clock, 1), self.epochs.epoch

        def claimed(outcome: Outcome, total: float, took: float) -> None:
            if outcome is Outcome.OK and total < 1.5 and epoch == self.epochs.epoch:
                self.port.add(name, epoch, LIVES, lambda outcome, total, took: None)

        def answered(outcome: Outcome, total: float, took: float) -> None:
            if (
                outcome is Outcome.OK and round(total) == 0
            ):  # two that carried it at once would make it another
                self.port.add(self.epochs.claim(clock, epoch, 1), 1.0, self.settings.beat, claimed)

        self.port.add(name, 0.0, LIVES, answered)

    def call_the_roll(self, clock: float) -> None:
        """Add this limiter to the beat's roll, and read the last beat's."""
        epochs, last = self.epochs, 4 * self.settings.beat
        mark = (epochs.epoch, int(clock // self.settings.beat))
        if mark != self.marked:  # once a beat, also where a doubt brought a look forward
            self.marked = mark
            self.port.add(epochs.roll(clock), 1.0, last, lambda outcome, total, took: None)

        def heard(outcome: Outcome, total: float, took: float) -> None:
            if outcome is Outcome.OK and mark[0] == epochs.epoch:
                epochs.rolled(clock, total)
                self.judge()

        self.port.add(epochs.roll(clock, 1), 0.0, last, heard)

    def judge(self) -> None:
        """Tell the decisions the part of each quota that is this side's."""
        here = self.epochs.here(self.port.clock())
        if self.port.now() < self.sure_at or here is None:
            return
        part = (
            ALL if here >= (1 - self.settings.missing_most) * self.limiters else max(1, here) / self.limiters
        )
        if part != self.part:
            if abs(part - self.logged) > NOTABLE or not self.part:
                self.logged = part
                self.port.log(
                    "counter sure" if part == ALL else "counter split",
                    here=here,
                    limiters=self.limiters,
                    part=round(part, 3),
                )
            self.part = part
            self.port.grant(part)

    # what the keeper lacks

    def resend(self) -> None:
        """Begin to add again what the keeper lacks."""
        if not self.sending:
            self.sending = True
            self.port.later(STROKE * self.port.chance(), self.stroke)

    def stroke(self) -> None:
        """Add some names again, and go on while there are more."""
        now = self.port.now()
        owing = self.ledger.owing(now) if self.epochs.epoch else []
        for name in owing[:AT_ONCE]:
            self.add_again(name)
        self.sending = bool(owing) or not self.sure()
        if self.sending:
            self.port.later(STROKE, self.stroke)

    def add_again(self, name: int) -> None:
        """Add what the keeper lacks of a name."""
        entry, epoch = self.ledger.entries[name], self.epochs.epoch
        owed = entry.owed()
        entry.held += owed
        self.resent += 1

        def answered(outcome: Outcome, total: float, took: float) -> None:
            # No answer: it may have been added, and counts as such; the rest is tried again.
            if outcome in NEVER_ADDED and epoch == self.epochs.epoch:
                entry.held -= owed
                self.resend()

        self.port.add(self.epochs.name(name), owed, entry.lives, answered)
