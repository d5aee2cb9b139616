"""Table of the open client connections, which selects those to close when descriptors run out."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from math import inf
from typing import TypeAlias

from .client_connection import ClientConnection

MAX_CANDIDATES = 8  # Maximum connections examined in one search for a connection to close.

OrderedConnections: TypeAlias = dict[ClientConnection, None]
"""Ordered set of connections, from the least to the most recently added."""


class ClientTable:
    """All open connections of clients. Guarded by the event loop's lock.

    Each connection is in `connections`, and in at most one of `idle` and `without_command`.
    """

    def __init__(self) -> None:
        self.connections: OrderedConnections = {}
        self.idle: OrderedConnections = {}  # Connections without an open request.
        self.without_command: OrderedConnections = {}  # Connections that have not sent a complete command.
        self.write_blocked: OrderedConnections = {}  # Connections whose clients may not be reading.

    def add_connection(self, connection: ClientConnection, now: float) -> None:
        """Add a connection that was just accepted."""
        connection.idle_since = now
        self.connections[connection] = None
        self.without_command[connection] = None

    def remove_connection(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed or being closed. It keeps its slot until its thread ends."""
        self.connections.pop(connection, None)
        self.write_blocked.pop(connection, None)
        self.mark_active(connection)

    def mark_active(self, connection: ClientConnection) -> None:
        """Exclude a connection from eviction: it has an open request, or is being closed already."""
        self.idle.pop(connection, None)
        self.without_command.pop(connection, None)

    def mark_idle(self, connection: ClientConnection, now: float) -> None:
        """Record that a connection has no open request."""
        connection.idle_since = now
        self.idle[connection] = None

    def iterate_without_open_request(self) -> Iterator[ClientConnection]:
        """Yield the idle connections, then those that have not sent a complete command."""
        yield from self.idle
        yield from self.without_command

    def find_evictable(
        self, now: float, min_age_without_command: float, is_shutting_down: bool
    ) -> ClientConnection | None:
        """Return the connection to close in favour of a new one, or None if there is none.

        A connection that has been open for more than `min_age_without_command` seconds without a command is
        chosen first, so that a flood of such connections does not evict others; then the one that has been
        idle longest. During a shutdown no idle connection is closed, because its client might find no other
        gateway in time.
        """
        silent = self.find_oldest(self.without_command, now)
        if is_shutting_down:
            return silent
        if silent and now - silent.idle_since > min_age_without_command:
            return silent
        return self.find_oldest(self.idle, now) or silent

    def find_longest_blocked(self, blocked_by: float) -> ClientConnection | None:
        """Return the connection whose client has read nothing for the longest time, or None.

        Only clients that have read nothing since `blocked_by` (seconds, monotonic) or longer are considered.
        """
        longest = None
        for connection in self.write_blocked:
            blocked_since = connection.stream.blocked_since
            if blocked_since is not None and blocked_since <= blocked_by:
                longest, blocked_by = connection, blocked_since
        return longest

    def find_oldest_partial_command(self, other_than: ClientConnection) -> ClientConnection | None:
        """Return the connection whose partly received command began first, or None.

        Only connections that hold memory for it and have no open request are considered.
        """
        oldest, oldest_began_at = None, inf
        for connection in self.connections:
            began_at = connection.input.command_began_at
            if not connection.input.reserved_bytes or began_at is None or connection is other_than:
                continue
            if began_at < oldest_began_at and not connection.pending_responses:
                oldest, oldest_began_at = connection, began_at
        return oldest

    def find_oldest(self, candidates: OrderedConnections, now: float) -> ClientConnection | None:
        """Return the oldest connection that may be closed, or None.

        Only the first MAX_CANDIDATES are examined. A connection whose thread has not yet read bytes that the
        client sent is not closed, unless a command was already partly read; nor is one whose last response is
        not written yet. Both move to the end and their idle time restarts.
        """
        for connection in list(islice(candidates, MAX_CANDIDATES)):
            stream = connection.stream
            is_read = len(stream.inbound) > 0 or not stream.has_unread_bytes()
            if is_read and not stream.has_unwritten_bytes():
                return connection
            del candidates[connection]
            candidates[connection] = None
            connection.idle_since = now
        return None
