"""Builds and sends a member's datagrams; gossip travels on those that are sent anyway."""

from __future__ import annotations

from typing import Iterable

from . import messages
from .broadcast_queue import BroadcastQueue
from .messages import MemberUpdate, Message, MessageKind
from .port import DatagramTransport
from .settings import MemberContext
from .state import DEAD, LEFT, SUSPECT, UNKNOWN

PIGGYBACK_BYTES = 160  # of gossip on a probe or its answer: these cost most by their number
PACKET_BYTES = 1000  # of updates in a message that carries nothing else; leaves room for the other fields
ACCUSED_STATES = (SUSPECT, DEAD, LEFT)


class MessageSender:
    """Sends messages of one member and counts them."""

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
        """Send a ping, ping-req, ack or nack: `first_updates`, then gossip up to PIGGYBACK_BYTES in all."""
        updates = list(first_updates)
        used_bytes = sum(update.max_encoded_bytes for update in updates)
        updates += self._broadcasts.take(PIGGYBACK_BYTES - used_bytes, len(self._members.present))
        self._send(peer, kind, number, subject, updates)

    def send_ping(self, peer: str, number: int) -> None:
        """Send a ping that tells the peer if it is suspected or thought dead, so that it can refute."""
        self.send_probe_message(peer, MessageKind.PING, number, first_updates=self.accusation(peer))

    def send_gossip(self, peer: str) -> None:
        """Send as much gossip as a packet holds."""
        updates = self._broadcasts.take(PACKET_BYTES, len(self._members.present))
        self._send(peer, MessageKind.GOSSIP, updates=updates)

    def send_state(self, peer: str, updates: list[MemberUpdate], reply_wanted: bool) -> None:
        """Send a part of the known state, without gossip."""
        self._send(peer, MessageKind.PUSH_PULL, int(reply_wanted), updates=updates)

    def send_join(self, peer: str) -> None:
        """Contact an absent member: the own state and what is known of it, without gossip."""
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

    def accusation(self, peer: str) -> list[MemberUpdate]:
        """What is known of a peer that is not seen alive, for itself to refute (Lifeguard's buddy system)."""
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
