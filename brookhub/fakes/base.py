"""What all stand-ins share: a listener with a thread for each connection, RESP2 reading, one timer thread."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
from heapq import heappop, heappush
from time import monotonic
from typing import Callable

RESET = struct.pack("ii", 1, 0)  # SO_LINGER on, 0 s: close sends RST


def reset(conn: socket.socket) -> None:
    """End a connection with RST, as a process that died leaves it."""
    with contextlib.suppress(OSError):
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        conn.shutdown(socket.SHUT_RDWR)


class FakeListener:
    """Listens on loopback at (host, port).

    `serve` has each connection to itself, in a thread, and may end it.
    """

    def __init__(self, at: tuple[str, int] = ("127.0.0.1", 0)):
        self.open: set[socket.socket] = set()
        self.reserved: socket.socket | None = None  # holds the port while nobody listens there
        self.listen(at)

    def listen(self, at: tuple[str, int]) -> None:
        """(Re)open the listener; raises OSError where the address is taken."""
        self.sock = socket.create_server(at, backlog=256)
        if self.reserved:
            self.reserved.close()
        self.at = self.sock.getsockname()
        self.address = "%s:%d" % self.at
        threading.Thread(target=self.accept, args=(self.sock,), daemon=True).start()

    def accept(self, sock: socket.socket) -> None:
        """Accept connections, each served by a thread."""
        with contextlib.suppress(OSError):
            while True:
                conn = sock.accept()[0]
                conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.open.add(conn)
                threading.Thread(target=self.hold, args=(conn,), daemon=True).start()

    def hold(self, conn: socket.socket) -> None:
        """Serve a connection to its end."""
        with contextlib.suppress(OSError, ValueError), conn, conn.makefile("rb") as lines:
            self.serve(conn, lines)
        self.open.discard(conn)

    def serve(self, conn: socket.socket, lines) -> None:
        """Answer what comes on a connection; for the stand-in to define."""
        raise NotImplementedError

    def break_all(self) -> None:
        """Reset all connections."""
        for conn in list(self.open):
            reset(conn)

    def close(self) -> None:
        """Stop, with all connections."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)  # wakes the accept that waits, which would hold it open
        self.sock.close()
        if self.reserved:
            self.reserved.close()
        self.break_all()


def read_value(lines):
    """One RESP2 value; raises ValueError where the other side ended."""
    line = lines.readline()
    if not line.endswith(b"\r\n"):
        raise ValueError("ended")
    kind, rest = line[:1], line[1:-2]
    if kind == b"*":
        return [read_value(lines) for _ in range(int(rest))]
    if kind == b"$":
        return None if rest == b"-1" else lines.read(int(rest) + 2)[:-2]
    return line[:-2]


class Timers:
    """One thread that calls back at a time: `at(when, callback)` in seconds of the monotonic clock."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.order, self.lock, self.over = 0, threading.Condition(), False
        self.latest = 0.0  # s, the most that a call back came late: the noise of this machine
        threading.Thread(target=self.run, daemon=True).start()

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Call back at a moment (s, monotonic)."""
        with self.lock:
            self.order += 1
            heappush(self.heap, (when, self.order, callback))
            if self.heap[0][1] == self.order:
                self.lock.notify()

    def run(self) -> None:
        """Call back what is due, until `close`."""
        while True:
            with self.lock:
                while not self.over and (not self.heap or self.heap[0][0] > monotonic()):
                    self.lock.wait(self.heap[0][0] - monotonic() if self.heap else None)
                if self.over:
                    return
                when, _, callback = heappop(self.heap)
            self.latest = max(self.latest, monotonic() - when)
            with contextlib.suppress(OSError):
                callback()

    def close(self) -> None:
        """Stop."""
        with self.lock:
            self.over = True
            self.lock.notify()
