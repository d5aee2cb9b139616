"""The requests that wait for a place at a server."""

from __future__ import annotations

from collections import deque

from ..model import PendingRequest


class RequestQueue:
    """Waiting requests, the next one first. Filled by `Dispatcher`; retries go to the head."""

    def __init__(self) -> None:
        self.waiting: deque[PendingRequest] = deque()

    def __len__(self) -> int:
        return len(self.waiting)

    def append(self, pending: PendingRequest) -> None:
        """Queue a request behind all others."""
        self.waiting.append(pending)

    def push_front(self, pending: PendingRequest) -> None:
        """Queue a request before all others."""
        self.waiting.appendleft(pending)

    def take_all(self) -> deque[PendingRequest]:
        """The waiting requests, which are no longer in the queue."""
        taken = self.waiting
        self.waiting = deque()
        return taken
