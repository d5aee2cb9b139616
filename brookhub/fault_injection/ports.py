"""Reservation of TCP ports while no process listens on them."""

from __future__ import annotations

import contextlib
import socket

Endpoint = tuple[str, int]  # IPv4 address and port.


def format_endpoint(endpoint: Endpoint) -> str:
    """Format an endpoint as HOST:PORT."""
    host, port = endpoint
    return f"{host}:{port}"


def reserve(endpoint: Endpoint) -> socket.socket:
    """Return a socket that is bound to an endpoint without listening, to reserve its port.

    Connections to it are refused. Without it, the kernel could assign a temporarily closed port to another
    experiment, whose servers would then receive requests from this experiment's limiters. The caller closes
    the socket.
    """
    placeholder = socket.socket()
    placeholder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    with contextlib.suppress(OSError):  # Another process has taken the port; proceed without reserving it.
        placeholder.bind(endpoint)
    return placeholder
