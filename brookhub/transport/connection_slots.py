"""Slots that bound the connections of a listener, including those whose threads have not ended yet."""

from __future__ import annotations

import threading


class ConnectionSlots:
    """A fixed number of slots. Thread-safe.

    A connection holds its slot from before it is accepted until its thread is about to end. So its
    descriptor, its buffers and its thread count for as long as they exist, and connections that come faster
    than others end wait in the system's backlog.
    """

    def __init__(self, count: int) -> None:
        """Create `count` free slots."""
        self.count = count
        self._free = threading.Semaphore(count)

    def acquire(self, seconds: float) -> bool:
        """Take a slot, waiting for at most `seconds`; return whether one was free."""
        return self._free.acquire(timeout=seconds)

    def release(self) -> None:
        """Return a slot."""
        self._free.release()
