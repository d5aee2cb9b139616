"""States of members and their order of precedence (SWIM section 4.2; `left` as in memberlist)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class MemberState(IntEnum):
    """State of a member. Values 1 to 4 are on the wire; UNKNOWN is local and never sent."""

    UNKNOWN = 0  # listed, but nothing was received about it since this member started
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4  # shut down as planned; final until a higher incarnation


# The members as module constants: in Python 3.11 each look-up on the class costs as much as a short function
UNKNOWN = MemberState.UNKNOWN
ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT
DEAD = MemberState.DEAD
LEFT = MemberState.LEFT

PRESENT_STATES = (ALIVE, SUSPECT)
ABSENT_STATES = (DEAD, UNKNOWN)  # contacted now and then; one that left is not
UNKNOWN_INCARNATION = -1  # below any incarnation on the wire


def _supersedes(state: MemberState, incarnation: int, old_state: MemberState, old_incarnation: int) -> bool:
    """Whether a state with its incarnation takes precedence over an older pair.

    A higher incarnation always does. With equal incarnations suspect overrides alive, dead overrides alive
    and suspect, and left overrides all others.
    """
    if incarnation != old_incarnation:
        return incarnation > old_incarnation
    if state == ALIVE:
        return False
    if state == SUSPECT:
        return old_state == ALIVE
    if state == DEAD:
        return old_state in PRESENT_STATES
    return old_state != LEFT


@dataclass(eq=False)
class Member:
    """What the local member knows about one listed peer. Compared by identity.

    Attributes:
        state_changes: number of state changes, to recognise an outdated timer.
        counted_live: whether it counts in `FleetCounts.live`; cleared only some time after it went.
        counted_possible: whether it counts in `FleetCounts.possible`; cleared by a planned end only.
    """

    name: str
    state: MemberState = UNKNOWN
    incarnation: int = UNKNOWN_INCARNATION
    state_changes: int = 0
    counted_live: bool = True
    counted_possible: bool = True

    def is_superseded_by(self, state: MemberState, incarnation: int) -> bool:
        """Whether an update with this state and incarnation is newer than what is known."""
        return _supersedes(state, incarnation, self.state, self.incarnation)

    def supersedes(self, state: MemberState, incarnation: int) -> bool:
        """Whether what is known is newer than an update with this state and incarnation."""
        return _supersedes(self.state, self.incarnation, state, incarnation)


@dataclass
class LocalMember:
    """The local member's own state, as it tells it to others."""

    name: str
    state: MemberState = ALIVE
    incarnation: int = 0
    stopped: bool = False  # has left: sends, receives and schedules nothing any more
