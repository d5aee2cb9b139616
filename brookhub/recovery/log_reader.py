"""Reader of the ledger's append-only log, which rebuilds the ledger from the log's records.

A truncated last record and corrupt records are skipped and counted. After a corrupt record, reading resumes
at the next mark.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from .ledger import Ledger, LedgerEntry
from .log_records import RECORD_HEADER, RECORD_MARK, LogRecord, checksum


class UnusableLogError(ValueError):
    """The file is not empty and contains no record."""


@dataclass
class LogContents:
    """The ledger that a log file contained, and statistics of the read.

    Attributes:
        ledger: The ledger that results from the records.
        records: Number of valid records.
        corrupt_records: Number of corrupt sections that were skipped.
        truncated_bytes: Length of a truncated last record, in bytes.
    """

    ledger: Ledger = field(default_factory=Ledger)
    records: int = 0
    corrupt_records: int = 0
    truncated_bytes: int = 0


@dataclass(frozen=True, slots=True)
class RawRecord:
    """A record's body, and the checksum in its header. The body is empty if its length is corrupt."""

    checksum: int
    body: bytes


_decoder = msgspec.msgpack.Decoder(LogRecord)


class LogReader:
    """Reader of the content of a log file, record by record."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0  # Index in `_data` of the next byte to read.
        self._last_was_valid = True  # Whether a valid record ended at the position.
        self.contents = LogContents()

    def next_record(self) -> LogRecord | None:
        """Return the next valid record, or None at the end."""
        while (raw := self._next_raw_record()) is not None:
            record = self._decode(raw)
            if record is None:
                # The position stays directly after the mark, because a corrupt length may span other records.
                self.contents.corrupt_records += 1
                self._last_was_valid = False
                continue
            self._position += RECORD_HEADER.size + len(raw.body)
            self._last_was_valid = True
            self.contents.records += 1
            return record
        return None

    def _decode(self, raw: RawRecord) -> LogRecord | None:
        """Return the record in a body, or None if it is corrupt."""
        if not raw.body or checksum(raw.body) != raw.checksum:
            return None
        try:
            record = _decoder.decode(raw.body)
            int(record.name)
        except (msgspec.DecodeError, ValueError):
            return None
        return record

    def _next_raw_record(self) -> RawRecord | None:
        """Return the record after the next mark, or None at the end, where a record may be truncated.

        The position is then directly after the mark.
        """
        start = self._data.find(RECORD_MARK, self._position)
        if start < 0:
            self._count_trailing_bytes()
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

    def _count_trailing_bytes(self) -> None:
        """Count remaining bytes without a mark: truncated if they begin a mark, else a corrupt record."""
        if RECORD_MARK.startswith(self._data[self._position :]):
            self.contents.truncated_bytes = len(self._data) - self._position
        elif self._last_was_valid:  # Otherwise the bytes belong to a record that was already counted.
            self.contents.corrupt_records += 1


def read_log(data: bytes, now: float, wall_clock: float) -> LogContents:
    """Read the content of a log file, without the entries that have expired.

    Args:
        data: Content of the file.
        now: Current time in seconds on the ledger's monotonic clock.
        wall_clock: The same moment in seconds on the wall clock.

    Raises:
        UnusableLogError: The file is not empty and contains no record.
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
        raise UnusableLogError("expected at least one record, got none")
    contents.ledger.remove_expired(now)
    return contents
