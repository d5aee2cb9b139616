"""The units that this limiter added to the counter, by count.

Per count, all of them and those that the counter instance of the current epoch has.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_LIFETIME_S = 60.0  # the longest that the counter keeps a name
TOTAL_TOLERANCE = 1e-6  # relative error of a total: the counter's are exact to seven digits


@dataclass(slots=True)
class LedgerEntry:
    """The units (as the counter's) of one count.

    `lifetime`: s; `expires_at`: s on the limiter's monotonic clock. `units`: all that were added, net of what
    was given back (`counting` gives back at most these). `sent`: of these, the ones sent under the
    current epoch. `unconfirmed`: of the sent ones, those whose answer was lost: the counter may have them.
    `deferred`: counted while totals were withheld from the decisions. No total has reported them, so they are
    taken off later totals, or the decisions would take them for another limiter's.
    """

    lifetime: float
    expires_at: float
    units: float = 0.0
    sent: float = 0.0
    unconfirmed: float = 0.0
    deferred: float = 0.0

    def outstanding(self) -> float:
        """Units that have yet to be sent under the current epoch; below 0 too many were sent."""
        return self.units - self.sent


class Ledger:
    """Entries by name of the count; they expire `lifetime` s after the first add, as at the counter."""

    def __init__(self) -> None:
        self.entries: dict[int, LedgerEntry] = {}

    def entry(self, name: int, lifetime: float, now: float) -> LedgerEntry:
        """The entry of a count; a new one where there is none or it has expired."""
        entry = self.entries.get(name)
        if entry is None or entry.expires_at <= now:
            entry = self.entries[name] = LedgerEntry(lifetime, now + lifetime)
        return entry

    def remove_expired(self, now: float) -> None:
        """Remove the entries that have expired."""
        self.entries = {name: entry for name, entry in self.entries.items() if entry.expires_at > now}

    def mark_all_unsent(self) -> None:
        """Another epoch began: under it the counter has none of this limiter's units."""
        for entry in self.entries.values():
            entry.sent = 0.0
            entry.unconfirmed = 0.0

    def outstanding_names(self, now: float) -> list[int]:
        """Counts with outstanding units, the largest amounts first, equal ones by name."""
        names = [
            name
            for name, entry in self.entries.items()
            if entry.expires_at > now and abs(entry.outstanding()) > TOTAL_TOLERANCE
        ]
        return sorted(names, key=lambda name: (-abs(self.entries[name].outstanding()), name))

    def proves_lost_units(self, entry: LedgerEntry, sent: float, total: float) -> bool:
        """Whether a total proves that the counter lost units.

        `sent` is what this limiter had sent when the total was taken. Each limiter's net units are not below
        0 and calls for one name come in order, so no correct total is below `sent` without the unconfirmed
        units. A name that lives as long as the counter keeps any proves nothing: it may have been dropped.
        """
        if entry.lifetime >= MAX_LIFETIME_S:
            return False
        tolerance = TOTAL_TOLERANCE * max(1.0, abs(total), sent)
        return total < sent - entry.unconfirmed - tolerance
