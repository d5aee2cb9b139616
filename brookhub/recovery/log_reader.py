"""Reads the ledger's append-only log and replays its records into a ledger.

A truncated last record and corrupt records are skipped and counted; after a corrupt record reading resumes
at the next mark.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from .ledger import Ledger, LedgerEntry
from .log_records import RECORD_HEADER, RECORD_MARK, LogRecord, checksum


class UnusableLogError(ValueError):
    """A file that is not empty and has no record."""


@dataclass
class LogContents:
    """What a file held.

    `records`: records read; `corrupt_records`: stretches that were skipped; `truncated_bytes`: length of a
    last record that was cut off.
    """

    ledger: Ledger = field(default_factory=Ledger)
    records: int = 0
    corrupt_records: int = 0
    truncated_bytes: int = 0


@dataclass(frozen=True, slots=True)
class RawRecord:
    """A record's body and the checksum in its header; the body is empty where its length is corrupt."""

    checksum: int
    body: bytes


_decoder = msgspec.msgpack.Decoder(LogRecord)


class LogReader:
    """Reads a file's content record by record."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0  # bytes
        self._last_was_valid = True  # the record before ended at the position
        self.contents = LogContents()

    def next_record(self) -> LogRecord | None:
        """The next valid record; None at the end."""
        while (raw := self._next_raw_record()) is not None:
            record = self._decode(raw)
            if record is None:
                # The position stays right behind the mark: a corrupt length may span other records
                self.contents.corrupt_records += 1
                self._last_was_valid = False
                continue
            self._position += RECORD_HEADER.size + len(raw.body)
            self._last_was_valid = True
            self.contents.records += 1
            return record
        return None

    def _decode(self, raw: RawRecord) -> LogRecord | None:
        """The record in a body; None where it is corrupt."""
        if not raw.body or checksum(raw.body) != raw.checksum:
            return None
        try:
            record = _decoder.decode(raw.body)
            int(record.name)
        except (msgspec.DecodeError, ValueError):
            return None
        return record

    def _next_raw_record(self) -> RawRecord | None:
        """The record behind the next mark; None at the end, where a record may be truncated.

        Leaves the position behind the mark.
        """
        start = self._data.find(RECORD_MARK, self._position)
        if start < 0:
            self._count_rest()
            return None
        if self._last_was_valid and start > self._position:
            self.contents.corrupt_records += 1
        self._position = start + len(RECORD_MARK)
        body_start = self._position + RECORD_HEADER.size
        if len(self._data) < body_start:
            self.contents.truncated_bytes = len(self._data) - start
            return None
        length, header_checksum = RECORD_HEADER.unpack_from(self._data, self._position)
        body = self._data[body_start : body_start + length]
        if len(body) == length:
            return RawRecord(header_checksum, body)
        if self._data.find(RECORD_MARK, self._position) < 0:
            self.contents.truncated_bytes = len(self._data) - start
            return None
        return RawRecord(header_checksum, b"")

    def _count_rest(self) -> None:
        """Count bytes without a mark at the end: a truncated mark, or else a corrupt record."""
        if RECORD_MARK.startswith(self._data[self._position :]):
            self.contents.truncated_bytes = len(self._data) - self._position
        elif self._last_was_valid:  # otherwise they are of a record that was counted already
            self.contents.corrupt_records += 1


def read_log(data: bytes, now: float, wall_clock: float) -> LogContents:
    """Read a file's content; entries that have expired are left out.

    `now` (s, the ledger's monotonic clock) and `wall_clock` (s) are the same moment. Raises UnusableLogError
    where the file is not empty and nothing in it is a record.
    """
    reader = LogReader(data)
    contents = reader.contents
    entries = contents.ledger.entries
    while (record := reader.next_record()) is not None:
        name = int(record.name)
        entry = entries.get(name)
        if entry is None:
            entry = entries[name] = LedgerEntry(record.lifetime, record.expires_at - wall_clock + now)
        if record.is_snapshot:
            entry.units = record.amount
        else:
            entry.units += record.amount
    if data and not contents.records and not contents.truncated_bytes:
        raise UnusableLogError("no record in it")
    contents.ledger.remove_expired(now)
    return contents
