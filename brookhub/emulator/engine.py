"""Clock and event queue of one emulated run. Times are in seconds of simulated time.

Events at the same time run in the order in which they were scheduled (a sequence number breaks ties), so that
a run depends only on its seed, never on hash order.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

# Resolution of the clock in seconds. A real clock advances between two reads. Without a resolution, a wait
# shorter than the float spacing of `now` (a token bucket that lacks a rounding remainder waits 1e-17 s) would
# fire at the same time forever.
CLOCK_RESOLUTION = 1e-6


class Engine:
    """Priority queue of callbacks by time. `now` is the time in seconds of the event that is running."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events = 0  # Number of events that have run.
        self._heap: list[tuple[float, int, Callable[[], None]]] = []  # (time, sequence number, callback).
        self._sequence = 0

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Run `callback` at simulated time `time` (s).

        If that time has passed, it runs now, after the events that are already due.
        """
        self._sequence += 1
        heappush(self._heap, (max(time, self.now), self._sequence, callback))

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Run `callback` after `seconds`. A delay above 0 is at least CLOCK_RESOLUTION."""
        self.call_at(self.now + (max(seconds, CLOCK_RESOLUTION) if seconds > 0 else 0.0), callback)

    def run(self, until: float) -> None:
        """Run every event up to and including time `until` (s)."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            time, _, callback = heappop(heap)
            self.now = time
            self.events += 1
            callback()
        self.now = max(self.now, until)
