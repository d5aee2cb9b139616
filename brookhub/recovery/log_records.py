"""The ledger as an append-only log: the records of its file, as bytes.

The file begins with a snapshot, a record with all units of each count; each later record adds units. A
record is a mark, a header with the body's length and checksum, and a body of msgpack. No I/O here:
`routing.ledger_file` writes what `encode_record` and `encode_snapshot` return, `log_reader` reads a file's
content.
"""

from __future__ import annotations

from struct import Struct

import msgspec
import xxhash

from .ledger import Ledger

RECORD_MARK = b"\xb7\x0bQ\x1e"  # begins each record: after a corrupt one the reader resumes at the next mark
RECORD_HEADER = Struct("<HI")  # length of the body (bytes), its checksum


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """Units added to a count (below 0: given back).

    `lifetime` in s; `expires_at` in s of the wall clock. `is_snapshot`: `amount` is all units so far. The
    fields are written in this order, without their names.
    """

    name: str  # decimal digits: names are wider than msgpack's integers
    amount: float
    lifetime: float
    expires_at: float
    is_snapshot: bool = False


_encoder = msgspec.msgpack.Encoder()


def checksum(body: bytes) -> int:
    """The checksum of a record's body (xxh32)."""
    return xxhash.xxh32_intdigest(body)


def encode_record(record: LogRecord) -> bytes:
    """A record as it is appended to the file."""
    body = _encoder.encode(record)
    return RECORD_MARK + RECORD_HEADER.pack(len(body), checksum(body)) + body


def encode_snapshot(ledger: Ledger, now: float, wall_clock: float) -> bytes:
    """The whole ledger in as few records as possible, by name.

    `now` (s, the ledger's monotonic clock) and `wall_clock` (s) are the same moment.
    """
    records = [
        LogRecord(str(name), entry.units, entry.lifetime, entry.expires_at - now + wall_clock, True)
        for name, entry in sorted(ledger.entries.items())
        if entry.expires_at > now and entry.units
    ]
    return b"".join(encode_record(record) for record in records)
