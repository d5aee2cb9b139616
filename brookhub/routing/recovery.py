"""Recovery's driver.

The counter on sockets behind it, a calendar, and the ledger's file where a disk lasts.
"""

from __future__ import annotations

import os
from pathlib import Path
from time import monotonic, time
from typing import Callable

from ..ports import CounterCallback
from ..recovery import Record, Recovery, Settings, UnusableError, append, scan, snapshot

WRITE = 0.1  # s between two writes of what was counted: the most that a crash loses
SNAPSHOT = 20.0  # s between two writings of the whole ledger: names die within 60 s, and the file stays small


class Recovering:
    """The recovery of one limiter on sockets: Port.count goes through `core`.

    All methods run under the port's lock, but for those that write, which the port carries out after it. A
    recovery.RecoveryPort.

    `path`: of the ledger's file, None where no disk lasts.
    """

    def __init__(
        self,
        port,
        log,
        slot: int,
        limiters: int,
        settings: Settings,
        path: Path | None,
        chance: Callable[[], float],
    ):
        self.port, self.out, self.chance, self.path = port, log, chance, path
        self.file, self.unwritten, self.broken = None, [], False
        self.core = Recovery(self, slot, limiters, settings, self.read() if path else None)
        if path:
            self.core.on_unit = self.unit

    def start(self) -> None:
        """Begin to beat."""
        self.core.start()
        if self.path:
            self.renew()
            self.flush()

    # the port of recovery

    def now(self) -> float:
        """Seconds on this limiter's clock."""
        return max(self.port.now, monotonic())

    def clock(self) -> float:
        """Seconds on the clock that all limiters share."""
        return time()

    def add(self, name: int, amount: float, lives: float, told: CounterCallback) -> None:
        """Add to a count."""
        self.port.counter.count(name, amount, lives, told)

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back after so many seconds."""
        self.port.later(seconds, callback)

    def grant(self, part: float) -> None:
        """Tell the decisions which part of each quota is granted."""
        self.port.gateway.on_granted_share_changed(part)

    def log(self, event: str, **facts) -> None:
        """Log an event of the recovery."""
        self.port.todo.append((lambda: self.out.info(event, **{"what": "recovery", **facts}),))

    # the ledger's file

    def read(self):
        """What an earlier life counted; what can't be read is told, and the rest stands."""
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as broken:
            self.out.error("ledger not read", path=str(self.path), why=broken.strerror)
            return None
        try:
            found = scan(data, monotonic(), time())
        except UnusableError as bad:
            self.out.error("ledger not read", path=str(self.path), why=str(bad))
            return None
        self.out.info(
            "ledger read",
            names=len(found.ledger.entries),
            records=found.records,
            skipped=found.skipped,
            torn=found.torn,
        )
        return found.ledger

    def unit(self, name: int, amount: float, lives: float) -> None:
        """Note units that were added to a count."""
        dies = self.core.ledger.entries[name].dies - self.now() + time()
        self.unwritten.append(append(Record(str(name), amount, lives, dies)))

    def flush(self) -> None:
        """Have what was noted written, again and again."""
        self.port.later(WRITE, self.flush)
        if self.unwritten:
            data, self.unwritten = b"".join(self.unwritten), []
            self.port.todo.append((self.write, data))

    def renew(self) -> None:
        """The whole ledger in a new file, in place of the old."""
        self.port.later(SNAPSHOT, self.renew)
        self.unwritten = []
        self.port.todo.append((self.replace, snapshot(self.core.ledger, self.now(), time())))

    # outside the lock, by one thread at a time: the timers'

    def replace(self, data: bytes) -> None:
        """Put a whole new ledger in the place of the old file."""
        try:
            fresh = self.path.with_name(self.path.name + ".new")
            with open(fresh, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(fresh, self.path)
            old, self.file = self.file, open(self.path, "ab", buffering=0)
            if old:
                old.close()
            self.broken = False
        except OSError as broken:
            self.failed(broken)

    def write(self, data: bytes) -> None:
        """Append records to the file."""
        try:
            if self.file:
                self.file.write(data)
        except OSError as broken:
            self.failed(broken)

    def failed(self, broken: OSError) -> None:
        """The disk does not take it: tell so once, and go on."""
        if not self.broken:  # once, until it works again
            self.broken = True
            self.out.error("ledger not written", path=str(self.path), why=broken.strerror)
