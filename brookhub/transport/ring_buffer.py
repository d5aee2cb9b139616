"""A bounded ring buffer that uses little memory while it is empty."""

from __future__ import annotations

MIN_STORAGE_BYTES = 2048  # Storage that is kept while empty; most commands and replies fit in it.


class RingBuffer:
    """A queue of at most `max_size` bytes.

    Its storage grows as bytes are added and shrinks when all have been consumed. Not thread-safe: its owner
    defines the thread or the lock that protects it.
    """

    __slots__ = ("max_size", "storage", "start", "size")

    def __init__(self, max_size: int) -> None:
        self.max_size = max_size
        self.storage = bytearray()
        self.start = 0  # Index of the oldest byte in `storage`.
        self.size = 0  # Number of bytes in the queue.

    def __len__(self) -> int:
        return self.size

    def next_storage_bytes(self) -> int:
        """Return the size that the storage may have after the next read into `writable_view()`."""
        return min(self.max_size, max(MIN_STORAGE_BYTES, 2 * len(self.storage)))

    def is_full(self) -> bool:
        """Return whether the storage has no free byte, so that the last read may have left bytes unread."""
        return self.size >= len(self.storage)

    def clear(self) -> None:
        """Discard all bytes and free the storage."""
        self.storage = bytearray()
        self.start = 0
        self.size = 0

    def append(self, data: bytes | bytearray | memoryview) -> bool:
        """Append all of the bytes; if they do not fit, append nothing and return False."""
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
        """Return a contiguous view of free storage; it is empty if the buffer is full.

        If the buffer is empty, the view has room for `wanted` bytes, or for `max_size` if that is less. After
        writing into the view, the caller must call `commit_write`.
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
        """Add the first `length` bytes of the view returned by `writable_view` to the queue."""
        self.size += length

    def readable_view(self) -> memoryview:
        """Return a view of the oldest bytes that are contiguous; they stay in the queue until `consume`."""
        return memoryview(self.storage)[self.start : min(self.start + self.size, len(self.storage))]

    def consume(self, length: int) -> None:
        """Remove the `length` oldest bytes."""
        self.size -= length
        if self.size:
            self.start = (self.start + length) % len(self.storage)
        else:
            self.start = 0
            if len(self.storage) > MIN_STORAGE_BYTES:
                self.storage = bytearray()

    def read(self, length: int) -> bytes:
        """Remove and return the `length` oldest bytes; the queue must hold that many."""
        end = self.start + length
        if end <= len(self.storage):
            data = bytes(memoryview(self.storage)[self.start : end])
        else:
            data = bytes(self.storage[self.start :] + self.storage[: end - len(self.storage)])
        self.consume(length)
        return data

    def read_line(self) -> bytes | None:
        """Remove the oldest line and return it without its CR LF; return None if it is incomplete."""
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

        The old storage is left unchanged because a view of it may still be in use.
        """
        storage = bytearray(min(self.max_size, max(wanted, MIN_STORAGE_BYTES)))
        first = min(self.size, len(self.storage) - self.start)
        storage[:first] = self.storage[self.start : self.start + first]
        storage[first : self.size] = self.storage[: self.size - first]
        self.storage = storage
        self.start = 0
