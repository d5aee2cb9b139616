"""How the parts of the program write to the log. All of it is called without the event loop's lock."""

from __future__ import annotations

from typing import Protocol

from ..model import Server


class EventLogger(Protocol):
    """Writes events, each a line with its fields (`program.log`)."""

    def info(self, event: str, **fields: object) -> object:
        """Log something that is expected."""

    def warning(self, event: str, **fields: object) -> object:
        """Log something that an operator should know."""

    def error(self, event: str, **fields: object) -> object:
        """Log something that an operator has to do something about."""


class ConnectionLogger(Protocol):
    """Called once for each connection that ended, by its thread (`program.log.ConnectionLog`)."""

    def __call__(
        self, peer: str, reason: str, server: Server | None, seconds: float, answers: int, /
    ) -> None:
        """Log the end of a connection.

        `peer`: the kind of the other side; `reason`: a code of `docs/on-call.md`; `server`: the upstream
        server where the peer is one; `seconds`: how long it was up; `answers`: how many it carried.
        """
