"""How many members there are: who comes counts at once, who goes only once it has been gone for a while."""

from __future__ import annotations

from typing import Iterable, NamedTuple

from .members import Member


class FleetNumbers(NamedTuple):
    """What the rest of the program is told of the fleet."""

    live: int  # members that are there, this one included
    rank: int  # this one's place among them by name, from 0
    sure: int  # members that are not known to have left


class Tally:
    """The numbers of a fleet, kept up to date member by member. `name`: of the member that counts."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.live = self.below = self.sure = 0

    def recount(self, members: Iterable[Member]) -> None:
        """Count all anew: the list has changed."""
        members = list(members)
        self.live = sum(one.counted for one in members)
        self.below = sum(one.counted and one.name < self.name for one in members)
        self.sure = sum(one.sure for one in members)

    def set(self, member: Member, counted: bool, sure: bool) -> None:
        """Whether a member counts as there, and as one that is not known to have left."""
        self.live += counted - member.counted
        self.below += (member.name < self.name) * (counted - member.counted)
        self.sure += sure - member.sure
        member.counted, member.sure = counted, sure

    def numbers(self) -> FleetNumbers:
        """The numbers as they are."""
        return FleetNumbers(1 + self.live, self.below, 1 + self.sure)
