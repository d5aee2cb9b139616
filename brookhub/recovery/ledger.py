"""Units that this limiter added to the counter, by name.

In all, and of those the ones that the keeper of this epoch has.
"""

from __future__ import annotations

from dataclasses import dataclass

LIVES = 60.0  # s, the most that the counter keeps a name
EXACT = 1e-6  # share by which a total may be off: the counter's are exact to seven digits


@dataclass(slots=True)
class Entry:
    """One name.

    `own`: units added in all, net of what was given back; `held`: those sent under this epoch; `doubt`: of
    these, added ones that no answer came for; `unseen`: noted ones, which the decisions were told no total
    of: they must not be taken for another limiter's.
    """

    lives: float
    dies: float
    own: float = 0.0
    held: float = 0.0
    doubt: float = 0.0
    unseen: float = 0.0

    def owed(self) -> float:
        """Units that the keeper lacks; below 0 it has some too many."""
        return self.own - self.held


class Ledger:
    """Names die `lives` s after their first unit here, as they do at the counter.

    Times s, units as the counter's.
    """

    def __init__(self) -> None:
        self.entries: dict[int, Entry] = {}

    def entry(self, name: int, lives: float, now: float) -> Entry:
        """The entry of a name, a new one where there is none or its time is over."""
        held = self.entries.get(name)
        if held is None or held.dies <= now:
            held = self.entries[name] = Entry(lives, now + lives)
        return held

    def sweep(self, now: float) -> None:
        """Forget the names whose time is over."""
        self.entries = {name: one for name, one in self.entries.items() if one.dies > now}

    def forgotten(self) -> None:
        """Another keeper: it has nothing of this limiter's under the new epoch's names."""
        for one in self.entries.values():
            one.held = one.doubt = 0.0

    def owing(self, now: float) -> list[int]:
        """Names of which the keeper lacks units or has some too many, the most first, then by name."""
        return sorted(
            (name for name, one in self.entries.items() if one.dies > now and abs(one.owed()) > EXACT),
            key=lambda name: (-abs(self.entries[name].owed()), name),
        )

    def lost(self, entry: Entry, held: float, total: float) -> bool:
        """Whether this total proves that the keeper lost units.

        Each limiter's net part of a name is above 0 and a name's calls come in order, so a total below what
        this one had sent by then, without what is in doubt, can't be. Names that the counter drops before
        their time prove nothing.
        """
        return entry.lives < LIVES and total < held - entry.doubt - EXACT * max(1.0, abs(total), held)
