"""Event loop of a gateway: one lock, one clock, timers, and actions deferred until the lock is released."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from threading import Lock
from time import monotonic
from typing import TypeVarTuple

from .timers import TimerCallback, TimerQueue

Arguments = TypeVarTuple("Arguments")
DeferredAction = tuple[Callable[..., object], tuple[object, ...]]  # A function and its arguments.
ErrorReporter = Callable[[BaseException], None]


class EventLoop:
    """Event loop that runs one event at a time under its lock, and then the actions that the event deferred.

    Any thread may call `run`; the loop itself has only the timer thread. Code under the lock accesses memory
    only: whatever connects, writes, closes or logs is passed to `defer`, and the thread that ran the event
    calls it once the lock is released.

    `lock` guards all fields except `report_error`, and the state of all objects that handle events.
    """

    def __init__(self, report_error: ErrorReporter, timer_resolution: float) -> None:
        """Create a loop whose timers do not run until `run_timers` is called.

        `report_error` is called without the lock with each error that an event or action did not handle.
        `timer_resolution`: minimum seconds that the timer thread sleeps.
        """
        self.lock = Lock()
        self.now = monotonic()  # Time of the current event in seconds, monotonic; never decreases.
        self.report_error = report_error
        self.timers = TimerQueue(timer_resolution)
        self._deferred: list[DeferredAction] = []
        self._follow_ups: deque[Callable[[], object]] = deque()

    def run(self, now: float, event: Callable[[*Arguments], object], *arguments: *Arguments) -> None:
        """Run an event that happened at `now` (seconds, monotonic), then the actions that it deferred."""
        with self.lock:
            self._run_event(now, event, arguments)
            deferred = self._deferred
            self._deferred = []
        self._run_deferred(deferred)

    def run_timers(self) -> None:
        """Run each timer when it is due. Runs in a thread of its own and never returns."""
        timers = self.timers
        while True:
            with self.lock:
                timers.clear_wake_up()
                now = monotonic()
                while timers.next_due_at() <= now:
                    self._run_event(now, timers.pop_next(), ())
                    now = monotonic()
                deferred = self._deferred
                self._deferred = []
                seconds = timers.plan_next_wake_up(now)
            self._run_deferred(deferred)
            timers.wait_for_wake_up(seconds)

    def current_time(self) -> float:
        """Return the time in seconds, monotonic; never earlier than that of an event that has begun.

        Any thread may call this without the lock.
        """
        return max(self.now, monotonic())

    # Called by events, under the lock

    def call_later(self, seconds: float, callback: TimerCallback) -> None:
        """Call `callback` once, `seconds` from now."""
        self.timers.schedule(self.now + max(0.0, seconds), callback)

    def call_soon(self, callback: Callable[[], object]) -> None:
        """Run an event right after the current one, before the lock is released."""
        self._follow_ups.append(callback)

    def defer(self, action: Callable[[*Arguments], object], *arguments: *Arguments) -> None:
        """Call a function once the lock is released. Deferred functions run in the order of these calls."""
        self._deferred.append((action, arguments))

    def _run_event(self, now: float, event: Callable[..., object], arguments: tuple[object, ...]) -> None:
        """Run an event and its follow-ups. Called under the lock."""
        if now > self.now:
            self.now = now
        try:
            event(*arguments)
            while self._follow_ups:
                self._follow_ups.popleft()()
        except Exception as error:  # Thread boundary: the error ends this event, not the thread.
            self._deferred.append((self.report_error, (error,)))

    def _run_deferred(self, deferred: list[DeferredAction]) -> None:
        """Call the deferred actions. Called without the lock."""
        for action, arguments in deferred:
            try:
                action(*arguments)
            except Exception as error:  # Thread boundary: the next action still has to run.
                self.report_error(error)
