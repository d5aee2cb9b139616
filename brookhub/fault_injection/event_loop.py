"""The relays' event loop: one thread with a selector over all sockets and a heap of timers."""

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
ReadyCallback = Callable[[int], None]  # takes the mask of selectors.EVENT_READ and EVENT_WRITE

CALL_TIMEOUT = 5.0  # s that `call` waits for the thread
WAKE_UP = b"x"


@dataclass(order=True)
class Timer:
    """A callback that is due at a time (s, monotonic); timers of one time keep their order."""

    due: float
    number: int
    callback: Callback = field(compare=False)


class EventLoop:
    """A thread that serves sockets and timers until `stop`.

    Only `call` and `stop` may be called by other threads; all else, callbacks included, runs in the loop's
    thread. OSError, KeyError and ValueError from a callback are ignored: its socket was closed meanwhile.
    """

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        self.timers: list[Timer] = []  # heap
        self.timer_count = 0
        self.calls: deque[Callback] = deque()  # from other threads
        self.wake_receiver, self.wake_sender = socket.socketpair()
        self.wake_receiver.setblocking(False)
        self.watch(self.wake_receiver, selectors.EVENT_READ, lambda mask: self.run_calls())
        self.is_stopped = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        """Serve sockets and timers until `stop`. Runs in the thread."""
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
        """Call back whenever a socket is ready for what `mask` names, which may not be 0."""
        self.selector.register(watched, mask, callback)

    def change_watch(self, watched: socket.socket, mask: int, callback: ReadyCallback) -> None:
        """Change what is watched of a socket. Raises KeyError if it is not watched."""
        self.selector.modify(watched, mask, callback)

    def unwatch(self, watched: socket.socket) -> None:
        """Stop watching a socket; one that is not watched, or closed, is ignored."""
        with contextlib.suppress(KeyError, ValueError):
            self.selector.unregister(watched)

    def call_at(self, due: float, callback: Callback) -> None:
        """Run a callback at a time (s, monotonic)."""
        self.timer_count += 1
        heappush(self.timers, Timer(due, self.timer_count, callback))

    def run_calls(self) -> None:
        """Run what other threads passed to `call`."""
        with contextlib.suppress(BlockingIOError):
            self.wake_receiver.recv(4096)
        while self.calls:
            self.calls.popleft()()

    def call(self, callback: Callback) -> None:
        """Run a callback in the loop's thread and wait until it is done, at most CALL_TIMEOUT.

        So a fault is in force when the call that injects it returns.
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
        """Run a last callback in the thread, then end it. May be called again."""
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
