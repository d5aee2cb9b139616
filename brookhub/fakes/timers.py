"""Timers: one thread that calls back at given times."""

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
    """A callback that is due at a time (s, monotonic); timers of one time keep their order."""

    due: float
    number: int
    callback: Callback = field(compare=False)


class Timers:
    """A thread that runs callbacks when they are due; the owner ends it by `close`.

    Callbacks run in this thread, one after another; OSError from them is ignored. `max_delay` (s) is the
    largest delay of a callback so far: a measure of the machine's scheduling noise. `condition` guards the
    timers and `is_closed`.
    """

    def __init__(self) -> None:
        self.timers: list[Timer] = []  # heap
        self.count = 0
        self.is_closed = False
        self.condition = threading.Condition()
        self.max_delay = 0.0
        threading.Thread(target=self.run, daemon=True).start()

    def call_at(self, due: float, callback: Callback) -> None:
        """Run a callback at a time (s, monotonic)."""
        with self.condition:
            self.count += 1
            timer = Timer(due, self.count, callback)
            heappush(self.timers, timer)
            if self.timers[0] is timer:
                self.condition.notify()

    def run(self) -> None:
        """Run callbacks as they fall due, until `close`. Runs in the thread."""
        while True:
            timer = self.wait_for_next()
            if timer is None:
                return
            self.max_delay = max(self.max_delay, monotonic() - timer.due)
            with contextlib.suppress(OSError):
                timer.callback()

    def wait_for_next(self) -> Timer | None:
        """The next timer, once it is due; None after `close`."""
        with self.condition:
            while not self.is_closed and (not self.timers or self.timers[0].due > monotonic()):
                self.condition.wait(self.timers[0].due - monotonic() if self.timers else None)
            return None if self.is_closed else heappop(self.timers)

    def close(self) -> None:
        """End the thread; timers that are not due yet are dropped."""
        with self.condition:
            self.is_closed = True
            self.condition.notify()
