"""What is known of each member."""

from __future__ import annotations

from dataclasses import dataclass, field

ALIVE, SUSPECT, DEAD, LEFT = 1, 2, 3, 4  # on the wire
UNHEARD = 0  # listed, and nothing heard of it yet: never sent
PRESENT, ABSENT = (ALIVE, SUSPECT), (DEAD, UNHEARD)
WORDS = {ALIVE: "alive", SUSPECT: "suspect", DEAD: "dead", LEFT: "left", UNHEARD: "unheard"}


@dataclass(eq=False)
class Member:
    """One peer.

    Its state, incarnation, and while it is suspected, since when (s), when it was last asked itself, and by
    whom.
    """

    name: str
    state: int = UNHEARD
    incarnation: int = -1
    since: float = 0.0
    asked: float = 0.0
    by: dict[str, None] = field(default_factory=dict)
    moves: int = 0  # how often its presence changed
    counted: bool = True  # in the fleet's live number: grown at once, shrunk late
    sure: bool = True  # in the number of those not known to have left

    def overrides(self, state: int, incarnation: int) -> bool:
        """Whether a state with an incarnation is newer than what is known, in SWIM's order; left is final."""
        if state == ALIVE:
            return incarnation > self.incarnation
        if state == SUSPECT:
            return incarnation > self.incarnation or incarnation == self.incarnation and self.state == ALIVE
        if state == DEAD:
            return incarnation > self.incarnation or incarnation == self.incarnation and self.state in PRESENT
        return incarnation > self.incarnation or incarnation == self.incarnation and self.state != LEFT
