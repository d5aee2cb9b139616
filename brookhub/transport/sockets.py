"""Making sockets: connecting and accepting."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable
from threading import Event
from time import sleep

ACCEPT_BACKLOG = 512  # connections that the system holds until they are accepted
SOCKET_BUFFER_BYTES = 64 * 1024  # asked for in each direction: the largest value; the system doubles it
ACCEPT_RETRY_PAUSE = 0.05  # s until the next accept where no descriptor is free


def set_blocking_timeouts(sock: socket.socket, reading: float = 0.0, writing: float = 0.0) -> None:
    """Limit how long (s) one blocking read or write may take; 0: no limit. Raises OSError.

    A read or write beyond that raises BlockingIOError.
    """
    for option, seconds in ((socket.SO_RCVTIMEO, reading), (socket.SO_SNDTIMEO, writing)):
        timeval = struct.pack("ll", int(seconds), int(seconds % 1 * 1e6))
        sock.setsockopt(socket.SOL_SOCKET, option, timeval)


def create_socket(address: tuple[str, int]) -> socket.socket:
    """A TCP socket for an address, with buffers of a fixed size.

    By itself the system lets them grow to megabytes for each peer that does not read.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def connect(address: tuple[str, int], timeout: float) -> socket.socket:
    """Connect within `timeout` seconds. Raises OSError."""
    sock = create_socket(address)
    try:
        sock.settimeout(timeout)
        sock.connect(address)
        sock.settimeout(None)
    except OSError:
        sock.close()
        raise
    return sock


class Listener:
    """Accepts connections and hands each over, until it is closed.

    `stopped` is set once it has accepted the last one. Its own thread runs `accept_until_closed`; any thread
    may call `close`.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Listen at an address. Raises OSError."""
        self.sock = create_socket(address)  # accepted sockets inherit its options
        self.stopped = Event()
        self._is_closing = False
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(address)
            self.sock.listen(ACCEPT_BACKLOG)
        except OSError:
            self.sock.close()
            raise

    def accept_until_closed(self, on_accepted: Callable[[socket.socket], object]) -> None:
        """Hand over each connection until `close`. Runs in a thread of its own."""
        while True:
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                if self._is_closing:  # the backlog is empty
                    break
                continue
            except OSError:
                sleep(ACCEPT_RETRY_PAUSE)  # no descriptor is free, or the peer has closed already
                continue
            on_accepted(sock)
        self.sock.close()
        self.stopped.set()

    def close(self, timeout: float) -> None:
        """Accept the connections in the backlog and no more; waits at most `timeout` seconds for that."""
        self._is_closing = True
        self.sock.setblocking(False)
        with contextlib.suppress(OSError):  # a connection to itself wakes the accept that blocks
            socket.create_connection(self.sock.getsockname(), timeout).close()
        self.stopped.wait(timeout)
