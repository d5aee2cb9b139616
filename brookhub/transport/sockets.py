"""Making sockets: dialled ones and accepted ones."""

from __future__ import annotations

import contextlib
import socket
import struct
from threading import Event
from time import sleep
from typing import Callable

ACCEPT_BACKLOG = 512  # connections that the system holds until they are accepted
SOCKET_BUFFER_BYTES = (
    64 * 1024
)  # bytes asked for a direction: the largest value, which the system doubles for its own use
ACCEPT_RETRY_PAUSE = 0.05  # s until the next accept where no descriptor is left


def set_blocking_timeouts(sock: socket.socket, reading: float = 0.0, writing: float = 0.0) -> None:
    """Limits in seconds to how long one blocking read or write may take; 0: none."""
    for option, seconds in ((socket.SO_RCVTIMEO, reading), (socket.SO_SNDTIMEO, writing)):
        sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("ll", int(seconds), int(seconds % 1 * 1e6)))


def create_socket(address: tuple[str, int]) -> socket.socket:
    """A socket with buffers of its own size.

    By themselves the system's grow to megabytes, for each peer that does not read.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def connect(address: tuple[str, int], within: float) -> socket.socket:
    """Connect in so many seconds; raises OSError where it does not come up."""
    sock = create_socket(address)
    try:
        sock.settimeout(within)
        sock.connect(address)
        sock.settimeout(None)
    except OSError:
        sock.close()
        raise
    return sock


class Listener:
    """Accepts connections and hands each over, until it is closed."""

    def __init__(self, address: tuple[str, int]):
        self.sock = create_socket(address)  # what it accepts takes after it
        self.closed, self.stopped = False, Event()
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(address)
            self.sock.listen(ACCEPT_BACKLOG)
        except OSError:
            self.sock.close()
            raise

    def accept_until_closed(self, accepted: Callable[[socket.socket], None]) -> None:
        """Accept until `close`, handing each connection on. Runs in a thread of its own."""
        while True:
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                if self.closed:  # and nobody waits any more
                    break
                continue
            except OSError:
                sleep(ACCEPT_RETRY_PAUSE)  # no descriptor left, or a peer that was gone before its turn
                continue
            accepted(sock)
        self.sock.close()
        self.stopped.set()

    def close(self, within: float) -> None:
        """Accept who waits already, and nobody after that."""
        self.closed = True
        self.sock.setblocking(False)
        with contextlib.suppress(OSError):
            socket.create_connection(self.sock.getsockname(), within).close()  # wakes the accept that waits
        self.stopped.wait(within)
