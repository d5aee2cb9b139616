"""Errors of the wire formats."""

from __future__ import annotations

from ..transport.close_reason import CloseReason


class ProtocolError(Exception):
    """A peer sent something that can't be used. The text says what was wrong with it."""


class MalformedError(ProtocolError):
    """Bytes that break their wire format or its limits: the connection they came on has to be closed.

    `reason` is the reason code for that.
    """

    def __init__(self, text: str, reason: CloseReason = CloseReason.PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.reason = reason


class InvalidRequestError(ProtocolError):
    """A well-formed command that is no valid request: it is answered with an error, the connection stays."""
