"""A bounded ring buffer that holds little while it is empty."""

from __future__ import annotations

MIN_STORAGE_BYTES = 2048  # bytes kept while empty: most commands and answers fit in them


class RingBuffer:
    """Bytes in their order, up to a limit.

    Its store grows with what it holds and shrinks once that is gone.
    """

    __slots__ = ("max_size", "storage", "start", "size")

    def __init__(self, max_size: int):
        self.max_size, self.storage, self.start, self.size = max_size, bytearray(), 0, 0

    def __len__(self) -> int:
        return self.size

    def append(self, data: bytes) -> bool:
        """Append all of it, or nothing where it does not fit."""
        length = len(data)
        if self.size + length > self.max_size:
            return False
        if self.size + length > len(self.storage):
            self._move(self.size + length)
        capacity = len(self.storage)
        end = (self.start + self.size) % capacity if capacity else 0
        first = min(length, capacity - end)
        self.storage[end : end + first] = data[:first]
        if first < length:
            self.storage[: length - first] = data[first:]
        self.size += length
        return True

    def writable_view(self, wanted: int = 0) -> memoryview:
        """Room to read into, in one piece, for as much as is wanted if it is empty; none at the limit.

        `commit_write` says how much of it was used.
        """
        if self.size >= len(self.storage) and len(self.storage) < self.max_size:
            self._move(max(MIN_STORAGE_BYTES, 2 * len(self.storage), wanted))
        elif not self.size and len(self.storage) < min(wanted, self.max_size):
            self._move(wanted)
        capacity = len(self.storage)
        end = self.start + self.size
        if end >= capacity:
            end -= capacity
            return memoryview(self.storage)[end : self.start if self.size else capacity]
        return memoryview(self.storage)[end:]

    def commit_write(self, length: int) -> None:
        """So many bytes were read into the space that was given."""
        self.size += length

    def readable_view(self) -> memoryview:
        """The oldest bytes, as many as lie in one piece."""
        return memoryview(self.storage)[self.start : min(self.start + self.size, len(self.storage))]

    def consume(self, length: int) -> None:
        """So many bytes at the front are done with."""
        self.size -= length
        if self.size:
            self.start = (self.start + length) % len(self.storage)
        else:
            self.start = 0
            if len(self.storage) > MIN_STORAGE_BYTES:
                self.storage = bytearray()

    def read(self, length: int) -> bytes:
        """The oldest bytes, taken out."""
        end = self.start + length
        if end <= len(self.storage):
            data = bytes(memoryview(self.storage)[self.start : end])
        else:
            data = bytes(self.storage[self.start :] + self.storage[: end - len(self.storage)])
        self.consume(length)
        return data

    def read_line(self) -> bytes | None:
        """The oldest line, taken out without its CR LF; None while it is not whole."""
        if self.start + self.size > len(self.storage):
            self._move(len(self.storage))
        at = self.storage.find(b"\r\n", self.start, self.start + self.size)
        if at < 0:
            return None
        data = bytes(memoryview(self.storage)[self.start : at])
        self.consume(at + 2 - self.start)
        return data

    def _move(self, wanted: int) -> None:
        """Lay what is held at the start of a store of its own.

        The old one stays as it was for who still sends it.
        """
        store = bytearray(min(self.max_size, max(wanted, MIN_STORAGE_BYTES)))
        first = min(self.size, len(self.storage) - self.start)
        store[:first] = self.storage[self.start : self.start + first]
        store[first : self.size] = self.storage[: self.size - first]
        self.storage, self.start = store, 0
