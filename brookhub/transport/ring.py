"""A bounded ring buffer that holds little while it is empty."""

from __future__ import annotations

KEPT = 2048  # bytes kept while empty: most commands and answers fit in them


class Ring:
    """Bytes in their order, up to a limit.

    Its store grows with what it holds and shrinks once that is gone.
    """

    __slots__ = ("limit", "store", "start", "size")

    def __init__(self, limit: int):
        self.limit, self.store, self.start, self.size = limit, bytearray(), 0, 0

    def __len__(self) -> int:
        return self.size

    def put(self, data: bytes) -> bool:
        """Append all of it, or nothing where it does not fit."""
        length = len(data)
        if self.size + length > self.limit:
            return False
        if self.size + length > len(self.store):
            self._move(self.size + length)
        capacity = len(self.store)
        end = (self.start + self.size) % capacity if capacity else 0
        first = min(length, capacity - end)
        self.store[end : end + first] = data[:first]
        if first < length:
            self.store[: length - first] = data[first:]
        self.size += length
        return True

    def space(self, wanted: int = 0) -> memoryview:
        """Room to read into, in one piece, for as much as is wanted if it is empty; none at the limit.

        `filled` says how much of it was used.
        """
        if self.size >= len(self.store) and len(self.store) < self.limit:
            self._move(max(KEPT, 2 * len(self.store), wanted))
        elif not self.size and len(self.store) < min(wanted, self.limit):
            self._move(wanted)
        capacity = len(self.store)
        end = self.start + self.size
        if end >= capacity:
            end -= capacity
            return memoryview(self.store)[end : self.start if self.size else capacity]
        return memoryview(self.store)[end:]

    def filled(self, length: int) -> None:
        """So many bytes were read into the space that was given."""
        self.size += length

    def chunk(self) -> memoryview:
        """The oldest bytes, as many as lie in one piece."""
        return memoryview(self.store)[self.start : min(self.start + self.size, len(self.store))]

    def drop(self, length: int) -> None:
        """So many bytes at the front are done with."""
        self.size -= length
        if self.size:
            self.start = (self.start + length) % len(self.store)
        else:
            self.start = 0
            if len(self.store) > KEPT:
                self.store = bytearray()

    def take(self, length: int) -> bytes:
        """The oldest bytes, taken out."""
        end = self.start + length
        if end <= len(self.store):
            data = bytes(memoryview(self.store)[self.start : end])
        else:
            data = bytes(self.store[self.start :] + self.store[: end - len(self.store)])
        self.drop(length)
        return data

    def line(self) -> bytes | None:
        """The oldest line, taken out without its CR LF; None while it is not whole."""
        if self.start + self.size > len(self.store):
            self._move(len(self.store))
        at = self.store.find(b"\r\n", self.start, self.start + self.size)
        if at < 0:
            return None
        data = bytes(memoryview(self.store)[self.start : at])
        self.drop(at + 2 - self.start)
        return data

    def _move(self, wanted: int) -> None:
        """Lay what is held at the start of a store of its own.

        The old one stays as it was for who still sends it.
        """
        store = bytearray(min(self.limit, max(wanted, KEPT)))
        first = min(self.size, len(self.store) - self.start)
        store[:first] = self.store[self.start : self.start + first]
        store[first : self.size] = self.store[: self.size - first]
        self.store, self.start = store, 0
