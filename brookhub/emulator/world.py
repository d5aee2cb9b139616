"""What the limiters balance, as models: upstream servers, the shared counter, discovery.

Servers have places (answers at once), a short queue, a service time (s, exponential round a mean), a cold
start during which fewer places hold, and failure modes. Rule 4 as the design states it: a cold server sent
more than `fall_multiple` times its current capacity (calls/s) over a window of `fall_within` seconds,
rejected work included, falls: it resets all it holds and is down for `fall_for` seconds.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from math import sqrt
from typing import Callable

from ..config.models import ServerSpec
from ..model import Outcome, ServerState
from ..registry import ServerEntry

CONNECT = 0.001  # s until a refused or turned-away try is known: one round trip on a local network
MODES = ("ok", "slow", "failing", "silent", "dead")


@dataclass
class ServerModel:
    """One upstream server. Times in seconds; `places` answers at once; `queue` more may wait."""

    id: int
    zone: int
    cell: int
    places: int
    queue: int
    service: float
    cold_from: float
    warm_after: float
    fall_multiple: float
    fall_for: float
    fall_within: float = 1.0
    started_at: float = 0.0
    state: ServerState = ServerState.READY
    drained_at: float | None = None
    mode: str = "ok"
    slow_factor: float = 1.0
    error_share: float = 0.0
    down_until: float = 0.0
    busy: dict = field(default_factory=dict)  # try -> (seat, started at)
    waiting: deque = field(default_factory=deque)
    sent: deque = field(default_factory=deque)  # times (s) of the tries sent while cold, over the last window
    falls: int = 0
    push: float = 0.0  # the most sent in a window while cold, as a share of what makes it fall
    # The same as a share of N + 2 x root of N + 2, N being what makes it fall
    push_beside_chance: float = 0.0

    @classmethod
    def of(cls, spec: ServerSpec, ident: int, zone: int, cell: int, started_at: float) -> ServerModel:
        """A server as an experiment describes its servers."""
        return cls(
            ident,
            zone,
            cell,
            spec.places,
            spec.queue,
            spec.service_s,
            spec.cold_from,
            spec.warm_after_s,
            spec.fall_multiple,
            spec.fall_for_s,
            spec.fall_within_s,
            started_at=started_at,
            error_share=spec.error_share,
        )

    def entry(self) -> ServerEntry:
        """This server in the server list."""
        return ServerEntry(self.id, self.zone, 0, self.cell, self.state, 1.0, self.started_at)

    def capacity(self, now: float) -> float:
        """Places that the server has now, fewer while it is cold."""
        warm = 1.0 if self.warm_after <= 0 else min(1.0, (now - self.started_at) / self.warm_after)
        return self.places * (self.cold_from + (1.0 - self.cold_from) * warm)

    def cold(self, now: float) -> bool:
        """Whether it is not warm yet."""
        return self.warm_after > 0 and now - self.started_at < self.warm_after

    def pushed_over(self, now: float) -> bool:
        """Count a try sent now.

        True where the window's sends pass fall_multiple x capacity (calls/s) x window.
        """
        if not self.cold(now):
            self.sent.clear()
            return False
        self.sent.append(now)
        while self.sent and self.sent[0] <= now - self.fall_within:
            self.sent.popleft()
        bound = self.fall_multiple * self.capacity(now) / self.service * self.fall_within
        self.push = max(self.push, len(self.sent) / bound)
        self.push_beside_chance = max(self.push_beside_chance, len(self.sent) / (bound + 2 * sqrt(bound) + 2))
        return len(self.sent) > bound


class Servers:
    """All upstream servers; takes tries from the limiters' ports and ends them in simulated time."""

    def __init__(self, engine, referee, rng: random.Random, models: list[ServerModel]):
        self.engine, self.referee, self.rng = engine, referee, rng
        self.models = {model.id: model for model in models}
        self.lost_share = 0.0  # of answers lost on the way back, while a fault says so
        self.sent_to_bad = self.sent_to_cold = 0

    def take(self, one, seat) -> None:
        """An attempt arrives."""
        model, now = self.models[one.server.id], self.engine.now
        self.sent_to_bad += model.mode != "ok"
        self.sent_to_cold += model.cold(now)
        if model.state is ServerState.GONE or model.mode == "dead" or now < model.down_until:
            self.engine.after(CONNECT, lambda: seat.end_try(one, Outcome.CONNECT_FAILED))
        elif len(model.busy) < max(1, int(model.capacity(now))):
            self.start(model, one, seat)
        elif len(model.waiting) < model.queue:
            model.waiting.append((one, seat))
        else:
            self.engine.after(CONNECT, lambda: seat.end_try(one, Outcome.BUSY))
        if model.pushed_over(now):
            self.fall(model)

    def start(self, model: ServerModel, one, seat) -> None:
        """Work on an attempt begins."""
        now = self.engine.now
        model.busy[one] = (seat, now)
        if model.mode == "silent":
            return  # holds the place until the try is given up
        took = self.rng.expovariate(1.0 / model.service) * (
            model.slow_factor if model.mode == "slow" else 1.0
        )
        self.engine.after(took, lambda: self.finish(model, one))

    def finish(self, model: ServerModel, one) -> None:
        """Work on an attempt ends."""
        held = model.busy.pop(one, None)
        if held is None:
            return
        seat, _ = held
        failing = model.mode == "failing" or self.rng.random() < model.error_share
        if self.lost_share and self.rng.random() < self.lost_share:
            pass  # the answer is lost: the try ends by its timeout
        else:
            seat.end_try(one, Outcome.ERROR if failing else Outcome.OK)
        self.pump(model)

    def pump(self, model: ServerModel) -> None:
        """Begin what waits, as places come free."""
        now = self.engine.now
        while model.waiting and len(model.busy) < max(1, int(model.capacity(now))):
            one, seat = model.waiting.popleft()
            if one.outcome is None:
                self.start(model, one, seat)

    def abandon(self, one) -> None:
        """The limiter stopped waiting: the place comes free (work already begun is wasted)."""
        model = self.models.get(one.server.id)
        if model and model.busy.pop(one, None) is not None:
            self.pump(model)

    def fall(self, model: ServerModel) -> None:
        """A cold server was sent too much: it resets all it holds and is down for a while."""
        model.falls += 1
        now = self.engine.now
        self.referee.breaks(
            4,
            f"cold server {model.id} pushed over: {len(model.sent)} sent in {model.fall_within} s "
            f"against {model.capacity(now) / model.service:.1f} calls/s",
        )
        model.sent.clear()
        held = list(model.busy.items()) + [(one, (seat, 0.0)) for one, seat in model.waiting]
        model.busy.clear()
        model.waiting.clear()
        model.down_until = self.engine.now + model.fall_for
        for one, (
            seat,
            _,
        ) in held:  # as events of their own: a fall seen inside Port.send must not end the try
            # Before it returns
            self.engine.after(0.0, lambda one=one, seat=seat: seat.end_try(one, Outcome.RESET))


