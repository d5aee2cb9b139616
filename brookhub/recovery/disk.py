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
    """A record as it is appended to the ledger's file."""
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


class Scanner:
    """Reads a file record by record; what is spoilt is skipped and counted."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0
        self.whole = True  # the one before ended where this begins
        self.found = Scanned(Ledger())

    def next_body(self) -> tuple[int, bytes] | None:
        """Checksum and bytes of the next record; None at the end, where a record may be torn."""
        data, found = self.data, self.found
        begins = data.find(MARK, self.at)
        if begins < 0:
            if MARK.startswith(data[self.at :]):
                found.torn = len(data) - self.at
            elif self.whole:  # what follows a whole record, and is none
                found.skipped += 1
            return None
        found.skipped += self.whole and begins > self.at
        self.at = begins + len(MARK)
        if len(data) < self.at + HEAD.size:
            found.torn = len(data) - begins
            return None
        length, checksum = HEAD.unpack_from(data, self.at)
        body = data[self.at + HEAD.size : self.at + HEAD.size + length]
        if len(body) == length:
            return checksum, body
        if data.find(MARK, self.at) < 0:
            found.torn = len(data) - begins
            return None
        return checksum, b""  # a spoilt length: the next mark is looked for right behind this one

    def next_record(self) -> Record | None:
        """The next record that can be read, None at the end."""
        while (found := self.next_body()) is not None:
            checksum, body = found
            try:
                if not body or xxhash.xxh32_intdigest(body) != checksum:
                    raise ValueError("checksum")
                record = _decoder.decode(body)
                int(record.name)
            except (msgspec.DecodeError, ValueError):
                self.found.skipped, self.whole = self.found.skipped + 1, False
                continue  # a spoilt length may have swallowed records
            self.at, self.whole = self.at + HEAD.size + len(body), True
            self.found.records += 1
            return record
        return None


def scan(data: bytes, now: float, calendar: float) -> Scanned:
    """Read a file; names that died meanwhile are left out.

    Raises UnusableError where nothing in it is a record.
    """
    scanner = Scanner(data)
    found, entries = scanner.found, scanner.found.ledger.entries
    while (record := scanner.next_record()) is not None:
        entry = entries.get(int(record.name))
        if entry is None:
            entry = entries[int(record.name)] = Entry(record.lives, record.dies - calendar + now)
        entry.own = record.amount if record.whole else entry.own + record.amount
    if data and not found.records and not found.torn:
        raise UnusableError("no record in it")
    found.ledger.sweep(now)
    return found
