"""Upstream servers on loopback: one that follows a script, one that follows the emulator's service model."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
import time
from collections import deque
from dataclasses import dataclass
from time import monotonic

from ..emulator.server_model import ServerMode, ServerModel
from ..fault_injection import reserve
from ..model import ServerState
from .base import FakeListener, Timers, read_value, reset

VALUE = b"*3\r\n$2\r\nok\r\n$6\r\ncost=1\r\n$-1\r\n"


class FakeServer(FakeListener):
    """A back-end server. `how` says, for each command in turn, what becomes of it; then all are answered."""

    def __init__(self, how=()):
        self.how, self.asked, self.busy, self.most, self.dialled = list(how), [], 0, 0, 0
        self.lock = threading.Lock()
        super().__init__()

    def serve(self, conn, lines):
        """Answer each request as told."""
        self.dialled += 1
        while True:
            words = read_value(lines)
            with self.lock:
                self.asked.append(words)
                how = self.how.pop(0) if self.how else VALUE
            if isinstance(how, bytes):
                conn.sendall(how)
            elif how == "close":
                return
            elif how == "half":
                return conn.sendall(b"*3\r\n$10\r\nha")
            elif how == "silent":
                lines.read()
                return
            else:  # a time to take
                time.sleep(how)
                conn.sendall(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(words[2]), words[2]))


@dataclass(eq=False)
class Seen:
    """One upstream try as its server saw it. Times in s (monotonic); `how` it ended, None while it runs.

    `drained_for`: s since discovery was told of the drain, None while ready; `cold`: rule 4's state on
    arrival.
    """

    at: float
    server: int
    limiter: str
    call: int
    customer: int
    route: str
    key: bytes
    cold: bool
    drained_for: float | None
    ran: bool = False
    how: str | None = None
    ended: float = 0.0
    conn: socket.socket | None = None


class ModelServer(FakeListener):
    """A server with the emulator's service model: places, queue, service time, cold start and fall, modes.

    Modes are those of emulator.server_model.ServerMode.
    `seen` holds every try that arrived whole. Tokened repeats (`k`) that come while or after one ran have no
    second effect.
    """

    def __init__(
        self,
        model: ServerModel,
        timers: Timers,
        rng: random.Random,
        seen: list[Seen],
        at: tuple[str, int] = ("127.0.0.1", 0),
    ):
        self.model, self.timers, self.rng, self.seen = model, timers, rng, seen
        self.lock, self.busy, self.waiting, self.dialled = threading.Lock(), set(), deque(), 0
        self.lost = 0.0  # share of the answers that never come, though the work was done
        super().__init__(at)

    def serve(self, conn, lines):
        """Take each request and answer as the model says."""
        self.dialled += 1
        limiter = conn.getpeername()[0]
        try:
            while True:
                words = read_value(lines)
                if words[:1] == [b"PING"]:
                    conn.sendall(b"+PONG\r\n")
                    continue
                fields = dict(pair.split(b"=", 1) for pair in words[3].split(b","))
                now, model = monotonic(), self.model
                one = Seen(
                    now,
                    model.id,
                    limiter,
                    int(words[2], 16),
                    int(words[1], 16),
                    fields[b"c"].decode(),
                    fields.get(b"k", b""),
                    model.is_warming_up(now),
                    now - model.drained_at if model.drained_at is not None else None,
                    conn=conn,
                )
                self.take(one, now)
        finally:
            self.left(conn)

    def take(self, one: Seen, now: float) -> None:
        """A request arrives."""
        model = self.model
        with self.lock:
            self.seen.append(one)
            if model.state is not ServerState.READY:
                how = "turned away"
            elif len(self.busy) < model.concurrency_limit(now):
                return self.start(one, now, model.record_sent(now))
            elif len(self.waiting) < model.settings.queue_length:
                self.waiting.append(one)
                return self.fall() if model.record_sent(now) else None
            else:
                how = "turned away"
            fell = model.record_sent(now)
            one.how, one.ended = how, now
        with contextlib.suppress(OSError):  # who gave up at once pushes it over all the same
            one.conn.sendall(b"-BUSY\r\n")
        if fell:
            with self.lock:
                self.fall()

    def start(self, one: Seen, now: float, fell: bool = False) -> None:
        """Work on a request begins."""
        self.busy.add(one)
        one.ran = True
        if fell:
            return self.fall()
        if self.model.mode is not ServerMode.SILENT:
            slow = self.model.slow_factor if self.model.mode is ServerMode.SLOW else 1.0
            took = self.rng.expovariate(1.0 / self.model.settings.service_time) * slow
            self.timers.at(now + took, lambda: self.finish(one))

    def finish(self, one: Seen) -> None:
        """Work on a request ends: answer."""
        with self.lock:
            if one not in self.busy:
                return
            self.busy.discard(one)
            failing = (
                self.model.mode is ServerMode.FAILING or self.rng.random() < self.model.settings.error_share
            )
            lost = self.lost and self.rng.random() < self.lost
            one.how, one.ended = "lost" if lost else "failed" if failing else "answered", monotonic()
            self.pump()
        if lost:
            return
        one.conn.sendall(
            b"-ERR failed\r\n" if failing else b"*3\r\n$16\r\n%016x\r\n$-1\r\n$-1\r\n" % one.call
        )

    def pump(self) -> None:
        """Begin what waits, as places come free."""
        now = monotonic()
        while self.waiting and len(self.busy) < self.model.concurrency_limit(now):
            self.start(self.waiting.popleft(), now)

    def left(self, conn) -> None:
        """The connection ended: what it held is over, its places come free."""
        with self.lock:
            for one in [one for one in (*self.busy, *self.waiting) if one.conn is conn]:
                self.end(one, "abandoned")
            self.pump()

    def end(self, one: Seen, how: str) -> None:
        """A request is over; how."""
        one.how, one.ended = how, monotonic()
        self.busy.discard(one)
        with contextlib.suppress(ValueError):
            self.waiting.remove(one)

    def fall(self) -> None:
        """Rule 4: pushed over while cold; all it holds is reset and it refuses for the model's time."""
        self.model.collapses += 1
        self.model.sent_while_warming.clear()
        for one in [*self.busy, *self.waiting]:
            self.end(one, "reset")
        self.shut()
        self.timers.at(monotonic() + self.model.settings.collapse_duration, self.again)

    # faults from outside

    def shut(self) -> None:
        """Refuse connections from now on."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        self.reserved = reserve(self.at)
        for conn in list(self.open):
            reset(conn)

    def again(self) -> None:
        """Listen again."""
        with contextlib.suppress(OSError):
            self.listen(self.at)

    def die(self) -> None:
        """Go down, with all that is held."""
        with self.lock:
            self.model.mode = ServerMode.DEAD
            for one in [*self.busy, *self.waiting]:
                self.end(one, "reset")
        self.shut()

    def back(self, now: float) -> None:
        """Back after `die`, and cold from `now` (s, monotonic)."""
        self.model.restart(now)
        self.again()
