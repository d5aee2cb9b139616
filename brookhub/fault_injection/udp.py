"""Relays of UDP between all pairs of a fleet's members."""

from __future__ import annotations

import contextlib
import selectors
import socket
from collections.abc import Callable, Collection
from time import monotonic
from typing import NamedTuple, Unpack

from .direction import ConditionChanges, Direction
from .event_loop import EventLoop
from .ports import Endpoint

MAX_DATAGRAM = 65536  # bytes


class Path(NamedTuple):
    """A direction between two members, by their names."""

    sender: str
    receiver: str


class UdpMesh:
    """UDP between all pairs of members.

    Member a reaches b at `address(a, b)`, and sees b's packets come from there. Packets that do not come from
    a's own endpoint are dropped and counted in `foreign_packets`. The sockets belong to the loop's thread.
    """

    def __init__(self, loop: EventLoop, seed: str, members: dict[str, Endpoint]) -> None:
        self.loop = loop
        self.members = dict(members)
        self.foreign_packets = 0
        paths = [Path(sender, receiver) for sender in members for receiver in members if sender != receiver]
        self.directions = {path: Direction(f"{seed}/{path.sender}/{path.receiver}") for path in paths}
        self.sockets = {path: self.bind() for path in paths}
        loop.call(self.watch_all)

    @staticmethod
    def bind() -> socket.socket:
        """A non-blocking UDP socket on a free port."""
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.bind(("127.0.0.1", 0))
        bound.setblocking(False)
        return bound

    def watch_all(self) -> None:
        """Receive on all sockets from now on. Runs in the loop's thread."""
        for path, path_socket in self.sockets.items():
            self.loop.watch(path_socket, selectors.EVENT_READ, self.receiver_of(path))

    def receiver_of(self, path: Path) -> Callable[[int], None]:
        """The callback that relays what arrives on a path."""
        return lambda mask: self.receive(path)

    def address(self, sender: str, receiver: str) -> str:
        """Where a member reaches another, as "host:port"."""
        return "%s:%d" % self.sockets[Path(sender, receiver)].getsockname()

    def set(self, sender: str, receiver: str, **changes: Unpack[ConditionChanges]) -> None:
        """Change the conditions of one direction."""
        self.directions[Path(sender, receiver)].set(**changes)

    def set_all(self, **changes: Unpack[ConditionChanges]) -> None:
        """Change the conditions of all directions."""
        for direction in self.directions.values():
            direction.set(**changes)

    def split(self, side: Collection[str]) -> None:
        """Cut every pair of which one member is in `side` and the other is not, in both directions."""
        for path, direction in self.directions.items():
            if (path.sender in side) != (path.receiver in side):
                direction.set(cut=True)

    def clear(self) -> None:
        """Remove all faults."""
        for direction in self.directions.values():
            direction.clear()

    def receive(self, path: Path) -> None:
        """Relay all packets that arrived on a path. Runs in the loop's thread."""
        while True:
            try:
                data, source = self.sockets[path].recvfrom(MAX_DATAGRAM)
            except BlockingIOError:
                return
            if source == self.members[path.sender]:
                self.relay(path, data)
            else:
                self.foreign_packets += 1

    def relay(self, path: Path, data: bytes) -> None:
        """Forward a packet now or later, as the conditions say. Runs in the loop's thread."""
        now = monotonic()
        for due in self.directions[path].packet(len(data), now):
            if due <= now:
                self.forward(path, data)
            else:
                self.loop.call_at(due, lambda: self.forward(path, data))

    def forward(self, path: Path, data: bytes) -> None:
        """Send a packet to its receiver, from the address at which that one knows the sender."""
        reply_path = Path(path.receiver, path.sender)
        with contextlib.suppress(OSError):  # nobody is bound there: the packet is lost, as on a network
            self.sockets[reply_path].sendto(data, self.members[path.receiver])

    def close(self) -> None:
        """Close all sockets. Runs in the loop's thread."""
        for path_socket in self.sockets.values():
            self.loop.unwatch(path_socket)
            path_socket.close()
