"""Memory for the partly received commands of all clients."""

from __future__ import annotations

from threading import Lock


class MemoryWaiter:
    """A connection that may wait for memory. Guarded by the lock of the `InputMemory`."""

    __slots__ = ("is_cancelled", "is_granted", "size", "wake_up")

    def __init__(self) -> None:
        self.size = 0  # Bytes that it waits for.
        self.is_granted = False
        self.is_cancelled = False
        self.wake_up = Lock()  # Used as a binary semaphore.
        self.wake_up.acquire()


class InputMemory:
    """Bytes that the connections of clients have reserved for commands that are not complete. Thread-safe.

    A connection reserves memory before its buffer grows, and releases it once the buffer is freed. Those that
    wait get it in their order, and a release wakes only those that get it.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.reserved_bytes = 0
        self._lock = Lock()  # Guards all fields.
        self._waiting: dict[MemoryWaiter, None] = {}  # The first has waited longest.

    def reserve(self, size: int, seconds: float, waiter: MemoryWaiter | None = None) -> bool:
        """Reserve `size` bytes, waiting for at most `seconds`; return whether they are reserved.

        `cancel` with the same `waiter` ends the wait.
        """
        waiter = waiter or MemoryWaiter()
        with self._lock:
            if not self._waiting and self._has_room(size):
                self.reserved_bytes += size
                return True
            if seconds <= 0 or waiter.is_cancelled:
                return False
            waiter.size = size
            waiter.is_granted = False
            self._waiting[waiter] = None
        waiter.wake_up.acquire(timeout=seconds)
        with self._lock:
            self._waiting.pop(waiter, None)
            waiter.wake_up.acquire(blocking=False)  # If it was woken just as the wait timed out.
            if not waiter.is_granted:
                self._grant()  # Those behind it may need less.
            return waiter.is_granted

    def release(self, size: int) -> None:
        """Release `size` reserved bytes."""
        with self._lock:
            self.reserved_bytes -= size
            self._grant()

    def cancel(self, waiter: MemoryWaiter) -> None:
        """End the wait of a connection that is being closed, and let it begin no further one."""
        with self._lock:
            waiter.is_cancelled = True
            if waiter in self._waiting:
                del self._waiting[waiter]
                waiter.wake_up.release()

    def _grant(self) -> None:
        """Reserve memory for those who wait, as far as there is room, in their order. Needs the lock."""
        while self._waiting:
            first = next(iter(self._waiting))
            if not self._has_room(first.size):
                return
            del self._waiting[first]
            self.reserved_bytes += first.size
            first.is_granted = True
            first.wake_up.release()

    def _has_room(self, size: int) -> bool:
        return self.reserved_bytes + size <= self.max_bytes
