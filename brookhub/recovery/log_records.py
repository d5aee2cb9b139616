"""Format of the records in the ledger's append-only log file.

The file begins with a snapshot: for each count, a record with all its units. Each later record adds units to
a count. A record consists of a mark, a header with the body's length and checksum, and a body in msgpack.
This module does no I/O: `routing.ledger_file` writes the bytes that `encode_record` and `encode_snapshot`
return, and `log_reader` decodes the content of a file.
"""

from __future__ import annotations

from struct import Struct

import msgspec
import xxhash

from .ledger import Ledger

RECORD_MARK = b"\xb7\x0bQ\x1e"  # Starts each record; after a corrupt one the reader resumes at the next mark.
RECORD_HEADER = Struct("<HI")  # Length of the body in bytes, and the body's checksum.


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """Units that were added to a count.

    The fields are written in this order, without their names.

    Attributes:
        name: Name of the count in decimal digits, as names are wider than msgpack's integers.
        amount: Units that were added; below 0 if they were given back.
        lifetime: Seconds after which the count expires.
        expires_at: Time in seconds on the wall clock.
        is_snapshot: Whether `amount` is the sum of all units so far.
    """

    name: str
    amount: float
    lifetime: float
    expires_at: float
    is_snapshot: bool = False


_encoder = msgspec.msgpack.Encoder()


def checksum(body: bytes) -> int:
    """Return the checksum (xxh32) of a record's body."""
    return xxhash.xxh32_intdigest(body)


def encode_record(record: LogRecord) -> bytes:
    """Encode a record as it is appended to the file."""
    body = _encoder.encode(record)
    return RECORD_MARK + RECORD_HEADER.pack(len(body), checksum(body)) + body


def encode_snapshot(ledger: Ledger, now: float, wall_clock: float) -> bytes:
    """Encode the whole ledger in as few records as possible, sorted by name.

    Args:
        ledger: The ledger to encode. Entries that have expired or have no units are left out.
        now: Current time in seconds on the ledger's monotonic clock.
        wall_clock: The same moment in seconds on the wall clock.
    """
    records = [
        LogRecord(str(name), entry.units, entry.lifetime, entry.expires_at - now + wall_clock, True)
        for name, entry in sorted(ledger.entries.items())
        if entry.expires_at > now and entry.units
    ]
    return b"".join(encode_record(record) for record in records)
