"""The units that this limiter added to the counter, for each count.

An entry holds the total of these units, and how many of them were sent under the current epoch.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_LIFETIME_S = 60.0  # Maximum lifetime of the counter's names, in seconds.
TOTAL_TOLERANCE = 1e-6  # Relative error of a total; the counter's totals are exact to seven digits.


@dataclass(slots=True)
class LedgerEntry:
    """The units that this limiter added to one count. All amounts are in the counter's units.

    Attributes:
        lifetime: Seconds after which the count expires.
        expires_at: Time in seconds on the limiter's monotonic clock.
        units: Units that were added, less the units that were given back. `counting` gives back at most
            these.
        sent: Units that were sent under the current epoch.
        unconfirmed: Sent units whose reply was lost; the counter may have added them.
        deferred: Units that were counted while totals were withheld from the policy. No total has included
            them, so they are subtracted from later totals. Otherwise the policy would attribute them to
            another limiter.
    """

    lifetime: float
    expires_at: float
    units: float = 0.0
    sent: float = 0.0
    unconfirmed: float = 0.0
    deferred: float = 0.0

    def outstanding(self) -> float:
        """Return the units still to be sent under the current epoch; below 0 if too many were sent."""
        return self.units - self.sent


class Ledger:
    """Entries by name of the count. As at the counter, they expire `lifetime` seconds after the first add."""

    def __init__(self) -> None:
        self.entries: dict[int, LedgerEntry] = {}

    def entry(self, name: int, lifetime: float, now: float) -> LedgerEntry:
        """Return the entry of a count; create one if there is none or it has expired."""
        entry = self.entries.get(name)
        if entry is None or entry.expires_at <= now:
            entry = self.entries[name] = LedgerEntry(lifetime, now + lifetime)
        return entry

    def remove_expired(self, now: float) -> None:
        """Remove the entries that have expired."""
        self.entries = {name: entry for name, entry in self.entries.items() if entry.expires_at > now}

    def mark_all_unsent(self) -> None:
        """Mark all units as unsent after a change of the epoch, under which the counter has none of them."""
        for entry in self.entries.values():
            entry.sent = 0.0
            entry.unconfirmed = 0.0

    def outstanding_names(self, now: float) -> list[int]:
        """Return the names of counts with outstanding units, by descending amount and then by name."""
        names = [
            name
            for name, entry in self.entries.items()
            if entry.expires_at > now and abs(entry.outstanding()) > TOTAL_TOLERANCE
        ]
        return sorted(names, key=lambda name: (-abs(self.entries[name].outstanding()), name))

    def proves_lost_units(self, entry: LedgerEntry, sent: float, total: float) -> bool:
        """Return whether a total proves that the counter lost units.

        `sent` is the number of units that this limiter had sent when the counter computed the total. Each
        limiter's net units are at least 0, and calls for the same name arrive in order, so a correct total is
        never below `sent` less the unconfirmed units. A name with the counter's maximum lifetime proves
        nothing, because the counter may have dropped it.
        """
        if entry.lifetime >= MAX_LIFETIME_S:
            return False
        tolerance = TOTAL_TOLERANCE * max(1.0, abs(total), sent)
        return total < sent - entry.unconfirmed - tolerance
