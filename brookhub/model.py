"""Requests, attempts, servers and customers, with the state that the policy keeps about each of them.

Adapters create and fill `Request`, `Attempt`, `Server` and `Customer`. Only the policy (`brookhub.policy`)
writes `PendingRequest`, `Account` and `Upstream`. This module makes no decisions. Times are in seconds on the
gateway's clock, quotas and loans in units. All objects are guarded by the lock that the adapter holds while
it calls the policy.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple

from .site import Plan, Route
from .structures import DecayingMean, SuccessWindow, TokenBucket


class Outcome(Enum):
    """Result of an attempt, a probe or a counter call. The values are the codes in the emulator's trail."""

    OK = "OK"
    ERROR = "ERROR"  # The server answered with an error.
    BUSY = "FULL"  # The other side rejected it without reading it.
    TIMEOUT = "TIMEOUT"
    CONNECT_FAILED = "UNCONNECTED"
    RESET = "RESET"  # The connection broke before the answer arrived.
    CANCELLED = "CANCELLED"  # This gateway cancelled it.
    NOT_SENT = "UNSENT"
    DEFERRED = "NOTED"  # Recovery makes this counter call later, so there is no total yet.


class Answer(Enum):
    """Kind of the single final answer to a request."""

    SERVED = "a server's answer"
    REJECTED = "rejected, with a Retry-After; safe to repeat"
    FAILED = "no answer in time; it may or may not have been executed"


class ServerState(Enum):
    """State of a server in the server list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(eq=False)
class Server:
    """An upstream server of the server list. `upstream` is set while the policy uses the server."""

    id: int
    zone: int = 0
    cell: int = 0
    kind: int = 0
    weight: float = 1.0
    state: ServerState = ServerState.READY
    started_at: float = 0.0  # 0 if the server started long ago.
    # Start of another server that has its address now: what was sent since then may have reached that one.
    replaced_at: float = inf
    upstream: Upstream | None = None


@dataclass(eq=False)
class Customer:
    """The customer that a request is charged to. `account` is set while the policy keeps its record."""

    id: int
    plan: Plan
    account: Account | None = None


@dataclass(eq=False)
class Request:
    """A client's request. `pending` is set until the request gets its final answer."""

    id: int
    customer: Customer
    route: Route
    deadline: float
    units: float = 1.0
    quota_holders: int = 1  # Number of gateways that share the customer's requests.
    first_gateway: int = 0
    is_retry: bool = False  # The client repeats a request that was rejected or failed.
    is_write: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    pending: PendingRequest | None = None


@dataclass(eq=False)
class Attempt:
    """One transmission of a request to a server. `outcome` is set when the attempt has ended."""

    request: Request
    server: Server
    index: int  # Position among the request's attempts, starting at 0.
    sent_at: float
    outcome: Outcome | None = None
    upstream: Upstream | None = None


class LoanPart(NamedTuple):
    """The units of a loan that one account lends."""

    lender: Account
    units: float


@dataclass(eq=False, slots=True)
class PendingRequest:
    """State that the policy keeps about a request without a final answer."""

    request: Request
    account: Account
    target_at: float  # Time after which the request misses its latency target.
    may_borrow: bool
    counted_units: float = 0.0  # Units taken out of the quota.
    ceiling_units: float = 0.0  # Units taken out of the ceiling.
    retry_after: float = 0.0  # Seconds until a retry may be admitted, if the request is rejected.
    window: int | None = None  # Number of the counter window in which the units are counted.
    loan: list[LoanPart] | None = None
    counter_deadline: float = 0.0  # Time until which it waits for a free counter call; 0: not waiting yet.
    ceiling_admission_at: float = inf  # Time at which it may pass the ceiling by the window's total.
    beyond_quota: bool = False
    sent: bool = False
    response_started: bool = False
    done: bool = False
    cancel_deadline: Callable[[], None] | None = None  # Releases the deadline's timer; None without one.


@dataclass(eq=False, slots=True)
class Account:
    """One gateway's record of a customer: the known state of the quota, the gateway's shares, and loans."""

    customer: Customer
    plan: Plan
    max_request_units: float  # Units of the largest request.
    has_counter: bool
    granted_share: float  # Share of the quota that the counter reachable from here may grant; 0: none.
    last_active_at: float  # Time of the last request or end of an attempt.
    quota: TokenBucket  # The quota of all gateways together, as far as this gateway knows it.
    own_share: TokenBucket  # This gateway's share, used before the counter is asked.
    unconfirmed: TokenBucket  # Units that this gateway may admit without the counter's answer.
    ceiling: TokenBucket  # This gateway's share of the hard ceiling.
    total_known_at: float = -inf  # Time at which the counter last reported a total.
    holders: int = 1  # Number of gateways that hold the quota together.
    announced_holders: int = 1  # Number of holders stated in the customer's requests.
    unconfirmed_share: float = 1.0  # Share of the quota that `unconfirmed` holds.
    shared_ceiling_rate: float = 0.0  # Units per second of the ceiling that the window's total admits.
    full_refill_time: float = 0.0  # Seconds until all buckets of an idle customer are full.
    credit: float = 0.0  # Units that may be admitted once without the counter if `unconfirmed` is too small.
    max_credit: float = 0.0
    window: int | None = None  # Number of the current counter window.
    window_total: float = 0.0  # Total of the window in the counter's last answer.
    window_used: float = inf  # Units used by all gateways in the window; infinite until the counter answers.
    unreported_units: float = 0.0  # Admitted units that are not yet added to the counter.
    exhausted_until: float = 0.0  # The counter's answer that there is no room is relied on until then.
    lent_units: float = 0.0
    in_flight: int = 0  # Number of requests sent and not finished.
    open_requests: int = 0  # Number of requests not finished, whether sent or not.

    @property
    def window_length(self) -> float:
        """Length of a counter window in seconds: burst divided by rate."""
        return self.plan.burst / self.plan.rate

    def refill(self, now: float) -> None:
        """Refill all buckets up to `now`."""
        for bucket in (self.quota, self.own_share, self.unconfirmed, self.ceiling):
            bucket.available(now)

    def consume(self, now: float, units: float) -> None:
        """Take units out of the quota as this gateway knows it; negative units are returned to it."""
        for bucket in (self.quota, self.own_share, self.unconfirmed):
            bucket.consume(now, units)


@dataclass(eq=False, slots=True)
class Upstream:
    """One gateway's record of a server that it may send requests to."""

    server: Server
    max_concurrency: float  # Maximum number of attempts in flight.
    slow_start: TokenBucket  # Attempts that the server may get while it warms up.
    latencies: DecayingMean  # Latencies of its answers, in seconds.
    successes: SuccessWindow  # Successes and failures of its last attempts.
    server_started_at: float
    ejected_until: float = 0.0  # No attempt is sent to the server before this time.
    last_result_at: float = 0.0  # Time at which an attempt last ended.
    consecutive_rejections: int = 0  # Attempts in a row that it did not accept: busy, draining or gone.
    in_flight: list[Attempt] = field(default_factory=list)  # Oldest first.

    @classmethod
    def create(
        cls, server: Server, max_concurrency: float, phase: float, now: float, memory: float, outcomes: int
    ) -> Upstream:
        """Create the record of a server without any results.

        `phase`: share of a token in its slow-start bucket at the beginning; `memory`: seconds over which
        latencies decay; `outcomes`: number of last attempts by which the server is judged.
        """
        return cls(
            server,
            max(1.0, max_concurrency),
            TokenBucket(0.0, 1.0, phase, now),
            DecayingMean(memory),
            SuccessWindow(outcomes),
            server.started_at,
        )
