"""The decisions' records of requests, customers and servers: plain state that policy alone fills and reads.

Times are seconds on the gateway's clock, quotas and loans are units.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import Any

from .model import ApiCall, Customer, Plan, Server
from .structures import DecayingMean, SuccessWindow, TokenBucket


@dataclass(eq=False, slots=True)
class Account:
    """What one gateway knows of a customer: the quota as the counter told it, its own parts, loans."""

    customer: Customer
    plan: Plan
    largest: float  # units of the largest API call
    counted: bool  # whether there is a counter
    granted: float  # part of the quota that is granted by the count seen from here
    active_at: float  # the last request or end of an attempt
    quota: TokenBucket  # of all gateways, as far as is known here
    share: TokenBucket  # this gateway's part, used before the counter is asked
    unconfirmed: TokenBucket  # what this gateway lets in without the counter's word
    ceiling: TokenBucket  # this gateway's part of the hard ceiling
    told_at: float = -inf  # the counter's last word
    gateways: int = 1  # that hold the quota together
    told_gateways: int = 1  # the number that the customer's requests carry
    part: float = 1.0  # of the quota that `unconfirmed` holds
    joint_rate: float = 0.0  # units a second of the ceiling that go by the window's count
    refills_in: float = 0.0  # until all buckets of an idle customer are full
    credit: float = 0.0  # units let in once without the counter's word where `unconfirmed` is thin
    most_credit: float = 0.0
    window: int | None = None  # number of the counter's window
    total: float = 0.0  # the window's count as last told
    used: float = inf  # units of the window used by all; until told: infinite
    unreported: float = 0.0  # units passed that the counter has not been told of
    held_until: float = 0.0  # told to be without room: not asked for until then
    lent: float = 0.0
    in_flight: int = 0  # requests sent and not ended

    @property
    def window_length(self) -> float:
        """Seconds of a window of the counter: burst over rate."""
        return self.plan.burst / self.plan.rate

    def refill(self, now: float) -> None:
        """Bring all buckets up to a moment."""
        for bucket in (self.quota, self.share, self.unconfirmed, self.ceiling):
            bucket.read(now)

    def take(self, now: float, units: float) -> None:
        """Take units out of the quota, as known here; below 0 gives them back."""
        for bucket in (self.quota, self.share, self.unconfirmed):
            bucket.take(now, units)


Loan = list[tuple[Account, float]]  # lenders, and the units of each


@dataclass(eq=False, slots=True)
class Request:
    """One API call on its way to its one final answer."""

    call: ApiCall
    account: Account
    target_at: float  # when it is late for its latency target
    soft: bool  # whether its plan may use more than the quota
    counted: float = 0.0  # units out of the quota
    drawn: float = 0.0  # units out of the ceiling
    retry_after: float = 0.0  # s until it is worth coming back, where it is rejected
    window: int | None = None  # whose count holds its units
    loan: Loan | None = None
    ask_until: float = 0.0  # until when it waits for its turn to ask the counter
    turn_at: float = inf  # when its number in the window's count lets it pass the ceiling
    beyond_quota: bool = False
    sent: bool = False
    answer_began: bool = False
    done: bool = False


@dataclass(eq=False, slots=True)
class Upstream:
    """What this gateway saw of a server."""

    server: Server
    places: float  # attempts out at once, at most
    slow_start: TokenBucket  # attempts that it may get while cold
    delays: DecayingMean  # s of its answers
    successes: SuccessWindow  # attempts that brought an answer
    up_since: float
    ejected_until: float = 0.0  # nothing is sent to it before
    last_end_at: float = 0.0  # of an attempt
    # Attempts in a row that it took nothing of: it is full, drains or is gone, told or not
    turned_away: int = 0
    attempts: list[Any] = field(default_factory=list)  # those out, the oldest first

    @classmethod
    def of(
        cls, server: Server, places: float, phase: float, now: float, memory: float, outcomes: int
    ) -> Upstream:
        """The record of a server that nothing is known of; its slow start begins with `phase` of a token."""
        slow_start = TokenBucket(0.0, 1.0, phase, now)
        delays, successes = DecayingMean(memory), SuccessWindow(outcomes)
        return cls(server, max(1.0, places), slow_start, delays, successes, server.up_since)
