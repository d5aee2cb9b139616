"""Codec of the frames exchanged with the simulator: batches of fixed-size records, and their replies."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import BinaryIO

from .actions import ACTIONS
from .events import EVENTS, Event

# Headers of a batch and of a reply. The length covers all that follows it.
BATCH_HEADER = struct.Struct("<IIdI")  # Batch number, length, clock, record count.
REPLY_HEADER = struct.Struct("<III")  # Batch number, length, record count.
UNCOUNTED_HEADER_BYTES = 8  # Size of the number and the length, which the length field does not include.
REPLY_COUNT_BYTES = 4  # Size of the record count in a reply's header, which the length field includes.
EVENT_RECORD_BYTES = 56
ACTION_RECORD_BYTES = 32
SERVER_ENTRY = struct.Struct("<IBBHBfd")  # Id, zone, kind, cell, state, weight, start time.


class WireError(Exception):
    """The input does not conform to the simulator's protocol."""


class Batch:
    """A frame from the simulator: its number, the clock in seconds, event records and a tail of raw bytes."""

    def __init__(self, number: int, clock: float, count: int, body: memoryview) -> None:
        if count * EVENT_RECORD_BYTES > len(body):
            raise WireError(
                f"batch {number}: expected at least {count * EVENT_RECORD_BYTES} bytes for {count} records,"
                f" got {len(body)}"
            )
        self.number = number
        self.clock = clock
        self._body = body
        self._count = count
        self._tail = body[count * EVENT_RECORD_BYTES :]

    def records(self) -> Iterator[tuple[int, Event]]:
        """Yield the code and the event of each record, in order. Raises WireError for an unknown code."""
        for index in range(self._count):
            start = index * EVENT_RECORD_BYTES
            code = self._body[start]
            known = EVENTS.get(code)
            if known is None:
                raise WireError(
                    f"batch {self.number}: code of record {index} is {code},"
                    f" expected {min(EVENTS)} to {max(EVENTS)}"
                )
            layout, event_type = known
            yield code, event_type._make(layout.unpack_from(self._body, start + 1))

    def tail(self, offset: int, length: int) -> memoryview:
        """Return bytes of the tail. Raises WireError if the tail is too short."""
        if offset + length > len(self._tail):
            raise WireError(
                f"batch {self.number}: expected {length} bytes at offset {offset} of the tail,"
                f" got a tail of {len(self._tail)} bytes"
            )
        return self._tail[offset : offset + length]


def read_exactly(source: BinaryIO, length: int, description: str) -> bytes:
    """Read `length` bytes. Raises WireError if the stream ends earlier."""
    data = source.read(length)
    if len(data) != length:
        raise WireError(f"input ended inside {description}: got {len(data)} of {length} bytes")
    return data


def read_batch(source: BinaryIO) -> Batch | None:
    """Read the next batch; return None if the input ends before one begins. Raises WireError."""
    header = source.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError(f"input ended inside a batch header: got {len(header)} of {BATCH_HEADER.size} bytes")
    number, length, clock, count = BATCH_HEADER.unpack(header)
    body_length = length - (BATCH_HEADER.size - UNCOUNTED_HEADER_BYTES)
    if body_length < 0:
        raise WireError(
            f"batch {number}: length is {length},"
            f" expected at least {BATCH_HEADER.size - UNCOUNTED_HEADER_BYTES}"
        )
    body = read_exactly(source, body_length, f"batch {number}")
    return Batch(number, clock, count, memoryview(body))


class Reply:
    """A frame to the simulator: the actions that answer one batch."""

    def __init__(self, number: int) -> None:
        self._number = number
        self._records: list[bytes] = []
        self._tail = bytearray()

    def add(self, code: int, *fields: int | float) -> None:
        """Append an action record with a code and its fields."""
        record = ACTIONS[code].pack(code, *fields)
        self._records.append(record.ljust(ACTION_RECORD_BYTES, b"\0"))

    def append_to_tail(self, data: bytes) -> tuple[int, int]:
        """Append bytes to the tail; return their offset and length."""
        offset = len(self._tail)
        self._tail += data
        return offset, len(data)

    def encode(self) -> bytes:
        """Encode the records and the tail as one frame."""
        body = b"".join(self._records) + self._tail
        header = REPLY_HEADER.pack(self._number, len(body) + REPLY_COUNT_BYTES, len(self._records))
        return header + body
