"""Fake upstream server that behaves like the emulator's server model."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from time import monotonic
from typing import BinaryIO

from ..emulator.server_model import ServerMode, ServerModel
from ..fault_injection import reserve
from ..model import ServerState
from .listener import ANY_LOOPBACK_PORT, Endpoint, FakeListener, reset
from .resp import read_command
from .timers import Timers

PONG = b"+PONG\r\n"
REJECTION = b"-BUSY\r\n"
FAILURE = b"-ERR failed\r\n"


class AttemptEnd(StrEnum):
    """Way in which an attempt ended at its server."""

    ANSWERED = "answered"
    FAILED = "failed"
    LOST = "lost"  # The work was done, but the answer was not sent.
    REJECTED = "rejected"  # The server had no capacity or was not ready; nothing was executed.
    ABANDONED = "abandoned"  # The limiter closed the connection.
    RESET = "reset"  # The server collapsed or crashed.


@dataclass(eq=False)
class ServerAttempt:
    """An attempt as its server recorded it. Times are in seconds (monotonic).

    `limiter` is an IP address. `draining_for` is the time since the start of the server's drain, None if it
    was not draining. `warming_up` is true if the server was in its slow start, `executed` if work on the
    attempt began. `end` is None until the attempt ends.
    """

    arrived_at: float
    server: int
    limiter: str
    request: int
    customer: int
    route: str
    idempotency_key: bytes
    warming_up: bool
    draining_for: float | None
    executed: bool = False
    end: AttemptEnd | None = None
    ended_at: float = 0.0

    def finish(self, end: AttemptEnd, now: float) -> None:
        """Record the end of the attempt at time `now` (s)."""
        self.end = end
        self.ended_at = now


@dataclass(eq=False, kw_only=True)
class ConnectedAttempt(ServerAttempt):
    """An attempt with the connection on which it is answered."""

    connection: socket.socket


class ModelServer(FakeListener):
    """Fake server with the emulator's model: capacity, queue, service time, slow start, collapse, modes.

    The modes are the values of `ServerMode`. Every attempt that arrived complete is appended to `attempts`,
    which several servers may share. `answer_loss` is the share of answers that are not sent although the work
    was done. `lock` guards `active`, `waiting` and the model's counts.
    """

    def __init__(
        self,
        model: ServerModel,
        timers: Timers,
        rng: random.Random,
        attempts: list[ServerAttempt],
        endpoint: Endpoint = ANY_LOOPBACK_PORT,
    ) -> None:
        self.model = model
        self.timers = timers
        self.rng = rng
        self.attempts = attempts
        self.answer_loss = 0.0
        self.lock = threading.Lock()
        self.active: set[ConnectedAttempt] = set()
        self.waiting: deque[ConnectedAttempt] = deque()
        # True from the attempt that causes a collapse until the collapse, which follows its rejection.
        self.collapse_is_due = False
        super().__init__(endpoint)

    def serve(self, connection: socket.socket, lines: BinaryIO) -> None:
        """Receive the attempts of a connection."""
        limiter = connection.getpeername()[0]
        try:
            while True:
                command = read_command(lines)
                if command[0] == b"PING":
                    connection.sendall(PONG)
                else:
                    self.receive(self.parse(command, limiter, connection))
        finally:
            self.abandon(connection)

    def parse(self, command: list[bytes], limiter: str, connection: socket.socket) -> ConnectedAttempt:
        """Return the record of an attempt that arrives now."""
        _, customer, request, options = command[:4]
        fields = dict(option.split(b"=", 1) for option in options.split(b","))
        now = monotonic()
        drained_at = self.model.drained_at
        return ConnectedAttempt(
            arrived_at=now,
            server=self.model.id,
            limiter=limiter,
            request=int(request, 16),
            customer=int(customer, 16),
            route=fields[b"c"].decode(),
            idempotency_key=fields.get(b"k", b""),
            warming_up=self.model.is_warming_up(now),
            draining_for=None if drained_at is None else now - drained_at,
            connection=connection,
        )

    def receive(self, attempt: ConnectedAttempt) -> None:
        """Start, queue or reject an attempt. Any attempt, rejected or not, may collapse a warming server."""
        now = attempt.arrived_at
        with self.lock:
            self.attempts.append(attempt)
            has_capacity = self.has_capacity(now)
            has_room = has_capacity or len(self.waiting) < self.model.settings.queue_length
            admitted = self.model.state is ServerState.READY and has_room
            collapses = self.model.record_sent(now) and not self.collapse_is_due
            self.collapse_is_due = self.collapse_is_due or collapses
            if not admitted:
                attempt.finish(AttemptEnd.REJECTED, now)
            elif has_capacity:
                self.start_locked(attempt, now, answers=not collapses)
            else:
                self.waiting.append(attempt)
            if admitted and collapses:
                self.collapse_locked()
        if admitted:
            return
        # The limiter may already have closed the connection; the attempt counts all the same.
        with contextlib.suppress(OSError):
            attempt.connection.sendall(REJECTION)
        if collapses:
            with self.lock:
                self.collapse_locked()

    def has_capacity(self, now: float) -> bool:
        """Return whether another attempt can start now."""
        return len(self.active) < self.model.concurrency_limit(now)

    def start_locked(self, attempt: ConnectedAttempt, now: float, answers: bool = True) -> None:
        """Start work on an attempt, which is answered after the service time if `answers`. Needs the lock."""
        self.active.add(attempt)
        attempt.executed = True
        if not answers or self.model.mode is ServerMode.SILENT:
            return
        slow_factor = self.model.slow_factor if self.model.mode is ServerMode.SLOW else 1.0
        duration = self.rng.expovariate(1.0 / self.model.settings.service_time) * slow_factor
        self.timers.call_at(now + duration, lambda: self.answer(attempt))

    def answer(self, attempt: ConnectedAttempt) -> None:
        """Finish an attempt and send its answer, if any. Runs in the thread of the timers."""
        with self.lock:
            if attempt not in self.active:
                return
            self.active.discard(attempt)
            attempt.finish(self.draw_end(), monotonic())
            self.start_waiting_locked()
        if attempt.end is AttemptEnd.FAILED:
            attempt.connection.sendall(FAILURE)
        elif attempt.end is AttemptEnd.ANSWERED:
            attempt.connection.sendall(b"*3\r\n$16\r\n%016x\r\n$-1\r\n$-1\r\n" % attempt.request)

    def draw_end(self) -> AttemptEnd:
        """Return how an attempt ends after its work is done, drawn at random."""
        fails = self.model.mode is ServerMode.FAILING or self.rng.random() < self.model.settings.error_share
        if self.answer_loss and self.rng.random() < self.answer_loss:
            return AttemptEnd.LOST
        return AttemptEnd.FAILED if fails else AttemptEnd.ANSWERED

    def start_waiting_locked(self) -> None:
        """Start waiting attempts while there is capacity. Needs the lock."""
        now = monotonic()
        while self.waiting and self.has_capacity(now):
            self.start_locked(self.waiting.popleft(), now)

    def abandon(self, connection: socket.socket) -> None:
        """End the attempts of a closed connection and free their capacity."""
        with self.lock:
            for attempt in [*self.active, *self.waiting]:
                if attempt.connection is connection:
                    self.end_locked(attempt, AttemptEnd.ABANDONED)
            self.start_waiting_locked()

    def end_locked(self, attempt: ConnectedAttempt, end: AttemptEnd) -> None:
        """Record the end of an attempt without sending an answer. Needs the lock."""
        attempt.finish(end, monotonic())
        self.active.discard(attempt)
        with contextlib.suppress(ValueError):
            self.waiting.remove(attempt)

    def collapse_locked(self) -> None:
        """Collapse because too many requests arrived during warm-up (rule 4). Needs the lock.

        The server resets all attempts and refuses connections for `collapse_duration`.
        """
        self.collapse_is_due = False
        self.model.collapses += 1
        self.model.sent_while_warming.clear()
        self.reset_attempts_locked()
        self.stop_listening()
        self.timers.call_at(monotonic() + self.model.settings.collapse_duration, self.listen_again)

    def reset_attempts_locked(self) -> None:
        """Record the end of all attempts by a reset. Needs the lock."""
        for attempt in [*self.active, *self.waiting]:
            self.end_locked(attempt, AttemptEnd.RESET)

    # faults

    def stop_listening(self) -> None:
        """Refuse new connections and reset the open ones. The port stays reserved."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.reserved = reserve(self.endpoint)
        for connection in list(self.connections):
            reset(connection)

    def listen_again(self) -> None:
        """Accept connections again. The listener stays closed if the port is in use."""
        with contextlib.suppress(OSError):
            self.listen(self.endpoint)

    def die(self) -> None:
        """Simulate a crash: reset all attempts and refuse connections."""
        with self.lock:
            self.model.mode = ServerMode.DEAD
            self.reset_attempts_locked()
        self.stop_listening()

    def revive(self, now: float) -> None:
        """Restart after `die`, with a slow start from time `now` (s, monotonic)."""
        self.model.restart(now)
        self.listen_again()
