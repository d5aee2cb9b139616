"""Messages of the maintenance protocol: msgspec structs, encoded as tagged msgpack arrays.

Two protocols share the encoding. The quorum protocol (Prepare to FetchReply, Relay, Commit, CommitAck)
replicates one PlanProgress to a majority of the voters. The plan transfer (PlanAnnouncement, ChunkRequest,
PlanChunk) copies the operator's plan to every limiter.

Fields are encoded by position, so they can be renamed. Tags are part of the wire format and must not change.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec

TOPIC = 2  # Topic number of maintenance among the payloads that membership transports.
# Maximum plan bytes in one message; with its header the message fits in membership's largest payload.
CHUNK_BYTES = 900
MAX_CHUNKS = 64

Name = Annotated[str, msgspec.Meta(max_length=32)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**40)]
Digest = Annotated[str, msgspec.Meta(max_length=16)]
HaltReason = Annotated[str, msgspec.Meta(max_length=120)]
ChunkIndex = Annotated[int, msgspec.Meta(ge=0, le=MAX_CHUNKS)]
ChunkCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_CHUNKS)]
ChunkData = Annotated[bytes, msgspec.Meta(max_length=CHUNK_BYTES)]


class UnreadableError(ValueError):
    """A payload is not a valid maintenance message."""


class Phase(IntEnum):
    """The maintenance phase of a machine that is out. The values are part of the wire format."""

    DRAINING = 1  # Limiters stop sending traffic to the machine; it is not yet safe to work on.
    RELEASED = 2  # The machine is safe to work on.
    WARMING_UP = 3  # The machine is back in service but still occupies its slot.


class Ballot(NamedTuple):
    """A ballot of the quorum protocol, ordered by number and then by the proposer's name."""

    number: Count
    proposer: Name


class Revision(NamedTuple):
    """The version of a replicated value: the leader's ballot and the serial number of its write.

    Revisions are totally ordered.
    """

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
    """A machine that is out, and its phase."""

    name: Name
    phase: Phase


class ZoneLoad(NamedTuple):
    """The number of attempts in flight to a zone's servers."""

    zone: Name
    load: float


class PlanProgress(msgspec.Struct, frozen=True, array_like=True):
    """The replicated value: the progress of the plan.

    `done` is a bit mask indexed by the machines' positions in the plan. `halted` is the reason for a halt, ""
    while the plan runs. `voters` is empty until the first leader sets it. `resume` is the last value of the
    plan's `resume` count that was acted on. `zone_load` was measured when the plan began and determines the
    order of the machines.
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
        """Return the phase of a machine, None if it is not out."""
        return next((phase for name, phase in self.machines_out if name == machine), None)

    def names_out(self) -> set[str]:
        """Return the names of all machines that are out."""
        return {name for name, _ in self.machines_out}


class TrafficSample(NamedTuple):
    """Recent requests, how many of them were served, and the total response time of those in seconds."""

    requests: float
    served: float
    served_seconds: float


class Report(msgspec.Struct, frozen=True, array_like=True):
    """A limiter's report: the machines to which it has no attempt in flight, and its recent traffic."""

    idle_machines: tuple[Name, ...] = ()
    requests: float = 0.0
    served: float = 0.0
    served_seconds: float = 0.0

    def traffic(self) -> TrafficSample:
        """Return the traffic part of the report."""
        return TrafficSample(self.requests, self.served, self.served_seconds)


class TaggedMessage(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The base class of all messages; the tag identifies the type on the wire."""


class Prepare(TaggedMessage, frozen=True, tag="Ask"):
    """Request from a candidate to the voters to promise this ballot."""

    ballot: Ballot


class Promise(TaggedMessage, frozen=True, tag="Grant"):
    """A voter's promise to a candidate, valid for a lease, with the value that the voter holds."""

    ballot: Ballot
    revision: Revision
    value: PlanProgress


class Reject(TaggedMessage, frozen=True, tag="Deny"):
    """A voter's rejection of `ballot`, sent to a candidate or leader; `promised` is the voter's promise."""

    ballot: Ballot
    promised: Ballot


class Accept(TaggedMessage, frozen=True, tag="Write"):
    """Request from the leader to the voters to accept this value and to renew the lease."""

    revision: Revision
    value: PlanProgress


class Accepted(TaggedMessage, frozen=True, tag="Wrote"):
    """A voter's confirmation to the leader that it accepted the revision."""

    revision: Revision
    report: Report


class FetchRequest(TaggedMessage, frozen=True, tag="Read"):
    """Request for the other voters' state, from a voter that restarted without state.

    `number` identifies the round of requests.
    """

    number: Count


class FetchReply(TaggedMessage, frozen=True, tag="State"):
    """Reply to a FetchRequest; `lease_granted` is true while a lease that the sender granted is running."""

    number: Count
    abstains: bool
    promised: Ballot
    revision: Revision
    value: PlanProgress
    lease_granted: bool


class Relay(TaggedMessage, frozen=True, tag="Pass"):
    """A fetch message that a third limiter forwards when the link between two voters is cut one way."""

    origin: Name
    destination: Name
    message: FetchRequest | FetchReply


class Commit(TaggedMessage, frozen=True, tag="Told"):
    """Notification from the leader to limiters without a vote that a majority holds this value."""

    revision: Revision
    value: PlanProgress


class CommitAck(TaggedMessage, frozen=True, tag="Heard"):
    """Reply to a Commit; `revision` is the newest committed revision that the sender knows."""

    revision: Revision
    report: Report


class PlanAnnouncement(TaggedMessage, frozen=True, tag="Offer"):
    """Announcement of the plan that the sender holds."""

    version: Count
    digest: Digest


class ChunkRequest(TaggedMessage, frozen=True, tag="Want"):
    """Request for one chunk of a plan."""

    digest: Digest
    index: ChunkIndex


class PlanChunk(TaggedMessage, frozen=True, tag="Piece"):
    """One chunk of an encoded plan of `count` chunks."""

    digest: Digest
    index: ChunkIndex
    count: ChunkCount
    data: ChunkData


RegisterMessage = Prepare | Promise | Reject | Accept | Accepted | FetchRequest | FetchReply
ExchangeMessage = PlanAnnouncement | ChunkRequest | PlanChunk
Message = (
    Prepare
    | Promise
    | Reject
    | Accept
    | Accepted
    | FetchRequest
    | FetchReply
    | Relay
    | Commit
    | CommitAck
    | PlanAnnouncement
    | ChunkRequest
    | PlanChunk
)
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def pack(message: Message) -> bytes:
    """Encode a message as a datagram's payload."""
    return _encoder.encode(message)


def unpack(data: bytes) -> Message:
    """Decode the message in a datagram's payload.

    Raises UnreadableError if the payload is not a maintenance message.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableError(str(error)) from None
