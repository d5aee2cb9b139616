"""The open connections of clients, and which of them may be closed to free descriptors."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import TypeAlias

from .client_connection import ClientConnection

MAX_CANDIDATES = 8  # connections that are examined for one to close, at a time

OrderedConnections: TypeAlias = dict[ClientConnection, None]
"""An ordered set, from the least to the most recently added."""


class ClientTable:
    """All open connections of clients. Guarded by the event loop's lock.

    Each is in `connections`, and in at most one of the other two.
    """

    def __init__(self) -> None:
        self.connections: OrderedConnections = {}
        self.idle: OrderedConnections = {}  # without an open request
        self.without_command: OrderedConnections = {}  # have not sent a complete command yet
        self.open_descriptors = 0  # of `connections`, and of closed ones that have not given theirs back

    def add(self, connection: ClientConnection, now: float) -> None:
        """Take in a connection that was accepted."""
        connection.idle_since = now
        self.connections[connection] = None
        self.without_command[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection. Its descriptor counts until it is given back."""
        self.connections.pop(connection, None)
        self.mark_active(connection)

    def mark_active(self, connection: ClientConnection) -> None:
        """A connection has an open request, or is not to be closed any more for another reason."""
        self.idle.pop(connection, None)
        self.without_command.pop(connection, None)

    def mark_idle(self, connection: ClientConnection, now: float) -> None:
        """A connection has no open request."""
        connection.idle_since = now
        self.idle[connection] = None

    def without_open_request(self) -> Iterator[ClientConnection]:
        """The idle connections, and those that have not sent a complete command yet."""
        yield from self.idle
        yield from self.without_command

    def find_evictable(
        self, now: float, min_age_without_command: float, is_shutting_down: bool
    ) -> ClientConnection | None:
        """The connection to close for another; None where there is none.

        First one that has sent nothing for some time, so that a flood of such connections costs the others
        nothing; then the longest idle. During a shutdown an idle one is not closed, as its client could find
        no other gateway in time.
        """
        silent = self.find_oldest(self.without_command, now)
        if is_shutting_down:
            return silent
        if silent and now - silent.idle_since > min_age_without_command:
            return silent
        return self.find_oldest(self.idle, now) or silent

    def find_oldest(self, candidates: OrderedConnections, now: float) -> ClientConnection | None:
        """The oldest connection that may be closed; None where there is none among the first few.

        One whose client has sent bytes that its thread has not read yet is not: its time begins anew. That
        does not hold for one in the middle of a command.
        """
        for connection in list(islice(candidates, MAX_CANDIDATES)):
            if len(connection.stream.inbound) or not connection.stream.has_unread_bytes():
                return connection
            del candidates[connection]
            candidates[connection] = None
            connection.idle_since = now
        return None
