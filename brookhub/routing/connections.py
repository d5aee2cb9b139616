"""Shared code of the connections' threads: reading until the close, logging it, and reconnecting."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from threading import Event
from time import monotonic
from typing import Protocol

from ..model import Server
from ..protocol.errors import MalformedError
from ..transport.close_reason import CloseReason
from ..transport.sockets import connect
from ..transport.threads import start_thread
from .event_loop import ErrorReporter, EventLoop

THREAD_RETRY_PAUSE = 0.5  # Seconds until another attempt to start a thread that could not be started.
# Maximum seconds until the next attempt to connect once `max_silence` has passed. The wait is drawn between a
# third of it and all of it.
MIN_BACKOFF = 0.05


def read_until_closed(
    wait_for_bytes: Callable[[], bool],
    on_readable: Callable[[float], bool | None],
    report_error: ErrorReporter,
) -> CloseReason:
    """Read in a loop until the connection is closed; return why. Runs in the connection's thread.

    `wait_for_bytes` blocks until bytes arrive; it returns False at the end of the connection, or raises
    OSError. `on_readable` is called with the time (seconds, monotonic) of the bytes' arrival; it returns True
    to stop reading.
    """
    try:
        while wait_for_bytes():
            if on_readable(monotonic()):
                break
        return CloseReason.CLOSED
    except BlockingIOError:
        return CloseReason.READ_TIMEOUT
    except OSError:
        return CloseReason.RESET
    except MalformedError as error:
        return error.reason
    except Exception as error:  # Thread boundary: the error ends this connection alone.
        report_error(error)
        return CloseReason.INTERNAL_ERROR


def start_thread_with_retry(loop: EventLoop, work: Callable[[], object]) -> None:
    """Start a thread that the program needs; retry after a pause if the system cannot start it.

    Called without the event loop's lock.
    """
    if not start_thread(work):
        loop.run(
            monotonic(),
            loop.call_later,
            THREAD_RETRY_PAUSE,
            lambda: loop.defer(start_thread_with_retry, loop, work),
        )


@dataclass(frozen=True)
class ReconnectSettings:
    """Settings of reconnecting to a peer. Times in seconds."""

    connect_timeout: float
    initial_backoff: float
    max_backoff: float
    max_silence: float = inf  # Maximum time from the last bytes received to the next attempt to connect.


class ConnectionLog(Protocol):
    """Callback that logs closed connections."""

    def __call__(
        self, peer: str, reason: CloseReason, server: Server | None, seconds: float, responses: int, /
    ) -> None:
        """Log that a connection to a peer of the kind `peer` was closed.

        It was open for `seconds` and carried `responses`; `server` is set for a connection to a server.
        """


ConnectionHandler = Callable[[socket.socket], tuple[CloseReason, int]]
"""Function that reads a connection until it is closed; returns the reason and the count of responses."""


class Reconnector:
    """Connection to one peer, established again whenever it is closed. Runs in a thread of its own.

    The backoff between two attempts doubles as long as connections yield no response. Each wait is drawn
    between 0.5 and 1.5 times the backoff, because all gateways lose a peer at the same moment and would
    otherwise reconnect together each time. If the peer sent `retry_after` (seconds), the wait is at least
    that long. In any case, the next attempt begins at most `max_silence` after `last_received_at`, or after
    `MIN_BACKOFF` if that time has passed.

    `stopped`, an Event, ends the thread once its connection is closed; any thread may set it.
    `retry_after` and `last_received_at` belong to the thread.
    """

    def __init__(
        self,
        peer: str,
        address: tuple[str, int],
        settings: ReconnectSettings,
        random: Callable[[], float],
        log_closed: ConnectionLog,
        report_error: ErrorReporter,
    ) -> None:
        """Create a reconnector that is not running yet.

        `peer` is the kind of peer, for the log; `random` returns a random number in [0, 1).
        """
        self.peer = peer
        self.address = address
        self.settings = settings
        self.stopped = Event()
        self.retry_after = 0.0
        # Monotonic time in seconds; when the last attempt began, if no bytes were received since.
        self.last_received_at = 0.0
        self._random = random
        self._log_closed = log_closed
        self._report_error = report_error

    def run(self, handle: ConnectionHandler) -> None:
        """Connect, have `handle` read the connection, and repeat until `stopped` is set."""
        backoff = self.settings.initial_backoff
        while not self.stopped.is_set():
            started_at = monotonic()
            self.last_received_at = started_at
            reason, responses = self._run_connection(handle)
            self._log_closed(self.peer, reason, None, monotonic() - started_at, responses)
            if responses:
                backoff = self.settings.initial_backoff
            else:
                backoff = min(self.settings.max_backoff, 2 * backoff)
            self.stopped.wait(self._draw_wait(backoff, monotonic()))
            self.retry_after = 0.0

    def _run_connection(self, handle: ConnectionHandler) -> tuple[CloseReason, int]:
        try:
            sock = connect(self.address, self.settings.connect_timeout)
        except OSError:
            return CloseReason.CONNECT_FAILED, 0
        try:
            return handle(sock)
        except Exception as error:  # Thread boundary: the next connection may succeed.
            self._report_error(error)
            sock.close()
            return CloseReason.INTERNAL_ERROR, 0

    def _draw_wait(self, backoff: float, now: float) -> float:
        """Return the random wait in seconds from `now` to the next attempt.

        Drawn around the backoff, or from the time left if the wait would exceed `max_silence`.
        """
        wait = max(backoff, self.retry_after) * (0.5 + self._random()) + 0.5 * self.retry_after
        time_left = self.last_received_at + self.settings.max_silence - now
        if wait <= time_left:
            return wait
        return max(MIN_BACKOFF, time_left) * (0.5 + self._random()) / 1.5
