"""Datagrams between limiters: msgpack by msgspec, an array of fields, at most MAX_DATAGRAM_BYTES long.

The size is checked before decoding; types, ranges and lengths are checked by the schema. Positions and types
of the fields are the wire format of VERSION; their names are not sent.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import Annotated, NamedTuple

import msgspec

from .state import UNKNOWN, MemberState

VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # below any path's MTU, so that no datagram is fragmented
MAX_UPDATES = 120  # in a message: more do not fit MAX_DATAGRAM_BYTES
MAX_PAYLOAD_BYTES = 1000  # fits MAX_DATAGRAM_BYTES together with the other fields
UPDATE_OVERHEAD_BYTES = 14  # of an encoded update beside its two names, at most

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
OptionalName = Annotated[str, msgspec.Meta(max_length=32)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**40)]


class MessageKind(IntEnum):
    """Kind of a message, as on the wire."""

    PING = 1
    PING_REQ = 2  # asks a helper to ping `subject`
    ACK = 3  # answers a ping; `subject` is the member that answered, where a helper forwards it
    NACK = 4  # a helper's notice that its ping was not answered in time
    GOSSIP = 5  # carries updates only
    PUSH_PULL = 6  # carries a part of the sender's state, or all of it in several messages
    JOIN = 7  # contacts a member that is absent to the sender
    PAYLOAD = 8  # carries bytes of another component of the program


class DropReason(StrEnum):
    """Why a datagram or an update was not accepted; keys of the log event `peer datagrams dropped`."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    WRONG_FLEET = "wrong-fleet"
    WRONG_VERSION = "wrong-version"
    WRONG_SOURCE = "wrong-source"  # the name inside is not the one listed for the sender's address
    UNLISTED_MEMBER = "unlisted-member"  # an update about a name that is not listed


class MalformedMessageError(ValueError):
    """A datagram that is not a message of this fleet and version."""

    def __init__(self, reason: DropReason) -> None:
        self.reason = reason
        super().__init__(reason)


class MemberUpdate(NamedTuple):
    """A state of a member, as spread by gossip and push-pull."""

    name: Name
    state: MemberState
    incarnation: Number
    suspected_by: OptionalName  # who raised the suspicion. No default: a decoded array has four items

    @property
    def max_encoded_bytes(self) -> int:
        """Upper bound of the update's size on the wire."""
        return len(self.name.encode()) + len(self.suspected_by.encode()) + UPDATE_OVERHEAD_BYTES


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A datagram. The meaning of `number` depends on `kind`; read it by the properties below."""

    fleet: Name
    version: Number
    kind: MessageKind
    source: Name
    number: Number = 0
    subject: OptionalName = ""  # the third member that a PING_REQ or a forwarded ACK is about
    updates: Annotated[list[MemberUpdate], msgspec.Meta(max_length=MAX_UPDATES)] = []
    payload: Annotated[bytes, msgspec.Meta(max_length=MAX_PAYLOAD_BYTES)] = b""

    @property
    def sequence_number(self) -> int:
        """The probe that a PING, PING_REQ, ACK or NACK belongs to; unique at the member that started it."""
        return self.number

    @property
    def topic(self) -> int:
        """The component that a PAYLOAD is for."""
        return self.number

    @property
    def reply_wanted(self) -> bool:
        """Whether the sender of a PUSH_PULL wants to receive what is newer here."""
        return self.number != 0


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message as a datagram; raises ValueError if it is larger than MAX_DATAGRAM_BYTES."""
    data = _encoder.encode(message)
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"a message of {len(data)} bytes")
    return data


def decode(data: bytes, fleet: str) -> Message:
    """Decode a datagram of this fleet; raises MalformedMessageError with its reason."""
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
