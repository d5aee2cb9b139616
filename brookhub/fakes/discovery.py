"""Fake of discovery: the endpoint list and its watch events as chunked HTTP/1.1."""

from __future__ import annotations

import contextlib
import json
import socket
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any, BinaryIO

from .listener import ANY_LOOPBACK_PORT, FakeListener

KEEPALIVE_INTERVAL = 0.5  # Seconds between two empty lines on a watch.
FIRST_VERSION = 41

Host = dict[str, Any]
"""A server as discovery's JSON describes it; see `host`."""

DialAddress = Callable[[str, str], str]
"""Returns a server's address as "host:port", from a limiter's IP address and the server's name."""


def host(
    name: str, address: str, health: str = "Ready", born_ms: int = 0, zone: str = "a", cell: int = 1
) -> Host:
    """Return a server as discovery's JSON describes it.

    `born_ms` is the Unix time in ms of its start; 0 means long ago.
    """
    return {
        "host": name,
        "dial": address,
        "site": zone,
        "class": "m",
        "block": cell,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


class FakeDiscovery(FakeListener):
    """Fake discovery. A watch begins with the complete endpoint list; `push` sends events to all watches.

    `dial(limiter, server)` may return a different address of a server for each limiter, for relayed links.
    `indent` is the indentation of the JSON text (None: one line). If `cut`, each byte is sent separately. If
    not `chunked`, answers have neither chunks nor a Content-Length. The first requests are answered with the
    response heads in `refusals`, after which their connections are closed. `requests` holds the request lines
    received. If `quiet`, no keepalive lines are sent.
    """

    def __init__(
        self,
        hosts: Sequence[Host],
        dial: DialAddress | None = None,
        *,
        indent: int | None = None,
        cut: bool = False,
        chunked: bool = True,
        refusals: Iterable[bytes] = (),
    ) -> None:
        self.hosts = hosts
        self.dial = dial
        self.indent = indent
        self.cut = cut
        self.chunked = chunked
        self.refusals = list(refusals)
        self.version = FIRST_VERSION
        self.requests: list[bytes] = []
        self.quiet = False
        super().__init__(ANY_LOOPBACK_PORT)

    def hosts_for(self, limiter: str, hosts: Sequence[Host]) -> list[Host]:
        """Return servers with the addresses at which a limiter reaches them."""
        if self.dial is None:
            return list(hosts)
        return [{**server, "dial": self.dial(limiter, server["host"])} for server in hosts]

    def complete_list(self, limiter: str = "") -> str:
        """Return the complete endpoint list for a limiter as JSON."""
        return self.event(True, self.hosts_for(limiter, self.hosts))

    def event(self, complete: bool, hosts: Sequence[Host]) -> str:
        """Return a watch event as JSON, with the complete list or only the changed servers."""
        return json.dumps({"seq": self.version, "whole": complete, "hosts": hosts}, indent=self.indent)

    def serve(self, connection: socket.socket, lines: BinaryIO) -> None:
        """Serve a watch until its client closes the connection."""
        self.requests.append(lines.readline())
        while lines.readline().strip():
            pass  # Skips the headers of the request.
        if self.refusals:
            connection.sendall(self.refusals.pop(0))
            return
        encoding = b"Transfer-Encoding: chunked\r\n" if self.chunked else b""
        connection.sendall(b"HTTP/1.1 200 OK\r\n%b\r\n" % encoding)
        self.send(connection, self.complete_list(connection.getpeername()[0]))
        while not lines.closed:
            time.sleep(KEEPALIVE_INTERVAL)
            if not self.quiet:
                self.send(connection, "")

    def send(self, connection: socket.socket, text: str) -> None:
        """Send a line to a watch."""
        data = text.encode() + b"\n"
        if self.chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if not self.cut:
            connection.sendall(data)
            return
        for byte in data:
            connection.sendall(bytes([byte]))

    def push(self, *hosts: Host, text: str | None = None) -> None:
        """Send an event with changed servers, or `text` unchanged, to all watches."""
        self.version += 1
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                changed = self.hosts_for(connection.getpeername()[0], hosts)
                self.send(connection, text or self.event(False, changed))
