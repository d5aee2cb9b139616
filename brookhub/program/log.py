"""The log: one line for each connection that ended, and few others."""

from __future__ import annotations

import sys
from typing import TextIO

import structlog


class LossyFile:
    """A log file that never fails its writer.

    A line that can't be written (nobody reads the pipe any more, the disk is full) is dropped and counted.
    Threads that serve write here, and no request is to end for want of a log.
    """

    def __init__(self, file: TextIO):
        self._file = file
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write, or count what can't be written."""
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
    """One log configuration for every sub-command.

    JSON lines (`json`) or a terminal's (`console`), on stderr.
    """
    render = (
        structlog.dev.ConsoleRenderer(colors=False)
        if form == "console"
        else structlog.processors.JSONRenderer()
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            render,
        ],
        logger_factory=structlog.WriteLoggerFactory(file=LossyFile(sys.stderr)),
        cache_logger_on_first_use=True,
    )


def open_log(name: str):
    """A log of JSON lines on standard error, each with the time and this gateway's name."""
    if not structlog.is_configured():
        setup("json")
    return structlog.get_logger(node=name)


class Ends:
    """Tells how connections ended."""

    def __init__(self, log):
        self.log = log

    def __call__(self, peer: str, reason: str, server, seconds: float, answers: int) -> None:
        """A connection ended: `answers` that it brought, `seconds` that it was up."""
        more = {"server": f"{server.id:x}"} if server else {}
        self.log.info(
            "connection ended", peer=peer, reason=reason, seconds=round(seconds, 3), answers=answers, **more
        )
