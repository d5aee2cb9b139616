"""Discovery on loopback: the server list and its changes, as chunked HTTP/1.1."""

from __future__ import annotations

import contextlib
import json
import time

from .base import StandIn

BEAT = 0.5  # s between empty lines while nothing changes


class DiscoveryStandIn(StandIn):
    """Discovery. `tell` sends text as a chunk to all that watch; a watch begins with the whole list.

    `dial(limiter, host)` may give each limiter (its address) another address of a host, as links need it."""

    def __init__(self, hosts, at: tuple[str, int] = ("127.0.0.1", 0), dial=None):
        self.hosts, self.seq, self.asked, self.quiet, self.dial = hosts, 41, [], False, dial
        super().__init__(at)

    def seen_from(self, limiter: str, hosts) -> list[dict]:
        return [{**one, "dial": self.dial(limiter, one["host"])} for one in hosts] if self.dial else list(hosts)

    def whole(self, limiter: str = "") -> str:
        return json.dumps({"seq": self.seq, "whole": True, "hosts": self.seen_from(limiter, self.hosts)})

    def serve(self, conn, lines):
        self.asked.append(lines.readline())
        while lines.readline().strip():
            pass
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.send(conn, self.whole(conn.getpeername()[0]))
        while not lines.closed:
            time.sleep(BEAT)
            if not self.quiet:
                self.send(conn, "")

    def send(self, conn, text):
        data = text.encode() + b"\n"
        conn.sendall(b"%x\r\n%b\r\n" % (len(data), data))

    def tell(self, *hosts, text=None):
        """Send a change (hosts as `host` makes them), or `text` as it is, to all that watch."""
        self.seq += 1
        for conn in list(self.open):
            with contextlib.suppress(OSError):
                told = self.seen_from(conn.getpeername()[0], hosts)
                self.send(conn, text or json.dumps({"seq": self.seq, "whole": False, "hosts": told}))


def host(name, address, health="Ready", born=0, zone="a", cell=1):
    """A server as discovery words it; `born` in Unix ms, 0 for long ago."""
    return {"host": name, "dial": address, "site": zone, "class": "m", "block": cell, "health": health, "share": 1.0,
            "born_ms": born}
