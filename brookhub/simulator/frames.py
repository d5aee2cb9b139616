"""The frame codec of the simulator's wire: batches of fixed-size records with a tail."""

from __future__ import annotations

import struct
from typing import BinaryIO, Iterator

HEADER = struct.Struct("<IIdI")
REPLY_HEADER = struct.Struct("<III")
RECORD_IN = 56
RECORD_OUT = 32
ENTRY = struct.Struct("<IBBHBfd")

COUNTED, FIRED, WHISPER, OPENED, TRY_END, ARRIVAL, KILLED, PROBED, HANGUP, SERVERS, LAUNCH = range(16, 27)
EVENTS = {
    COUNTED: struct.Struct("<IQHfd"),
    FIRED: struct.Struct("<IQ"),
    WHISPER: struct.Struct("<IIII"),
    OPENED: struct.Struct("<IQdIH"),
    TRY_END: struct.Struct("<IQHIHdBHHB4f"),
    ARRIVAL: struct.Struct("<IQdfHQffBB"),
    KILLED: struct.Struct("<I"),
    PROBED: struct.Struct("<IHIdB4f"),
    HANGUP: struct.Struct("<IQ"),
    SERVERS: struct.Struct("<IBQII"),
    LAUNCH: struct.Struct("<IQII"),
}

(
    FORWARD,
    PUSH_BACK,
    LOSE,
    WITHDRAW,
    SET_ALARM,
    SOUND_OUT,
    FREE_LINKS,
    POST,
    TRACE,
    BUG,
    SUBSCRIBE,
    RELOAD,
    ADD_AND_GET,
) = range(16, 29)
ACTIONS = {
    FORWARD: struct.Struct("<BIQId"),
    PUSH_BACK: struct.Struct("<BIQd"),
    LOSE: struct.Struct("<BIQ"),
    WITHDRAW: struct.Struct("<BIQH"),
    SET_ALARM: struct.Struct("<BIdQ"),
    SOUND_OUT: struct.Struct("<BII"),
    FREE_LINKS: struct.Struct("<BII"),
    POST: struct.Struct("<BIHII"),
    TRACE: struct.Struct("<BIII"),
    BUG: struct.Struct("<BIII"),
    SUBSCRIBE: struct.Struct("<BIB"),
    RELOAD: struct.Struct("<BI"),
    ADD_AND_GET: struct.Struct("<BIQfd"),
}


class WireError(Exception):
    """What came in does not follow the wire's page."""


class Batch:
    """One frame: a number, the clock, its records and their tail."""

    def __init__(self, number: int, clock: float, count: int, body: memoryview):
        if count * RECORD_IN > len(body):
            raise WireError(f"batch {number}: {count} records do not fit its {len(body)} bytes")
        self.number, self.clock = number, clock
        self._body, self._count = body, count
        self._tail = body[count * RECORD_IN :]

    def records(self) -> Iterator[tuple[int, tuple]]:
        """The records in the order in which they came: code and fields."""
        for index in range(self._count):
            at = index * RECORD_IN
            code = self._body[at]
            layout = EVENTS.get(code)
            if layout is None:
                raise WireError(f"batch {self.number}: record {index} has the unknown code {code}")
            yield code, layout.unpack_from(self._body, at + 1)

    def tail(self, offset: int, length: int) -> memoryview:
        """Bytes behind the records."""
        if offset + length > len(self._tail):
            raise WireError(f"batch {self.number}: bytes {offset}+{length} lie outside its tail")
        return self._tail[offset : offset + length]

    def entries(self, offset: int, count: int) -> list[tuple]:
        """Entries of the server list behind the records."""
        return list(ENTRY.iter_unpack(self.tail(offset, count * ENTRY.size)))


def read_exactly(source: BinaryIO, length: int, what: str) -> bytes:
    """So many bytes. Raises WireError where the stream ends before."""
    data = source.read(length)
    if len(data) != length:
        raise WireError(f"input ended inside {what}: {len(data)} of {length} bytes")
    return data


def read_batch(source: BinaryIO) -> Batch | None:
    """The next batch, or None where input ends between two."""
    start = source.read(HEADER.size)
    if not start:
        return None
    if len(start) < HEADER.size:
        raise WireError(f"input ended inside a header: {len(start)} of {HEADER.size} bytes")
    number, length, clock, count = HEADER.unpack(start)
    rest = length - (HEADER.size - 8)
    if rest < 0:
        raise WireError(f"batch {number}: its length {length} is shorter than its header")
    return Batch(number, clock, count, memoryview(read_exactly(source, rest, f"batch {number}")))


class Reply:
    """The actions that answer one batch."""

    def __init__(self, number: int):
        self._number = number
        self._records: list[bytes] = []
        self._tail = bytearray()

    def add(self, code: int, *fields) -> None:
        """Append a record."""
        self._records.append(ACTIONS[code].pack(code, *fields).ljust(RECORD_OUT, b"\0"))

    def keep(self, data: bytes) -> tuple[int, int]:
        """Put bytes into the tail; gives their offset and length."""
        at = len(self._tail)
        self._tail += data
        return at, len(data)

    def encode(self) -> bytes:
        """All records as one frame."""
        body = b"".join(self._records) + self._tail
        return REPLY_HEADER.pack(self._number, len(body) + 4, len(self._records)) + body
