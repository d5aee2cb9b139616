"""RESP2, as far as the gateway speaks it: values in, commands and answers out."""

from __future__ import annotations

from typing import Any, Iterator

from ..transport.close_reason import CloseReason
from ..transport.ring_buffer import RingBuffer
from .errors import MalformedError

MAX_VALUE_BYTES = 64 * 1024  # bytes of a value
MAX_OVERHEAD_BYTES = 4 * 1024  # bytes of all the other words of one command or answer together
MAX_LINE_BYTES = 1024  # bytes of a line: a type, a number or an error with its figures
MAX_ARRAY_LENGTH = 16  # in an array
BUFFER_BYTES = (
    MAX_VALUE_BYTES + MAX_OVERHEAD_BYTES
)  # bytes that a ring buffer needs for any one command or answer


class ErrorReply(bytes):
    """An error line, without its first byte."""


class SimpleString(bytes):
    """A simple string."""


INCOMPLETE = object()  # more bytes have to come
BEGUN = object()  # the beginning of a bulk string or an array was taken


class RespReader:
    """Takes whole values from a ring buffer as they come; what is not whole stays there.

    `max_value_bytes` is the most bytes of one value. A value that does not fit the ring is gathered here:
    `partial_value` holds it, and `received` says how many of its bytes are there.
    """

    def __init__(self, max_value_bytes: int = MAX_VALUE_BYTES):
        self.max_value_bytes = max_value_bytes
        self.words: list[Any] | None = None  # the array under way
        self.missing = 0  # how many words that array is to have
        self.taken = 0  # bytes of its bulk strings so far
        self.size: int | None = None  # of the bulk string under way
        self.partial_value, self.received = bytearray(), 0

    def feed(self, ring: RingBuffer) -> Iterator[Any]:
        """Each value that is whole: bytes, None, int, SimpleString, ErrorReply or a list of them.

        Raises MalformedError.
        """
        if self.words is None and self.size is None and len(ring):
            chunk = ring.readable_view()
            length, words = len(chunk), plain(chunk)
            if words is not None:
                ring.consume(length)
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

    def _next(self, ring: RingBuffer) -> Any:
        """The next word, BEGUN where only its beginning was taken, or INCOMPLETE where more has to come."""
        if self.size is not None:
            return self._bulk(ring, self.size)
        line = ring.read_line()
        if line is None:
            if len(ring) > MAX_LINE_BYTES:
                raise MalformedError("a line that does not end")
            return INCOMPLETE
        if len(line) > MAX_LINE_BYTES:
            raise MalformedError("a line too long")
        return self._begin(line[:1], line[1:])

    def _begin(self, kind: bytes, text: bytes) -> Any:
        if kind == b"$":
            return self._begin_bulk(number(text))
        if kind == b"*":
            return self._begin_array(text)
        if kind == b"-":
            return ErrorReply(text)
        if kind == b"+":
            return SimpleString(text)
        if kind == b":":
            return number(text)
        raise MalformedError("a line of no known type")

    def _begin_bulk(self, size: int) -> Any:
        if size < 0:
            return null(size)
        self.taken = size + (self.taken if self.words is not None else 0)
        if size > self.max_value_bytes or self.taken > self.max_value_bytes + MAX_OVERHEAD_BYTES // 2:
            raise MalformedError("a value too large", CloseReason.OVERSIZED)
        self.size = size
        return BEGUN

    def _begin_array(self, text: bytes) -> Any:
        if self.words is not None:
            raise MalformedError("an array inside an array")
        length = number(text)
        if length > MAX_ARRAY_LENGTH:
            raise MalformedError("an array of too many words", CloseReason.OVERSIZED)
        if length < 0:
            return null(length)
        if length == 0:
            return []
        self.words, self.missing, self.taken = [], length, 0
        return BEGUN

    def _bulk(self, ring: RingBuffer, size: int) -> Any:
        """The bulk string under way once it is whole."""
        if size > MAX_VALUE_BYTES and self.received < size:
            room = self.value_buffer()
            length = min(len(ring), len(room))
            room[:length] = ring.read(length)
            self.received += length
        if len(ring) < self.bytes_wanted():
            return INCOMPLETE
        value = ring.read(size) if size <= MAX_VALUE_BYTES else self.partial_value
        if ring.read(2) != b"\r\n":
            raise MalformedError("a bulk string does not end where it said")
        self.size, self.partial_value, self.received = None, bytearray(), 0
        return value

    def bytes_wanted(self) -> int:
        """How many bytes the bulk string under way has yet to get, with its end; else 0."""
        return 0 if self.size is None else self.size - self.received + 2

    def value_buffer(self) -> memoryview:
        """Where the rest of a value that is gathered belongs, to be read there at once.

        Whoever does adds to `received`.
        """
        if self.size is None or self.size <= MAX_VALUE_BYTES:
            return memoryview(b"")
        if not self.partial_value:
            self.partial_value = bytearray(self.size)
        return memoryview(self.partial_value)[self.received :]

    def is_idle(self) -> bool:
        """Whether it stands between two values."""
        return self.words is None and self.size is None


def plain(chunk: memoryview) -> list[bytes] | None:
    """The usual case at once: one whole array of short words without line ends, and nothing behind it."""
    with chunk:
        if chunk[0] != 42 or len(chunk) > MAX_LINE_BYTES:
            return None
        lines = bytes(chunk).split(b"\r\n")
    words = lines[2::2]
    if not 0 < len(words) <= MAX_ARRAY_LENGTH or lines.pop() or lines[0] != b"*%d" % len(words):
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


def encode_bulk(value: bytes) -> bytes:
    """A bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_bulk_parts(value: bytes | bytearray) -> tuple[bytes | bytearray, ...]:
    """The same in parts: a large value is not copied for it."""
    return (
        (encode_bulk(bytes(value)),)
        if len(value) <= MAX_VALUE_BYTES
        else (b"$%d\r\n" % len(value), value, b"\r\n")
    )


def encode_command(*words: bytes) -> bytes:
    """A command: an array of bulk strings."""
    return b"*%d\r\n%b" % (len(words), b"".join([encode_bulk(word) for word in words]))


def encode_error(text: str) -> bytes:
    """An error."""
    return b"-%b\r\n" % " ".join(text.split()).encode("ascii", "replace")


PONG = b"+PONG\r\n"
