"""Interface of the log for the parts of the program, which call it without the event loop's lock."""

from __future__ import annotations

from typing import Protocol


class EventLogger(Protocol):
    """Log that writes each event as a line with its fields (`program.log`)."""

    def info(self, event: str, **fields: object) -> object:
        """Log an expected event."""

    def warning(self, event: str, **fields: object) -> object:
        """Log an event that an operator should know about."""

    def error(self, event: str, **fields: object) -> object:
        """Log an event that requires an operator's action."""
