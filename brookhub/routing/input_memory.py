"""Memory for the partly received commands of all clients."""

from __future__ import annotations

from threading import Condition


class InputMemory:
    """Bytes that the connections of clients have reserved for commands that are not complete. Thread-safe.

    A connection reserves memory before its buffer grows, and releases it once the buffer is freed.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.reserved_bytes = 0
        self._changed = Condition()  # Guards `reserved_bytes`.

    def reserve(self, size: int, seconds: float) -> bool:
        """Reserve `size` bytes, waiting for at most `seconds`; return whether they are reserved."""
        with self._changed:
            if not self._changed.wait_for(lambda: self._has_room(size), seconds):
                return False
            self.reserved_bytes += size
            return True

    def release(self, size: int) -> None:
        """Release `size` reserved bytes."""
        with self._changed:
            self.reserved_bytes -= size
            self._changed.notify_all()

    def _has_room(self, size: int) -> bool:
        return self.reserved_bytes + size <= self.max_bytes
