"""UDP relays between all pairs of a fleet's members."""

from __future__ import annotations

import contextlib
import selectors
import socket
from collections.abc import Callable, Collection
from time import monotonic
from typing import NamedTuple, Unpack

from .direction import ConditionChanges, Direction
from .event_loop import EventLoop
from .ports import Endpoint, format_endpoint

MAX_PACKET_BYTES = 65536


class Path(NamedTuple):
    """A direction between two members, identified by their names."""

    sender: str
    receiver: str


class UdpMesh:
    """UDP relays between all pairs of members.

    Member a sends packets for b to `address(a, b)` and receives b's packets from there. Packets sent to that
    address from any endpoint other than a's are dropped and counted in `foreign_packets`. Only the loop's
    thread uses the sockets.
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
        """Bind a non-blocking UDP socket to a free port."""
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.bind(("127.0.0.1", 0))
        bound.setblocking(False)
        return bound

    def watch_all(self) -> None:
        """Start to receive on all sockets. Runs in the loop's thread."""
        for path, path_socket in self.sockets.items():
            self.loop.watch(path_socket, selectors.EVENT_READ, self.receive_callback(path))

    def receive_callback(self, path: Path) -> Callable[[int], None]:
        """Return the callback that relays the packets arriving on a path."""
        return lambda mask: self.receive(path)

    def address(self, sender: str, receiver: str) -> str:
        """Return the address, as "host:port", at which `sender` reaches `receiver`."""
        return format_endpoint(self.sockets[Path(sender, receiver)].getsockname())

    def set(self, sender: str, receiver: str, **changes: Unpack[ConditionChanges]) -> None:
        """Change the conditions of one direction."""
        self.directions[Path(sender, receiver)].set(**changes)

    def set_all(self, **changes: Unpack[ConditionChanges]) -> None:
        """Change the conditions of all directions."""
        for direction in self.directions.values():
            direction.set(**changes)

    def split(self, side: Collection[str]) -> None:
        """Cut both directions of every pair with exactly one member in `side`."""
        for path, direction in self.directions.items():
            if (path.sender in side) != (path.receiver in side):
                direction.set(cut=True)

    def clear(self) -> None:
        """Remove all faults from all directions."""
        for direction in self.directions.values():
            direction.clear()

    def receive(self, path: Path) -> None:
        """Relay all packets that have arrived on a path. Runs in the loop's thread."""
        while True:
            try:
                data, source = self.sockets[path].recvfrom(MAX_PACKET_BYTES)
            except BlockingIOError:
                return
            if source == self.members[path.sender]:
                self.relay(path, data)
            else:
                self.foreign_packets += 1

    def relay(self, path: Path, data: bytes) -> None:
        """Forward or drop a packet according to the conditions. Runs in the loop's thread."""
        now = monotonic()
        for due in self.directions[path].schedule_packet(len(data), now):
            if due <= now:
                self.forward(path, data)
            else:
                self.loop.call_at(due, lambda: self.forward(path, data))

    def forward(self, path: Path, data: bytes) -> None:
        """Send a packet to its receiver, from the address at which the receiver reaches the sender."""
        reply_path = Path(path.receiver, path.sender)
        # If no process is bound there, the packet is lost, as on a network.
        with contextlib.suppress(OSError):
            self.sockets[reply_path].sendto(data, self.members[path.receiver])

    def close(self) -> None:
        """Close all sockets. Runs in the loop's thread."""
        for path_socket in self.sockets.values():
            self.loop.unwatch(path_socket)
            path_socket.close()
