"""The upstream servers of an emulated fleet: they take attempts and end them in simulated time.

Service times are exponential round the mean of the server's settings.
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

REFUSAL_TIME = 0.001  # s until a refused or rejected attempt is known: one round trip on a local network


class AttemptOwner(Protocol):
    """The limiter that sent an attempt."""

    index: int

    def end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Handle the end of an attempt."""


AttemptListener = Callable[[Attempt, AttemptOwner], None]


@dataclass(slots=True)
class QueuedAttempt:
    """An attempt that waits for a server's capacity."""

    attempt: Attempt
    owner: AttemptOwner


@dataclass(eq=False)
class EmulatedServer(ServerModel):
    """A server with the attempts that it answers and those that wait, the oldest first."""

    active: dict[Attempt, AttemptOwner] = field(default_factory=dict)
    queue: deque[QueuedAttempt] = field(default_factory=deque)

    def has_capacity(self, now: float) -> bool:
        """Whether it can begin to answer another attempt now."""
        return len(self.active) < self.concurrency_limit(now)


class EmulatedServers:
    """All upstream servers of a fleet, by id in `models`.

    `attempt_listeners` are called with each attempt that arrives, before its server takes or refuses it.
    """

    def __init__(
        self, engine: Engine, checker: InvariantChecker, rng: random.Random, models: list[EmulatedServer]
    ) -> None:
        self.engine = engine
        self.checker = checker
        self.rng = rng
        self.models = {model.id: model for model in models}
        self.lost_share = 0.0  # of answers that are lost on their way back
        self.sent_to_faulty = 0
        self.sent_to_warming = 0
        self.attempt_listeners: list[AttemptListener] = []

    def receive(self, attempt: Attempt, owner: AttemptOwner) -> None:
        """An attempt arrives at its server."""
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
        """The limiter stopped waiting: capacity comes free (work already begun is wasted)."""
        model = self.models.get(attempt.server.id)
        if model and model.active.pop(attempt, None) is not None:
            self._start_queued(model)

    def _refuse(self, attempt: Attempt, owner: AttemptOwner, outcome: Outcome) -> None:
        self.engine.call_later(REFUSAL_TIME, lambda: owner.end_attempt(attempt, outcome))

    def _start(self, model: EmulatedServer, attempt: Attempt, owner: AttemptOwner) -> None:
        """Begin to answer an attempt."""
        model.active[attempt] = owner
        if model.mode is ServerMode.SILENT:
            return  # takes up capacity until the limiter gives it up
        slow_factor = model.slow_factor if model.mode is ServerMode.SLOW else 1.0
        duration = self.rng.expovariate(1.0 / model.settings.service_time) * slow_factor
        self.engine.call_later(duration, lambda: self._finish(model, attempt))

    def _finish(self, model: EmulatedServer, attempt: Attempt) -> None:
        """Answer an attempt, unless it was given up."""
        owner = model.active.pop(attempt, None)
        if owner is None:
            return
        fails = model.mode is ServerMode.FAILING or self.rng.random() < model.settings.error_share
        is_lost = self.lost_share and self.rng.random() < self.lost_share
        if not is_lost:  # an attempt with a lost answer ends by its timeout
            owner.end_attempt(attempt, Outcome.ERROR if fails else Outcome.OK)
        self._start_queued(model)

    def _start_queued(self, model: EmulatedServer) -> None:
        """Begin with queued attempts as far as there is capacity."""
        now = self.engine.now
        while model.queue and model.has_capacity(now):
            queued = model.queue.popleft()
            if queued.attempt.outcome is None:
                self._start(model, queued.attempt, queued.owner)

    def _collapse(self, model: EmulatedServer) -> None:
        """A warming server was sent too much (rule 4): it resets all attempts and is down for a while."""
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
        """End an attempt by a connection reset.

        As an event of its own: a collapse inside a limiter's start_attempt must not end the attempt before
        start_attempt has returned it.
        """
        self.engine.call_later(0.0, lambda: queued.owner.end_attempt(queued.attempt, Outcome.RESET))
