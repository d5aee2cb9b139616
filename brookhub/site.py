"""The settings of a site that the policy uses: routes, plans and the settings of one gateway.

Times in seconds, quotas in units. `settings.py` creates these from the operators' settings.
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
    """The group of servers that recognises repeated requests with the same idempotency key."""

    ALL = "all servers"
    ZONE = "the servers of one zone"
    CELL = "the servers of one cell"


@dataclass(frozen=True)
class Route:
    """A class of requests. Times in seconds.

    If `target_stretch` is above 0, the latency target grows by `target_stretch` times the request's own work.
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
    """A customer's plan: a quota of `burst` units, refilled at `rate` units per second, and its limits.

    `max_concurrency` limits the requests in flight; the ceiling is a token bucket that is never exceeded.
    0 means no limit. A plan is soft (may borrow) if `excess_value` is above `excess_cost`.
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
    """The settings of one gateway, fixed when it starts. Times in seconds, quotas in units.

    Raises ValueError, which names the setting, if a value cannot be used.
    """

    routes: tuple[Route, ...]
    plans: tuple[Plan, ...]
    zone: int
    index: int  # Position of this gateway in the fleet, from 0.
    gateways: int  # Number of gateways that share each quota.
    counter_timeout: float  # Maximum wait for an answer of the counter; 0: there is no counter.
    max_request_units: float  # Units of the largest request.
    reports_actual_units: bool  # Whether servers report the units that a request used.
    max_attempts: int
    allows_hedging: bool
    can_cancel: bool
    max_retry_after: float  # 0: rejections carry no Retry-After.
    cold_capacity: float  # Share of its full capacity that a server has when it starts.
    warm_up_time: float  # Time from a server's start until it has its full capacity.
    overload_multiple: float  # A warming server collapses at this multiple of its current capacity.
    overload_window: float  # Time window over which a warming server's load is measured.
    polls_server_list: bool  # False: discovery pushes changes.
    server_list_max_age: float

    def __post_init__(self) -> None:
        positive_settings: dict[str, float] = {"gateways": self.gateways, "max_tries": self.max_attempts}
        positive_settings |= {route.name: route.latency_target for route in self.routes}
        positive_settings |= {f"{plan.name}: burst": plan.burst for plan in self.plans if plan.rate}
        for name, value in positive_settings.items():
            if not value > 0:
                raise ValueError(f"{name}: expected a number above 0, got {value}")
