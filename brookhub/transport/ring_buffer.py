"""A bounded ring buffer that takes little memory while it is empty."""

from __future__ import annotations

MIN_STORAGE_BYTES = 2048  # kept while empty: most commands and replies fit in them


class RingBuffer:
    """A queue of at most `max_size` bytes.

    Its storage grows with what it holds and shrinks once that is consumed. Not thread-safe: its owner says by
    which thread or under which lock it is used.
    """

    __slots__ = ("max_size", "storage", "start", "size")

    def __init__(self, max_size: int) -> None:
        self.max_size = max_size
        self.storage = bytearray()
        self.start = 0  # index of the oldest byte
        self.size = 0  # bytes held

    def __len__(self) -> int:
        return self.size

    def append(self, data: bytes | bytearray | memoryview) -> bool:
        """Append all of the bytes, or none and return False where they do not fit."""
        length = len(data)
        if self.size + length > self.max_size:
            return False
        if self.size + length > len(self.storage):
            self._reallocate(self.size + length)
        capacity = len(self.storage)
        end = (self.start + self.size) % capacity if capacity else 0
        first = min(length, capacity - end)
        self.storage[end : end + first] = data[:first]
        if first < length:
            self.storage[: length - first] = data[first:]
        self.size += length
        return True

    def writable_view(self, wanted: int = 0) -> memoryview:
        """Free storage in one piece to read into, followed by `commit_write`; empty at the limit.

        It has room for `wanted` bytes where the buffer is empty and the limit allows.
        """
        if self.size >= len(self.storage) and len(self.storage) < self.max_size:
            self._reallocate(max(MIN_STORAGE_BYTES, 2 * len(self.storage), wanted))
        elif not self.size and len(self.storage) < min(wanted, self.max_size):
            self._reallocate(wanted)
        capacity = len(self.storage)
        end = self.start + self.size
        if end >= capacity:
            end -= capacity
            return memoryview(self.storage)[end : self.start if self.size else capacity]
        return memoryview(self.storage)[end:]

    def commit_write(self, length: int) -> None:
        """Take in bytes that were written into the view that `writable_view` returned."""
        self.size += length

    def readable_view(self) -> memoryview:
        """The oldest bytes, as many as lie in one piece; they stay until `consume`."""
        return memoryview(self.storage)[self.start : min(self.start + self.size, len(self.storage))]

    def consume(self, length: int) -> None:
        """Remove the oldest bytes."""
        self.size -= length
        if self.size:
            self.start = (self.start + length) % len(self.storage)
        else:
            self.start = 0
            if len(self.storage) > MIN_STORAGE_BYTES:
                self.storage = bytearray()

    def read(self, length: int) -> bytes:
        """Remove and return the oldest bytes; `length` is at most the buffer's."""
        end = self.start + length
        if end <= len(self.storage):
            data = bytes(memoryview(self.storage)[self.start : end])
        else:
            data = bytes(self.storage[self.start :] + self.storage[: end - len(self.storage)])
        self.consume(length)
        return data

    def read_line(self) -> bytes | None:
        """Remove the oldest line and return it without its CR LF; None while it is incomplete."""
        if self.start + self.size > len(self.storage):
            self._reallocate(len(self.storage))
        line_end = self.storage.find(b"\r\n", self.start, self.start + self.size)
        if line_end < 0:
            return None
        line = bytes(memoryview(self.storage)[self.start : line_end])
        self.consume(line_end + 2 - self.start)
        return line

    def _reallocate(self, wanted: int) -> None:
        """Move the bytes to the start of a new storage.

        The old storage is left as it was, as a view of it may still be in use.
        """
        storage = bytearray(min(self.max_size, max(wanted, MIN_STORAGE_BYTES)))
        first = min(self.size, len(self.storage) - self.start)
        storage[:first] = self.storage[self.start : self.start + first]
        storage[first : self.size] = self.storage[: self.size - first]
        self.storage = storage
        self.start = 0
