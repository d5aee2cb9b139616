"""The events that the simulator sends to gateways: their codes, record layouts and fields.

Fields are in the order of the record. Times and durations are in seconds. `gateway` is the number of the
hosted gateway that receives the event. Offsets and lengths are in bytes and refer to the batch's tail.
"""

from __future__ import annotations

from struct import Struct
from typing import NamedTuple, TypeAlias

from ..model import Outcome, ServerState

# First byte of a received record. Plain integers, because an enum member takes three times as long to read.
COUNTER_ANSWERED = 16
TIMER_FIRED = 17
PEER_MESSAGE = 18
RESPONSE_STARTED = 19
ATTEMPT_ENDED = 20
REQUEST_ARRIVED = 21
GATEWAY_KILLED = 22
PROBE_ENDED = 23
CLIENT_DISCONNECTED = 24
SERVER_LIST = 25
GATEWAY_LAUNCHED = 26

# Scopes of a server list event.
CHANGES = 0
COMPLETE = 2
CACHED = 3  # The last complete list that discovery had.
FAILED = 4  # No entries: the list could not be fetched.
SERVER_LIST_SCOPES = (CHANGES, COMPLETE, CACHED, FAILED)

# Bits of a request's flags.
RETRY_FLAG = 2
WRITE_FLAG = 4

OUTCOMES = {
    10: Outcome.OK,
    20: Outcome.ERROR,
    30: Outcome.BUSY,
    40: Outcome.TIMEOUT,
    50: Outcome.CONNECT_FAILED,
    60: Outcome.RESET,
    70: Outcome.CANCELLED,
    80: Outcome.NOT_SENT,
}
FIRST_LOAD_FIELD = 10  # Index of `load_1` in AttemptEnded.
SERVER_STATES = {0: ServerState.READY, 1: ServerState.GONE, 2: ServerState.DRAINING}


class CounterAnswered(NamedTuple):
    """The oldest open counter call for a name ended, with or without a reply."""

    gateway: int
    name: int
    outcome: int
    total: float
    duration: float


class TimerFired(NamedTuple):
    """A timer expired."""

    gateway: int
    timer: int


class PeerMessage(NamedTuple):
    """A message from another gateway arrived; its content is in the batch's tail."""

    gateway: int
    sender: int
    offset: int
    length: int


class ResponseStarted(NamedTuple):
    """The first bytes of a server's response arrived."""

    gateway: int
    request: int
    duration: float
    server: int
    attempt: int


class AttemptEnded(NamedTuple):
    """An attempt ended; `final` is 1 if its response was the answer to the request, else 0."""

    gateway: int
    request: int
    attempt: int
    server: int
    outcome: int
    duration: float
    final: int
    capacity_used: int  # 1 plus the value that the server reported; 0 if it reported none.
    charged_units: int
    load_columns: int  # Number of load values that are set.
    load_1: float
    load_2: float
    load_3: float
    load_4: float

    @property
    def load(self) -> tuple[float, ...]:
        """The values of the server's load report."""
        return self[FIRST_LOAD_FIELD : FIRST_LOAD_FIELD + self.load_columns]


class RequestArrived(NamedTuple):
    """A client's request arrived."""

    gateway: int
    request: int
    deadline: float
    units: float
    plan: int
    customer: int
    quota_holders: float  # Number of gateways that the customer's requests are spread over.
    first_gateway: float
    flags: int
    route: int


class GatewayKilled(NamedTuple):
    """A gateway was killed and lost its state."""

    gateway: int


class ProbeEnded(NamedTuple):
    """A health check ended."""

    gateway: int
    outcome: int
    server: int
    duration: float
    load_columns: int
    load_1: float
    load_2: float
    load_3: float
    load_4: float


class ClientDisconnected(NamedTuple):
    """A client disconnected before its request was answered."""

    gateway: int
    request: int


class ServerListChanged(NamedTuple):
    """A server list or changes to it arrived; the entries are in the batch's tail."""

    gateway: int
    scope: int
    version: int
    offset: int
    entry_count: int


class GatewayLaunched(NamedTuple):
    """A gateway starts; its settings are in the batch's tail."""

    gateway: int
    seed: int
    offset: int
    length: int


Event: TypeAlias = (
    CounterAnswered
    | TimerFired
    | PeerMessage
    | ResponseStarted
    | AttemptEnded
    | RequestArrived
    | GatewayKilled
    | ProbeEnded
    | ClientDisconnected
    | ServerListChanged
    | GatewayLaunched
)

EVENTS: dict[int, tuple[Struct, type[Event]]] = {
    COUNTER_ANSWERED: (Struct("<IQHfd"), CounterAnswered),
    TIMER_FIRED: (Struct("<IQ"), TimerFired),
    PEER_MESSAGE: (Struct("<IIII"), PeerMessage),
    RESPONSE_STARTED: (Struct("<IQdIH"), ResponseStarted),
    ATTEMPT_ENDED: (Struct("<IQHIHdBHHB4f"), AttemptEnded),
    REQUEST_ARRIVED: (Struct("<IQdfHQffBB"), RequestArrived),
    GATEWAY_KILLED: (Struct("<I"), GatewayKilled),
    PROBE_ENDED: (Struct("<IHIdB4f"), ProbeEnded),
    CLIENT_DISCONNECTED: (Struct("<IQ"), ClientDisconnected),
    SERVER_LIST: (Struct("<IBQII"), ServerListChanged),
    GATEWAY_LAUNCHED: (Struct("<IQII"), GatewayLaunched),
}
