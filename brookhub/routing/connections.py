"""What the threads of all connections do alike: read to the end, and dial again."""

from __future__ import annotations

from threading import Event
from time import monotonic
from typing import Callable

from ..protocol.resp import Malformed
from ..transport.sockets import dial


def read_to_end(wait: Callable[[], bool], took: Callable[[float], bool | None], faults: Callable) -> str:
    """Have whatever comes taken in, until the connection ends or `took` has enough; the reason why it ended."""
    try:
        while wait():
            if took(monotonic()):
                break
        return "closed"
    except BlockingIOError:
        return "silent"
    except OSError:
        return "reset"
    except Malformed as bad:
        return bad.reason if bad.reason in ("oversized", "turned-away") else "nonsense"
    except Exception as met:
        faults(met)
        return "fault"


class Dialling:
    """One peer's address, kept dialled by a thread: after a pause that doubles while no connection brings an answer,
    until it is `over`. Each pause is drawn between half of it and one and a half: all gateways lose a peer at the same
    moment, and would come back to it together, each time. `asked` s that the peer wants to be left alone go before."""

    def __init__(self, peer: str, address: tuple[str, int], within: float, pauses: tuple[float, float],
                 chance: Callable[[], float], log_end: Callable, faults: Callable):
        self.peer, self.address, self.within, self.pauses, self.chance = peer, address, within, pauses, chance
        self.log_end, self.faults, self.over, self.asked = log_end, faults, Event(), 0.0

    def run(self, serve: Callable[[object], tuple[str, int]]) -> None:
        """`serve` tells why its connection ended and how many answers it brought."""
        pause, longest = self.pauses
        while not self.over.is_set():
            began = monotonic()
            try:
                sock = dial(self.address, self.within)
            except OSError:
                reason, answers = "unconnected", 0
            else:
                try:
                    reason, answers = serve(sock)
                except Exception as met:  # the next connection may fare better
                    self.faults(met)
                    sock.close()
                    reason, answers = "fault", 0
            self.log_end(self.peer, reason, None, monotonic() - began, answers)
            pause = self.pauses[0] if answers else min(longest, 2 * pause)
            self.over.wait(max(pause, self.asked) * (0.5 + self.chance()) + 0.5 * self.asked)
            self.asked = 0.0
