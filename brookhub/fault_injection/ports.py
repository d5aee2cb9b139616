"""Reserves ports while nobody listens on them."""

from __future__ import annotations

import contextlib
import socket

Endpoint = tuple[str, int]  # IPv4 address and port


def reserve(endpoint: Endpoint) -> socket.socket:
    """A socket that is bound there and does not listen: connections are refused, and the port stays taken.

    Otherwise a port that is closed for a while may be given to another experiment, whose servers would then
    receive requests of this one's limiters. The caller closes the socket.
    """
    placeholder = socket.socket()
    placeholder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    with contextlib.suppress(OSError):  # another process was quicker: as if it had not been tried
        placeholder.bind(endpoint)
    return placeholder
