"""Requests of clients, and the pending responses of a connection, which keep the order of the requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from ..model import Request
from ..protocol.request_codec import ParsedRequest


class ResponseOwner(Protocol):
    """Interface of the connection that a response belongs to."""

    def on_response_completed(self, response: PendingResponse, /) -> None:
        """Write a completed response as soon as all earlier ones are written."""

    def has_left(self) -> bool:
        """Return whether the client has closed the connection. Any thread may call this."""

    def on_left(self) -> None:
        """End the connection of a client that has left. Called under the event loop's lock."""


class PendingResponse:
    """Response that keeps its position in its connection's order. Guarded by the event loop's lock."""

    __slots__ = ("connection", "request", "parts", "size_bytes")

    def __init__(self, connection: ResponseOwner) -> None:
        self.connection = connection
        # None if the command is not a request, and once the request is finished.
        self.request: ClientRequest | None = None
        # Parts that are not yet written; None until the response is set.
        self.parts: deque[bytes | bytearray | memoryview] | None = None
        self.size_bytes = 0  # Total size of all parts.

    def complete(self, *parts: bytes | bytearray) -> None:
        """Set the response; later calls are ignored. Called under the lock."""
        if self.parts is None:
            self.parts = deque(parts)
            self.size_bytes = sum(map(len, parts))
            self.connection.on_response_completed(self)

    def is_complete(self) -> bool:
        """Return whether the response is set."""
        return self.parts is not None

    def replace(self, *parts: bytes | bytearray) -> None:
        """Replace a completed response of which nothing was written yet. Called under the lock."""
        self.parts = deque(parts)
        self.size_bytes = sum(map(len, parts))

    def is_partly_written(self) -> bool:
        """Return whether some, but not all, bytes of a completed response were passed to the stream."""
        return self.parts is not None and sum(map(len, self.parts)) < self.size_bytes

    def discard(self) -> None:
        """Free the parts of a completed response whose connection is closed. Called under the lock."""
        if self.parts is not None:
            self.parts.clear()
        self.size_bytes = 0


@dataclass(eq=False)
class ClientRequest(Request):
    """Request that a client sent over a socket."""

    parsed: ParsedRequest | None = field(kw_only=True)  # None once the response is set, to free memory.
    response: PendingResponse = field(kw_only=True)

    def client_has_left(self) -> bool:
        """Return whether the client has closed its connection. Any thread may call this."""
        return self.response.connection.has_left()
