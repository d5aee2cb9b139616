"""How the parts of the program write to the log. All of it is called without the event loop's lock."""

from __future__ import annotations

from typing import Protocol


class EventLogger(Protocol):
    """Writes events, each a line with its fields (`program.log`)."""

    def info(self, event: str, **fields: object) -> object:
        """Log something that is expected."""

    def warning(self, event: str, **fields: object) -> object:
        """Log something that an operator should know."""

    def error(self, event: str, **fields: object) -> object:
        """Log something that an operator has to do something about."""
