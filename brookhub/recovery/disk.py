"""The ledger as bytes for a disk that lasts: a snapshot, then records appended.

Each line of msgpack with its length and checksum.

No I/O here: the driver writes what `append` and `snapshot` give, and `scan` reads a file's whole content. A
torn last record and one whose checksum is wrong are skipped and counted; what comes after a spoilt one is
found by its mark.
"""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct

import msgspec
import xxhash

from .ledger import Entry, Ledger

MARK = b"\xb7\x0bQ\x1e"  # begins each record: where one is spoilt, reading goes on at the next
HEAD = Struct("<HI")  # length of what follows, its checksum (xxh32)


class UnusableError(ValueError):
    """A file that holds no record at all, though it isn't empty."""


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Units added (below 0: given back) to a name that dies at `dies` (s of the shared calendar).

    `whole`: all so far.
    """

    name: str  # decimal digits: names are wider than msgpack's integers
    amount: float
    lives: float
    dies: float
    whole: bool = False


@dataclass
class Scanned:
    """What a file held: the ledger, records read, records skipped (spoilt), bytes of a torn end."""

    ledger: Ledger
    records: int = 0
    skipped: int = 0
    torn: int = 0


_encode, _decoder = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Record)


def append(record: Record) -> bytes:
    body = _encode(record)
    return MARK + HEAD.pack(len(body), xxhash.xxh32_intdigest(body)) + body


def snapshot(ledger: Ledger, now: float, calendar: float) -> bytes:
    """The whole ledger in as few records; `now` and `calendar`.

    The same moment (s) on the ledger's clock and the calendar.
    """
    return b"".join(
        append(Record(str(name), one.own, one.lives, one.dies - now + calendar, True))
        for name, one in sorted(ledger.entries.items())
        if one.dies > now and one.own
    )


def scan(data: bytes, now: float, calendar: float) -> Scanned:
    """Read a file; names that died meanwhile are left out.

    Raises UnusableError where nothing in it is a record.
    """
    found, at, whole = Scanned(Ledger()), 0, True  # whole: the one before ended where this begins
    entries = found.ledger.entries
    while True:
        begins = data.find(MARK, at)
        if begins < 0:
            if MARK.startswith(data[at:]):
                found.torn = len(data) - at
            elif whole:  # what follows a whole record, and is none
                found.skipped += 1
            break
        found.skipped += whole and begins > at
        at = begins + len(MARK)
        if len(data) < at + HEAD.size:
            found.torn = len(data) - begins
            break
        length, checksum = HEAD.unpack_from(data, at)
        body = data[at + HEAD.size : at + HEAD.size + length]
        if len(body) < length and data.find(MARK, at) < 0:
            found.torn = len(data) - begins
            break
        try:
            if xxhash.xxh32_intdigest(body) != checksum or len(body) < length:
                raise ValueError("checksum")
            record = _decoder.decode(body)
            name = int(record.name)
        except (msgspec.DecodeError, ValueError):
            found.skipped, whole = found.skipped + 1, False
            # The next mark is looked for right behind this one: a spoilt length may have swallowed records
            continue
        at, whole = at + HEAD.size + length, True
        found.records += 1
        entry = entries.get(name)
        if entry is None:
            entry = entries[name] = Entry(record.lives, record.dies - calendar + now)
        entry.own = record.amount if record.whole else entry.own + record.amount
    if data and not found.records and not found.torn:
        raise UnusableError("no record in it")
    found.ledger.sweep(now)
    return found
