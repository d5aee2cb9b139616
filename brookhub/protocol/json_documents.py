"""Assembles JSON objects from the lines that they came in.

Discovery writes one object a line, but may also indent it, so that one object spans many lines. An object is
complete once as many brackets are closed as were opened outside of strings; nothing is parsed before that, so
an object of n bytes costs O(n) in however many lines it comes.
"""

from __future__ import annotations

import re

from ..transport.close_reason import CloseReason
from .errors import MalformedError

MAX_DOCUMENT_BYTES = 1024 * 1024  # of one object with its line ends: a list of some thousand servers
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # JSON strings hold no raw line ends, so none spans two lines


class JsonObjectReader:
    """Collects the lines of one JSON object at a time."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._size_bytes = 0
        self._depth = 0  # brackets that are open

    def feed(self, line: bytes) -> bytes | None:
        """Take one line without its line end; returns the object that it completes, or None.

        A blank line between two objects is a heartbeat. Raises MalformedError where the lines can't become a
        JSON object.
        """
        is_blank = not line.strip()
        if is_blank and not self._lines:
            return None
        self._check(line, is_blank)
        self._lines.append(line)
        self._size_bytes += len(line) + 1
        if self._size_bytes > MAX_DOCUMENT_BYTES:
            raise MalformedError("a server list too long", CloseReason.OVERSIZED)
        self._depth += count_nesting(line)
        if self._depth > 0:
            return None
        document = b"\n".join(self._lines)
        self._lines = []
        self._size_bytes = 0
        self._depth = 0
        return document

    def _check(self, line: bytes, is_blank: bool) -> None:
        """Raise MalformedError where no object can come of the lines, this one included."""
        if is_blank:
            raise MalformedError("a server list that ends before it is whole")
        if not self._lines and not line.lstrip().startswith(b"{"):
            raise MalformedError("a server list that is not a JSON object")
        if line.count(b'"') % 2 and STRING.sub(b"", line).count(b'"'):
            raise MalformedError("a server list with a string that does not end")


def count_nesting(line: bytes) -> int:
    """How many more brackets a line opens than it closes, not counting those in strings."""
    without_strings = STRING.sub(b"", line)
    opened = without_strings.count(b"{") + without_strings.count(b"[")
    closed = without_strings.count(b"}") + without_strings.count(b"]")
    return opened - closed
