"""Driver of recovery on sockets: gives it the counter, the clocks, the log and the ledger's file.

The file's methods block, so they are deferred until the port's lock is released.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from time import monotonic, time

from ..ports import CounterCallback
from ..recovery import (
    CounterKey,
    Ledger,
    LogRecord,
    Recovery,
    RecoverySettings,
    encode_record,
    encode_snapshot,
)
from .ledger_file import LedgerFile
from .log import EventLogger
from .port import SocketGatewayPort

APPEND_INTERVAL_S = 0.1  # Time between two appends; a crash loses at most the records of that time.
SNAPSHOT_INTERVAL_S = 20.0  # Time between two snapshots; entries expire within 60 s, so the file stays small.


@dataclass(frozen=True)
class RecoveryDriverSettings:
    """Settings of a limiter's recovery.

    `slot` is this limiter's index according to the settings, from 0 to `limiters - 1`. `ledger_path` is the
    ledger's file, or None if there is no disk whose files outlive the process.
    """

    slot: int
    limiters: int
    recovery: RecoverySettings
    ledger_path: Path | None = None


class RecoveryDriver:
    """Driver of one limiter's recovery (`recovery`) on sockets. Implements `RecoveryPort`.

    All methods except `start` and the constructor run under the port's lock, which guards
    `_unwritten_records`. `random` returns random numbers in [0, 1).
    """

    def __init__(
        self,
        port: SocketGatewayPort,
        logger: EventLogger,
        settings: RecoveryDriverSettings,
        random: Callable[[], float],
    ) -> None:
        self._port = port
        self._logger = logger
        self.random = random
        self._unwritten_records: list[bytes] = []
        self._file: LedgerFile | None = None
        ledger: Ledger | None = None
        if settings.ledger_path:
            self._file = LedgerFile(settings.ledger_path, logger)
            contents = self._file.load(monotonic(), time())
            ledger = contents.ledger if contents else None
        self.recovery = Recovery(
            self, settings.slot, settings.limiters, settings.recovery, ledger, self._on_units_added
        )

    def start(self) -> None:
        """Start the heartbeats and the periodic writing of the ledger."""
        self.recovery.start()
        if self._file:
            self._write_snapshot(self._file)
            self._append_unwritten(self._file)

    # RecoveryPort

    def now(self) -> float:
        """Return the time of this limiter's monotonic clock, in seconds."""
        return max(self._port.now, monotonic())

    def wall_clock(self) -> float:
        """Return the wall-clock time in seconds, which all limiters share."""
        return time()

    def add_to_counter(
        self, key: CounterKey, amount: float, lifetime: float, callback: CounterCallback
    ) -> None:
        """Add to a named count at the counter."""
        self._port.counter.count(key, amount, lifetime, callback)

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` once, `seconds` from now."""
        self._port.call_later(seconds, callback)

    def grant_share(self, share: float) -> None:
        """Pass the granted share of each quota to the policy."""
        self._port.gateway.on_granted_share_changed(share)

    def log(self, event: str, **fields: object) -> None:
        """Write a log event once the lock is released."""
        self._port.defer(lambda: self._logger.info(event, **{"what": "recovery", **fields}))

    # Ledger file

    def _on_units_added(self, name: int, amount: float, lifetime: float) -> None:
        """Buffer a record of a change of the ledger until the next append."""
        if not self._file:
            return
        entry = self.recovery.ledger.entries[name]
        expires_at = entry.expires_at - self.now() + time()
        self._unwritten_records.append(encode_record(LogRecord(str(name), amount, lifetime, expires_at)))

    def _append_unwritten(self, file: LedgerFile) -> None:
        """Append the buffered records to the file. Reschedules itself by a timer."""
        self._port.call_later(APPEND_INTERVAL_S, lambda: self._append_unwritten(file))
        if not self._unwritten_records:
            return
        data = b"".join(self._unwritten_records)
        self._unwritten_records = []
        self._port.defer(file.append, data)

    def _write_snapshot(self, file: LedgerFile) -> None:
        """Replace the file by a snapshot, which covers buffered records. Reschedules itself by a timer."""
        self._port.call_later(SNAPSHOT_INTERVAL_S, lambda: self._write_snapshot(file))
        self._unwritten_records = []
        snapshot = encode_snapshot(self.recovery.ledger, self.now(), time())
        self._port.defer(file.replace, snapshot)
