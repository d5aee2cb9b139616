"""All-to-all heartbeats, the plainest way: a baseline with Membership's face, for measurements only."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Iterable

from . import messages
from .core import MembershipPort
from .members import ABSENT, ALIVE, DEAD, Member
from .messages import NEWS, Message, encode

MISSED = 6  # periods without a heartbeat until a member counts as dead


class Heartbeats:
    """Each member sends to each other once a period; who has not heard it for MISSED counts it as dead."""

    def __init__(
        self,
        port: MembershipPort,
        fleet: str,
        name: str,
        peers: Iterable[str],
        seed: int,
        period: float = 0.25,
    ):
        self.port, self.fleet, self.name, self.period = port, fleet, name, period
        self.rng, self.over = Random(f"{seed}/{name}"), False
        self.counts: Counter[str] = Counter()
        self.names = sorted(set(peers) - {name})
        self.members = {one: Member(one) for one in self.names}
        self.present: set[str] = set()
        self.heard: dict[str, float] = {}

    def start(self) -> None:
        """Begin to send."""
        self.port.later(self.period * self.rng.random(), self.tick)

    def tick(self) -> None:
        """Send to all, and see who was not heard."""
        if self.over:
            return
        data = encode(Message(self.fleet, messages.VERSION, NEWS, self.name))
        for name in self.names:
            self.counts["datagrams"] += 1
            self.counts["bytes"] += len(data)
            self.port.send(name, data)
        late = self.port.now - MISSED * self.period
        for name in [name for name in self.present if self.heard[name] < late]:
            self.become(name, DEAD)
        self.port.later(self.period, self.tick)

    def received(self, peer: str, message: Message) -> None:
        """A message came from a peer."""
        if not self.over and peer in self.members:
            self.heard[peer] = self.port.now
            if self.members[peer].state in ABSENT:
                self.become(peer, ALIVE)

    def become(self, name: str, state: int) -> None:
        """A member is in another state now."""
        self.members[name].state = state
        (self.present.add if state == ALIVE else self.present.discard)(name)
        self.port.changed(name, state)

    def leave(self) -> None:
        """Send nothing more; the others find out."""
        self.over = True
