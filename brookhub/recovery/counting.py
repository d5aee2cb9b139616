"""Forwarding of the policy's counts to the counter.

Counts are sent under the epoch's names and entered in the ledger.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ..model import Outcome
from ..ports import CounterCallback
from .epochs import EpochNumber, Epochs
from .ledger import Ledger, LedgerEntry
from .ports import RecoveryPort, UnitsListener
from .quota_grant import QuotaGrant
from .replay import NOT_ADDED_OUTCOMES, LedgerReplay


@dataclass(slots=True)
class PendingCount:
    """A counter call whose reply has not arrived yet.

    It is not modified after its creation. The class is not frozen, because that costs 1 to 2 us on each
    count.

    Attributes:
        name: Name of the count.
        lifetime: Seconds after which the count expires.
        entry: The ledger's entry of the count.
        epoch: The epoch in which the call was sent.
        amount: Units that the policy added.
        sent_amount: Units that the call adds: `amount` and the units of the entry that were outstanding.
        entry_sent: The entry's sent units immediately after the call was sent.
        callback: Called with the outcome and the total.
    """

    name: int
    lifetime: float
    entry: LedgerEntry
    epoch: EpochNumber
    amount: float
    sent_amount: float
    entry_sent: float
    callback: CounterCallback


@dataclass(frozen=True)
class CountingListeners:
    """Callbacks of `CountForwarder`.

    Attributes:
        on_units_added: Called for each change of the ledger's units, including units that are removed again.
        on_units_lost: Called when a total proves that the counter lost units.
    """

    on_units_added: UnitsListener
    on_units_lost: Callable[[], None]


class CountForwarder:
    """Forwarder of counts to the counter. Until the counter is reconciled, it leaves them to the replay."""

    def __init__(
        self,
        port: RecoveryPort,
        epochs: Epochs,
        ledger: Ledger,
        grant: QuotaGrant,
        replay: LedgerReplay,
        listeners: CountingListeners,
    ) -> None:
        self._port = port
        self._epochs = epochs
        self._ledger = ledger
        self._grant = grant
        self._replay = replay
        self._listeners = listeners

    def count(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add to a count (see `ports.CounterPort.add_to_counter`).

        If the policy gives back more units than this limiter added to the count, the surplus is ignored.
        This happens when units of the previous window are given back in this one. An entry's units are thus
        never below 0, which the check of totals for lost units relies on.
        """
        if not self._grant.is_reconciled():
            self._defer_count(name, amount, lifetime, callback)
            return
        entry = self._ledger.entry(name, lifetime, self._port.now())
        outstanding = entry.outstanding()
        amount = max(amount, -entry.units)
        sent_amount = amount + outstanding
        entry.units += amount
        entry.sent += sent_amount
        pending = PendingCount(
            name, lifetime, entry, self._epochs.epoch, amount, sent_amount, entry.sent, callback
        )
        self._notify_units_added(name, amount, lifetime)
        self._port.add_to_counter(
            self._epochs.count_name(name), sent_amount, lifetime, partial(self._on_reply, pending)
        )

    def _defer_count(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add to a count in the ledger only; the callback gets the outcome DEFERRED and no total."""
        entry = self._ledger.entry(name, lifetime, self._port.now())
        amount = max(amount, -entry.units)
        entry.units += amount
        entry.deferred += amount
        self._notify_units_added(name, amount, lifetime)
        self._port.call_later(0.0, lambda: callback(Outcome.DEFERRED, 0.0, 0.0))
        self._replay.start()

    def _on_reply(self, pending: PendingCount, outcome: Outcome, total: float, seconds: float) -> None:
        """Record the outcome of a counter call in the ledger, and pass it to the policy.

        The policy gets TIMEOUT instead of a total that belongs to a former epoch or lacks units.
        """
        entry = pending.entry
        is_current_epoch = pending.epoch == self._epochs.epoch
        if outcome in NOT_ADDED_OUTCOMES:
            self._remove_units(pending, is_current_epoch)
        elif not is_current_epoch:
            outcome = Outcome.TIMEOUT
        elif outcome is Outcome.TIMEOUT:
            entry.unconfirmed += max(0.0, pending.sent_amount)
        elif self._ledger.proves_lost_units(entry, pending.entry_sent, total):
            outcome = Outcome.TIMEOUT
            self._report_lost_units(pending, total)
        reported_total = total - entry.deferred if outcome is Outcome.OK else 0.0
        pending.callback(outcome, reported_total, seconds)

    def _remove_units(self, pending: PendingCount, is_current_epoch: bool) -> None:
        """Remove the units of a call from the ledger after the counter did not add them."""
        pending.entry.units -= pending.amount
        self._notify_units_added(pending.name, -pending.amount, pending.lifetime)
        if is_current_epoch:
            pending.entry.sent -= pending.sent_amount

    def _report_lost_units(self, pending: PendingCount, total: float) -> None:
        """Log that the counter lost units, and notify the listener."""
        own_units = round(pending.entry_sent - pending.entry.unconfirmed, 3)
        self._port.log("counter lost units", name=str(pending.name), total=total, own_units=own_units)
        self._listeners.on_units_lost()

    def _notify_units_added(self, name: int, amount: float, lifetime: float) -> None:
        """Notify the listener of a change of the ledger's units, unless the amount is 0."""
        if amount:
            self._listeners.on_units_added(name, amount, lifetime)
