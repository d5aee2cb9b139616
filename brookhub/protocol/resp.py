"""RESP2, as far as the gateway speaks it: values in, commands and answers out."""

from __future__ import annotations

from typing import Any, Iterator

from ..transport.ring import Ring

LARGEST = 64 * 1024  # bytes of a value
ALONGSIDE = 4 * 1024  # bytes of all the other words of one command or answer together
LONGEST_LINE = 1024  # bytes of a line: a type, a number or an error with its figures
MOST_WORDS = 16  # in an array
ROOM = LARGEST + ALONGSIDE  # bytes that a ring buffer needs for any one command or answer


class MalformedError(Exception):
    """Bytes that are no RESP2, or more of it than is taken. `reason` is the code of the connection's end."""

    def __init__(self, text: str, reason: str = "malformed"):
        super().__init__(text)
        self.reason = reason


class Failure(bytes):
    """An error line, without its first byte."""


class Status(bytes):
    """A simple string."""


INCOMPLETE = object()  # more bytes have to come
BEGUN = object()  # the beginning of a bulk string or an array was taken


class Reader:
    """Takes whole values from a ring buffer as they come; what is not whole stays there.

    `largest` is the most bytes of one value. A value that does not fit the ring is gathered here as it comes:
    `gathered` holds it, and `filled` says how many of its bytes are there.
    """

    def __init__(self, largest: int = LARGEST):
        self.largest = largest
        self.words: list[Any] | None = None  # the array under way
        self.missing = 0  # how many words that array is to have
        self.taken = 0  # bytes of its bulk strings so far
        self.size: int | None = None  # of the bulk string under way
        self.gathered, self.filled = bytearray(), 0

    def feed(self, ring: Ring) -> Iterator[Any]:
        """Each value that is whole: bytes, None, int, Status, Failure or a list of them.

        Raises MalformedError.
        """
        if self.words is None and self.size is None and len(ring):
            chunk = ring.chunk()
            length, words = len(chunk), plain(chunk)
            if words is not None:
                ring.drop(length)
                yield words
        while True:
            value = self._next(ring)
            if value is INCOMPLETE:
                return
            if value is BEGUN:
                continue
            if self.words is None:
                yield value
                continue
            self.words.append(value)
            if len(self.words) == self.missing:
                whole, self.words = self.words, None
                yield whole

    def _next(self, ring: Ring) -> Any:
        """The next word, BEGUN where only its beginning was taken, or INCOMPLETE where more has to come."""
        if self.size is not None:
            return self._bulk(ring, self.size)
        line = ring.line()
        if line is None:
            if len(ring) > LONGEST_LINE:
                raise MalformedError("a line that does not end")
            return INCOMPLETE
        if len(line) > LONGEST_LINE:
            raise MalformedError("a line too long")
        return self._begin(line[:1], line[1:])

    def _begin(self, kind: bytes, text: bytes) -> Any:
        if kind == b"$":
            return self._begin_bulk(number(text))
        if kind == b"*":
            return self._begin_array(text)
        if kind == b"-":
            return Failure(text)
        if kind == b"+":
            return Status(text)
        if kind == b":":
            return number(text)
        raise MalformedError("a line of no known type")

    def _begin_bulk(self, size: int) -> Any:
        if size < 0:
            return null(size)
        self.taken = size + (self.taken if self.words is not None else 0)
        if size > self.largest or self.taken > self.largest + ALONGSIDE // 2:
            raise MalformedError("a value too large", "oversized")
        self.size = size
        return BEGUN

    def _begin_array(self, text: bytes) -> Any:
        if self.words is not None:
            raise MalformedError("an array inside an array")
        length = number(text)
        if length > MOST_WORDS:
            raise MalformedError("an array of too many words", "oversized")
        if length < 0:
            return null(length)
        if length == 0:
            return []
        self.words, self.missing, self.taken = [], length, 0
        return BEGUN

    def _bulk(self, ring: Ring, size: int) -> Any:
        """The bulk string under way once it is whole."""
        if size > LARGEST and self.filled < size:
            room = self.room()
            length = min(len(ring), len(room))
            room[:length] = ring.take(length)
            self.filled += length
        if len(ring) < self.wants():
            return INCOMPLETE
        value = ring.take(size) if size <= LARGEST else self.gathered
        if ring.take(2) != b"\r\n":
            raise MalformedError("a bulk string does not end where it said")
        self.size, self.gathered, self.filled = None, bytearray(), 0
        return value

    def wants(self) -> int:
        """How many bytes the bulk string under way has yet to get, with its end; else 0."""
        return 0 if self.size is None else self.size - self.filled + 2

    def room(self) -> memoryview:
        """Where the rest of a value that is gathered belongs, to be read there at once.

        Whoever does adds to `filled`.
        """
        if self.size is None or self.size <= LARGEST:
            return memoryview(b"")
        if not self.gathered:
            self.gathered = bytearray(self.size)
        return memoryview(self.gathered)[self.filled :]

    def idle(self) -> bool:
        """Whether it stands between two values."""
        return self.words is None and self.size is None


def plain(chunk: memoryview) -> list[bytes] | None:
    """The usual case at once: one whole array of short words without line ends, and nothing behind it."""
    with chunk:
        if chunk[0] != 42 or len(chunk) > LONGEST_LINE:
            return None
        lines = bytes(chunk).split(b"\r\n")
    words = lines[2::2]
    if not 0 < len(words) <= MOST_WORDS or lines.pop() or lines[0] != b"*%d" % len(words):
        return None
    return words if lines[1::2] == [b"$%d" % len(word) for word in words] else None


def null(length: int) -> None:
    """The value of that length below 0.

    Raises MalformedError where it is not the one that stands for no value.
    """
    if length != -1:
        raise MalformedError("a length below -1")


def number(text: bytes) -> int:
    """A whole number of at most 18 digits. Raises MalformedError."""
    digits = text[1:] if text[:1] == b"-" else text
    if not digits.isdigit() or len(digits) > 18:
        raise MalformedError("not a number")
    return int(text)


def bulk(value: bytes) -> bytes:
    """A bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def bulk_parts(value: bytes | bytearray) -> tuple[bytes | bytearray, ...]:
    """The same in parts: a large value is not copied for it."""
    return (bulk(bytes(value)),) if len(value) <= LARGEST else (b"$%d\r\n" % len(value), value, b"\r\n")


def command(*words: bytes) -> bytes:
    """A command: an array of bulk strings."""
    return b"*%d\r\n%b" % (len(words), b"".join([bulk(word) for word in words]))


def error(text: str) -> bytes:
    """An error."""
    return b"-%b\r\n" % " ".join(text.split()).encode("ascii", "replace")


PONG = b"+PONG\r\n"
