"""Datagrams between limiters: msgpack arrays of fields (msgspec), of up to MAX_DATAGRAM_BYTES.

The size is checked before decoding; the schema checks types, ranges and lengths. The positions and types of
the fields are the wire format of VERSION; their names are not sent.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import Annotated, NamedTuple

import msgspec

from .state import UNKNOWN, MemberState

VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # Below the MTU of any path, so that no datagram is fragmented.
MAX_UPDATES = 120  # Maximum updates in a message; more do not fit into MAX_DATAGRAM_BYTES.
MAX_PAYLOAD_BYTES = 1000  # Fits into MAX_DATAGRAM_BYTES together with the other fields.
UPDATE_OVERHEAD_BYTES = 14  # Maximum size of an encoded update without its two names.

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
OptionalName = Annotated[str, msgspec.Meta(max_length=32)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**40)]


class MessageKind(IntEnum):
    """Kind of a message. The values are on the wire."""

    PING = 1
    PING_REQ = 2  # Asks a helper to ping `subject`.
    ACK = 3  # Answers a ping. If a helper forwards it, `subject` is the member that answered.
    NACK = 4  # Sent by a helper whose ping was not answered in time.
    GOSSIP = 5  # Contains only updates.
    PUSH_PULL = 6  # Contains a part of the sender's state; the full state takes several messages.
    JOIN = 7  # Contacts a member that the sender sees as absent.
    PAYLOAD = 8  # Contains bytes of another component of the program.


class DropReason(StrEnum):
    """Reason for which a datagram or an update was dropped; key of the log event `peer datagrams dropped`."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    WRONG_FLEET = "wrong-fleet"
    WRONG_VERSION = "wrong-version"
    WRONG_SOURCE = "wrong-source"  # The message's source is not the name listed for the sender's address.
    UNLISTED_MEMBER = "unlisted-member"  # The update is about a name that is not listed.


class MalformedMessageError(ValueError):
    """Error for a datagram that is not a message of this fleet and version."""

    def __init__(self, reason: DropReason) -> None:
        self.reason = reason
        super().__init__(reason)


class MemberUpdate(NamedTuple):
    """State of a member, as spread by gossip and push-pull."""

    name: Name
    state: MemberState
    incarnation: Number
    # Member that raised the suspicion. No default: a decoded array always has four items.
    suspected_by: OptionalName

    @property
    def max_encoded_bytes(self) -> int:
        """Upper bound of the update's size on the wire."""
        return len(self.name.encode()) + len(self.suspected_by.encode()) + UPDATE_OVERHEAD_BYTES


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Decoded datagram. The meaning of `number` depends on `kind`; the properties below name it."""

    fleet: Name
    version: Number
    kind: MessageKind
    source: Name
    number: Number = 0
    subject: OptionalName = ""  # Third member that a PING_REQ or a forwarded ACK is about.
    updates: Annotated[list[MemberUpdate], msgspec.Meta(max_length=MAX_UPDATES)] = []
    payload: Annotated[bytes, msgspec.Meta(max_length=MAX_PAYLOAD_BYTES)] = b""

    @property
    def sequence_number(self) -> int:
        """Number of the probe of a PING, PING_REQ, ACK or NACK; unique at the member that probes."""
        return self.number

    @property
    def topic(self) -> int:
        """Number of the component to which a PAYLOAD is addressed."""
        return self.number

    @property
    def reply_wanted(self) -> bool:
        """Whether the sender of a PUSH_PULL wants to receive the states that are newer at the receiver."""
        return self.number != 0


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message as a datagram; raises ValueError if it is larger than MAX_DATAGRAM_BYTES."""
    data = _encoder.encode(message)
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"message too large: {len(data)} bytes, the limit is {MAX_DATAGRAM_BYTES}")
    return data


def decode(data: bytes, fleet: str) -> Message:
    """Decode a datagram of this fleet; raises MalformedMessageError with the reason of the rejection."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedMessageError(DropReason.OVERSIZED)
    try:
        message = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise MalformedMessageError(DropReason.MALFORMED) from None
    for update in message.updates:
        if update.state is UNKNOWN:
            raise MalformedMessageError(DropReason.MALFORMED)
    if message.fleet != fleet:
        raise MalformedMessageError(DropReason.WRONG_FLEET)
    if message.version != VERSION:
        raise MalformedMessageError(DropReason.WRONG_VERSION)
    return message
