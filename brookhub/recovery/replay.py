"""Replay of the ledger, in batches, to a counter instance that lacks units of this limiter."""

from __future__ import annotations

from ..model import Outcome
from .epochs import NO_EPOCH, Epochs
from .ledger import Ledger
from .ports import RecoveryPort
from .quota_grant import QuotaGrant

BATCH_SIZE = 25  # Counts per batch. Each is sent in a call of about 50 bytes.
BATCH_INTERVAL_S = 0.05  # Time between two batches; it limits each limiter to 500 counts per second.

# Outcomes of a counter call which prove that the counter added nothing.
NOT_ADDED_OUTCOMES = (Outcome.BUSY, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class LedgerReplay:
    """Sender of the ledger's outstanding units, until none are left and the counter is reconciled."""

    def __init__(self, port: RecoveryPort, epochs: Epochs, ledger: Ledger, grant: QuotaGrant) -> None:
        self._port = port
        self._epochs = epochs
        self._ledger = ledger
        self._grant = grant
        self._is_running = False
        self.replayed_counts = 0
        """Number of counts replayed so far; a count that was replayed twice is counted twice."""

    def start(self) -> None:
        """Start sending batches, unless the replay is already running."""
        if self._is_running:
            return
        self._is_running = True
        self._port.call_later(BATCH_INTERVAL_S * self._port.random(), self.send_batch)

    def send_batch(self) -> None:
        """Send a batch, and schedule the next one if there may be more to send."""
        names: list[int] = []
        if self._epochs.epoch != NO_EPOCH:
            names = self._ledger.outstanding_names(self._port.now())
        for name in names[:BATCH_SIZE]:
            self._replay_count(name)
        self._is_running = bool(names) or not self._grant.is_reconciled()
        if self._is_running:
            self._port.call_later(BATCH_INTERVAL_S, self.send_batch)

    def _replay_count(self, name: int) -> None:
        """Send a count's outstanding units.

        Without a reply the counter may have added them, so they remain marked as sent. If the outcome proves
        that it did not, they become outstanding again.
        """
        entry = self._ledger.entries[name]
        epoch = self._epochs.epoch
        outstanding = entry.outstanding()
        entry.sent += outstanding
        self.replayed_counts += 1

        def on_reply(outcome: Outcome, total: float, seconds: float) -> None:
            if outcome in NOT_ADDED_OUTCOMES and epoch == self._epochs.epoch:
                entry.sent -= outstanding
                self.start()

        self._port.add_to_counter(self._epochs.count_name(name), outstanding, entry.lifetime, on_reply)
