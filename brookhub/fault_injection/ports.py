"""Ports that are kept while nobody listens there."""

from __future__ import annotations

import contextlib
import socket


def reserve(at: tuple[str, int]) -> socket.socket:
    """A socket that is bound there and does not listen: dials are refused, and nobody else is given the port.

    Without it a port that is closed for a while may become another lab's, whose servers then get what
    limiters of this one send to where they knew one of theirs.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    with contextlib.suppress(OSError):  # somebody was quicker: as if it had not been tried
        sock.bind(at)
    return sock
