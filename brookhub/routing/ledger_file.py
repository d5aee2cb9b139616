"""The file of the ledger's append-only log."""

from __future__ import annotations

import os
from io import FileIO
from pathlib import Path

from ..recovery import LogContents, UnusableLogError, read_log
from .log import EventLogger


class LedgerFile:
    """Owner of the open log file: `replace` opens it, and it stays open until the process ends.

    Used by one thread at a time and never under the decisions' lock, as all methods may block; `load` runs
    before the program's threads. A fault of the disk is logged once until writing succeeds again, and not
    raised: the limiter goes on in memory.
    """

    def __init__(self, path: Path, logger: EventLogger):
        self._path = path
        self._logger = logger
        self._file: FileIO | None = None
        self._failed = False

    def load(self, now: float, wall_clock: float) -> LogContents | None:
        """Read what an earlier process counted; None where there is no file or it is unusable.

        `now` (s, monotonic) and `wall_clock` (s) are the same moment.
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
        """Put a new file with a snapshot in place of the old one, and append to that from now on."""
        try:
            self._write_synced(data)
            old_file = self._file
            self._file = FileIO(self._path, "ab")
            if old_file:
                old_file.close()
            self._failed = False
        except OSError as error:
            self._log_write_failure(error)

    def _write_synced(self, data: bytes) -> None:
        """Write a file beside the old one and rename it when the disk has it."""
        new_path = self._path.with_name(self._path.name + ".new")
        with open(new_path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new_path, self._path)

    def append(self, data: bytes) -> None:
        """Append records; unbuffered, so that a killed process loses nothing that was appended."""
        try:
            if self._file:
                self._file.write(data)
        except OSError as error:
            self._log_write_failure(error)

    def _log_load_failure(self, reason: str) -> None:
        """Log that the file was not loaded."""
        self._logger.error("ledger load failed", path=str(self._path), reason=reason)

    def _log_write_failure(self, error: OSError) -> None:
        """Log that the disk takes no records, once until it does again."""
        if self._failed:
            return
        self._failed = True
        self._logger.error("ledger write failed", path=str(self._path), reason=error.strerror)
