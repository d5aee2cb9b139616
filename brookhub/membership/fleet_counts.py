"""Counts of the fleet's members: new members count at once, lost ones until SHRINK_DELAY has passed."""

from __future__ import annotations

from typing import NamedTuple

from .port import MembershipListener
from .settings import MemberContext
from .state import LEFT, PRESENT_STATES, UNKNOWN, Member

# Seconds for which a lost member still counts: longer than a stall or the outage of a flapping link.
SHRINK_DELAY = 5.0


class FleetCounts(NamedTuple):
    """Counts of the fleet as one member sees it.

    Attributes:
        live: members that are present, or were within the last SHRINK_DELAY seconds; includes the local one.
        rank: position of the local member among the live ones in the order of their names, from 0.
        possible: listed members that are not known to have left; includes the local one.
    """

    live: int
    rank: int
    possible: int


class FleetCounter:
    """Updates the counts incrementally when a member changes, and reports each change to the listener."""

    def __init__(self, context: MemberContext, listener: MembershipListener) -> None:
        self._clock = context.clock
        self._local = context.local
        self._members = context.members
        self._listener = listener
        self._live_peers = 0
        self._live_peers_before_local = 0  # Live peers whose names sort before the local one.
        self._possible_peers = 0
        self.reported: FleetCounts | None = None  # None before the first report.

    def recount(self) -> None:
        """Count all listed members again, after the list changed."""
        peers = self._members.by_name.values()
        live = [peer.name for peer in peers if peer.counted_live]
        self._live_peers = len(live)
        self._live_peers_before_local = sum(name < self._local.name for name in live)
        self._possible_peers = sum(peer.counted_possible for peer in peers)

    def live_names(self) -> list[str]:
        """Return the names of the peers that are counted as live, in alphabetical order."""
        return [name for name in self._members.names if self._members.by_name[name].counted_live]

    def report(self) -> None:
        """Report the counts to the listener if they changed."""
        counts = FleetCounts(1 + self._live_peers, self._live_peers_before_local, 1 + self._possible_peers)
        if counts == self.reported or self._local.stopped:
            return
        self.reported = counts
        self._listener.on_membership_changed(counts.live, counts.rank, counts.possible)

    def on_state_changed(self, member: Member) -> None:
        """Count a member that became present; schedule the removal of a lost one from the counts."""
        member.state_changes += 1
        state_changes = member.state_changes
        if member.state in PRESENT_STATES:
            self._set_counted(member, live=True, possible=True)
        else:
            self._clock.call_later(SHRINK_DELAY, lambda: self._on_shrink_delay_over(member, state_changes))

    def schedule_removal_of_unknown(self) -> None:
        """Stop counting members as live that are still unknown after SHRINK_DELAY."""
        self._clock.call_later(SHRINK_DELAY, self._remove_unknown)

    def _on_shrink_delay_over(self, member: Member, state_changes: int) -> None:
        """Stop counting a lost member as live, unless its state changed again during the delay."""
        if state_changes != member.state_changes or self._local.stopped:
            return
        self._set_counted(member, live=False, possible=member.state != LEFT)
        self.report()

    def _remove_unknown(self) -> None:
        """Stop counting unknown members as live; they stay in `possible`, as they did not leave."""
        for member in self._members.by_name.values():
            if member.state == UNKNOWN:
                self._set_counted(member, live=False, possible=True)
        self.report()

    def _set_counted(self, member: Member, live: bool, possible: bool) -> None:
        """Change how a member is counted, unless it was removed from the list in the meantime."""
        if self._members.by_name.get(member.name) is not member:
            return
        live_change = live - member.counted_live
        self._live_peers += live_change
        if member.name < self._local.name:
            self._live_peers_before_local += live_change
        self._possible_peers += possible - member.counted_possible
        member.counted_live = live
        member.counted_possible = possible
