"""Base class of all fakes: a TCP listener on loopback with a thread for each connection."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
from typing import BinaryIO

from ..protocol.server_list import format_address

Endpoint = tuple[str, int]
"""IPv4 address and port."""

ANY_LOOPBACK_PORT: Endpoint = ("127.0.0.1", 0)
BACKLOG = 256
LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0 s, which makes `close` send RST.


def reset(connection: socket.socket) -> None:
    """Reset a connection (RST), as happens when its process is killed."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        connection.shutdown(socket.SHUT_RDWR)


class FakeListener:
    """Listener on loopback whose subclasses serve each connection in `serve`, in a separate thread.

    `endpoint` is (host, port) and `address` the same as "host:port". Both stay the same when the listener is
    closed and opened again. `connections` holds the open connections: the accepting and serving threads
    change it, other threads may copy it. The owner ends the listener by `close`.
    """

    def __init__(self, endpoint: Endpoint = ANY_LOOPBACK_PORT) -> None:
        self.connections: set[socket.socket] = set()
        self.reserved: socket.socket | None = None  # Reserves the port while the listener is closed.
        self.listen(endpoint)

    def listen(self, endpoint: Endpoint) -> None:
        """Open the listener, for the first time or again. Raises OSError if the port is in use."""
        self.listener = socket.create_server(endpoint, backlog=BACKLOG)
        if self.reserved:
            self.reserved.close()
        self.endpoint: Endpoint = self.listener.getsockname()
        self.address = format_address(self.endpoint)
        threading.Thread(target=self.accept_all, args=(self.listener,), daemon=True).start()

    def accept_all(self, listener: socket.socket) -> None:
        """Accept connections until the listener is closed. Runs in a separate thread."""
        with contextlib.suppress(OSError):
            while True:
                connection = listener.accept()[0]
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.connections.add(connection)
                threading.Thread(target=self.serve_to_end, args=(connection,), daemon=True).start()

    def serve_to_end(self, connection: socket.socket) -> None:
        """Serve a connection until either side closes it. Runs in a separate thread."""
        with contextlib.suppress(OSError, ValueError), connection, connection.makefile("rb") as lines:
            self.serve(connection, lines)
        self.connections.discard(connection)

    def serve(self, connection: socket.socket, lines: BinaryIO) -> None:
        """Serve a connection, which is closed when this returns or raises OSError or ValueError."""
        raise NotImplementedError

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            reset(connection)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        with contextlib.suppress(OSError):
            # Ends a pending accept, which would keep the socket open.
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        if self.reserved:
            self.reserved.close()
        self.reset_connections()
