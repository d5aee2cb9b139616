"""Assembly of JSON objects from lines of text.

Discovery usually writes one object per line, but may also indent it over several lines. An object is complete
once every bracket opened outside strings has been closed. Nothing is parsed before that, so an object of n
bytes costs O(n) regardless of its number of lines.
"""

from __future__ import annotations

import re

from ..transport.close_reason import CloseReason
from .errors import MalformedError, shorten

# Maximum size of one object, line ends included. Enough for a server list of a few thousand servers.
MAX_DOCUMENT_BYTES = 1024 * 1024
# A JSON string. It contains no raw line end, so it never spans two lines.
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class JsonObjectReader:
    """Collector of the lines of a JSON object until it is complete, one object at a time."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._size_bytes = 0
        self._depth = 0  # Number of open brackets.

    def feed(self, line: bytes) -> bytes | None:
        """Add a line without its line end; return the object that it completes, or None.

        A blank line between two objects is a heartbeat and is ignored. Raises MalformedError if the lines
        cannot become a JSON object.
        """
        is_blank = not line.strip()
        if is_blank and not self._lines:
            return None
        self._check(line, is_blank)
        self._lines.append(line)
        self._size_bytes += len(line) + 1
        if self._size_bytes > MAX_DOCUMENT_BYTES:
            raise MalformedError(
                f"server list: at least {self._size_bytes} bytes, limit {MAX_DOCUMENT_BYTES}",
                CloseReason.OVERSIZED,
            )
        self._depth += count_nesting(line)
        if self._depth > 0:
            return None
        document = b"\n".join(self._lines)
        self._lines = []
        self._size_bytes = 0
        self._depth = 0
        return document

    def _check(self, line: bytes, is_blank: bool) -> None:
        """Raise MalformedError if the collected lines and this one cannot become a JSON object."""
        if is_blank:
            raise MalformedError(
                f"server list: blank line before the JSON object is complete, {self._depth} brackets are open"
            )
        if not self._lines and not line.lstrip().startswith(b"{"):
            raise MalformedError(f"server list: expected a JSON object, got {shorten(line)}")
        if line.count(b'"') % 2 and STRING.sub(b"", line).count(b'"'):
            raise MalformedError(f"server list: string without closing quote in line {shorten(line)}")


def count_nesting(line: bytes) -> int:
    """Return the number of opened minus closed brackets in a line, not counting those in strings."""
    without_strings = STRING.sub(b"", line)
    opened = without_strings.count(b"{") + without_strings.count(b"[")
    closed = without_strings.count(b"}") + without_strings.count(b"]")
    return opened - closed
