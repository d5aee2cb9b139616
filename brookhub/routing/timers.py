"""A queue of timers, and the wake-up of the thread that runs them."""

from __future__ import annotations

from heapq import heappop, heappush
from math import inf
from threading import TIMEOUT_MAX, Lock
from typing import Callable

TimerCallback = Callable[[], None]


class TimerQueue:
    """Timers ordered by the time at which they are due; those due at the same time keep their order.

    All methods but `wait` are called under the event loop's lock, which guards all fields. Times are seconds
    on the monotonic clock.
    """

    def __init__(self, resolution: float):
        """`resolution`: seconds that the timer thread sleeps at least: close timers share a wake-up."""
        self._resolution = resolution
        self._heap: list[tuple[float, int, TimerCallback]] = []  # due at, number in the order of adding
        self._added = 0
        # When the timer thread wakes by itself; 0 while it is awake or already being woken, because it then
        # looks at the queue in any case
        self._next_wake_up_at = 0.0
        # Used as a binary semaphore: `wait` acquires it, a release wakes the thread
        self._wake_up = Lock()
        self._wake_up.acquire()

    def add(self, due_at: float, callback: TimerCallback) -> None:
        """Add a timer, and wake the timer thread where that would come too late for it."""
        self._added += 1
        heappush(self._heap, (due_at, self._added, callback))
        if due_at < self._next_wake_up_at - self._resolution:
            self._next_wake_up_at = 0.0
            self._wake_up.release()

    def next_due_at(self) -> float:
        """When the first timer is due; infinite where there is none."""
        return self._heap[0][0] if self._heap else inf

    def pop(self) -> TimerCallback:
        """Remove the first timer. Raises IndexError where there is none."""
        return heappop(self._heap)[2]

    def clear_wake_up(self) -> None:
        """Drop a wake-up that came just as the wait was over: the thread is about to look at the queue."""
        self._wake_up.acquire(blocking=False)

    def plan_next_wake_up(self, now: float) -> float:
        """Set when the timer thread wakes by itself; returns the seconds until then."""
        if self._heap:
            self._next_wake_up_at = max(self._heap[0][0], now + self._resolution)
        else:
            self._next_wake_up_at = inf
        return min(self._next_wake_up_at - now, TIMEOUT_MAX)

    def wait(self, seconds: float) -> None:
        """Sleep for so many seconds or until woken. Called by the timer thread, without the lock."""
        self._wake_up.acquire(timeout=seconds)
