"""Creation of TCP sockets: outgoing connections and a listener."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable
from threading import Event
from time import sleep

from .connection_slots import ConnectionSlots

ACCEPT_BACKLOG = 512  # Connections that the kernel queues until they are accepted.
# Buffer size requested per direction: the largest value of the protocol. The kernel doubles it.
SOCKET_BUFFER_BYTES = 64 * 1024
SLOT_WAIT = 0.25  # Seconds until the listener checks again whether a connection slot is free.
ACCEPT_RETRY_PAUSE = 0.05  # Seconds before the next accept after one has failed.


def set_blocking_timeouts(sock: socket.socket, reading: float = 0.0, writing: float = 0.0) -> None:
    """Set the timeouts in seconds of a blocking read and write; 0 means no limit. Raises OSError.

    A read or write that takes longer raises BlockingIOError.
    """
    for option, seconds in ((socket.SO_RCVTIMEO, reading), (socket.SO_SNDTIMEO, writing)):
        timeval = struct.pack("ll", int(seconds), int(seconds % 1 * 1e6))
        sock.setsockopt(socket.SOL_SOCKET, option, timeval)


def create_socket(address: tuple[str, int]) -> socket.socket:
    """Return a TCP socket for an address, with buffers of a fixed size.

    Otherwise the kernel lets the buffers grow to megabytes for each peer that does not read.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def connect(address: tuple[str, int], timeout: float) -> socket.socket:
    """Connect to an address within `timeout` seconds and return the socket. Raises OSError."""
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
    """A listening socket that passes each accepted connection to a callback until it is closed.

    `stopped` is set after the last connection has been accepted. A dedicated thread runs
    `accept_until_closed`; any thread may call `close`.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Listen at an address. Raises OSError."""
        self.sock = create_socket(address)  # Accepted sockets inherit its options.
        self.stopped = Event()
        self._is_closing = False
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(address)
            self.sock.listen(ACCEPT_BACKLOG)
        except OSError:
            self.sock.close()
            raise

    def accept_until_closed(
        self, on_accepted: Callable[[socket.socket], object], slots: ConnectionSlots
    ) -> None:
        """Pass each accepted connection to `on_accepted` until `close`. Runs in its own thread.

        Each connection gets one of the `slots`, which `on_accepted` has to release.
        """
        is_open = True
        while is_open:
            if not slots.acquire(SLOT_WAIT):
                continue
            sock = None
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                is_open = not self._is_closing  # If it is closing, the backlog is empty.
            except OSError:
                sleep(ACCEPT_RETRY_PAUSE)  # No file descriptor is free, or the peer has already closed.
            if sock:
                on_accepted(sock)
            else:
                slots.release()
        self.sock.close()
        self.stopped.set()

    def close(self, timeout: float) -> None:
        """Stop listening after accepting the connections in the backlog; wait at most `timeout` seconds."""
        self._is_closing = True
        self.sock.setblocking(False)
        with contextlib.suppress(OSError):  # A connection to the listener wakes the blocked accept.
            socket.create_connection(self.sock.getsockname(), timeout).close()
        self.stopped.wait(timeout)
