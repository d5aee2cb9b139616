"""Timers whose callbacks run in one thread."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from time import monotonic

Callback = Callable[[], None]


@dataclass(order=True)
class Timer:
    """A callback that is due at a time (s, monotonic).

    Timers that are due at the same time run in the order of their creation.
    """

    due: float
    number: int
    callback: Callback = field(compare=False)


class Timers:
    """Thread that runs callbacks when they are due. The owner ends it by `close`.

    Callbacks run one after another; an OSError from a callback is ignored. `max_delay` is the largest delay
    in seconds of a callback so far, a measure of the machine's scheduling noise. `condition` guards the
    timers and `is_closed`.
    """

    def __init__(self) -> None:
        self.timers: list[Timer] = []  # A heap.
        self.count = 0
        self.is_closed = False
        self.condition = threading.Condition()
        self.max_delay = 0.0
        threading.Thread(target=self.run, daemon=True).start()

    def call_at(self, due: float, callback: Callback) -> None:
        """Schedule a callback at time `due` (s, monotonic)."""
        with self.condition:
            self.count += 1
            timer = Timer(due, self.count, callback)
            heappush(self.timers, timer)
            if self.timers[0] is timer:
                self.condition.notify()

    def run(self) -> None:
        """Run callbacks when they are due, until `close` is called. Runs in the timers' own thread."""
        while True:
            timer = self.wait_for_next()
            if timer is None:
                return
            self.max_delay = max(self.max_delay, monotonic() - timer.due)
            with contextlib.suppress(OSError):
                timer.callback()

    def wait_for_next(self) -> Timer | None:
        """Wait until the next timer is due and return it, or return None after `close`."""
        with self.condition:
            while not self.is_closed and (not self.timers or self.timers[0].due > monotonic()):
                self.condition.wait(self.timers[0].due - monotonic() if self.timers else None)
            return None if self.is_closed else heappop(self.timers)

    def close(self) -> None:
        """End the thread and discard all remaining timers."""
        with self.condition:
            self.is_closed = True
            self.condition.notify()
