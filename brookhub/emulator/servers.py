"""Upstream servers of an emulated fleet, which receive attempts and end them in simulated time.

Service times are exponentially distributed with the mean of the server's settings.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ..model import Attempt, Outcome, ServerState
from .engine import Engine
from .invariants import InvariantChecker
from .server_model import ServerMode, ServerModel

# Seconds until a limiter learns that an attempt was refused or rejected: a round trip on a local network.
REFUSAL_TIME = 0.001


class AttemptOwner(Protocol):
    """The limiter that sent an attempt."""

    index: int

    def end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Handle the end of an attempt."""


AttemptListener = Callable[[Attempt, AttemptOwner], None]
"""Called with an attempt that arrives at a server and the limiter that sent it."""


@dataclass(slots=True)
class QueuedAttempt:
    """An attempt that waits for free capacity of its server."""

    attempt: Attempt
    owner: AttemptOwner


@dataclass(eq=False)
class EmulatedServer(ServerModel):
    """A server with the attempts in progress (`active`) and those that wait (`queue`), oldest first."""

    active: dict[Attempt, AttemptOwner] = field(default_factory=dict)
    queue: deque[QueuedAttempt] = field(default_factory=deque)

    def has_capacity(self, now: float) -> bool:
        """Return whether it can start answering another attempt now."""
        return len(self.active) < self.concurrency_limit(now)


class EmulatedServers:
    """All upstream servers of a fleet, by id in `models`.

    `attempt_listeners` are called with each attempt that arrives, before its server accepts or refuses it.
    """

    def __init__(
        self, engine: Engine, checker: InvariantChecker, rng: random.Random, models: list[EmulatedServer]
    ) -> None:
        self.engine = engine
        self.checker = checker
        self.rng = rng
        self.models = {model.id: model for model in models}
        self.lost_share = 0.0  # Share of the answers that do not reach the limiter.
        self.sent_to_faulty = 0
        self.sent_to_warming = 0
        self.attempt_listeners: list[AttemptListener] = []

    def receive(self, attempt: Attempt, owner: AttemptOwner) -> None:
        """Start, queue or refuse an attempt that arrives at its server."""
        for listener in self.attempt_listeners:
            listener(attempt, owner)
        model = self.models[attempt.server.id]
        now = self.engine.now
        self.sent_to_faulty += model.mode is not ServerMode.OK
        self.sent_to_warming += model.is_warming_up(now)
        refuses = model.state is ServerState.GONE or model.mode is ServerMode.DEAD or now < model.down_until
        if refuses:
            self._refuse(attempt, owner, Outcome.CONNECT_FAILED)
        elif model.has_capacity(now):
            self._start(model, attempt, owner)
        elif len(model.queue) < model.settings.queue_length:
            model.queue.append(QueuedAttempt(attempt, owner))
        else:
            self._refuse(attempt, owner, Outcome.BUSY)
        if model.record_sent(now):
            self._collapse(model)

    def cancel(self, attempt: Attempt) -> None:
        """Free the capacity of an attempt that its limiter has cancelled. Work done on it is wasted."""
        model = self.models.get(attempt.server.id)
        if model and model.active.pop(attempt, None) is not None:
            self._start_queued(model)

    def _refuse(self, attempt: Attempt, owner: AttemptOwner, outcome: Outcome) -> None:
        self.engine.call_later(REFUSAL_TIME, lambda: owner.end_attempt(attempt, outcome))

    def _start(self, model: EmulatedServer, attempt: Attempt, owner: AttemptOwner) -> None:
        """Start answering an attempt."""
        model.active[attempt] = owner
        if model.mode is ServerMode.SILENT:
            return  # The attempt occupies capacity until the limiter cancels it.
        slow_factor = model.slow_factor if model.mode is ServerMode.SLOW else 1.0
        duration = self.rng.expovariate(1.0 / model.settings.service_time) * slow_factor
        self.engine.call_later(duration, lambda: self._finish(model, attempt))

    def _finish(self, model: EmulatedServer, attempt: Attempt) -> None:
        """Answer an attempt, unless it has been cancelled."""
        owner = model.active.pop(attempt, None)
        if owner is None:
            return
        fails = model.mode is ServerMode.FAILING or self.rng.random() < model.settings.error_share
        is_lost = self.lost_share and self.rng.random() < self.lost_share
        if not is_lost:  # An attempt whose answer is lost ends by its timeout.
            owner.end_attempt(attempt, Outcome.ERROR if fails else Outcome.OK)
        self._start_queued(model)

    def _start_queued(self, model: EmulatedServer) -> None:
        """Start queued attempts while there is capacity."""
        now = self.engine.now
        while model.queue and model.has_capacity(now):
            queued = model.queue.popleft()
            if queued.attempt.outcome is None:
                self._start(model, queued.attempt, queued.owner)

    def _collapse(self, model: EmulatedServer) -> None:
        """Collapse a warming server that received too many requests (rule 4).

        It resets all its attempts and refuses connections for `collapse_duration`.
        """
        now = self.engine.now
        settings = model.settings
        model.collapses += 1
        self.checker.report(
            4,
            f"cold server {model.id} pushed over: {len(model.sent_while_warming)} sent in "
            f"{settings.overload_window} s against {model.capacity(now) / settings.service_time:.1f} calls/s",
        )
        model.sent_while_warming.clear()
        ended = [QueuedAttempt(attempt, owner) for attempt, owner in model.active.items()]
        ended += model.queue
        model.active.clear()
        model.queue.clear()
        model.down_until = now + settings.collapse_duration
        for queued in ended:
            self._reset(queued)

    def _reset(self, queued: QueuedAttempt) -> None:
        """End an attempt by a connection reset, as a separate event.

        Otherwise a collapse inside a limiter's start_attempt would end the attempt before start_attempt has
        returned it.
        """
        self.engine.call_later(0.0, lambda: queued.owner.end_attempt(queued.attempt, Outcome.RESET))
