"""A shared counter on loopback: ADDGET NAME AMOUNT LIVES over RESP2, with fault controls."""

from __future__ import annotations

import random
import threading
import time
from time import monotonic

from ..emulator.counter import CounterInstance
from .base import FakeListener, read_value


class FakeCounter(FakeListener):
    """A counter. `mode`: ok, busy, silent, nonsense or close; `delay` s before each answer.

    `split()` gives the limiters (by their address, `side`) different keepers; `wipe()` empties all, `lose()`
    a share of the names; `swap()` puts an empty keeper in its place and `restore()` the old one back; `lost`
    is the share of answers that never come.
    """

    def __init__(self, at: tuple[str, int] = ("127.0.0.1", 0), delay: float = 0.0):
        self.lost, self.rng, self.aside = 0.0, random.Random(1), None
        self.mode, self.asked, self.delay, self.lock = "ok", 0, delay, threading.Lock()
        self.keepers, self.side = [CounterInstance()], lambda limiter: 0
        super().__init__(at)

    @property
    def totals(self) -> dict:
        """All totals of the first keeper (units), by name as sent, dead ones included."""
        return {name: count.total for name, count in self.keepers[0].counts.items()}

    def wipe(self) -> None:
        """Forget all counts."""
        with self.lock:
            for keeper in self.keepers:
                keeper.counts.clear()

    def lose(self, share: float) -> None:
        """Forget a share of the counts."""
        with self.lock:
            for keeper in self.keepers:
                for name in self.rng.sample(list(keeper.counts), round(share * len(keeper.counts))):
                    del keeper.counts[name]

    def swap(self) -> None:
        """An empty counter takes its place."""
        with self.lock:
            self.aside, self.keepers = self.keepers, [CounterInstance() for _ in self.keepers]

    def restore(self) -> None:
        """The one before is back."""
        with self.lock:
            self.keepers, self.aside = self.aside or self.keepers, None

    def split(self, side) -> None:
        """From now on limiters with `side(address)` 1 see a second, empty keeper; `heal` drops it."""
        with self.lock:
            self.keepers, self.side = [self.keepers[0], CounterInstance()], side

    def heal(self) -> None:
        """One counter again, the first."""
        with self.lock:
            self.keepers, self.side = [self.keepers[0]], lambda limiter: 0

    def serve(self, conn, lines):
        """Answer the calls on a connection."""
        limiter = conn.getpeername()[0]
        while True:
            words = read_value(lines)
            if self.mode == "close":
                return
            if words[0] == b"PING":
                answer = b"+PONG\r\n"
            else:
                with self.lock:
                    self.asked += 1
                    keeper = self.keepers[self.side(limiter)]
                    total = keeper.add(words[1], float(words[2]), float(words[3]) / 1000, monotonic())
                answer = {
                    "ok": b"$%d\r\n%b\r\n" % (len(b"%.7g" % total), b"%.7g" % total),
                    "busy": b"-BUSY\r\n",
                    "nonsense": b"$3\r\nfoo\r\n",
                    "silent": b"",
                }.get(self.mode, b"")
            if self.delay:
                time.sleep(self.delay)
            if self.mode != "silent" and not (self.lost and self.rng.random() < self.lost):
                conn.sendall(answer)
