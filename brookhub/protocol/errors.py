"""Errors of the wire formats."""

from __future__ import annotations


class MalformedError(Exception):
    """Bytes that are no RESP2, or more of it than is taken. `reason` is the code of the connection's end."""

    def __init__(self, text: str, reason: str = "malformed"):
        super().__init__(text)
        self.reason = reason
