"""The model of one upstream server, used by the emulator and by the fake servers on sockets.

A server answers a number of requests at once and queues a few more. It starts cold: its capacity grows over
its warm-up time. A warming server that is sent more than `overload_multiple` times its current capacity
(requests/s) over a window of `overload_window` s, rejected ones included, collapses (rule 4).
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
    """How a server behaves; the values are the words of the experiments' faults."""

    OK = "ok"
    SLOW = "slow"
    FAILING = "failing"  # answers with errors
    SILENT = "silent"  # accepts requests and never answers
    DEAD = "dead"  # refuses connections


@dataclass(frozen=True)
class ServerSettings:
    """What a server can take. Times in seconds."""

    concurrency: int  # requests that it answers at once, when warm
    queue_length: int  # requests that may wait
    service_time: float  # mean time of an answer
    cold_capacity: float  # share of its capacity that it has at its start
    warm_up_time: float  # from its start until it has its full capacity
    overload_multiple: float  # of its present capacity at which it collapses while it warms up
    collapse_duration: float  # that a collapsed server refuses connections
    overload_window: float = 1.0  # over which what it is sent is measured
    error_share: float = 0.0  # of its answers that are errors

    @classmethod
    def from_spec(cls, spec: ServerSpec) -> ServerSettings:
        """The settings of an experiment's servers."""
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
    """One upstream server. Times are seconds on the clock of its owner."""

    id: int
    zone: int
    cell: int
    settings: ServerSettings
    started_at: float = 0.0
    state: ServerState = ServerState.READY
    drained_at: float | None = None  # when its drain began
    mode: ServerMode = ServerMode.OK
    slow_factor: float = 1.0  # by which its service time grows in mode SLOW
    down_until: float = 0.0  # it refuses connections before
    sent_while_warming: deque[float] = field(default_factory=deque)  # times of the last window's requests
    collapses: int = 0
    peak_overload: float = 0.0  # most sent in a window while warming up, as a share of what collapses it
    # The same as a share of N + 2 x root of N + 2, N being the number that collapses it
    peak_overload_beside_chance: float = 0.0

    def registry_entry(self) -> RegistryEntry:
        """This server in the server list."""
        return RegistryEntry(self.id, self.zone, 0, self.cell, self.state, 1.0, self.started_at)

    def capacity(self, now: float) -> float:
        """Requests that it can answer at once now, fewer while it warms up."""
        settings = self.settings
        warmth = 1.0
        if settings.warm_up_time > 0:
            warmth = min(1.0, (now - self.started_at) / settings.warm_up_time)
        return settings.concurrency * (settings.cold_capacity + (1.0 - settings.cold_capacity) * warmth)

    def concurrency_limit(self, now: float) -> int:
        """The capacity in whole requests, at least one."""
        return max(1, int(self.capacity(now)))

    def is_warming_up(self, now: float) -> bool:
        """Whether its warm-up time is not over."""
        warm_up_time = self.settings.warm_up_time
        return warm_up_time > 0 and now - self.started_at < warm_up_time

    def record_sent(self, now: float) -> bool:
        """Count a request sent now; whether the window's requests are more than a warming server takes."""
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
        chance_bound = bound + 2 * sqrt(bound) + 2
        self.peak_overload_beside_chance = max(self.peak_overload_beside_chance, len(sent) / chance_bound)
        return len(sent) > bound

    def restart(self, now: float) -> None:
        """It is back in mode OK, and cold."""
        self.mode = ServerMode.OK
        self.started_at = now
