"""The log: JSON lines on standard error, one for each connection that ended, and few others.

Written by all threads, without the event loop's lock.
"""

from __future__ import annotations

import sys
from typing import TextIO, cast

import structlog
from structlog.typing import FilteringBoundLogger

from ..model import Server
from ..transport.close_reason import CloseReason


class LossyFile:
    """A log file whose writers never fail.

    A line that cannot be written (the pipe's reader is gone, the disk is full) is dropped and counted,
    because no request may fail for want of a log.
    """

    def __init__(self, file: TextIO):
        self._file = file
        self.dropped = 0  # lines

    def write(self, text: str) -> None:
        """Write, or count a line that cannot be written."""
        try:
            self._file.write(text)
        except (OSError, ValueError):
            self.dropped += 1

    def flush(self) -> None:
        """Flush, or count a failure."""
        try:
            self._file.flush()
        except (OSError, ValueError):
            self.dropped += 1


def setup(form: str = "json") -> None:
    """Configure the log of all sub-commands: JSON lines (`json`) or lines for a terminal (`console`)."""
    if form == "console":
        renderer: structlog.typing.Processor = structlog.dev.ConsoleRenderer(colors=False)
    else:
        renderer = structlog.processors.JSONRenderer()
    file = cast(TextIO, LossyFile(sys.stderr))  # of a file only `write` and `flush` are used
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        logger_factory=structlog.WriteLoggerFactory(file=file),
        cache_logger_on_first_use=True,
    )


def open_log(name: str) -> FilteringBoundLogger:
    """The log of a gateway, whose lines carry its name."""
    if not structlog.is_configured():
        setup("json")
    logger: FilteringBoundLogger = structlog.get_logger(node=name)
    return logger


class ConnectionLogger:
    """Logs the end of each connection. Implements `routing.connections.ConnectionLog`."""

    def __init__(self, logger: FilteringBoundLogger):
        self._logger = logger

    def __call__(
        self, peer: str, reason: CloseReason, server: Server | None, seconds: float, answers: int
    ) -> None:
        """Log that a connection ended, which was up for so many seconds and brought so many answers."""
        fields: dict[str, object] = {}
        if server:
            fields["server"] = f"{server.id:x}"
        self._logger.info(
            "connection closed",
            peer=peer,
            reason=reason,
            seconds=round(seconds, 3),
            answers=answers,
            **fields,
        )
