"""Models of an experiment file: fleet, load, fault script and sweep.

Times in seconds, rates per second, quotas in billed units. An unknown key is an error, so that a misspelt key
does not silently leave the default (`StrictModel`).
"""

from __future__ import annotations

from typing import Any, Literal

from pydantic import Field, model_validator

from .base import StrictModel


class RouteSpec(StrictModel):
    """A route: latency target and client timeout (s), idempotency and its scope, share of the load."""

    name: str
    target_s: float = Field(gt=0)
    client_timeout_s: float = Field(gt=0)
    repeat: Literal["idempotent", "tokened", "non_idempotent"] = "idempotent"
    group: Literal["all", "zone", "cell"] = "all"
    window_s: float = Field(default=0.0, ge=0)
    share: float = Field(default=1.0, gt=0)


class PlanSpec(StrictModel):
    """A plan, its customers and their load.

    The quota has `burst` units and is refilled at `rate` units/s. A ceiling of 0 means that there is none.
    """

    name: str
    rate: float = Field(ge=0)
    burst: float = Field(ge=0)
    ceiling_rate: float = Field(default=0.0, ge=0)
    ceiling_burst: float = Field(default=0.0, ge=0)
    ceiling_slack: float = Field(default=0.0, ge=0)
    open_cap: int = Field(default=0, ge=0)
    value: float = Field(default=1.0, ge=0, description="billed value of a request within the quota")
    beyond_value: float = Field(
        default=0.0,
        ge=0,
        description="value of a request over the quota; a plan with a value above beyond_cost may borrow",
    )
    beyond_cost: float = Field(default=0.0, ge=0)
    customers: int = Field(default=1, ge=1)
    calls_per_s: float = Field(gt=0, description="offered load (requests/s) of each customer of the plan")


class ServerSpec(StrictModel):
    """The upstream servers: `count` of them, each of which serves up to `places` requests concurrently."""

    count: int = Field(default=20, ge=1)
    places: int = Field(default=8, ge=1)
    queue: int = Field(default=8, ge=0)
    service_s: float = Field(default=0.05, gt=0)
    cold_from: float = Field(default=0.3, gt=0, le=1)
    warm_after_s: float = Field(default=10.0, ge=0)
    fall_multiple: float = Field(default=3.0, gt=1)
    fall_for_s: float = Field(
        default=2.0, ge=0, description="downtime of a server that collapsed under load while warming up"
    )
    fall_within_s: float = Field(
        default=1.0,
        gt=0,
        description="window (s) over which the attempts at a warming server are counted (rule 4)",
    )
    error_share: float = Field(default=0.0, ge=0, lt=1)


class CounterSpec(StrictModel):
    """The shared counter: whether it is used, its response time (s) and the limiters' timeout (s)."""

    on: bool = True
    delay_s: float = Field(default=0.002, ge=0)
    wait_s: float = Field(default=0.05, gt=0)
    signals: bool = Field(
        default=False, description="exchange outlier signals over the counter; only in the emulator"
    )
    recovery: bool = Field(
        default=False,
        description="detect a wiped or replaced counter and restore its totals from the ledgers",
    )
    beat_s: float = Field(
        default=1.0, gt=0, le=10, description="interval (s) between the heartbeats of recovery"
    )
    ledgers_last: bool = Field(
        default=False,
        description="a limiter's ledger survives its restart, as on a disk; only in the emulator",
    )


class MembershipSpec(StrictModel):
    """Settings of the membership protocol, by which the limiters track each other through gossip."""

    on: bool = False
    period_s: float = Field(default=0.25, gt=0, le=10, description="time (s) between two probes of a member")
    signals: bool = Field(default=False, description="exchange outlier signals by gossip (docs/choices.md)")
    subsets: bool = Field(
        default=False,
        description="each limiter uses a subset of the servers, assigned by matching (docs/choices.md)",
    )
    hard_by: Literal["sure", "live"] = Field(
        default="sure",
        description="live: a baseline in the emulator that divides quotas by the number of live members",
    )


