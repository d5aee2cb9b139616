"""Structured log on standard error: mainly one line for each closed connection.

All threads write to it, without the event loop's lock.
"""

from __future__ import annotations

import sys
from collections import deque
from threading import Lock
from typing import TextIO

import structlog
from structlog.typing import FilteringBoundLogger

from ..model import Server
from ..transport.close_reason import CloseReason

MAX_QUEUED_LINES = 1000  # Lines that wait while another thread is writing.


class LineWriter:
    """A writer of log lines that never raises, and never waits for another thread that writes.

    Lines are queued, and the thread that finds no other one writing writes all of them. So at most one thread
    waits if the log's reader is slow. A line that cannot be written, because the pipe's reader has exited or
    the disk is full, or that finds the queue full, is dropped and counted: a request must not fail, and a
    connection must not stay open, because its log line cannot be written. Thread-safe.
    """

    def __init__(self, file: TextIO) -> None:
        self.file = file
        self._lines: deque[str] = deque()
        self._is_writing = Lock()
        self.dropped = 0  # Number of lines that were not written; approximate.

    def msg(self, line: str) -> None:
        """Write a line. If another thread is writing, that thread will write it."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(line + "\n")
        while self._lines and self._is_writing.acquire(blocking=False):
            try:
                self._write_queued()
            finally:
                self._is_writing.release()

    log = debug = info = warning = error = critical = msg

    def flush(self, seconds: float) -> bool:
        """Wait for at most `seconds` until all lines are written; return whether they are."""
        if not self._is_writing.acquire(timeout=seconds):
            return False
        try:
            self._write_queued()
        finally:
            self._is_writing.release()
        return True

    def _write_queued(self) -> None:
        """Write all queued lines. Called by the thread that holds `_is_writing`."""
        while self._lines:
            lines = [self._lines.popleft() for _ in range(len(self._lines))]
            try:
                self.file.write("".join(lines))
                self.file.flush()
            except (OSError, ValueError):
                self.dropped += len(lines)


writer = LineWriter(sys.stderr)
"""The writer of this process's log lines."""


def setup(output_format: str = "json") -> None:
    """Configure the log of all sub-commands: `json` writes JSON lines, `console` lines for a terminal."""
    writer.file = sys.stderr
    if output_format == "console":
        renderer: structlog.typing.Processor = structlog.dev.ConsoleRenderer(colors=False)
    else:
        renderer = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )


def open_log(name: str) -> FilteringBoundLogger:
    """Return a logger that adds the gateway's name to each line."""
    if not structlog.is_configured():
        setup("json")
    logger: FilteringBoundLogger = structlog.get_logger(node=name)
    return logger


class ConnectionLogger:
    """Logger of closed connections. Implements `routing.connections.ConnectionLog`."""

    def __init__(self, logger: FilteringBoundLogger) -> None:
        self._logger = logger

    def __call__(
        self, peer: str, reason: CloseReason, server: Server | None, seconds: float, responses: int
    ) -> None:
        """Log that a connection was closed, with its duration in seconds and its number of responses."""
        fields: dict[str, object] = {}
        if server:
            fields["server"] = f"{server.id:x}"
        self._logger.info(
            "connection closed",
            peer=peer,
            reason=reason,
            seconds=round(seconds, 3),
            answers=responses,
            **fields,
        )
