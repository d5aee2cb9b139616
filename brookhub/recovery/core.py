"""Recovery of one limiter: the layer between the limiter's policy and the shared counter.

While the counter instance stays the same, counts are forwarded to it under the names of the current epoch.
The epoch changes when the instance was wiped or replaced, when an earlier instance returns, or in a split,
when some of the limiters reach another instance. After a change the policy gets no totals for
`RECONCILIATION_INTERVALS` heartbeat intervals. During that time all limiters replay their ledgers under the
new epoch's names, each unit once; afterwards the totals are complete again. The policy chooses what to admit
in the meantime. Recovery only sets the share of each quota that the limiters on this side of a split may
grant.
"""

from __future__ import annotations

from ..model import Outcome
from ..ports import CounterCallback
from .counting import CountForwarder, CountingListeners
from .epoch_membership import EpochMembership
from .epoch_register import EpochChangeReason, EpochRegister
from .epochs import NO_EPOCH, Epochs, RegisterState
from .ledger import MAX_LIFETIME_S, Ledger
from .ports import RecoveryPort, UnitsListener, ignore_units
from .quota_grant import QuotaGrant
from .replay import LedgerReplay
from .settings import DEFAULT_SETTINGS, RecoverySettings

# Minimum time between two heartbeats, in heartbeat intervals. It matters if lost units bring one forward.
MIN_HEARTBEAT_GAP_INTERVALS = 0.25
# Time from a change of the epoch until the totals are complete, in heartbeat intervals: one interval in which
# all limiters read the register, and one in which they replay their ledgers.
RECONCILIATION_INTERVALS = 2.0


class Recovery:
    """Recovery of one limiter.

    Args:
        port: The counter, clocks, policy and log of the limiter.
        slot: Index of this limiter according to the settings, from 0 to `limiters - 1`.
        limiters: Number of limiters according to the settings.
        settings: Settings that all limiters of the fleet share.
        ledger: The ledger of an earlier process, read from disk; None to start with an empty one.
        on_units_added: Called for each change of the ledger's units.
    """

    def __init__(
        self,
        port: RecoveryPort,
        slot: int,
        limiters: int,
        settings: RecoverySettings = DEFAULT_SETTINGS,
        ledger: Ledger | None = None,
        on_units_added: UnitsListener = ignore_units,
    ) -> None:
        self.port = port
        self.settings = settings
        self.ledger = ledger if ledger is not None else Ledger()
        self.epochs = Epochs(slot, limiters, settings.heartbeat_interval)
        self.grant = QuotaGrant(port, self.epochs, settings, limiters)
        self.replay = LedgerReplay(port, self.epochs, self.ledger, self.grant)
        self.membership = EpochMembership(port, self.epochs, self.grant.update)
        self.register = EpochRegister(port, self.epochs, self._on_epoch_installed, self.heartbeat)
        listeners = CountingListeners(on_units_added, self._on_units_lost)
        self.forwarder = CountForwarder(port, self.epochs, self.ledger, self.grant, self.replay, listeners)
        self._last_heartbeat_at = float("-inf")  # Monotonic time in seconds.
        self._is_reading_register = False
        # Set when a total proved that units were lost; the next read of the register then claims a new epoch.
        self._units_lost = False

    def start(self) -> None:
        """Read the register now and then once per heartbeat interval.

        The first interval is shortened at random, so that the limiters do not read at the same time.
        """
        self.heartbeat()
        self.port.call_later(self.settings.heartbeat_interval * self.port.random(), self._on_heartbeat_timer)

    def count(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add to a count (see `ports.CounterPort.add_to_counter`)."""
        self.forwarder.count(name, amount, lifetime, callback)

    def set_fleet_size(self, limiters: int) -> None:
        """Set the number of limiters in the fleet, which replaces the number in the settings."""
        self.grant.set_fleet_size(limiters)

    def is_reconciled(self) -> bool:
        """Return whether, to this limiter's knowledge, the counter has all units that were added to it."""
        return self.grant.is_reconciled()

    # Heartbeats

    def _on_heartbeat_timer(self) -> None:
        """Schedule the next heartbeat, and send this one."""
        self.port.call_later(self.settings.heartbeat_interval, self._on_heartbeat_timer)
        self.heartbeat()

    def heartbeat(self) -> None:
        """Read the register, unless a read is pending or `MIN_HEARTBEAT_GAP_INTERVALS` have not passed."""
        now = self.port.now()
        clock = self.port.wall_clock()
        min_gap = MIN_HEARTBEAT_GAP_INTERVALS * self.settings.heartbeat_interval
        if self._is_reading_register or now < self._last_heartbeat_at + min_gap:
            return
        self._is_reading_register = True
        self._last_heartbeat_at = now
        self.ledger.remove_expired(now)

        def on_reply(outcome: Outcome, total: float, seconds: float) -> None:
            self._is_reading_register = False
            if outcome is Outcome.OK:
                self._on_register_read(total, clock)

        self.port.add_to_counter(self.epochs.register_name(clock), 0.0, MAX_LIFETIME_S, on_reply)

    def _on_register_read(self, value: float, clock: float) -> None:
        """Act on the register's value, which was read at `clock` (seconds on the shared clock)."""
        state = self.epochs.classify(value)
        if state is RegisterState.EMPTY:
            self.register.claim(clock, 0.0, EpochChangeReason.REGISTER_EMPTY)
            return
        if state is RegisterState.FORMER:
            self.register.claim(clock, value, EpochChangeReason.FORMER_EPOCH_RETURNED)
            return
        units_lost = self._units_lost
        self._units_lost = False
        if state is RegisterState.CURRENT and units_lost:
            self.register.claim(clock, value, EpochChangeReason.UNITS_LOST)
            return
        if state is RegisterState.NEW:
            self._enter_epoch(value, EpochChangeReason.NEW_EPOCH_READ)
        self.membership.register(clock)
        self.register.copy_to_next_era(clock)

    # Changes of the epoch

    def _on_units_lost(self) -> None:
        """Bring the next heartbeat forward; it claims a new epoch."""
        self._units_lost = True
        self.heartbeat()

    def _on_epoch_installed(self, value: float, reason: EpochChangeReason, clock: float) -> None:
        """Enter the epoch that this limiter installed."""
        self._enter_epoch(value, reason)
        self.membership.register(clock)

    def _enter_epoch(self, value: float, reason: EpochChangeReason) -> None:
        """Enter an epoch, and start to replay the ledger, as the counter has none of its units in this epoch.

        A limiter that enters its first epoch has lost no units, and the counts of the other limiters are
        complete. It therefore does not wait for reconciliation.
        """
        is_first = self.epochs.epoch == NO_EPOCH
        now = self.port.now()
        self.epochs.enter(value, self.port.wall_clock())
        self.ledger.mark_all_unsent()
        self._units_lost = False
        wait = 0.0 if is_first else RECONCILIATION_INTERVALS * self.settings.heartbeat_interval
        reconciled_at = now + wait
        self.port.log(
            "counter epoch joined" if is_first else "counter epoch changed",
            epoch=self.epochs.epoch,
            reason=reason.value,
            entries=len(self.ledger.entries),
            reconciled_in_s=round(reconciled_at - now, 2),
        )
        self.grant.begin_reconciliation(now, reconciled_at)
        self.replay.start()
