"""The clock and the queue of events of one emulated run: seconds of simulated time, with fractions.

Events at the same instant run in the order they were scheduled (a sequence number breaks ties), so a run
depends on its seed alone, never on hash order.
"""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Callable

# s: the clock's grain. A real clock moves on between two reads; without a grain, a wait shorter than the
# float spacing of `now` (a store short by a rounding remainder asks for 1e-17 s) would fire at the same
# instant forever.
TICK = 1e-6


class Engine:
    """A heap of (time s, sequence, callback). `now` is the time of the event that runs."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Run `callback` at simulated time `when` (s); a time in the past runs at once, in turn."""
        self._order += 1
        heappush(self._heap, (max(when, self.now), self._order, callback))

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Run `callback` in `seconds` (s); any wait above 0 is at least one TICK."""
        self.at(self.now + (max(seconds, TICK) if seconds > 0 else 0.0), callback)

    def run(self, until: float) -> None:
        """Run every event up to and including time `until` (s)."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            when, _, callback = heappop(heap)
            self.now = when
            self.events += 1
            callback()
        self.now = max(self.now, until)