class Keeper:
    """One count keeper: named totals (units) that live `lives` seconds from their first add."""

    def __init__(self) -> None:
        self.counts: dict[int, list[float]] = {}

    def add(self, name: int, amount: float, lives: float, now: float) -> float:
        """Add to a count; its total."""
        held = self.counts.get(name)
        if held is None or held[1] <= now:
            held = self.counts[name] = [0.0, now + lives]
        held[0] += amount
        return held[0]


class Counter:
    """The shared counter: one keeper, or two while split (limiters by their index's parity see each)."""

    def __init__(self, engine, rng: random.Random, delay: float, wait: float):
        self.engine, self.rng, self.delay, self.wait = engine, rng, delay, wait
        self.keepers = [Keeper()]
        self.down = False
        self.lost_share = 0.0
        self.calls = 0

    def count(self, seat, name: int, amount: float, lives: float, told) -> None:
        """A call arrives; `told` hears the outcome after its way."""
        self.calls += 1
        if self.down or (self.lost_share and self.rng.random() < self.lost_share):
            seat.later(self.wait, lambda: told(Outcome.TIMEOUT, 0.0, self.wait))
            return
        keeper = self.keepers[seat.index % len(self.keepers)]
        total = keeper.add(name, amount, lives, self.engine.now)
        took = self.delay * (0.5 + self.rng.random())
        seat.later(took, lambda: told(Outcome.OK, total, took))

    def wipe(self) -> None:
        """Forget all counts."""
        for keeper in self.keepers:
            keeper.counts.clear()

    def lose(self, share: float) -> None:
        """A part of the names is lost."""
        for keeper in self.keepers:
            names = list(keeper.counts)
            for name in self.rng.sample(names, round(share * len(names))):
                del keeper.counts[name]

    def swap(self) -> Callable[[], None]:
        """Another, empty keeper takes its place.

        What is returned brings the old one back, with its old counts.
        """
        old, self.keepers = self.keepers, [Keeper()]
        return lambda: setattr(self, "keepers", old)

    def split(self, on: bool) -> None:
        """Two counters, or one again."""
        self.keepers = [self.keepers[0], Keeper()] if on else [self.keepers[0]]


class Discovery:
    """Tells every living limiter of each change to the server list, `delay` seconds later."""

    def __init__(self, engine, delay: float):
        self.engine, self.delay = engine, delay
        self.seats: list = []

    def changed(self, models: list[ServerModel]) -> None:
        """Tell all limiters of changes, after their delay."""
        entries = [model.entry() for model in models]
        for seat in self.seats:
            seat.later(self.delay, lambda seat=seat: seat.servers(entries, whole=False))
