"""Pings that this member sends as a helper, for ping-reqs of peers (SWIM section 3.1; Lifeguard's nacks)."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Message, MessageKind
from .probing import ACK_TIMEOUT_INTERVALS, SequenceNumbers
from .sender import MessageSender
from .settings import MemberContext

# Limit of pending ping-reqs: MAX_REQUESTS_PER_MEMBER per listed member plus MIN_MAX_REQUESTS, so that a
# small fleet has a sufficient limit too.
MAX_REQUESTS_PER_MEMBER = 4
MIN_MAX_REQUESTS = 16


@dataclass(frozen=True)
class PingRequest:
    """An accepted ping-req: the peer that sent it, and the sequence number of that peer's probe."""

    requester: str
    sequence_number: int


class IndirectProbes:
    """Pings members for peers and forwards the acks. Sends a nack if no ack was received in time."""

    def __init__(
        self, context: MemberContext, sender: MessageSender, sequence_numbers: SequenceNumbers
    ) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._local = context.local
        self._members = context.members
        self._sender = sender
        self._sequence_numbers = sequence_numbers
        # The keys of both are the sequence numbers of this member's pings. `_overdue` holds requests whose
        # ack timed out: a late ack is still forwarded for one probe interval.
        self._waiting: dict[int, PingRequest] = {}
        self._overdue: dict[int, PingRequest] = {}

    def __len__(self) -> int:
        """Return the number of pending requests."""
        return len(self._waiting) + len(self._overdue)

    def on_ping_req(self, peer: str, message: Message) -> None:
        """Ping a member for a peer, unless the member is not listed or too many requests are pending."""
        max_requests = MAX_REQUESTS_PER_MEMBER * len(self._members.by_name) + MIN_MAX_REQUESTS
        if message.subject not in self._members.by_name or len(self) >= max_requests:
            return
        number = self._sequence_numbers.next()
        self._waiting[number] = PingRequest(peer, message.sequence_number)
        self._sender.send_ping(message.subject, number)
        ack_timeout = ACK_TIMEOUT_INTERVALS * self._settings.probe_interval
        self._clock.call_later(ack_timeout, lambda: self._on_ack_timeout(number))

    def forward_ack(self, peer: str, message: Message) -> bool:
        """Forward an ack to the peer that requested the ping; return false if no peer requested it."""
        number = message.sequence_number
        request = self._waiting.pop(number, None) or self._overdue.pop(number, None)
        if request is None:
            return False
        self._sender.send_probe_message(
            request.requester, MessageKind.ACK, request.sequence_number, subject=peer
        )
        return True

    def _on_ack_timeout(self, number: int) -> None:
        """Send a nack to the requester; it shows the requester that this member, at least, is reachable."""
        request = self._waiting.pop(number, None)
        if request is None or self._local.stopped:
            return
        if self._settings.lifeguard:
            self._sender.send_probe_message(request.requester, MessageKind.NACK, request.sequence_number)
        self._overdue[number] = request
        self._clock.call_later(self._settings.probe_interval, lambda: self._discard_overdue(number))

    def _discard_overdue(self, number: int) -> None:
        """Discard a request whose ack timed out one probe interval ago: its ack is no longer forwarded."""
        self._overdue.pop(number, None)