class FleetSpec(StrictModel):
    """The fleet: limiters, zones, servers, counter and the settings of the policy."""

    limiters: int = Field(default=10, ge=1)
    zones: int = Field(default=3, ge=1)
    servers: ServerSpec = ServerSpec()
    counter: CounterSpec = CounterSpec()
    membership: MembershipSpec = MembershipSpec()
    routes: list[RouteSpec] = Field(min_length=1)
    plans: list[PlanSpec] = Field(min_length=1)
    max_tries: int = Field(default=3, ge=1)
    second_copies: bool = False
    may_cancel: bool = True
    longest_retry_after_s: float = Field(default=2.0, ge=0)
    grace_s: float = Field(
        default=1.0,
        ge=0,
        description="time (s) after a drain announcement during which attempts are still allowed",
    )
    list_delay_s: float = Field(default=0.2, ge=0, description="delay (s) of discovery's watch events")

    @model_validator(mode="after")
    def check_list_delay(self) -> FleetSpec:
        """Check that watch events arrive within the grace period."""
        if self.list_delay_s >= self.grace_s:
            raise ValueError(
                f"list_delay_s must be below grace_s ({self.grace_s:g}), got {self.list_delay_s:g}: "
                "attempts would reach drained servers (rule 3)"
            )
        return self


class LoadSpec(StrictModel):
    """Open-loop arrivals: Poisson, or bursty.

    In a bursty load, the rate is `burst_factor` times as high for `burst_for_s` out of every `burst_every_s`.
    """

    shape: Literal["poisson", "bursty"] = "poisson"
    scale: float = Field(default=1.0, gt=0, description="factor on the plans' calls_per_s")
    burst_factor: float = Field(default=3.0, ge=1)
    burst_every_s: float = Field(default=30.0, gt=0)
    burst_for_s: float = Field(default=5.0, ge=0)
    give_up_share: float = Field(
        default=0.02, ge=0, le=1, description="share of clients that cancel before their timeout"
    )
    repeat_share: float = Field(
        default=0.3, ge=0, le=1, description="share of clients that retry after a rejection"
    )


class FaultSpec(StrictModel):
    """A scripted fault, which starts at `at_s` and lasts `for_s` if its action has a duration."""

    at_s: float = Field(ge=0)
    action: Literal[
        "kill_limiters",
        "restart_limiters",
        "term_limiters",
        "stall_limiters",
        "split_limiters",
        "cut_peers",
        "lose_packets",
        "cut_links",
        "drain_servers",
        "replace_servers",
        "zone_lost",
        "counter_down",
        "counter_wipe",
        "counter_lose",
        "counter_swap",
        "counter_split",
        "counter_late",
        "lose_answers",
        "slow_servers",
        "failing_servers",
        "silent_servers",
        "reset_links",
        "delay_links",
    ]
    share: float = Field(default=0.1, ge=0, le=1)
    zone: int = Field(default=0, ge=0)
    for_s: float = Field(default=5.0, ge=0)
    factor: float = Field(default=5.0, ge=1)
    way: Literal["both", "forward", "back"] = Field(
        default="both", description="direction of a link; forward: from limiter to server"
    )
    delay_s: float = Field(
        default=0.05, ge=0, description="delay (s) that delay_links adds to each affected direction"
    )


class Axis(StrictModel):
    """A swept parameter: a dotted path into the experiment (such as `fleet.limiters`) and its values."""

    parameter: str
    values: list[Any] = Field(min_length=1)


class SweepSpec(StrictModel):
    """The grid of a sweep, with up to two axes. Each point is run once per seed."""

    axes: list[Axis] = Field(default_factory=list, max_length=2)
    seeds: list[int] = Field(default_factory=lambda: [1])
    processes: int = Field(default=0, ge=0, description="worker processes; 0: one per core")


class Experiment(StrictModel):
    """An experiment: a fleet, a load, a fault script, a duration, and an optional sweep."""

    name: str
    duration_s: float = Field(default=60.0, gt=0)
    settle_s: float = Field(
        default=0.0, ge=0, description="warm-up time (s) at the start, excluded from the compared shares"
    )
    seed: int = 1
    strict: bool = Field(default=False, description="stop at the first broken invariant and report its trail")
    fleet: FleetSpec
    load: LoadSpec = LoadSpec()
    faults: list[FaultSpec] = Field(default_factory=list)
    sweep: SweepSpec = SweepSpec()
