"""The load generator's connections to limiters, pooled by limiter."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
from time import monotonic

from ..fakes import Endpoint, read_value
from .client_request import Answer, AnswerKind, ClientRequest

CONNECT_TIMEOUT = 1.0  # s
AVOID_TIME = 0.5  # s that a limiter which refused a connection is not chosen


class ClientConnection:
    """A client's connection to a limiter; raises OSError if the limiter refuses it.

    `last_request` is the last request answered on it.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.socket = socket.create_connection(endpoint, CONNECT_TIMEOUT)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lines = self.socket.makefile("rb")
        self.last_request: ClientRequest | None = None

    def is_reusable(self) -> bool:
        """Whether it is open, and nothing arrived on it.

        Bytes that did arrive are recorded as a further answer of the last request.
        """
        self.socket.setblocking(False)
        try:
            data = self.socket.recv(4096)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if data and self.last_request:
            self.last_request.answers.append(Answer(monotonic(), AnswerKind.UNEXPECTED))
        return False

    def send(self, command: bytes) -> None:
        """Send a command; raises OSError."""
        self.socket.settimeout(CONNECT_TIMEOUT)
        self.socket.sendall(command)

    def receive(self, timeout: float) -> bytes | None:
        """The next answer, None for the null string.

        Raises TimeoutError after `timeout` s, OSError or ValueError if the connection was closed or the
        answer is an array.
        """
        self.socket.settimeout(timeout)
        answer = read_value(self.lines)
        if isinstance(answer, list):
            raise ValueError("an answer is no array")
        return answer

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.lines.close()
            self.socket.close()


class ConnectionPools:
    """Idle connections by limiter, and the choice of a limiter: the front end of the fleet.

    `lock` guards `idle` and `refused_at`. `choose` and `put` may be called by any thread.
    """

    def __init__(self, endpoints: list[Endpoint], rng: random.Random, lock: threading.Lock) -> None:
        self.endpoints = endpoints
        self.rng = rng
        self.lock = lock
        self.idle: list[list[ClientConnection]] = [[] for _ in endpoints]
        self.refused_at = [0.0] * len(endpoints)  # s (monotonic), when a limiter last refused a connection

    def choose_locked(self, now: float, excluded: int | None = None) -> int:
        """A random limiter that did not refuse a connection lately, any if all did. Needs the lock."""
        indices = range(len(self.endpoints))
        usable = [
            index for index in indices if now - self.refused_at[index] > AVOID_TIME and index != excluded
        ]
        return self.rng.choice(usable or list(indices))

    def take(self, limiter: int) -> ClientConnection | None:
        """An idle connection to a limiter, which may be closed meanwhile; None if there is none."""
        with self.lock:
            pool = self.idle[limiter]
            return pool.pop() if pool else None

    def put(self, limiter: int, connection: ClientConnection) -> None:
        """Keep a connection for another request."""
        with self.lock:
            self.idle[limiter].append(connection)

    def connect(self, request: ClientRequest) -> tuple[ClientConnection | None, bool]:
        """A connection to the request's limiter, or to another one if it refuses; whether it was used before.

        None if all refuse. Changes `request.limiter`.
        """
        attempts = 0
        while attempts <= len(self.endpoints):
            pooled = self.take(request.limiter)
            if pooled is not None:
                if pooled.is_reusable():
                    return pooled, True
                pooled.close()
                continue
            attempts += 1
            try:
                return ClientConnection(self.endpoints[request.limiter]), False
            except OSError:
                with self.lock:
                    self.refused_at[request.limiter] = monotonic()
                    request.limiter = self.choose_locked(monotonic(), request.limiter)
        return None, False

    def close(self) -> None:
        """Close all idle connections; what arrived on them is recorded."""
        for pool in self.idle:
            for connection in pool:
                connection.is_reusable()
                connection.close()
