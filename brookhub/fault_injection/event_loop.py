"""Event loop of the relays: one thread with a selector for all sockets and a heap of timers."""

from __future__ import annotations

import contextlib
import selectors
import socket
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from time import monotonic

Callback = Callable[[], None]
ReadyCallback = Callable[[int], None]  # The argument is a mask of EVENT_READ and EVENT_WRITE.

CALL_TIMEOUT = 5.0  # Maximum seconds that `call` and `stop` wait for the thread.
WAKE_UP = b"x"


@dataclass(order=True)
class Timer:
    """A callback that runs at `due`, in seconds on the monotonic clock.

    Timers that are due at the same time run in the order in which they were set.
    """

    due: float
    number: int
    callback: Callback = field(compare=False)


class EventLoop:
    """A thread that handles socket events and timers until `stop`.

    Other threads may only call `call` and `stop`; everything else, including callbacks, runs in the loop's
    thread. OSError, KeyError and ValueError from a callback are ignored because they mean that its socket has
    been closed.
    """

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        self.timers: list[Timer] = []  # Heap ordered by due time.
        self.timer_count = 0
        self.calls: deque[Callback] = deque()  # Callbacks from other threads.
        self.wake_receiver, self.wake_sender = socket.socketpair()
        self.wake_receiver.setblocking(False)
        self.watch(self.wake_receiver, selectors.EVENT_READ, lambda mask: self.run_calls())
        self.is_stopped = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        """Handle socket events and timers until `stop`. Runs in the loop's thread."""
        while not self.is_stopped:
            timeout = max(0.0, self.timers[0].due - monotonic()) if self.timers else None
            for key, mask in self.selector.select(timeout):
                with contextlib.suppress(OSError, KeyError, ValueError):
                    key.data(mask)
            now = monotonic()
            while self.timers and self.timers[0].due <= now:
                with contextlib.suppress(OSError, KeyError, ValueError):
                    heappop(self.timers).callback()

    def watch(self, watched: socket.socket, mask: int, callback: ReadyCallback) -> None:
        """Run a callback whenever a socket is ready for an event in `mask`, which must not be 0."""
        self.selector.register(watched, mask, callback)

    def change_watch(self, watched: socket.socket, mask: int, callback: ReadyCallback) -> None:
        """Change the events and the callback of a watched socket. Raises KeyError if it is not watched."""
        self.selector.modify(watched, mask, callback)

    def unwatch(self, watched: socket.socket) -> None:
        """Stop watching a socket. Does nothing if it is closed or not watched."""
        with contextlib.suppress(KeyError, ValueError):
            self.selector.unregister(watched)

    def call_at(self, due: float, callback: Callback) -> None:
        """Run a callback at `due`, in seconds on the monotonic clock."""
        self.timer_count += 1
        heappush(self.timers, Timer(due, self.timer_count, callback))

    def run_calls(self) -> None:
        """Run the callbacks that other threads passed to `call`."""
        with contextlib.suppress(BlockingIOError):
            self.wake_receiver.recv(4096)
        while self.calls:
            self.calls.popleft()()

    def call(self, callback: Callback) -> None:
        """Run a callback in the loop's thread and wait up to CALL_TIMEOUT until it has finished.

        Thus a fault is in effect when the call that injects it returns.
        """
        if threading.current_thread() is self.thread:
            callback()
            return
        done = threading.Event()

        def run_and_signal() -> None:
            try:
                callback()
            finally:
                done.set()

        self.calls.append(run_and_signal)
        self.wake_sender.send(WAKE_UP)
        done.wait(CALL_TIMEOUT)

    def stop(self, cleanup: Callback) -> None:
        """Run a final callback in the loop's thread and end the thread. Can be called repeatedly."""
        if self.is_stopped:
            return

        def stop_after_cleanup() -> None:
            self.is_stopped = True
            cleanup()

        self.call(stop_after_cleanup)
        self.thread.join(CALL_TIMEOUT)
        self.wake_receiver.close()
        self.wake_sender.close()
        self.selector.close()
