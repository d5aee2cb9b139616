"""Queue of timers, and the wake-up of the thread that runs them."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import inf
from threading import TIMEOUT_MAX, Lock

TimerCallback = Callable[[], None]


class TimerQueue:
    """Timers ordered by the time at which they are due, and then by the order in which they were scheduled.

    All methods except `wait_for_wake_up` are called under the event loop's lock, which guards all fields.
    Times are seconds on the monotonic clock.
    """

    def __init__(self, resolution: float) -> None:
        """Create an empty queue.

        `resolution`: minimum seconds that the timer thread sleeps, so that timers due close together share a
        wake-up.
        """
        self._resolution = resolution
        self._heap: list[tuple[float, int, TimerCallback]] = []  # Due time, sequence number, callback.
        self._sequence_number = 0
        # Time at which the timer thread's sleep ends. It is 0 while the thread is awake or being woken, as it
        # then examines the queue anyway.
        self._next_wake_up_at = 0.0
        # Used as a binary semaphore: `wait_for_wake_up` acquires it, a release wakes the thread.
        self._wake_up = Lock()
        self._wake_up.acquire()

    def schedule(self, due_at: float, callback: TimerCallback) -> None:
        """Add a timer, and wake the timer thread if it would otherwise wake too late for it."""
        self._sequence_number += 1
        heappush(self._heap, (due_at, self._sequence_number, callback))
        if due_at < self._next_wake_up_at - self._resolution:
            self._next_wake_up_at = 0.0
            self._wake_up.release()

    def next_due_at(self) -> float:
        """Return when the first timer is due, or infinity if there is none."""
        return self._heap[0][0] if self._heap else inf

    def pop_next(self) -> TimerCallback:
        """Remove the first timer and return its callback. Raises IndexError if there is none."""
        return heappop(self._heap)[2]

    def clear_wake_up(self) -> None:
        """Discard a wake-up sent just as the sleep timed out, as the thread examines the queue anyway."""
        self._wake_up.acquire(blocking=False)

    def plan_next_wake_up(self, now: float) -> float:
        """Choose the time at which the timer thread's next sleep ends; return the seconds until then."""
        if self._heap:
            self._next_wake_up_at = max(self._heap[0][0], now + self._resolution)
        else:
            self._next_wake_up_at = inf
        return min(self._next_wake_up_at - now, TIMEOUT_MAX)

    def wait_for_wake_up(self, seconds: float) -> None:
        """Sleep for `seconds` or until woken. Called by the timer thread, without the lock."""
        self._wake_up.acquire(timeout=seconds)
