"""Application of updates about members, and refutation of wrong ones about the local member."""

from __future__ import annotations

from .awareness import LocalHealth, StallDetector
from .fleet_counts import FleetCounter
from .gossip import Gossip
from .messages import DropReason, MemberUpdate
from .port import MembershipListener
from .probing import ProbeOrder
from .settings import MemberContext
from .state import ALIVE, DEAD, LEFT, PRESENT_STATES, SUSPECT, Member, MemberState
from .suspicion import Suspicion


class StateSetter:
    """Sets the states of members and updates counts, suspicions, probe order and gossip accordingly."""

    def __init__(
        self,
        context: MemberContext,
        gossip: Gossip,
        probe_order: ProbeOrder,
        fleet_counter: FleetCounter,
        listener: MembershipListener,
    ) -> None:
        self._clock = context.clock
        self._members = context.members
        self._gossip = gossip
        self._probe_order = probe_order
        self._fleet_counter = fleet_counter
        self._listener = listener

    def set_state(self, member: Member, update: MemberUpdate) -> None:
        """Set a member's state from an update that supersedes the known state, and gossip the update."""
        old_state = member.state
        member.state = update.state
        member.incarnation = update.incarnation
        self._update_suspicion(update)
        self._members.update_presence(member)
        changed = old_state != member.state
        if changed:
            self._fleet_counter.on_state_changed(member)
        self._gossip.broadcast(update)
        if old_state not in PRESENT_STATES and member.state in PRESENT_STATES:
            self._probe_order.insert(member)
        if changed:
            self._listener.on_member_state_changed(member.name, member.state)
            self._fleet_counter.report()

    def _update_suspicion(self, update: MemberUpdate) -> None:
        """Start a new suspicion, or end the running one."""
        suspicions = self._members.suspicions
        if update.state == SUSPECT:
            suspicions[update.name] = Suspicion(update.suspected_by, self._clock.now)
        else:
            suspicions.pop(update.name, None)


class UpdateHandler:
    """Applies, ignores or refutes each update, whether received or found by the local member."""

    def __init__(
        self,
        context: MemberContext,
        state_setter: StateSetter,
        gossip: Gossip,
        health: LocalHealth,
        stall_detector: StallDetector,
    ) -> None:
        self._settings = context.settings
        self._local = context.local
        self._members = context.members
        self._statistics = context.statistics
        self._state_setter = state_setter
        self._gossip = gossip
        self._health = health
        self._stall_detector = stall_detector

    def apply_update(self, update: MemberUpdate, from_push_pull: bool = False) -> None:
        """Apply an update if it is newer than the known state; refute it if it is about the local member."""
        if update.name == self._local.name:
            self._refute(update)
            return
        member = self._members.by_name.get(update.name)
        if member is None:
            self._statistics.dropped[DropReason.UNLISTED_MEMBER] += 1
            return
        if self._may_be_outdated(update, member, from_push_pull):
            update = update._replace(state=SUSPECT, suspected_by=self._local.name)
        if member.is_superseded_by(update.state, update.incarnation):
            self._state_setter.set_state(member, update)
        elif update.state == member.state == SUSPECT:
            self._confirm_suspicion(member, update)

    def suspect(self, member: Member) -> None:
        """Suspect a member that did not answer a probe."""
        if member.state in PRESENT_STATES:
            self._apply_local_finding(member, SUSPECT)

    def declare_dead(self, member: Member) -> None:
        """Declare a member dead that did not refute its suspicion in time."""
        self._apply_local_finding(member, DEAD)

    def _apply_local_finding(self, member: Member, state: MemberState) -> None:
        self.apply_update(MemberUpdate(member.name, state, member.incarnation, self._local.name))

    def _may_be_outdated(self, update: MemberUpdate, member: Member, from_push_pull: bool) -> bool:
        """Return whether a reported death is to start only a suspicion, which the member can still refute.

        True for a death that was received by push-pull, which may be as old as a network partition, and for
        one received while recovering from a stall, when it may have waited unread. Plain SWIM applies both.
        """
        if not self._settings.lifeguard or update.state != DEAD:
            return False
        if member.state not in PRESENT_STATES or update.suspected_by == self._local.name:
            return False
        return from_push_pull or self._stall_detector.is_recovering

    def _confirm_suspicion(self, member: Member, update: MemberUpdate) -> None:
        """Count another accuser of a suspect and gossip its report (Lifeguard only)."""
        if not self._settings.lifeguard or update.incarnation != member.incarnation:
            return
        if self._members.suspicions[member.name].confirm(update.suspected_by):
            self._gossip.broadcast(update)

    def _refute(self, update: MemberUpdate) -> None:
        """Refute an update about the local member that is wrong or of an earlier run, with a new incarnation.

        A member that has left refutes no updates.
        """
        local = self._local
        reports_alive = update.state == ALIVE
        is_outdated = update.incarnation < local.incarnation
        is_current = reports_alive and update.incarnation == local.incarnation
        if is_outdated or is_current or local.state == LEFT:
            return
        local.incarnation = update.incarnation + 1
        self._statistics.refutations += 1
        if not reports_alive:
            self._health.degrade()
        self._gossip.broadcast(self._members.current_update(local.name))
