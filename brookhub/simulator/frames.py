"""The frame codec of the simulator's wire: batches of fixed-size records with a tail, and their replies."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import BinaryIO

from .actions import ACTIONS
from .events import EVENTS, Event

BATCH_HEADER = struct.Struct("<IIdI")  # number, length from the clock on, clock, records
REPLY_HEADER = struct.Struct("<III")  # number, length from the count on, records
UNCOUNTED_HEADER_BYTES = 8  # of a header, that its length field does not count: the number and the length
REPLY_COUNT_BYTES = 4  # of a reply's header, that its length field counts
EVENT_RECORD_BYTES = 56
ACTION_RECORD_BYTES = 32
SERVER_ENTRY = struct.Struct("<IBBHBfd")  # id, zone, kind, cell, state, weight, started at


class WireError(Exception):
    """What came in does not follow the page of the simulator's wire."""


class Batch:
    """One frame from the simulator: a number, the clock (s), its records and their tail."""

    def __init__(self, number: int, clock: float, count: int, body: memoryview) -> None:
        if count * EVENT_RECORD_BYTES > len(body):
            raise WireError(f"batch {number}: {count} records do not fit its {len(body)} bytes")
        self.number = number
        self.clock = clock
        self._body = body
        self._count = count
        self._tail = body[count * EVENT_RECORD_BYTES :]

    def records(self) -> Iterator[tuple[int, Event]]:
        """The code and the event of each record, in the order of arrival. Raises WireError."""
        for index in range(self._count):
            start = index * EVENT_RECORD_BYTES
            code = self._body[start]
            known = EVENTS.get(code)
            if known is None:
                raise WireError(f"batch {self.number}: record {index} has the unknown code {code}")
            layout, event_type = known
            yield code, event_type._make(layout.unpack_from(self._body, start + 1))

    def tail(self, offset: int, length: int) -> memoryview:
        """Bytes behind the records. Raises WireError where they end before."""
        if offset + length > len(self._tail):
            raise WireError(f"batch {self.number}: bytes {offset}+{length} lie outside its tail")
        return self._tail[offset : offset + length]


def read_exactly(source: BinaryIO, length: int, what: str) -> bytes:
    """So many bytes. Raises WireError where the stream ends before."""
    data = source.read(length)
    if len(data) != length:
        raise WireError(f"input ended inside {what}: {len(data)} of {length} bytes")
    return data


def read_batch(source: BinaryIO) -> Batch | None:
    """The next batch, or None where the input ends between two. Raises WireError."""
    header = source.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError(f"input ended inside a header: {len(header)} of {BATCH_HEADER.size} bytes")
    number, length, clock, count = BATCH_HEADER.unpack(header)
    body_length = length - (BATCH_HEADER.size - UNCOUNTED_HEADER_BYTES)
    if body_length < 0:
        raise WireError(f"batch {number}: its length {length} is shorter than its header")
    body = read_exactly(source, body_length, f"batch {number}")
    return Batch(number, clock, count, memoryview(body))


class Reply:
    """The actions that answer one batch."""

    def __init__(self, number: int) -> None:
        self._number = number
        self._records: list[bytes] = []
        self._tail = bytearray()

    def add(self, code: int, *fields: int | float) -> None:
        """Append a record."""
        record = ACTIONS[code].pack(code, *fields)
        self._records.append(record.ljust(ACTION_RECORD_BYTES, b"\0"))

    def append_to_tail(self, data: bytes) -> tuple[int, int]:
        """Put bytes into the tail; returns their offset and length."""
        offset = len(self._tail)
        self._tail += data
        return offset, len(data)

    def encode(self) -> bytes:
        """All records as one frame."""
        body = b"".join(self._records) + self._tail
        header = REPLY_HEADER.pack(self._number, len(body) + REPLY_COUNT_BYTES, len(self._records))
        return header + body
