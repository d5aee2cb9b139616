"""Relays of UDP between all pairs of a fleet's members."""

from __future__ import annotations

import contextlib
import selectors
import socket
from time import monotonic
from typing import TYPE_CHECKING

from .conditions import Way

if TYPE_CHECKING:
    from .relay import Relays


class UdpMesh:
    """UDP between all pairs of members.

    Member a reaches b at `address(a, b)`, and sees b's packets come from there; packets that do not come from
    the process bound to a's own address are dropped and counted (`strange`).
    """

    def __init__(self, relays: Relays, members: dict[str, tuple[str, int]]):
        self.relays, self.members, self.strange = relays, dict(members), 0
        self.ways = {(a, b): Way(f"{relays.seed}/udp/{a}/{b}") for a in members for b in members if a != b}
        self.sockets = {}
        for pair in self.ways:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
            self.sockets[pair] = sock
        relays.call(
            lambda: [
                relays.selector.register(sock, selectors.EVENT_READ, lambda mask, pair=pair: self.come(pair))
                for pair, sock in self.sockets.items()
            ]
        )

    def address(self, a: str, b: str) -> str:
        """Where member a reaches member b."""
        return "%s:%d" % self.sockets[a, b].getsockname()

    def set(self, a: str, b: str, **changes) -> None:
        """Change the direction from a to b; see Conditions."""
        self.ways[a, b].set(**changes)

    def split(self, side: set[str]) -> None:
        """Cut every pair of which one is in `side` and the other is not, both ways."""
        for (a, b), way in self.ways.items():
            if (a in side) != (b in side):
                way.set(cut=True)

    def every(self, **changes) -> None:
        """Change all directions."""
        for way in self.ways.values():
            way.set(**changes)

    def clear(self) -> None:
        """All directions as they should be."""
        for way in self.ways.values():
            way.clear()

    def come(self, pair: tuple[str, str]) -> None:
        """Packets came on the way of a pair."""
        a, b = pair
        while True:
            try:
                data, source = self.sockets[pair].recvfrom(65536)
            except BlockingIOError:
                return
            if source != self.members[a]:
                self.strange += 1
                continue
            now = monotonic()
            for due in self.ways[pair].packet(len(data), now):
                if due <= now:
                    self.pass_on(b, a, data)
                else:
                    self.relays.at(due, lambda data=data: self.pass_on(b, a, data))

    def pass_on(self, b: str, a: str, data: bytes) -> None:
        """A packet reaches b, as of a."""
        with contextlib.suppress(OSError):  # nobody is bound there: the packet is lost, as on a network
            self.sockets[b, a].sendto(data, self.members[b])

    def shut(self) -> None:
        """Close all sockets."""
        for sock in self.sockets.values():
            with contextlib.suppress(KeyError, ValueError):
                self.relays.selector.unregister(sock)
            sock.close()
