"""Membership protocol of one limiter: SWIM with Lifeguard's extensions, without I/O.

`Membership` connects the protocol's components and dispatches messages to them. Sources: Das, Gupta,
Motivala, "SWIM" (DSN 2002); Dadgar, Phillips, Currey, "Lifeguard" (DSN-W 2018). Differences from them:
docs/membership.md.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .awareness import LocalHealth, StallDetector
from .broadcast_queue import BroadcastQueue
from .fleet_counts import FleetCounter, FleetCounts
from .gossip import Gossip
from .indirect_probes import IndirectProbes
from .member_list import MemberList
from .messages import DropReason, Message, MessageKind
from .port import MembershipPort
from .probing import Prober, SequenceNumbers
from .push_pull import PushPull
from .sender import MessageSender
from .settings import MemberContext, MembershipSettings, Statistics
from .state import ABSENT_STATES, ALIVE, LEFT, LocalMember, Member
from .suspicion_timeouts import SuspicionTimeouts
from .updates import StateSetter, UpdateHandler

PUSH_PULL = MessageKind.PUSH_PULL
PROBE_KINDS = (MessageKind.PING, MessageKind.ACK)


class Membership:
    """The membership protocol of one member, with its view of the fleet.

    Not thread-safe: the driver makes all calls and timer callbacks under one lock. `peers` are the listed
    names besides the local one; only listed peers are contacted and counted.
    """

    def __init__(self, port: MembershipPort, settings: MembershipSettings, peers: Iterable[str]) -> None:
        random = settings.random()
        self.settings = settings
        self.local = LocalMember(settings.name)
        self.member_list = MemberList(self.local, random)
        self.statistics = Statistics()
        context = MemberContext(settings, port, random, self.local, self.member_list, self.statistics)
        self.broadcasts = BroadcastQueue()
        self._port = port
        self._sender = MessageSender(context, port, self.broadcasts)
        self._health = LocalHealth(settings)
        self._stall_detector = StallDetector(context, self._on_stall)
        self._fleet_counter = FleetCounter(context, port)
        self._push_pull = PushPull(context, self._sender)
        self.gossip = Gossip(context, self.broadcasts, self._sender, self._before_gossip_round)
        sequence_numbers = SequenceNumbers()
        self.indirect_probes = IndirectProbes(context, self._sender, sequence_numbers)
        self._prober = Prober(
            context, self._sender, sequence_numbers, self._health, self._stall_detector, self._on_probe_failed
        )
        state_setter = StateSetter(context, self.gossip, self._prober.order, self._fleet_counter, port)
        self.update_handler = UpdateHandler(
            context, state_setter, self.gossip, self._health, self._stall_detector
        )
        self._suspicion_timeouts = SuspicionTimeouts(context, self._sender, self.update_handler.declare_dead)
        self._message_handlers: dict[MessageKind, Callable[[str, Message], None]] = {
            MessageKind.PING: self._on_ping,
            MessageKind.PING_REQ: self.indirect_probes.on_ping_req,
            MessageKind.ACK: self._on_ack,
            MessageKind.NACK: self._on_nack,
            MessageKind.PUSH_PULL: self._push_pull.on_state_received,
            MessageKind.JOIN: self._on_join,
            MessageKind.PAYLOAD: self._on_payload,
        }
        self.update_peers(peers)

    @property
    def name(self) -> str:
        """The local member's name."""
        return self.settings.name

    @property
    def members(self) -> dict[str, Member]:
        """The listed peers by name. Callers must not change it."""
        return self.member_list.by_name

    @property
    def names(self) -> list[str]:
        """Names of the listed peers in alphabetical order. Callers must not change it."""
        return self.member_list.names

    @property
    def present(self) -> set[str]:
        """Names of the peers that are alive or suspect. Callers must not change it."""
        return self.member_list.present

    @property
    def counts(self) -> FleetCounts | None:
        """Counts of the fleet as last reported to the port; None before `start`."""
        return self._fleet_counter.reported

    def live_names(self) -> list[str]:
        """Return the names of the peers that `FleetCounts.live` counts, in alphabetical order."""
        return self._fleet_counter.live_names()

    def assume_all_alive(self) -> None:
        """Set every listed peer alive, as in an emulated fleet that already runs. Call it before `start`."""
        self.member_list.assume_all_alive()

    def start(self) -> None:
        """Start probing, contacting absent members and exchanging state. Call it once."""
        self._prober.start()
        self._port.call_later(0.0, self._push_pull.join_absent)
        self._push_pull.schedule_exchange()
        self._fleet_counter.schedule_removal_of_unknown()
        self._fleet_counter.report()

    def update_peers(self, peers: Iterable[str]) -> None:
        """Replace the listed peers, after the operator's list was reloaded."""
        self.member_list.replace(peers)
        self._prober.order.remove_unlisted()
        self._fleet_counter.recount()
        if self._fleet_counter.reported is not None:
            self._fleet_counter.schedule_removal_of_unknown()
            self._fleet_counter.report()

    def leave(self) -> None:
        """Announce a planned shutdown, so that peers need not detect it. Nothing is sent afterwards."""
        if self.local.stopped:
            return
        self.local.state = LEFT
        self.gossip.broadcast(self.member_list.current_update(self.name))
        self.gossip.send_leave()
        self.local.stopped = True

    def send_payload(self, topic: int, data: bytes, peers: Iterable[str] | None = None) -> None:
        """Send the bytes of another component to `peers`, or to all present peers.

        Each peer gets one datagram, which may be lost. Raises ValueError if the message exceeds
        MAX_DATAGRAM_BYTES; up to MAX_PAYLOAD_BYTES of `data` always fit.
        """
        receivers = sorted(self.present) if peers is None else peers
        for peer in receivers:
            if peer in self.members and not self.local.stopped:
                self._sender.send_payload(peer, topic, data)

    def on_message(self, peer: str, message: Message) -> None:
        """Handle a decoded message that was received from the address listed for `peer`."""
        if self.local.stopped:
            return
        if message.source != peer or peer not in self.members:
            self.statistics.dropped[DropReason.WRONG_SOURCE] += 1
            return
        self._stall_detector.check()
        was_absent = self.members[peer].state in ABSENT_STATES
        from_push_pull = message.kind is PUSH_PULL
        for update in message.updates:
            self.update_handler.apply_update(update, from_push_pull)
        handle = self._message_handlers.get(message.kind)
        if handle is not None:
            handle(peer, message)
        # After a network partition both sides send each other their full state.
        if was_absent and message.kind in PROBE_KINDS:
            self._push_pull.send_full_state(peer)

    def _on_ping(self, peer: str, message: Message) -> None:
        """Answer a ping.

        If the sender's updates report this member as not alive, the answer contains its current state, even
        if that is no longer queued for gossip.
        """
        updates = self._sender.updates_to_refute(peer)
        if any(update.name == self.name and update.state != ALIVE for update in message.updates):
            updates.append(self.member_list.current_update(self.name))
        number = message.sequence_number
        self._sender.send_probe_message(peer, MessageKind.ACK, number, first_updates=updates)

    def _on_ack(self, peer: str, message: Message) -> None:
        """Handle the ack of a ping that was sent for another member, or of this member's probe."""
        if not self.indirect_probes.forward_ack(peer, message):
            self._prober.on_ack(peer, message)

    def _on_nack(self, peer: str, message: Message) -> None:
        self._prober.on_nack(message)

    def _on_join(self, peer: str, message: Message) -> None:
        """Send the full state to a joining member, including updates about it, which only it can refute."""
        self._push_pull.send_full_state(peer)

    def _on_payload(self, peer: str, message: Message) -> None:
        self._port.on_payload_received(peer, message.topic, message.payload)

    def _on_probe_failed(self, member: Member) -> None:
        self.update_handler.suspect(member)

    def _on_stall(self) -> None:
        """After a stall of this process, discard its probe and restart the timeouts of suspicions.

        Other members are not at fault for what timed out during the stall. The health score is set
        to the worst.
        """
        self._health.set_worst_score()
        self._prober.cancel_probe()
        self._suspicion_timeouts.restart()

    def _before_gossip_round(self) -> None:
        """Check for a stall, then for suspicions that timed out; a stall must not cause these timeouts."""
        self._stall_detector.check()
        self._suspicion_timeouts.check()
