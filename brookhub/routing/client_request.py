"""Requests of clients, and the pending responses of a connection, which keep the order of the requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol, TypeAlias

from ..model import Request
from ..protocol.request_codec import ParsedRequest

RESPONSE_OBJECT_BYTES = 320  # Memory of a waiting response beside its text.
REQUEST_OBJECT_BYTES = 3072  # Memory of an open request beside its words, with its attempts and timers.


class ResponseOwner(Protocol):
    """Interface of the connection that a response belongs to."""

    def on_response_completed(self, response: PendingResponse, /) -> None:
        """Write a completed response as soon as all earlier ones are written."""

    def has_left(self) -> bool:
        """Return whether the client has closed the connection. Any thread may call this."""

    def on_left(self) -> None:
        """End the connection of a client that has left. Called under the event loop's lock."""


ResponsePart: TypeAlias = bytes | bytearray | memoryview


class PendingResponse:
    """Response that keeps its position in its connection's order. Guarded by the event loop's lock.

    It answers one request, or several commands in a row that are no requests (`append_reply`).
    """

    __slots__ = ("connection", "is_partly_written", "is_reply", "parts", "request", "size_bytes")

    def __init__(self, connection: ResponseOwner) -> None:
        self.connection = connection
        # None if the command is not a request, and once the request is finished.
        self.request: ClientRequest | None = None
        # Parts that are not yet written; None until the response is set.
        self.parts: list[ResponsePart] | None = None
        self.size_bytes = 0  # Memory of the complete response, with its objects.
        self.is_partly_written = False  # Some, but not all, bytes were passed to the stream.
        self.is_reply = False  # It answers commands that are no requests.

    def complete(self, *parts: bytes | bytearray) -> None:
        """Set the response; later calls are ignored. Called under the lock."""
        if self.parts is None:
            self._set_parts(*parts)
            self.connection.on_response_completed(self)

    def complete_reply(self, reply: bytes) -> None:
        """Set the reply to a command that is no request. Called under the lock."""
        self.is_reply = True
        self.complete(bytearray(reply))

    def append_reply(self, reply: bytes) -> bool:
        """Append the reply to the next command, if this response is such a reply; return whether it is.

        So commands that are answered at once take no object each while they wait for an earlier response.
        """
        if not self.is_reply or self.is_partly_written or not self.parts:
            return False
        replies = self.parts[-1]
        assert isinstance(replies, bytearray)
        replies += reply
        self.size_bytes += len(reply)
        return True

    def is_complete(self) -> bool:
        """Return whether the response is set."""
        return self.parts is not None

    def replace(self, *parts: bytes | bytearray) -> None:
        """Replace a completed response of which nothing was written yet. Called under the lock."""
        self._set_parts(*parts)

    def _set_parts(self, *parts: bytes | bytearray) -> None:
        self.parts = list(parts)
        self.size_bytes = RESPONSE_OBJECT_BYTES + sum(map(len, parts))

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
