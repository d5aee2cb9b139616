"""Model of the shared counter: named totals that expire."""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Protocol

from ..model import Outcome
from ..ports import CounterCallback
from .engine import Engine


@dataclass(slots=True)
class Count:
    """A named total in units and the time in seconds at which it expires."""

    total: float
    expires_at: float


class CounterInstance:
    """One instance of the counter. A count expires `lifetime` seconds after its first addition."""

    def __init__(self) -> None:
        self.counts: dict[Hashable, Count] = {}

    def add(self, name: Hashable, amount: float, lifetime: float, now: float) -> float:
        """Add an amount to a count and return its total."""
        count = self.counts.get(name)
        if count is None or count.expires_at <= now:
            count = Count(0.0, now + lifetime)
            self.counts[name] = count
        count.total += amount
        return count.total

    def total(self, name: Hashable) -> float:
        """Return the total of a count, 0 if there is none. An expired count is returned too."""
        count = self.counts.get(name)
        return count.total if count else 0.0


class CounterClient(Protocol):
    """The interface of a limiter that the counter uses."""

    index: int

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` once after `seconds`."""


class EmulatedCounter:
    """The counter that all limiters share: one instance, or two while it is split.

    While it is split, limiters of even index reach the first instance and those of odd index the second.
    `delay` is the mean duration of a call in seconds. A call without an answer ends after `timeout` seconds.
    """

    def __init__(self, engine: Engine, rng: random.Random, delay: float, timeout: float) -> None:
        self.engine = engine
        self.rng = rng
        self.delay = delay
        self.timeout = timeout
        self.instances = [CounterInstance()]
        self.is_down = False
        self.lost_share = 0.0  # Share of the calls that are lost.
        self.calls = 0

    def add(
        self, client: CounterClient, name: int, amount: float, lifetime: float, callback: CounterCallback
    ) -> None:
        """Add to a count for a limiter.

        `callback` is called with the outcome, the total and the duration of the call in seconds.
        """
        self.calls += 1
        if self.is_down or (self.lost_share and self.rng.random() < self.lost_share):
            client.call_later(self.timeout, lambda: callback(Outcome.TIMEOUT, 0.0, self.timeout))
            return
        instance = self.instances[client.index % len(self.instances)]
        total = instance.add(name, amount, lifetime, self.engine.now)
        duration = self.delay * (0.5 + self.rng.random())
        client.call_later(duration, lambda: callback(Outcome.OK, total, duration))

    def wipe(self) -> None:
        """Delete all counts."""
        for instance in self.instances:
            instance.counts.clear()

    def lose(self, share: float) -> None:
        """Delete a random share of the counts of each instance."""
        for instance in self.instances:
            names = list(instance.counts)
            for name in self.rng.sample(names, round(share * len(names))):
                del instance.counts[name]

    def replace_instance(self) -> Callable[[], None]:
        """Replace the instances with an empty one and return a function that restores them."""
        replaced = self.instances
        self.instances = [CounterInstance()]

        def restore() -> None:
            """Restore the instances that were replaced, with their counts."""
            self.instances = replaced

        return restore

    def split(self) -> None:
        """Connect the limiters of odd index to a second, empty instance."""
        self.instances = [self.instances[0], CounterInstance()]

    def heal(self) -> None:
        """Connect all limiters to the first instance and drop the second."""
        self.instances = [self.instances[0]]
