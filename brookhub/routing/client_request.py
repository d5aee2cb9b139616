"""Requests of clients, and the places of their responses among those of a connection."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from ..model import Request
from ..protocol.request_codec import ParsedRequest


class ResponseOwner(Protocol):
    """The connection that a response belongs to."""

    def on_response_completed(self, response: PendingResponse, /) -> None:
        """A response may be written, as soon as those before it are."""


class PendingResponse:
    """The place of one response among those of its connection. Guarded by the event loop's lock."""

    __slots__ = ("connection", "request", "parts", "size_bytes")

    def __init__(self, connection: ResponseOwner) -> None:
        self.connection = connection
        self.request: ClientRequest | None = None  # set while it is open
        self.parts: deque[bytes | bytearray | memoryview] | None = None  # those not yet written
        self.size_bytes = 0  # of all parts

    def complete(self, *parts: bytes | bytearray) -> None:
        """Set the response; only the first one counts. Called under the lock."""
        if self.parts is None:
            self.parts = deque(parts)
            self.size_bytes = sum(map(len, parts))
            self.connection.on_response_completed(self)


@dataclass(eq=False)
class ClientRequest(Request):
    """A request of a client on a socket."""

    parsed: ParsedRequest | None = field(kw_only=True)  # None once the response is set, to free the memory
    response: PendingResponse = field(kw_only=True)
