"""Errors of the wire formats."""

from __future__ import annotations

import reprlib

from ..transport.close_reason import CloseReason

MAX_EXCERPT_BYTES = 40  # Bytes or characters of a received value that are quoted in an error message.

_EXCERPT_REPR = reprlib.Repr()
_EXCERPT_REPR.maxstring = MAX_EXCERPT_BYTES
_EXCERPT_REPR.maxother = MAX_EXCERPT_BYTES


def shorten(value: object) -> str:
    """Return the representation of a received value, shortened for an error message."""
    if isinstance(value, (bytes, bytearray)) and len(value) > MAX_EXCERPT_BYTES:
        return f"{bytes(value[:MAX_EXCERPT_BYTES])!r}... ({len(value)} bytes)"
    try:
        return _EXCERPT_REPR.repr(value)
    except ValueError:  # An integer with more digits than Python converts to text.
        return f"a value of type {type(value).__name__}"


class ProtocolError(Exception):
    """A peer sent data that cannot be used. The message describes the fault."""


class MalformedError(ProtocolError):
    """The bytes received violate the wire format or its limits; the connection must be closed.

    `reason` is the reason code that is logged when the connection is closed.
    """

    def __init__(self, text: str, reason: CloseReason = CloseReason.PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.reason = reason


class InvalidRequestError(ProtocolError):
    """A well-formed command is not a valid request; it gets an error reply and the connection stays open."""
