"""What the limiters tell each other about a plan: msgspec structs as msgpack, tagged.

What does not fit raises UnreadableError.
"""

from __future__ import annotations

from typing import Annotated, Union

import msgspec

TOPIC = 2  # of maintenance among membership's words
# A machine's steps: permitted, safe to work on, back and filled as a cold one
LEAVING, OPEN, FILLING = 1, 2, 3
NOTHING_SAID = (0, "", 0)
PIECE = 900  # bytes of a plan in a message, below membership.MAX_PAYLOAD_BYTES with its head
MOST_PIECES = 64

Name = Annotated[str, msgspec.Meta(max_length=32)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**40)]
Digest = Annotated[str, msgspec.Meta(max_length=16)]
Ballot = tuple[Count, Name]
Mark = tuple[Count, Name, Count]  # ballot and serial: the order of tables


class UnreadableError(ValueError):
    """A word that is no message of maintenance."""


class Struct(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A message, told from others by its tag."""


class Table(msgspec.Struct, frozen=True, array_like=True):
    """What a majority holds.

    The plan by version and digest, machines out with their step, those done (bits by their place in the
    plan), why it is halted ("" where it goes on), who votes.
    """

    version: Count = 0
    digest: Digest = ""
    outs: tuple[tuple[Name, Annotated[int, msgspec.Meta(ge=1, le=3)]], ...] = ()
    done: Annotated[int, msgspec.Meta(ge=0)] = 0
    halted: Annotated[str, msgspec.Meta(max_length=120)] = ""
    voters: tuple[Name, ...] = ()
    resume: Count = 0
    load: tuple[
        tuple[Annotated[str, msgspec.Meta(max_length=32)], float], ...
    ] = ()  # by zone, when the plan began

    def step(self, name: str) -> int:
        """The step at which a machine is; 0: not out."""
        return dict(self.outs).get(name, 0)


class Report(msgspec.Struct, frozen=True, array_like=True):
    """One limiter's part: machines at which nothing of its own is out any more.

    Calls asked, served, s they took, lately.
    """

    quiet: tuple[Name, ...] = ()
    asked: float = 0.0
    served: float = 0.0
    took: float = 0.0


class Ask(Struct, frozen=True):
    """May I lead?"""

    ballot: Ballot


class Grant(Struct, frozen=True):
    """For a lease's time, with the table that I hold."""

    ballot: Ballot
    mark: Mark
    table: Table


class Deny(Struct, frozen=True):
    """Another leads, or leads by a later ballot."""

    ballot: Ballot
    promised: Ballot


class Write(Struct, frozen=True):
    """Hold this table, and the lease anew."""

    mark: Mark
    table: Table


class Wrote(Struct, frozen=True):
    """A voter holds what was written."""

    mark: Mark
    report: Report


class Read(Struct, frozen=True):
    """What do you hold? Asked by one that started with nothing."""

    number: Count


class State(Struct, frozen=True):
    """What a voter holds, for one that remembers nothing."""

    number: Count
    abstains: bool
    promised: Ballot
    mark: Mark
    table: Table
    leased: bool


class Pass(Struct, frozen=True):
    """Between two of which one does not hear the other: a third hands it on."""

    origin: Name
    to: Name
    message: Union[Read, State]


class Told(Struct, frozen=True):
    """A table that a majority holds, for those that do not vote."""

    mark: Mark
    table: Table


class Heard(Struct, frozen=True):
    """The answer to Told."""

    mark: Mark
    report: Report


class Offer(Struct, frozen=True):
    """I have this plan."""

    version: Count
    digest: Digest


class Want(Struct, frozen=True):
    """A piece of a plan is wanted."""

    digest: Digest
    piece: Annotated[int, msgspec.Meta(ge=0, le=MOST_PIECES)]


class Piece(Struct, frozen=True):
    """A piece of a plan."""

    digest: Digest
    piece: Annotated[int, msgspec.Meta(ge=0, le=MOST_PIECES)]
    pieces: Annotated[int, msgspec.Meta(ge=1, le=MOST_PIECES)]
    data: Annotated[bytes, msgspec.Meta(max_length=PIECE)]


Message = Union[Ask, Grant, Deny, Write, Wrote, Read, State, Pass, Told, Heard, Offer, Want, Piece]
_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


def pack(message: Message) -> bytes:
    """The message as a datagram's data."""
    return _encoder.encode(message)


def unpack(data: bytes) -> Message:
    """Raises UnreadableError."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as bad:
        raise UnreadableError(str(bad)) from None
