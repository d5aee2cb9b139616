"""A TCP relay, which forwards accepted connections chunk by chunk under the conditions of the link."""

from __future__ import annotations

import selectors
import socket
from typing import Literal, Unpack

from .direction import ConditionChanges, Direction
from .event_loop import EventLoop
from .ports import Endpoint, format_endpoint, reserve
from .tcp_connection import RelayedConnection, Route

DirectionName = Literal["forward", "back", "both"]

BACKLOG = 512  # Connections that the kernel queues until they are accepted.
# Connections that the relay itself opens to fill the listener's queue during a cut, so that no others are
# established.
FILLER_COUNT = 4


class TcpLink:
    """A TCP relay with the directions `forward`, from the client to the target, and `back`.

    Any thread may call `set`, `clear` and `reset_all`, which return when the change is in effect. Everything
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
        self.reserved = socket.socket()  # Reserves the port while connections are refused.
        self.listener = self.listen(listen)
        self.endpoint: Endpoint = self.listener.getsockname()
        self.address = format_endpoint(self.endpoint)
        loop.call(self.watch_listener)

    def set(
        self,
        direction: DirectionName = "both",
        refuse: bool | None = None,
        **changes: Unpack[ConditionChanges],
    ) -> None:
        """Change the conditions of a direction; `refuse` sets whether new connections are refused.

        Raises ValueError for an unknown condition or a value out of range.
        """
        Direction(0).set(**changes)  # Validates the changes in the caller's thread.

        def apply() -> None:
            for changed in self.select_directions(direction):
                changed.set(**changes)
            self.update(self.is_refusing if refuse is None else refuse)

        self.loop.call(apply)

    def clear(self) -> None:
        """Remove all faults from both directions and accept connections."""

        def apply() -> None:
            self.forward.clear()
            self.back.clear()
            self.update(refuse=False)

        self.loop.call(apply)

    def reset_all(self) -> None:
        """Reset every open connection at both ends."""
        self.loop.call(self.reset_connections)

    def select_directions(self, name: DirectionName) -> list[Direction]:
        """Return the directions that a name stands for."""
        return {"forward": [self.forward], "back": [self.back], "both": [self.forward, self.back]}[name]

    # In the loop's thread

    def listen(self, endpoint: Endpoint) -> socket.socket:
        """Open a non-blocking listener."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(endpoint)
        listener.listen(BACKLOG)
        listener.setblocking(False)
        return listener

    def watch_listener(self) -> None:
        """Start to accept connections."""
        self.loop.watch(self.listener, selectors.EVENT_READ, lambda mask: self.accept_all())

    def update(self, refuse: bool) -> None:
        """Apply changed conditions: open, close or block the listener, and forward chunks that are due."""
        if refuse != self.is_refusing:
            self.is_refusing = refuse
            if refuse:
                self.stop_listening()
            else:
                self.listener = self.listen(self.endpoint)
                self.reserved.close()
                self.watch_listener()
        if not refuse:
            self.update_fillers()
        for connection in list(self.connections):
            connection.forward_due()

    def stop_listening(self) -> None:
        """Close the listener so that connections are refused; the port stays reserved."""
        self.remove_fillers()
        self.loop.unwatch(self.listener)
        self.listener.close()
        self.reserved = reserve(self.endpoint)

    def update_fillers(self) -> None:
        """Fill the queue of an open listener during a cut, and empty it afterwards."""
        cut = self.forward.conditions.cut or self.back.conditions.cut
        if cut and not self.fillers:
            self.add_fillers()
        elif not cut and self.fillers:
            self.remove_fillers()
            self.listener.listen(BACKLOG)
            self.watch_listener()

    def add_fillers(self) -> None:
        """Fill the listener's queue so that no further connections are established."""
        self.loop.unwatch(self.listener)
        self.listener.listen(0)
        for _ in range(FILLER_COUNT):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.endpoint)
            self.fillers.append(filler)

    def remove_fillers(self) -> None:
        """Close the connections that fill the listener's queue."""
        for filler in self.fillers:
            filler.close()
        self.fillers = []

    def accept_all(self) -> None:
        """Accept and relay each connection in the listener's queue."""
        while True:
            try:
                accepted, _ = self.listener.accept()
            except OSError:  # The queue is empty.
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
