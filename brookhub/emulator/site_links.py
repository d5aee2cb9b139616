"""The links between the limiters of an emulated site, and what membership sees of them.

Membership is modelled by an oracle: who is present is known DETECTION_TIME late.
"""

from __future__ import annotations

from random import Random

from ..maintenance import Message
from .engine import Engine
from .site_limiter import SiteLimiter

DETECTION_TIME = 2.0  # s until the others know that a limiter is gone, or back
# Seconds that a message takes: the least, and chance on top
DELAY, SPREAD = 0.0005, 0.001


class SiteLinks:
    """Carries messages between limiters and tells who sees whom.

    `loss`: share of messages that are lost; `side`: one side of a partition, empty where there is none;
    `gone`: the limiters that membership knows to be gone.
    """

    def __init__(self, engine: Engine, rng: Random, limiters: dict[str, SiteLimiter]) -> None:
        self.engine = engine
        self.rng = rng
        self.limiters = limiters
        self.loss = 0.0
        self.side: set[str] = set()
        self.gone: set[str] = set()
        self._views: dict[bool, list[str]] = {}  # who is present, by whether the viewer is in `side`

    def send(self, source: str, peer: str, message: Message) -> None:
        """Carry a message, as far as the links allow."""
        if self.loss and self.rng.random() < self.loss:
            return
        if (source in self.side) != (peer in self.side):
            return
        limiter = self.limiters[peer]
        incarnation = limiter.incarnation
        delay = DELAY + SPREAD * self.rng.random()
        self.engine.call_later(delay, lambda: limiter.deliver(source, message, incarnation))

    def visible_limiters(self, name: str) -> list[str]:
        """The limiters that membership at one sees as present, without itself."""
        in_side = name in self.side
        if in_side not in self._views:
            self._views[in_side] = [
                other for other in self.limiters if other not in self.gone and (other in self.side) == in_side
            ]
        return [other for other in self._views[in_side] if other != name]

    def on_presence_changed(self) -> None:
        """Membership has noticed that another set of limiters is present."""
        self._views.clear()

    def add_gone(self, name: str) -> None:
        """Membership has noticed that a limiter is gone."""
        self.gone.add(name)
        self.on_presence_changed()

    def remove_gone(self, name: str) -> None:
        """Membership has noticed that a limiter is back."""
        self.gone.discard(name)
        self.on_presence_changed()

    def partition(self, side: set[str], seconds: float) -> None:
        """Let two sides hear nothing of each other for a while."""
        self.side = set(side)
        self.engine.call_later(DETECTION_TIME, self.on_presence_changed)
        self.engine.call_later(seconds, self._heal_partition)

    def _heal_partition(self) -> None:
        self.side = set()
        self.on_presence_changed()

    def lose(self, share: float, seconds: float) -> None:
        """Lose a share of the messages for a while."""
        self.loss = share
        self.engine.call_later(seconds, self._stop_loss)

    def _stop_loss(self) -> None:
        self.loss = 0.0
