"""Push-pull state exchange, which repairs missed gossip, adds new members and merges network partitions."""

from __future__ import annotations

from .messages import MemberUpdate, Message
from .sender import PACKET_BYTES, MessageSender
from .settings import MemberContext

EXCHANGE_INTERVAL = 2.0  # Average seconds between two exchanges of a state slice with one member.
# Maximum bytes of updates in a slice. A fixed size makes the cost independent of the size of the fleet.
SLICE_BYTES = 450
# Average seconds between contacts with absent members. The sides of a partition find each other within it.
JOIN_INTERVAL = 1.0
# Average seconds between these contacts within STARTUP_TIME, while most members are absent.
STARTUP_JOIN_INTERVAL = 0.15
STARTUP_TIME = 3.0  # Seconds after the start in which STARTUP_JOIN_INTERVAL may apply.


class PushPull:
    """Sends slices of the known state at intervals, or all of it to a joining or returning member.

    It also contacts absent members.
    """

    def __init__(self, context: MemberContext, sender: MessageSender) -> None:
        self._clock = context.clock
        self._random = context.random
        self._local = context.local
        self._members = context.members
        self._sender = sender
        self._next_slice_start = 0  # Index into the names of the known members.
        self._started_at = context.clock.now

    def schedule_exchange(self) -> None:
        """Schedule the next exchange of a slice with a random member, after a random interval."""
        self._clock.call_later(EXCHANGE_INTERVAL * (0.5 + self._random.random()), self._exchange)

    def join_absent(self) -> None:
        """Contact a random absent member, and schedule the next contact.

        This merges the sides of a partition, and finds restarted machines and members of a starting fleet.
        """
        if self._local.stopped:
            return
        absent = self._members.absent_names()
        if absent:
            self._sender.send_join(self._random.choice(absent))
        interval = JOIN_INTERVAL
        starting = self._clock.now - self._started_at < STARTUP_TIME
        if starting and 2 * len(absent) > len(self._members.names):
            interval = STARTUP_JOIN_INTERVAL
        self._clock.call_later(interval * (0.5 + self._random.random()), self.join_absent)

    def send_full_state(self, peer: str) -> None:
        """Send the states of all known members, in as many messages as needed."""
        updates = self._leading_updates(peer)
        used_bytes = 0
        for name in self._names_for(peer):
            update = self._members.current_update(name)
            used_bytes += update.max_encoded_bytes
            if used_bytes > PACKET_BYTES:
                self._sender.send_state(peer, updates, reply_wanted=False)
                updates = []
                used_bytes = update.max_encoded_bytes
            updates.append(update)
        self._sender.send_state(peer, updates, reply_wanted=False)

    def on_state_received(self, peer: str, message: Message) -> None:
        """Reply with the states that are newer here, if the sender wants a reply.

        The received updates must have been applied before.
        """
        newer = [
            self._members.current_update(update.name)
            for update in message.updates
            if self._members.knows_newer(update)
        ]
        if message.reply_wanted and newer:
            self._sender.send_state(peer, newer, reply_wanted=False)

    def _exchange(self) -> None:
        """Send a slice to a random present member, and schedule the next exchange."""
        if self._local.stopped:
            return
        for peer in self._members.sample(1, self._members.present):
            self._send_slice(peer)
        self.schedule_exchange()

    def _send_slice(self, peer: str) -> None:
        """Send the next SLICE_BYTES of the known state; the peer replies with states that are newer there."""
        updates = self._leading_updates(peer)
        names = self._names_for(peer)
        used_bytes = 0
        for step in range(len(names)):
            index = (self._next_slice_start + step) % len(names)
            update = self._members.current_update(names[index])
            used_bytes += update.max_encoded_bytes
            if used_bytes > SLICE_BYTES:
                self._next_slice_start = index
                break
            updates.append(update)
        self._sender.send_state(peer, updates, reply_wanted=True)

    def _names_for(self, peer: str) -> list[str]:
        """Return the names of the known members other than the receiver `peer`."""
        return [name for name in self._members.known_names() if name != peer]

    def _leading_updates(self, peer: str) -> list[MemberUpdate]:
        """Return the local state, and the known state of the peer if the peer may have to refute it."""
        return [self._members.current_update(self._local.name), *self._sender.updates_to_refute(peer)]
