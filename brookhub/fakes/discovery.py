"""Discovery on loopback: the server list and its changes, as chunked HTTP/1.1."""

from __future__ import annotations

import contextlib
import json
import time

from .base import FakeListener

BEAT = 0.5  # s between empty lines while nothing changes


class FakeDiscovery(FakeListener):
    """Discovery. `tell` sends text as a chunk to all that watch; a watch begins with the whole list.

    `dial(limiter, host)` may give each limiter (its address) another address of a host, as links need it.
    `indent` is that of the JSON text (None: one line), `cut` sends each byte by itself, `chunked` False an
    answer of no stated length. The calls that come first are answered with the heads in `refusals` and
    closed.
    """

    def __init__(
        self,
        hosts,
        at: tuple[str, int] = ("127.0.0.1", 0),
        dial=None,
        indent: int | None = None,
        cut: bool = False,
        chunked: bool = True,
        refusals: tuple[bytes, ...] = (),
    ):
        self.hosts, self.seq, self.asked, self.quiet, self.dial = hosts, 41, [], False, dial
        self.indent, self.cut, self.chunked, self.refusals = indent, cut, chunked, list(refusals)
        super().__init__(at)

    def seen_from(self, limiter: str, hosts) -> list[dict]:
        """Hosts as a limiter is to dial them."""
        return (
            [{**one, "dial": self.dial(limiter, one["host"])} for one in hosts] if self.dial else list(hosts)
        )

    def whole(self, limiter: str = "") -> str:
        """The whole list as a line."""
        return self.text(True, self.seen_from(limiter, self.hosts))

    def text(self, whole: bool, hosts: list[dict]) -> str:
        """A list, whole or of changes, as a line."""
        return json.dumps({"seq": self.seq, "whole": whole, "hosts": hosts}, indent=self.indent)

    def serve(self, conn, lines):
        """Answer a watch."""
        self.asked.append(lines.readline())
        while lines.readline().strip():
            pass
        if self.refusals:
            return conn.sendall(self.refusals.pop(0))
        encoding = b"Transfer-Encoding: chunked\r\n" if self.chunked else b""
        conn.sendall(b"HTTP/1.1 200 OK\r\n%b\r\n" % encoding)
        self.send(conn, self.whole(conn.getpeername()[0]))
        while not lines.closed:
            time.sleep(BEAT)
            if not self.quiet:
                self.send(conn, "")

    def send(self, conn, text):
        """Write a line to a watch."""
        data = text.encode() + b"\n"
        data = b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data
        for piece in (data[at : at + 1] for at in range(len(data))) if self.cut else (data,):
            conn.sendall(piece)

    def tell(self, *hosts, text=None):
        """Send a change (hosts as `host` makes them), or `text` as it is, to all that watch."""
        self.seq += 1
        for conn in list(self.open):
            with contextlib.suppress(OSError):
                told = self.seen_from(conn.getpeername()[0], hosts)
                self.send(conn, text or self.text(False, told))


def host(name, address, health="Ready", born=0, zone="a", cell=1):
    """A server as discovery words it; `born` in Unix ms, 0 for long ago."""
    return {
        "host": name,
        "dial": address,
        "site": zone,
        "class": "m",
        "block": cell,
        "health": health,
        "share": 1.0,
        "born_ms": born,
    }
