"""The settings of a site as the decisions use them: routes, plans and one gateway's own settings.

Times are seconds, quotas are units. Read from the operators' settings by `settings.py`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a route's requests may be executed more than once."""

    IDEMPOTENT = "may be executed again"
    KEYED = "carries an idempotency key by which a group of servers drops repeats"
    NON_IDEMPOTENT = "must never be executed twice"


class DeduplicationScope(Enum):
    """The servers that recognise the repeat of a request with an idempotency key."""

    ALL = "all servers"
    ZONE = "the servers of one zone"
    CELL = "the servers of one cell"


@dataclass(frozen=True)
class Route:
    """A class of requests. Times in seconds.

    The latency target grows by `target_stretch` times the request's own work where that is above 0.
    """

    name: str
    latency_target: float
    client_timeout: float
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    value: float = 1.0
    late_value: float = 0.0
    streamed: bool = False
    target_stretch: float = 0.0


@dataclass(frozen=True)
class Plan:
    """A customer's plan: a quota of `burst` units refilled at `rate` units a second, and its limits.

    `max_concurrency` bounds the requests in flight; the ceiling is a hard token bucket. 0 means no limit.
    A plan is soft (it may borrow) where `excess_value` is above `excess_cost`.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    max_concurrency: int = 0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    value: float = 1.0
    excess_value: float = 0.0
    excess_cost: float = 0.0

    @property
    def is_soft(self) -> bool:
        """Whether requests beyond the quota may be served from loans."""
        return self.excess_value > self.excess_cost


@dataclass(frozen=True)
class GatewaySettings:
    """The settings of one gateway from its start on. Times in seconds, quotas in units.

    Raises ValueError, naming the setting, where a value cannot be used.
    """

    routes: tuple[Route, ...]
    plans: tuple[Plan, ...]
    zone: int
    index: int  # of this gateway among the gateways, from 0
    gateways: int  # that hold each quota together
    counter_timeout: float  # for an answer of the counter; 0: there is no counter
    max_request_units: float  # units of the largest request
    reports_actual_units: bool  # whether servers report the units that a request has used
    max_attempts: int
    allows_hedging: bool
    can_cancel: bool
    max_retry_after: float  # 0: clients are told no Retry-After
    cold_capacity: float  # share of its capacity that a server has at its start
    warm_up_time: float  # from a server's start until it has its full capacity
    overload_multiple: float  # of its present capacity at which a warming server collapses
    overload_window: float  # over which that is measured
    polls_server_list: bool  # else changes are pushed
    server_list_max_age: float

    def __post_init__(self) -> None:
        must_be_positive: dict[str, float] = {"gateways": self.gateways, "max_tries": self.max_attempts}
        must_be_positive |= {route.name: route.latency_target for route in self.routes}
        must_be_positive |= {f"{plan.name}: burst": plan.burst for plan in self.plans if plan.rate}
        for name, value in must_be_positive.items():
            if not value > 0:
                raise ValueError(f"{name} must be above 0, not {value}")
