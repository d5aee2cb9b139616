"""The ids of requests that must not be accepted again, because an attempt under the same id may run."""

from __future__ import annotations

HELD_ID_BYTES = 160  # Memory of an id that is held, with its time.


class RequestIds:
    """Ids of the open requests, and of finished ones whose attempts may still run at a server.

    A client may leave and send its request again under the same id. Its attempt was cancelled then, which
    does not stop the server. Guarded by the event loop's lock; times in seconds, monotonic.
    """

    def __init__(self) -> None:
        self.open: set[int] = set()
        self._held_until: dict[int, float] = {}  # In the order in which their requests finished.

    def is_taken(self, request_id: int, now: float) -> bool:
        """Return whether a request with this id must not be accepted now."""
        return request_id in self.open or now < self._held_until.get(request_id, now)

    def finish(self, request_id: int, may_run_until: float, now: float) -> None:
        """Release the id of a finished request, or hold it while an attempt may run."""
        self.open.discard(request_id)
        self._release_old(now)
        if may_run_until > now:
            self._held_until.pop(request_id, None)
            self._held_until[request_id] = may_run_until

    def held_bytes(self, now: float) -> int:
        """Return the memory of the ids that are held."""
        self._release_old(now)
        return len(self._held_until) * HELD_ID_BYTES

    def _release_old(self, now: float) -> None:
        """Release the ids that were held for long enough, the oldest first."""
        while self._held_until:
            request_id = next(iter(self._held_until))
            if self._held_until[request_id] > now:
                break
            del self._held_until[request_id]
