"""A TCP relay: accepts connections, and relays each chunk by chunk as its conditions say."""

from __future__ import annotations

import selectors
import socket
from typing import Literal, Unpack

from .direction import ConditionChanges, Direction
from .event_loop import EventLoop
from .ports import Endpoint, reserve
from .tcp_connection import RelayedConnection, Route

DirectionName = Literal["forward", "back", "both"]

BACKLOG = 512  # connections that the system queues until they are accepted
# Connections of our own that fill a listener's queue under a cut, so that further ones are never established
FILLER_COUNT = 4


class TcpLink:
    """A relay for TCP. Directions: `forward` from the client to the target, `back` the other way.

    `set`, `clear` and `reset_all` may be called by any thread and return when the change is in force; all
    else runs in the loop's thread.
    """

    def __init__(
        self, loop: EventLoop, name: str, target: Endpoint, source: str | None, listen: Endpoint
    ) -> None:
        self.loop = loop
        self.forward = Direction(f"{name}/forward")
        self.back = Direction(f"{name}/back")
        self.route = Route(target, source, self.forward, self.back)
        self.connections: set[RelayedConnection] = set()
        self.fillers: list[socket.socket] = []
        self.is_refusing = False
        self.reserved = socket.socket()  # keeps the port while connections are refused
        self.listener = self.listen(listen)
        self.endpoint: Endpoint = self.listener.getsockname()
        self.address = "%s:%d" % self.endpoint
        loop.call(self.watch_listener)

    def set(
        self,
        direction: DirectionName = "both",
        refuse: bool | None = None,
        **changes: Unpack[ConditionChanges],
    ) -> None:
        """Change the conditions of a direction; `refuse`: refuse new connections, or accept them again.

        Raises ValueError for an unknown condition or a value out of range.
        """
        Direction(0).set(**changes)  # raises here rather than in the loop's thread

        def apply() -> None:
            for changed in self.directions(direction):
                changed.set(**changes)
            self.update(self.is_refusing if refuse is None else refuse)

        self.loop.call(apply)

    def clear(self) -> None:
        """Remove all faults of both directions, and accept connections."""

        def apply() -> None:
            self.forward.clear()
            self.back.clear()
            self.update(refuse=False)

        self.loop.call(apply)

    def reset_all(self) -> None:
        """Reset every open connection at both ends."""
        self.loop.call(self.reset_connections)

    def directions(self, name: DirectionName) -> list[Direction]:
        """The directions of a name."""
        return {"forward": [self.forward], "back": [self.back], "both": [self.forward, self.back]}[name]

    # in the loop's thread

    def listen(self, endpoint: Endpoint) -> socket.socket:
        """A non-blocking listener."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(endpoint)
        listener.listen(BACKLOG)
        listener.setblocking(False)
        return listener

    def watch_listener(self) -> None:
        """Accept connections from now on."""
        self.loop.watch(self.listener, selectors.EVENT_READ, lambda mask: self.accept_all())

    def update(self, refuse: bool) -> None:
        """Apply changed conditions: open, close or fill the listener, and forward what is due."""
        if refuse != self.is_refusing:
            self.is_refusing = refuse
            if refuse:
                self.stop_listening()
            else:
                self.listener = self.listen(self.endpoint)
                self.reserved.close()
                self.watch_listener()
        if not refuse:
            self.follow_cut()
        for connection in list(self.connections):
            connection.pump()

    def stop_listening(self) -> None:
        """Close the listener, so that connections are refused; the port stays reserved."""
        self.remove_fillers()
        self.loop.unwatch(self.listener)
        self.listener.close()
        self.reserved = reserve(self.endpoint)

    def follow_cut(self) -> None:
        """Fill an open listener's queue under a cut, and empty it after the cut."""
        cut = self.forward.conditions.cut or self.back.conditions.cut
        if cut and not self.fillers:
            self.add_fillers()
        elif not cut and self.fillers:
            self.remove_fillers()
            self.listener.listen(BACKLOG)
            self.watch_listener()

    def add_fillers(self) -> None:
        """Fill the listener's queue, so that connections are never established."""
        self.loop.unwatch(self.listener)
        self.listener.listen(0)
        for _ in range(FILLER_COUNT):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.endpoint)
            self.fillers.append(filler)

    def remove_fillers(self) -> None:
        """Close the connections that fill the queue."""
        for filler in self.fillers:
            filler.close()
        self.fillers = []

    def accept_all(self) -> None:
        """Relay each connection that waits in the queue."""
        while True:
            try:
                accepted, _ = self.listener.accept()
            except OSError:  # none left
                return
            connection = RelayedConnection(self.loop, self.route, accepted, self.connections.discard)
            if not connection.is_closed:
                self.connections.add(connection)

    def reset_connections(self) -> None:
        """Reset every open connection at both ends."""
        for connection in list(self.connections):
            connection.reset()

    def close(self) -> None:
        """Reset all connections and stop listening."""
        self.remove_fillers()
        self.reset_connections()
        self.loop.unwatch(self.listener)
        self.listener.close()
        self.reserved.close()
