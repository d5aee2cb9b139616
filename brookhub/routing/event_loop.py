"""Event loop of a gateway: one lock, one clock, timers, and actions deferred until the lock is released."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from threading import Lock
from time import monotonic
from typing import TypeVarTuple

from ..transport.fair_lock import FairLock, Flow
from .timers import TimerCallback, TimerQueue

Arguments = TypeVarTuple("Arguments")
DeferredAction = tuple[Callable[..., object], tuple[object, ...]]  # A function and its arguments.
ErrorReporter = Callable[[BaseException], None]

MAX_TIMERS_PER_TURN = 32  # Timers that run at a time: clients decide how many are due together.


class EventLoop:
    """Event loop that runs one event at a time under its lock, and then the actions that the event deferred.

    Any thread may call `run`; the loop itself has only the timer thread. Code under the lock accesses memory
    only: whatever connects, writes, closes or logs is passed to `defer`, and the thread that ran the event
    calls it once the lock is released.

    `lock` guards all fields except `report_error` and `turns`, and the state of all objects that handle
    events. The threads whose work is set by clients (connections, the listener, timers) first wait for their
    turn (`run_in_turn`), so that no client's commands keep others, or new connections, from the lock.
    """

    def __init__(self, report_error: ErrorReporter, timer_resolution: float) -> None:
        """Create a loop whose timers do not run until `run_timers` is called.

        `report_error` is called without the lock with each error that an event or action did not handle.
        `timer_resolution`: minimum seconds that the timer thread sleeps.
        """
        self.lock = Lock()
        self.turns = FairLock()
        self.now = monotonic()  # Time of the current event in seconds, monotonic; never decreases.
        self.report_error = report_error
        self.timers = TimerQueue(timer_resolution)
        self._deferred: list[DeferredAction] = []
        self._follow_ups: deque[Callable[[], object]] = deque()

    def run(self, now: float, event: Callable[[*Arguments], object], *arguments: *Arguments) -> None:
        """Run an event that happened at `now` (seconds, monotonic), then the actions that it deferred."""
        with self.lock:
            self._run_event(now, event, arguments)
            deferred = self._take_deferred()
        self._run_deferred(deferred)

    def run_in_turn(self, flow: Flow, event: Callable[[*Arguments], object], *arguments: *Arguments) -> None:
        """Run an event when it is the turn of `flow`, at the time at which it begins.

        For the threads whose peers decide how much they have to do. The deferred actions are not part of the
        turn, because some of them may block, such as writes to the log.
        """
        self.turns.acquire(flow)
        try:
            with self.lock:
                self._run_event(monotonic(), event, arguments)
                deferred = self._take_deferred()
        finally:
            self.turns.release(flow)
        self._run_deferred(deferred)

    def run_timers(self) -> None:
        """Run each timer when it is due. Runs in a thread of its own and never returns."""
        flow = Flow(is_urgent=True)
        while True:
            seconds = self._run_due_timers(flow)
            if seconds > 0:
                self.timers.wait_for_wake_up(seconds)

    def _run_due_timers(self, flow: Flow) -> float:
        """Run at most MAX_TIMERS_PER_TURN timers that are due; return the seconds to sleep, 0 if more are."""
        timers = self.timers
        self.turns.acquire(flow)
        try:
            with self.lock:
                timers.clear_wake_up()
                now = monotonic()
                count = 0
                while timers.next_due_at() <= now and count < MAX_TIMERS_PER_TURN:
                    self._run_event(now, timers.pop_next(), ())
                    now = monotonic()
                    count += 1
                deferred = self._take_deferred()
                seconds = timers.plan_next_wake_up(now) if timers.next_due_at() > now else 0.0
        finally:
            self.turns.release(flow)
        self._run_deferred(deferred)
        return seconds

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

    def _take_deferred(self) -> list[DeferredAction]:
        """Return the actions deferred since the last call. Called under the lock."""
        deferred = self._deferred
        self._deferred = []
        return deferred

    def _run_deferred(self, deferred: list[DeferredAction]) -> None:
        """Call the deferred actions. Called without the lock."""
        for action, arguments in deferred:
            try:
                action(*arguments)
            except Exception as error:  # Thread boundary: the next action still has to run.
                self.report_error(error)
