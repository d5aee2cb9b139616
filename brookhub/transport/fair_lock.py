"""A lock that its users get in turn, so that none of them sets how long the others wait."""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from threading import Lock
from time import monotonic


class Flow:
    """One user of a fair lock, and the part of the lock's time that it has had. Guarded by the lock."""

    __slots__ = ("finished_at", "is_urgent")

    def __init__(self, is_urgent: bool = False) -> None:
        """Create a flow. An urgent one goes before all others, but never twice in a row while others wait."""
        self.is_urgent = is_urgent
        self.finished_at = 0.0  # Virtual time at the end of its last turn, in seconds.


class FairLock:
    """A lock with start-time fair queueing: who has held it least goes next (Goyal, Vin and Cheng, 1996).

    Each turn has a start and a finish in virtual time. The start is the finish of the flow's last turn, or
    the current virtual time if that is later; the finish is the start plus the seconds for which the lock was
    held. The turn with the earliest start is next, and its start is the new virtual time. So a flow that
    rarely needs the lock waits for the current turn only, however many others want it all the time.

    A waiting thread is handed the lock: no other thread can take it in between. A flow is used by one thread
    at a time. Not reentrant.
    """

    def __init__(self) -> None:
        self._guard = Lock()  # Guards all fields, and those of the flows.
        self._is_held = False
        self._held_since = 0.0  # Monotonic time in seconds.
        self._virtual_time = 0.0  # Start of the last turn, in seconds of use.
        self._was_urgent = False  # The last turn was that of an urgent flow.
        self._waiting: list[tuple[float, int, Lock]] = []  # Heap: start, sequence number, wake-up.
        self._urgent: deque[Lock] = deque()  # Wake-ups of the waiting urgent flows.
        self._sequence_number = 0

    def acquire(self, flow: Flow) -> None:
        """Wait for the flow's turn and take the lock."""
        with self._guard:
            if not flow.is_urgent:
                flow.finished_at = max(self._virtual_time, flow.finished_at)
            if not self._is_held:
                self._begin_turn(flow.finished_at, flow.is_urgent)
                return
            wake_up = Lock()
            wake_up.acquire()
            if flow.is_urgent:
                self._urgent.append(wake_up)
            else:
                self._sequence_number += 1
                heappush(self._waiting, (flow.finished_at, self._sequence_number, wake_up))
        wake_up.acquire()

    def release(self, flow: Flow) -> None:
        """Hand the lock to the flow whose turn is next."""
        with self._guard:
            if not flow.is_urgent:
                flow.finished_at += monotonic() - self._held_since
            if self._urgent and not (self._was_urgent and self._waiting):
                self._begin_turn(self._virtual_time, is_urgent=True)
                self._urgent.popleft().release()
            elif self._waiting:
                start, _, wake_up = heappop(self._waiting)
                self._begin_turn(start, is_urgent=False)
                wake_up.release()
            else:
                self._is_held = False

    def _begin_turn(self, start: float, is_urgent: bool) -> None:
        """Record the start of a turn. Needs the guard."""
        self._is_held = True
        self._held_since = monotonic()
        self._was_urgent = is_urgent
        if not is_urgent:
            self._virtual_time = max(self._virtual_time, start)
