"""Connections of the load generator to limiters, in a pool per limiter."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
from time import monotonic

from ..fakes import Endpoint, read_value
from .client_request import Answer, AnswerKind, ClientRequest

CONNECT_TIMEOUT = 1.0  # In seconds.
AVOID_TIME = 0.5  # Seconds in which a limiter that refused a connection is not chosen.


class ClientConnection:
    """A client's connection to a limiter. Raises OSError if the limiter refuses it.

    `last_request` is the last request that was answered on the connection.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.socket = socket.create_connection(endpoint, CONNECT_TIMEOUT)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lines = self.socket.makefile("rb")
        self.last_request: ClientRequest | None = None

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has received nothing since the last answer.

        Bytes that were received are recorded as a further answer to the last request.
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
        """Send a command. Raises OSError if the connection is closed or does not accept it in time."""
        self.socket.settimeout(CONNECT_TIMEOUT)
        self.socket.sendall(command)

    def receive(self, timeout: float) -> bytes | None:
        """Return the next answer, None for the null string.

        Raises TimeoutError after `timeout` seconds, and OSError or ValueError if the connection was closed or
        the answer is an array.
        """
        self.socket.settimeout(timeout)
        answer = read_value(self.lines)
        if isinstance(answer, list):
            raise ValueError(f"expected a string as answer, got an array of {len(answer)} elements")
        return answer

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.lines.close()
            self.socket.close()


class ConnectionPools:
    """Pools of idle connections by limiter. Chooses the limiter of each request, as a load balancer does.

    `lock` guards `idle` and `refused_at`. `choose_locked` and `put` may be called by any thread.
    """

    def __init__(self, endpoints: list[Endpoint], rng: random.Random, lock: threading.Lock) -> None:
        self.endpoints = endpoints
        self.rng = rng
        self.lock = lock
        self.idle: list[list[ClientConnection]] = [[] for _ in endpoints]
        self.refused_at = [0.0] * len(endpoints)  # Monotonic time in seconds of each limiter's last refusal.

    def choose_locked(self, now: float, excluded: int | None = None) -> int:
        """Return a random limiter, other than `excluded`, that did not refuse a connection within AVOID_TIME.

        If there is none, returns any limiter, which may be `excluded`. The caller must hold `lock`.
        """
        indices = range(len(self.endpoints))
        usable = [
            index for index in indices if now - self.refused_at[index] > AVOID_TIME and index != excluded
        ]
        return self.rng.choice(usable or list(indices))

    def take(self, limiter: int) -> ClientConnection | None:
        """Return an idle connection to a limiter, None if there is none. The limiter may have closed it."""
        with self.lock:
            pool = self.idle[limiter]
            return pool.pop() if pool else None

    def put(self, limiter: int, connection: ClientConnection) -> None:
        """Return a connection to its pool for another request."""
        with self.lock:
            self.idle[limiter].append(connection)

    def connect(self, request: ClientRequest) -> tuple[ClientConnection | None, bool]:
        """Return a connection for a request, and whether the connection was used before.

        If the request's limiter refuses the connection, another one is chosen and `request.limiter` is set to
        it. The connection is None if all limiters refuse.
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
        """Close all idle connections and record unexpected bytes that they received."""
        for pool in self.idle:
            for connection in pool:
                connection.is_reusable()
                connection.close()
