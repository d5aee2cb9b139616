"""The subset of RESP2 that the gateway uses: a parser of values, and encoders of commands and replies."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum, auto
from typing import TypeAlias

from ..transport.close_reason import CloseReason
from ..transport.ring_buffer import RingBuffer
from .errors import MalformedError

MAX_VALUE_BYTES = 64 * 1024
MAX_OVERHEAD_BYTES = 4 * 1024  # Maximum total size of all other items of a command or reply.
MAX_LINE_BYTES = 1024  # Maximum line length; the longest lines are errors with metrics.
MAX_ARRAY_LENGTH = 16
MAX_NUMBER_DIGITS = 18
BUFFER_BYTES = MAX_VALUE_BYTES + MAX_OVERHEAD_BYTES  # Ring buffer size that holds any command or reply.

ARRAY_TYPE = ord("*")
LINE_END = b"\r\n"
PONG = b"+PONG\r\n"


class ErrorReply(bytes):
    """The text of an error reply, without its type byte."""


class SimpleString(bytes):
    """The text of a simple string, without its type byte."""


RespItem: TypeAlias = bytes | bytearray | int | None
"""An item of an array: a bulk string, an ErrorReply, a SimpleString, an integer, or null.

A bulk string of more than MAX_VALUE_BYTES is a bytearray.
"""

RespValue: TypeAlias = RespItem | list[RespItem] | list[bytes]


class _Progress(Enum):
    """The state of the parser when a step has not completed an item."""

    INCOMPLETE = auto()  # More bytes are needed.
    BEGUN = auto()  # The header of a bulk string or an array was read.


class RespReader:
    """Incremental parser that reads complete values from a ring buffer; incomplete ones stay there.

    `max_value_bytes` is the maximum size of one value. A bulk string of more than MAX_VALUE_BYTES does not
    fit in the ring buffer and is collected in `partial_value` instead; `received` is the number of its bytes
    that have arrived. Not thread-safe.
    """

    def __init__(self, max_value_bytes: int = MAX_VALUE_BYTES) -> None:
        self.max_value_bytes = max_value_bytes
        self.partial_value = bytearray()
        self.received = 0
        self._bulk_size: int | None = None  # Size of the bulk string being read.
        self._items: list[RespItem] | None = None  # Items of the array being read.
        self._item_count = 0  # Number of items in the array header.
        self._bulk_bytes = 0  # Total size of the array's bulk strings so far.

    def feed(self, ring: RingBuffer) -> Iterator[RespValue]:
        """Yield each complete value. Raises MalformedError."""
        if self.is_idle() and len(ring):
            chunk = ring.readable_view()
            length = len(chunk)
            command = parse_plain_command(chunk)
            if command is not None:
                ring.consume(length)
                yield command
        while True:
            item = self._next_item(ring)
            if item is _Progress.INCOMPLETE:
                return
            if item is _Progress.BEGUN:
                continue
            if self._items is None:
                yield item
                continue
            assert not isinstance(item, list)  # _begin_array rejects nested arrays.
            self._items.append(item)
            if len(self._items) == self._item_count:
                items = self._items
                self._items = None
                yield items

    def _next_item(self, ring: RingBuffer) -> RespItem | list[RespItem] | _Progress:
        """Return the next item, or the progress made if it is incomplete."""
        if self._bulk_size is not None:
            return self._read_bulk(ring, self._bulk_size)
        line = ring.read_line()
        if line is None:
            if len(ring) > MAX_LINE_BYTES:
                raise MalformedError("a line that does not end")
            return _Progress.INCOMPLETE
        if len(line) > MAX_LINE_BYTES:
            raise MalformedError("a line too long")
        return self._read_header(line[:1], line[1:])

    def _read_header(self, type_byte: bytes, text: bytes) -> RespItem | list[RespItem] | _Progress:
        if type_byte == b"$":
            return self._begin_bulk(parse_integer(text))
        if type_byte == b"*":
            return self._begin_array(parse_integer(text))
        if type_byte == b"-":
            return ErrorReply(text)
        if type_byte == b"+":
            return SimpleString(text)
        if type_byte == b":":
            return parse_integer(text)
        raise MalformedError("a line of no known type")

    def _begin_bulk(self, size: int) -> _Progress | None:
        if size < 0:
            check_null(size)
            return None
        self._bulk_bytes = size + (self._bulk_bytes if self._items is not None else 0)
        max_bulk_bytes = self.max_value_bytes + MAX_OVERHEAD_BYTES // 2
        if size > self.max_value_bytes or self._bulk_bytes > max_bulk_bytes:
            raise MalformedError("a value too large", CloseReason.OVERSIZED)
        self._bulk_size = size
        return _Progress.BEGUN

    def _begin_array(self, length: int) -> list[RespItem] | _Progress | None:
        if self._items is not None:
            raise MalformedError("an array inside an array")
        if length > MAX_ARRAY_LENGTH:
            raise MalformedError("an array of too many words", CloseReason.OVERSIZED)
        if length < 0:
            check_null(length)
            return None
        if length == 0:
            return []
        self._items = []
        self._item_count = length
        self._bulk_bytes = 0
        return _Progress.BEGUN

    def _read_bulk(self, ring: RingBuffer, size: int) -> bytes | bytearray | _Progress:
        """Return the bulk string being read if it is complete."""
        if size > MAX_VALUE_BYTES and self.received < size:
            self._move_to_partial_value(ring)
        if len(ring) < self.bytes_wanted():
            return _Progress.INCOMPLETE
        value = ring.read(size) if size <= MAX_VALUE_BYTES else self.partial_value
        if ring.read(2) != LINE_END:
            raise MalformedError("a bulk string does not end where it said")
        self._bulk_size = None
        self.partial_value = bytearray()
        self.received = 0
        return value

    def _move_to_partial_value(self, ring: RingBuffer) -> None:
        buffer = self.value_buffer()
        length = min(len(ring), len(buffer))
        buffer[:length] = ring.read(length)
        self.received += length

    def bytes_wanted(self) -> int:
        """Return how many bytes of the current bulk string and its line end are missing; 0 without one."""
        if self._bulk_size is None:
            return 0
        return self._bulk_size - self.received + len(LINE_END)

    def parsed_bytes(self) -> int:
        """Return the total size of the complete bulk strings in the array that is being read."""
        if self._items is None:
            return 0
        return self._bulk_bytes - (self._bulk_size or 0)

    def is_idle(self) -> bool:
        """Return whether no value is partly parsed."""
        return self._items is None and self._bulk_size is None

    def value_buffer(self) -> memoryview:
        """Return the unfilled part of `partial_value` for reading from the socket into it.

        The view is empty if the bytes are to be read into the ring buffer. The caller adds the number of
        bytes that it has read to `received`.
        """
        if self._bulk_size is None or self._bulk_size <= MAX_VALUE_BYTES:
            return memoryview(b"")
        if not self.partial_value:
            self.partial_value = bytearray(self._bulk_size)
        return memoryview(self.partial_value)[self.received :]


def parse_plain_command(chunk: memoryview) -> list[bytes] | None:
    """Parse the common case in one step: a single complete array of short bulk strings.

    Returns None if the bytes are anything else. Releases the chunk.
    """
    with chunk:
        if chunk[0] != ARRAY_TYPE or len(chunk) > MAX_LINE_BYTES:
            return None
        lines = bytes(chunk).split(LINE_END)
    if lines.pop():
        return None  # The last line is incomplete.
    items = lines[2::2]
    if not 0 < len(items) <= MAX_ARRAY_LENGTH or lines[0] != b"*%d" % len(items):
        return None
    if lines[1::2] != [b"$%d" % len(item) for item in items]:
        return None  # This includes items that contain a line end.
    return items


def check_null(length: int) -> None:
    """Raise MalformedError unless a negative length is -1, which encodes null."""
    if length != -1:
        raise MalformedError("a length below -1")


def parse_integer(text: bytes) -> int:
    """Parse an integer of at most 18 digits. Raises MalformedError."""
    digits = text[1:] if text[:1] == b"-" else text
    if not digits.isdigit() or len(digits) > MAX_NUMBER_DIGITS:
        raise MalformedError("not a number")
    return int(text)


def encode_bulk(value: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_bulk_parts(value: bytes | bytearray) -> tuple[bytes | bytearray, ...]:
    """Encode a bulk string as parts to be sent in order, so that a large value is not copied."""
    if len(value) <= MAX_VALUE_BYTES:
        return (encode_bulk(bytes(value)),)
    return (b"$%d\r\n" % len(value), value, LINE_END)


def encode_command(*arguments: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n%b" % (len(arguments), b"".join([encode_bulk(argument) for argument in arguments]))


def encode_error(text: str) -> bytes:
    """Encode an error reply; line ends in the text become spaces, non-ASCII characters question marks."""
    return b"-%b\r\n" % " ".join(text.split()).encode("ascii", "replace")
