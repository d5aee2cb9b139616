"""Messages of the maintenance protocol: msgspec structs, encoded as tagged msgpack arrays.

Two protocols share the encoding. The quorum protocol (Prepare to FetchReply, Relay, Commit, CommitAck) keeps
one PlanProgress at a majority of the voters. The plan transfer (PlanAnnouncement, ChunkRequest, PlanChunk)
copies the operator's plan to every limiter.

Fields are sent by position, so their names are free to change; tags are part of the wire format and are not.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, NamedTuple, Union

import msgspec

TOPIC = 2  # maintenance's topic number among the payloads that membership carries
CHUNK_BYTES = 900  # of a plan in one message; with its head it stays below membership's largest payload
MAX_CHUNKS = 64

Name = Annotated[str, msgspec.Meta(max_length=32)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**40)]
Digest = Annotated[str, msgspec.Meta(max_length=16)]
HaltReason = Annotated[str, msgspec.Meta(max_length=120)]
ChunkIndex = Annotated[int, msgspec.Meta(ge=0, le=MAX_CHUNKS)]
ChunkCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_CHUNKS)]
ChunkData = Annotated[bytes, msgspec.Meta(max_length=CHUNK_BYTES)]


class UnreadableError(ValueError):
    """The bytes are not a maintenance message."""


class Phase(IntEnum):
    """Where a machine that is out stands. The values are part of the wire format."""

    DRAINING = 1  # limiters stop sending to it; not yet safe to work on
    RELEASED = 2  # safe to work on
    WARMING_UP = 3  # back in service, its slot not free yet


class Ballot(NamedTuple):
    """A ballot of the quorum protocol, ordered by number and then by the proposer's name."""

    number: Count
    proposer: Name


class Revision(NamedTuple):
    """The version of a replicated value: the leader's ballot and the serial of its write. Totally ordered."""

    number: Count
    proposer: Name
    serial: Count

    @property
    def ballot(self) -> Ballot:
        """The ballot under which the value was written."""
        return Ballot(self.number, self.proposer)


NO_BALLOT = Ballot(0, "")
NO_REVISION = Revision(0, "", 0)


class MachineOut(NamedTuple):
    """A machine that is out and its phase."""

    name: Name
    phase: Phase


class ZoneLoad(NamedTuple):
    """Attempts in flight to a zone's servers."""

    zone: Name
    load: float


class PlanProgress(msgspec.Struct, frozen=True, array_like=True):
    """The replicated value: how far the plan is.

    `done` is a bit mask by the machines' position in the plan; `halted` is the reason for a halt, "" where
    the plan runs; `voters` is empty until the first leader fills it in; `resume` is the plan's `resume` count
    that was last acted on; `zone_load` was measured when the plan began and fixes the machines' order.
    """

    version: Count = 0
    digest: Digest = ""
    machines_out: tuple[MachineOut, ...] = ()
    done: Annotated[int, msgspec.Meta(ge=0)] = 0
    halted: HaltReason = ""
    voters: tuple[Name, ...] = ()
    resume: Count = 0
    zone_load: tuple[ZoneLoad, ...] = ()

    def phase(self, machine: str) -> Phase | None:
        """The phase of a machine, None where it is not out."""
        return next((phase for name, phase in self.machines_out if name == machine), None)

    def names_out(self) -> set[str]:
        """The names of all machines that are out."""
        return {name for name, _ in self.machines_out}


class TrafficSample(NamedTuple):
    """Recent requests, those that were served, and the seconds that the served ones took in all."""

    requests: float
    served: float
    served_seconds: float


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What a limiter reports of itself: machines to which it has no attempt in flight, and recent traffic."""

    idle_machines: tuple[Name, ...] = ()
    requests: float = 0.0
    served: float = 0.0
    served_seconds: float = 0.0

    def traffic(self) -> TrafficSample:
        """The traffic part of the report."""
        return TrafficSample(self.requests, self.served, self.served_seconds)


class TaggedMessage(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A message; its tag tells its type."""


class Prepare(TaggedMessage, frozen=True, tag="Ask"):
    """Candidate to voters: promise this ballot to me."""

    ballot: Ballot


class Promise(TaggedMessage, frozen=True, tag="Grant"):
    """Voter to candidate: promised for a lease, with the value that the voter holds."""

    ballot: Ballot
    revision: Revision
    value: PlanProgress


class Reject(TaggedMessage, frozen=True, tag="Deny"):
    """Voter to candidate or leader: `ballot` is rejected, as `promised` holds."""

    ballot: Ballot
    promised: Ballot


class Accept(TaggedMessage, frozen=True, tag="Write"):
    """Leader to voters: accept this value, and renew the lease."""

    revision: Revision
    value: PlanProgress


class Accepted(TaggedMessage, frozen=True, tag="Wrote"):
    """Voter to leader: the revision is accepted."""

    revision: Revision
    report: Report


class FetchRequest(TaggedMessage, frozen=True, tag="Read"):
    """A voter that restarted without state asks the others for theirs. `number` identifies the round."""

    number: Count


class FetchReply(TaggedMessage, frozen=True, tag="State"):
    """The answer to a FetchRequest; `lease_granted`: a lease that this voter granted is running."""

    number: Count
    abstains: bool
    promised: Ballot
    revision: Revision
    value: PlanProgress
    lease_granted: bool


class Relay(TaggedMessage, frozen=True, tag="Pass"):
    """A fetch message that a third limiter forwards, where the link between two voters is cut one way."""

    origin: Name
    destination: Name
    message: Union[FetchRequest, FetchReply]


class Commit(TaggedMessage, frozen=True, tag="Told"):
    """Leader to limiters without a vote: a majority holds this value."""

    revision: Revision
    value: PlanProgress


class CommitAck(TaggedMessage, frozen=True, tag="Heard"):
    """The answer to Commit; `revision` is the newest committed one that the sender knows."""

    revision: Revision
    report: Report


class PlanAnnouncement(TaggedMessage, frozen=True, tag="Offer"):
    """The plan that the sender holds."""

    version: Count
    digest: Digest


class ChunkRequest(TaggedMessage, frozen=True, tag="Want"):
    """Request for one chunk of a plan."""

    digest: Digest
    index: ChunkIndex


class PlanChunk(TaggedMessage, frozen=True, tag="Piece"):
    """One chunk of a plan's encoding; `count` chunks make the plan."""

    digest: Digest
    index: ChunkIndex
    count: ChunkCount
    data: ChunkData


RegisterMessage = Union[Prepare, Promise, Reject, Accept, Accepted, FetchRequest, FetchReply]
ExchangeMessage = Union[PlanAnnouncement, ChunkRequest, PlanChunk]
Message = Union[
    Prepare,
    Promise,
    Reject,
    Accept,
    Accepted,
    FetchRequest,
    FetchReply,
    Relay,
    Commit,
    CommitAck,
    PlanAnnouncement,
    ChunkRequest,
    PlanChunk,
]
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def pack(message: Message) -> bytes:
    """The message as a datagram's payload."""
    return _encoder.encode(message)


def unpack(data: bytes) -> Message:
    """The message of a datagram's payload. Raises UnreadableError."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableError(str(error)) from None
