"""The queue of requests that wait for a server with room."""

from __future__ import annotations

from collections import deque

from ..model import PendingRequest


class RequestQueue:
    """Queue of waiting requests. `Dispatcher` fills it; retries are put at the front."""

    def __init__(self) -> None:
        self.waiting: deque[PendingRequest] = deque()

    def __len__(self) -> int:
        return len(self.waiting)

    def append(self, pending: PendingRequest) -> None:
        """Add a request at the back of the queue."""
        self.waiting.append(pending)

    def push_front(self, pending: PendingRequest) -> None:
        """Add a request at the front of the queue."""
        self.waiting.appendleft(pending)

    def take_all(self) -> deque[PendingRequest]:
        """Remove all waiting requests from the queue and return them."""
        taken = self.waiting
        self.waiting = deque()
        return taken
