"""Links between the limiters of an emulated site, and the view of membership on them.

Membership is modelled by an oracle: the absence of a limiter is detected after DETECTION_TIME, its return
almost at once.
"""

from __future__ import annotations

from random import Random

from ..maintenance import Message
from .engine import Engine
from .site_limiter import SiteLimiter

DETECTION_TIME = 2.0  # Seconds until the other limiters detect that a limiter is gone or cut off.
# Delay in seconds of a message: MIN_DELAY plus a random part of up to DELAY_SPREAD.
MIN_DELAY, DELAY_SPREAD = 0.0005, 0.001


class SiteLinks:
    """Links that carry messages between limiters, and the limiters that each limiter sees as present.

    `loss` is the share of messages that are lost. `side` is one side of a partition, empty if there is none.
    `gone` holds the limiters that membership has detected as gone.
    """

    def __init__(self, engine: Engine, rng: Random, limiters: dict[str, SiteLimiter]) -> None:
        self.engine = engine
        self.rng = rng
        self.limiters = limiters
        self.loss = 0.0
        self.side: set[str] = set()
        self.gone: set[str] = set()
        # Limiters that are seen as present, by whether the observer is in `side`.
        self._views: dict[bool, list[str]] = {}

    def send(self, source: str, peer: str, message: Message) -> None:
        """Send a message, which a partition may block and which may be lost."""
        if self.loss and self.rng.random() < self.loss:
            return
        if (source in self.side) != (peer in self.side):
            return
        limiter = self.limiters[peer]
        incarnation = limiter.incarnation
        delay = MIN_DELAY + DELAY_SPREAD * self.rng.random()
        self.engine.call_later(delay, lambda: limiter.deliver(source, message, incarnation))

    def visible_limiters(self, name: str) -> list[str]:
        """Return the other limiters that the membership of a limiter sees as present."""
        in_side = name in self.side
        if in_side not in self._views:
            self._views[in_side] = [
                other for other in self.limiters if other not in self.gone and (other in self.side) == in_side
            ]
        return [other for other in self._views[in_side] if other != name]

    def on_presence_changed(self) -> None:
        """Discard the cached views after membership has detected a change."""
        self._views.clear()

    def add_gone(self, name: str) -> None:
        """Record that membership has detected that a limiter is gone."""
        self.gone.add(name)
        self.on_presence_changed()

    def remove_gone(self, name: str) -> None:
        """Record that membership has detected that a limiter is back."""
        self.gone.discard(name)
        self.on_presence_changed()

    def partition(self, side: set[str], seconds: float) -> None:
        """Block all messages between `side` and the other limiters for `seconds`."""
        self.side = set(side)
        self.engine.call_later(DETECTION_TIME, self.on_presence_changed)
        self.engine.call_later(seconds, self._heal_partition)

    def _heal_partition(self) -> None:
        self.side = set()
        self.on_presence_changed()

    def lose(self, share: float, seconds: float) -> None:
        """Drop a share of the messages for `seconds`."""
        self.loss = share
        self.engine.call_later(seconds, self._stop_loss)

    def _stop_loss(self) -> None:
        self.loss = 0.0
