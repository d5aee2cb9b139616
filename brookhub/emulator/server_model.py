"""Model of one upstream server, used by the emulator and by the fake servers on sockets.

A server answers a number of requests at once and queues a few more. It starts cold: its capacity grows over
its warm-up time. A warming server that receives more than `overload_multiple` times its current capacity
(requests per second) over a window of `overload_window` seconds collapses (rule 4). Rejected requests are
counted as well.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import sqrt

from ..config.models import ServerSpec
from ..model import ServerState
from ..registry import RegistryEntry


class ServerMode(str, Enum):
    """Behaviour of a server. Some values are the prefix of a fault action, such as `slow_servers`."""

    OK = "ok"
    SLOW = "slow"
    FAILING = "failing"  # The server answers with errors.
    SILENT = "silent"  # The server accepts requests and never answers.
    DEAD = "dead"  # The server refuses connections.


@dataclass(frozen=True)
class ServerSettings:
    """Capacity, timing and failure behaviour of a server. Times are in seconds."""

    concurrency: int  # Requests that a warm server answers at once.
    queue_length: int  # Maximum number of waiting requests.
    service_time: float  # Mean time to answer a request.
    cold_capacity: float  # Share of the full capacity at the start.
    warm_up_time: float  # Time from the start to full capacity.
    overload_multiple: float  # Multiple of its current capacity above which a warming server collapses.
    collapse_duration: float  # Time for which a collapsed server refuses connections.
    overload_window: float = 1.0  # Time over which received requests are counted for `overload_multiple`.
    error_share: float = 0.0  # Share of the answers that are errors.

    @classmethod
    def from_spec(cls, spec: ServerSpec) -> ServerSettings:
        """Return the settings of an experiment's servers."""
        return cls(
            concurrency=spec.places,
            queue_length=spec.queue,
            service_time=spec.service_s,
            cold_capacity=spec.cold_from,
            warm_up_time=spec.warm_after_s,
            overload_multiple=spec.fall_multiple,
            collapse_duration=spec.fall_for_s,
            overload_window=spec.fall_within_s,
            error_share=spec.error_share,
        )


@dataclass(eq=False)
class ServerModel:
    """One upstream server. Times are in seconds on the clock of its owner."""

    id: int
    zone: int
    cell: int
    settings: ServerSettings
    started_at: float = 0.0
    state: ServerState = ServerState.READY
    drained_at: float | None = None  # Start of its drain.
    mode: ServerMode = ServerMode.OK
    slow_factor: float = 1.0  # Factor of the service time in mode SLOW.
    down_until: float = 0.0  # The server refuses connections before this time.
    # Times of the requests in the last window.
    sent_while_warming: deque[float] = field(default_factory=deque)
    collapses: int = 0
    # Maximum of (requests in a window) / N during warm-up. The server collapses above N requests, so that it
    # collapses if this exceeds 1.
    peak_overload: float = 0.0
    # Maximum of (requests in a window) / (N + 2 * sqrt(N) + 2), which allows for random variation.
    peak_overload_with_variation: float = 0.0

    def registry_entry(self) -> RegistryEntry:
        """Return the entry of this server in the server list."""
        return RegistryEntry(self.id, self.zone, 0, self.cell, self.state, 1.0, self.started_at)

    def capacity(self, now: float) -> float:
        """Return the number of requests that it can answer at once now, lower while it warms up."""
        settings = self.settings
        warmth = 1.0
        if settings.warm_up_time > 0:
            warmth = min(1.0, (now - self.started_at) / settings.warm_up_time)
        return settings.concurrency * (settings.cold_capacity + (1.0 - settings.cold_capacity) * warmth)

    def concurrency_limit(self, now: float) -> int:
        """Return the capacity rounded down to whole requests, at least one."""
        return max(1, int(self.capacity(now)))

    def is_warming_up(self, now: float) -> bool:
        """Return whether its warm-up time has not yet passed."""
        warm_up_time = self.settings.warm_up_time
        return warm_up_time > 0 and now - self.started_at < warm_up_time

    def record_sent(self, now: float) -> bool:
        """Count a request sent now and return whether the server is warming up and overloaded.

        It is overloaded if the requests in the window exceed `overload_multiple` times its current capacity.
        """
        sent = self.sent_while_warming
        if not self.is_warming_up(now):
            sent.clear()
            return False
        settings = self.settings
        sent.append(now)
        while sent and sent[0] <= now - settings.overload_window:
            sent.popleft()
        rate = settings.overload_multiple * self.capacity(now) / settings.service_time
        bound = rate * settings.overload_window
        self.peak_overload = max(self.peak_overload, len(sent) / bound)
        bound_with_variation = bound + 2 * sqrt(bound) + 2
        self.peak_overload_with_variation = max(
            self.peak_overload_with_variation, len(sent) / bound_with_variation
        )
        return len(sent) > bound

    def restart(self, now: float) -> None:
        """Restart the server at time `now`, cold and in mode OK."""
        self.mode = ServerMode.OK
        self.started_at = now
