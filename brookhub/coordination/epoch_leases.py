"""Turns: what one limiter must do and all need not, by rendezvous hashing over the matter and a slow epoch.

The holders of a matter are the first few of all limiters ranked by a keyed hash of (matter, epoch, limiter).
No message is needed: who is not held for present has no turn, so a dead holder's turn passes on as soon as
membership says so, a stalled one's too, and each epoch draws anew, so that a holder who is there and does
nothing keeps a matter for one epoch at most. Limiters with other views may hold a turn at once: with two
views two, and so on; `most` holders a view times the number of views is the bound.
"""

from __future__ import annotations

from typing import Hashable, Iterable

from .hashing import score

EPOCH = 10.0  # s that a turn lasts at the most: longer than a holder's death takes to be known
KEPT = 256  # draws remembered: decisions ask for the same one many times
GRACE = 1.0  # s after waking in which a limiter takes no turn: its view is as old as its sleep


class Turns:
    """Whose turn a matter is.

    `present` is this limiter's view, itself included. Epochs go by the calendar, the same at all to within a
    small part of EPOCH: where it differs by d, a matter has two holders for d of every epoch, or none.
    """

    def __init__(self, key: int, me: Hashable, epoch: float = EPOCH):
        self.key, self.me, self.epoch = key, me, epoch
        self.present: list[Hashable] = [me]
        self.drawn: dict[
            tuple[Hashable, int, int], list[Hashable]
        ] = {}  # (matter, epoch) -> holders, as long as the view stays
        self.awake_at = -GRACE

    def told(self, present: Iterable[Hashable]) -> None:
        """The members that are there, this one among them or not."""
        self.present, self.drawn = sorted({*present, self.me}, key=str), {}

    def woke(self, now: float) -> None:
        """This limiter was stopped: it believes in no turn until its view is new."""
        self.awake_at = now

    def holders(self, matter: Hashable, now: float, most: int = 1) -> list[Hashable]:
        """The `most` holders of a matter in the epoch of `now` (s), first holder first.

        Epochs of matters are out of step, so that not all change hands at once.
        """
        shift = score(self.key, "shift", matter)
        epoch = int(now / self.epoch + shift)
        if (matter, epoch, most) not in self.drawn:
            if len(self.drawn) >= KEPT:
                self.drawn.clear()
            self.drawn[matter, epoch, most] = sorted(
                self.present, key=lambda one: score(self.key, matter, epoch, one)
            )[:most]
        return self.drawn[matter, epoch, most]

    def mine(self, matter: Hashable, now: float, calendar: float | None = None, most: int = 1) -> bool:
        """Whether this limiter holds the matter; not within GRACE s after it woke.

        `now` s on its own clock, `calendar` s on the one that all share (the same where it is not named).
        """
        return now - self.awake_at >= GRACE and self.me in self.holders(
            matter, now if calendar is None else calendar, most
        )
