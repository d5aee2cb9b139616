"""The datagrams between limiters: msgpack by msgspec, checked for size before they are decoded.

A message: fleet, version, kind, source, number, about, news, data. A WORD is another part's: `number` is its
topic, `data` its bytes, which that part checks. A piece of news: (name, state, incarnation, by), where `by`
is who suspects. Types and ranges are checked by msgspec; what does not fit raises UnreadableError.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

VERSION = 1
LARGEST = 1200  # bytes of a datagram: below any path's MTU, so none is split
MOST_NEWS = 120  # pieces in a message: more do not fit LARGEST
PING, PING_FOR, ACK, NACK, NEWS, TABLE, HELLO, WORD = range(1, 9)
WORD_MOST = 1000  # bytes of a word: what other parts tell each other fits LARGEST with its head

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
Maybe = Annotated[str, msgspec.Meta(max_length=32)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**40)]
Piece = tuple[Name, Annotated[int, msgspec.Meta(ge=1, le=4)], Number, Maybe]


class UnreadableError(ValueError):
    """A datagram that is no message of this fleet; `reason` is the counter it goes to."""

    def __init__(self, reason: str):
        self.reason = reason
        super().__init__(reason)


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A datagram between members; what `number`, `about` and `data` say goes by its kind."""

    fleet: Name
    version: Number
    kind: Annotated[int, msgspec.Meta(ge=1, le=8)]
    source: Name
    number: Number = 0
    about: Maybe = ""
    news: Annotated[list[Piece], msgspec.Meta(max_length=MOST_NEWS)] = []
    data: Annotated[bytes, msgspec.Meta(max_length=WORD_MOST)] = b""


_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


def weight(piece: Piece) -> int:
    """Bytes that a piece of news takes at the most."""
    return len(piece[0].encode()) + len(piece[3].encode()) + 14


def encode(message: Message) -> bytes:
    """The message as a datagram's data."""
    data = _encoder.encode(message)
    if len(data) > LARGEST:
        raise ValueError(f"a message of {len(data)} bytes")
    return data


def decode(data: bytes, fleet: str) -> Message:
    """A message of this fleet; raises UnreadableError("oversized", "unreadable", "foreign" or "version")."""
    if len(data) > LARGEST:
        raise UnreadableError("oversized")
    try:
        message = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise UnreadableError("unreadable") from None
    if message.fleet != fleet:
        raise UnreadableError("foreign")
    if message.version != VERSION:
        raise UnreadableError("version")
    return message
