"""Sending of a member's datagrams; gossip is piggybacked on probe messages."""

from __future__ import annotations

from collections.abc import Iterable

from . import messages
from .broadcast_queue import BroadcastQueue
from .messages import MemberUpdate, Message, MessageKind
from .port import DatagramTransport
from .settings import MemberContext
from .state import DEAD, LEFT, SUSPECT, UNKNOWN

# Maximum bytes of updates on a probe or its answer. These are the most frequent messages, so their size
# matters most.
PIGGYBACK_BYTES = 160
# Maximum bytes of updates in a message that contains only updates; leaves space for the other fields.
PACKET_BYTES = 1000
ACCUSED_STATES = (SUSPECT, DEAD, LEFT)


class MessageSender:
    """Encodes, sends and counts the messages of one member."""

    def __init__(
        self, context: MemberContext, transport: DatagramTransport, broadcasts: BroadcastQueue
    ) -> None:
        self._settings = context.settings
        self._members = context.members
        self._statistics = context.statistics
        self._transport = transport
        self._broadcasts = broadcasts

    def send_probe_message(
        self,
        peer: str,
        kind: MessageKind,
        number: int,
        subject: str = "",
        first_updates: Iterable[MemberUpdate] = (),
    ) -> None:
        """Send a ping, ping-req, ack or nack with updates: `first_updates`, then gossip.

        Gossip is added until all updates together reach PIGGYBACK_BYTES.
        """
        updates = list(first_updates)
        used_bytes = sum(update.max_encoded_bytes for update in updates)
        updates += self._broadcasts.take_updates(PIGGYBACK_BYTES - used_bytes, len(self._members.present))
        self._send(peer, kind, number, subject, updates)

    def send_ping(self, peer: str, number: int) -> None:
        """Send a ping. If the peer is not seen as alive, its known state is included for it to refute."""
        self.send_probe_message(peer, MessageKind.PING, number, first_updates=self.updates_to_refute(peer))

    def send_gossip(self, peer: str) -> None:
        """Send as much queued gossip as fits into a packet."""
        updates = self._broadcasts.take_updates(PACKET_BYTES, len(self._members.present))
        self._send(peer, MessageKind.GOSSIP, updates=updates)

    def send_state(self, peer: str, updates: list[MemberUpdate], reply_wanted: bool) -> None:
        """Send a part of the known state, without gossip."""
        self._send(peer, MessageKind.PUSH_PULL, int(reply_wanted), updates=updates)

    def send_join(self, peer: str) -> None:
        """Contact an absent member, with the local state and the known state of that member but no gossip."""
        own = self._members.current_update(self._settings.name)
        updates = [own]
        if self._members.by_name[peer].state != UNKNOWN:
            updates.append(self._members.current_update(peer))
        self._send(peer, MessageKind.JOIN, own.incarnation, updates=updates)

    def send_payload(self, peer: str, topic: int, data: bytes) -> None:
        """Send a payload of another component."""
        settings = self._settings
        message = Message(
            settings.fleet, messages.VERSION, MessageKind.PAYLOAD, settings.name, topic, payload=data
        )
        self._encode_and_send(peer, message)

    def updates_to_refute(self, peer: str) -> list[MemberUpdate]:
        """Return the known state of a peer that is not seen as alive, for the peer to refute.

        This is Lifeguard's buddy system. The list is empty for other peers and in plain SWIM.
        """
        member = self._members.by_name.get(peer)
        if member is None or member.state not in ACCUSED_STATES or not self._settings.lifeguard:
            return []
        return [self._members.current_update(peer)]

    def _send(
        self,
        peer: str,
        kind: MessageKind,
        number: int = 0,
        subject: str = "",
        updates: list[MemberUpdate] | None = None,
    ) -> None:
        settings = self._settings
        message = Message(
            settings.fleet, messages.VERSION, kind, settings.name, number, subject, updates or []
        )
        self._encode_and_send(peer, message)

    def _encode_and_send(self, peer: str, message: Message) -> None:
        data = messages.encode(message)
        self._statistics.datagrams_sent += 1
        self._statistics.bytes_sent += len(data)
        self._transport.send(peer, data)
