"""File of the ledger's append-only log."""

from __future__ import annotations

import os
from io import FileIO
from pathlib import Path

from ..recovery import LogContents, UnusableLogError, read_log
from .log import EventLogger


class LedgerFile:
    """Owner of the log file, which `replace` opens and which stays open until the process ends.

    Used by one thread at a time and never under the event loop's lock, as all methods may block; `load` is
    called before the program's threads start. A disk error is not raised, because the limiter continues in
    memory; it is logged once until writing succeeds again.
    """

    def __init__(self, path: Path, logger: EventLogger) -> None:
        self._path = path
        self._logger = logger
        self._file: FileIO | None = None
        self._has_write_failed = False

    def load(self, now: float, wall_clock: float) -> LogContents | None:
        """Read the ledger of an earlier process; return None if the file is missing or unusable.

        `now` (seconds, monotonic) and `wall_clock` (seconds) denote the same moment.
        """
        try:
            contents = read_log(self._path.read_bytes(), now, wall_clock)
        except FileNotFoundError:
            return None
        except OSError as error:
            self._log_load_failure(error.strerror or str(error))
            return None
        except UnusableLogError as error:
            self._log_load_failure(str(error))
            return None
        self._logger.info(
            "ledger loaded",
            entries=len(contents.ledger.entries),
            records=contents.records,
            corrupt_records=contents.corrupt_records,
            truncated_bytes=contents.truncated_bytes,
        )
        return contents

    def replace(self, data: bytes) -> None:
        """Replace the file by a new one with a snapshot, and append to the new file from now on."""
        try:
            self._write_synced(data)
            old_file = self._file
            self._file = FileIO(self._path, "ab")
            if old_file:
                old_file.close()
            self._has_write_failed = False
        except OSError as error:
            self._log_write_failure(error)

    def _write_synced(self, data: bytes) -> None:
        """Write and sync a temporary file next to the log, then rename it to the log's name."""
        new_path = self._path.with_name(self._path.name + ".new")
        with new_path.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        new_path.replace(self._path)

    def append(self, data: bytes) -> None:
        """Append records, unbuffered so that a killed process loses nothing that was appended."""
        try:
            if self._file:
                self._file.write(data)
        except OSError as error:
            self._log_write_failure(error)

    def _log_load_failure(self, reason: str) -> None:
        """Log why the file was not loaded."""
        self._logger.error("ledger load failed", path=str(self._path), reason=reason)

    def _log_write_failure(self, error: OSError) -> None:
        """Log a failed write, once until writing succeeds again."""
        if self._has_write_failed:
            return
        self._has_write_failed = True
        self._logger.error("ledger write failed", path=str(self._path), reason=error.strerror)
