"""States of members and their order of precedence (SWIM section 4.2; `left` as in memberlist)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class MemberState(IntEnum):
    """State of a member. Values 1 to 4 are on the wire; UNKNOWN is local and never sent."""

    UNKNOWN = 0  # Listed, but no update about it was received since this member started.
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4  # Shut down as planned. Only an update with a higher incarnation changes this state.


# The enum's values as module constants: in Python 3.11 each look-up on the class costs as much as a call of a
# short function.
UNKNOWN = MemberState.UNKNOWN
ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT
DEAD = MemberState.DEAD
LEFT = MemberState.LEFT

PRESENT_STATES = (ALIVE, SUSPECT)
# Members in these states are contacted from time to time; those that left are not.
ABSENT_STATES = (DEAD, UNKNOWN)
UNKNOWN_INCARNATION = -1  # Lower than any incarnation on the wire.


def _supersedes(state: MemberState, incarnation: int, old_state: MemberState, old_incarnation: int) -> bool:
    """Return whether a state with its incarnation takes precedence over an older pair.

    A higher incarnation always takes precedence. With equal incarnations, suspect overrides alive, dead
    overrides alive and suspect, and left overrides all others.
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
    """State of one listed peer as the local member knows it. Compared by identity.

    Attributes:
        state_changes: number of state changes, by which an outdated timer is recognized.
        counted_live: whether it counts in `FleetCounts.live`; cleared SHRINK_DELAY after the peer was lost.
        counted_possible: whether it counts in `FleetCounts.possible`; cleared only by a planned shutdown.
    """

    name: str
    state: MemberState = UNKNOWN
    incarnation: int = UNKNOWN_INCARNATION
    state_changes: int = 0
    counted_live: bool = True
    counted_possible: bool = True

    def is_superseded_by(self, state: MemberState, incarnation: int) -> bool:
        """Return whether an update with this state and incarnation is newer than the known state."""
        return _supersedes(state, incarnation, self.state, self.incarnation)

    def supersedes(self, state: MemberState, incarnation: int) -> bool:
        """Return whether the known state is newer than an update with this state and incarnation."""
        return _supersedes(self.state, self.incarnation, state, incarnation)


@dataclass
class LocalMember:
    """State of the local member, as it is sent to others."""

    name: str
    state: MemberState = ALIVE
    incarnation: int = 0
    stopped: bool = False  # True after `leave`: nothing is sent, received or scheduled any more.
