"""What the threads of all connections do alike: read to the end, and dial again."""

from __future__ import annotations

from math import inf
from threading import Event
from time import monotonic
from typing import Callable

from ..protocol.errors import MalformedError
from ..transport.sockets import connect
from ..transport.threads import start_thread

THREAD_PAUSE = 0.5  # s until a thread is asked for again that the system had none left to give
SHORTEST_PAUSE = 0.05  # s between two dials at least, also where the time to be back in is over


def read_until_closed(
    wait: Callable[[], bool], took: Callable[[float], bool | None], faults: Callable
) -> str:
    """Have whatever comes taken in, until the connection ends or `took` has enough.

    The reason why it ended.
    """
    try:
        while wait():
            if took(monotonic()):
                break
        return "closed"
    except BlockingIOError:
        return "silent"
    except OSError:
        return "reset"
    except MalformedError as bad:
        return bad.reason if bad.reason in ("oversized", "turned-away") else "nonsense"
    except Exception as met:
        faults(met)
        return "fault"


def start_thread_with_retry(port, name: str, work: Callable[[], None]) -> None:
    """Start a thread that the program can't do without.

    Again and again where the system has none left to give.

    Called outside the port's lock.
    """
    if not start_thread(name, work):
        port.run(
            monotonic(),
            port.later,
            THREAD_PAUSE,
            lambda: port.defer(start_thread_with_retry, port, name, work),
        )


class Reconnector:
    """Keeps one peer's address dialled, from a thread of its own, until it is `stopped`.

    The pause between two dials doubles while no connection brings an answer, up to the longest of `pauses`.
    Each is drawn between half of it and one and a half, because all gateways lose a peer at the same moment
    and would return to it together, each time. `retry_after` is how long (s) the peer wants to be left alone;
    it goes before the pause. The next dial begins at the latest `again_within` s after the peer was last
    heard, whatever pause is due.
    """

    def __init__(
        self,
        peer: str,
        address: tuple[str, int],
        within: float,
        pauses: tuple[float, float],
        chance: Callable[[], float],
        log_end: Callable,
        faults: Callable,
        again_within: float = inf,
    ):
        self.peer, self.address, self.within, self.pauses, self.chance = peer, address, within, pauses, chance
        self.log_end, self.faults, self.again_within = log_end, faults, again_within
        self.stopped, self.retry_after = Event(), 0.0
        self.last_received_at = 0.0  # when the peer last said anything, or else when the last dial began

    def run(self, serve: Callable[[object], tuple[str, int]]) -> None:
        """`serve` tells why its connection ended and how many answers it brought."""
        pause, longest = self.pauses
        while not self.stopped.is_set():
            began = self.last_received_at = monotonic()
            reason, answers = self._connection(serve)
            self.log_end(self.peer, reason, None, monotonic() - began, answers)
            pause = self.pauses[0] if answers else min(longest, 2 * pause)
            self.stopped.wait(self.wait_after(pause, monotonic()))
            self.retry_after = 0.0

    def _connection(self, serve: Callable[[object], tuple[str, int]]) -> tuple[str, int]:
        try:
            sock = connect(self.address, self.within)
        except OSError:
            return "unconnected", 0
        try:
            return serve(sock)
        except Exception as met:  # the next connection may fare better
            self.faults(met)
            sock.close()
            return "fault", 0

    def wait_after(self, pause: float, now: float) -> float:
        """Seconds from `now` to the next dial.

        The pause drawn, or else a part of the time left to be back in.
        """
        wait = max(pause, self.retry_after) * (0.5 + self.chance()) + 0.5 * self.retry_after
        left = self.last_received_at + self.again_within - now
        if wait <= left:
            return wait
        return max(SHORTEST_PAUSE, left) * (0.5 + self.chance()) / 1.5
