"""Site files of the operators' bench: the parts that a gateway of the site is told about, checked and drawn.

A site file gives ranges; the bench draws a day from them. `SiteFile.settings` states the middle of each range
in the names of the settings that a gateway reads at its start (settings.py), so a site can be checked without
the bench. Keys that no gateway is told of are left to the bench: they are accepted here unread.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator

Number = float | int


def check_range(value: Any) -> tuple[float, float]:
    """A number, or a range of two, as (lower end, upper end). Raises ValueError."""
    ends = value if isinstance(value, list) else [value, value]
    if len(ends) != 2 or not all(isinstance(end, Number) and not isinstance(end, bool) for end in ends):
        raise ValueError(f"a number or a range of two is needed, not {value!r}")
    return float(min(ends)), float(max(ends))


def check_positive(ends: tuple[float, float]) -> tuple[float, float]:
    """Both ends of a range have to be above 0, the first not above the second."""
    if not 0 < ends[0] <= ends[1] < float("inf"):
        raise ValueError(f"only numbers above 0 are possible, not {list(ends)}")
    return ends


Range = Annotated[Any, AfterValidator(check_range)]
PositiveRange = Annotated[Any, AfterValidator(check_range), AfterValidator(check_positive)]


def middle(ends: tuple[float, float]) -> float:
    """The middle of a range."""
    return sum(ends) / 2


class Part(BaseModel):
    """A table of a site file: keys that are not listed here are the bench's own."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class Net(Part):
    """The network. `zones` may name a single one."""

    zones: list[str] = Field(min_length=1)


class DiscoverySpec(Part):
    """Whether lists of servers are pushed to the gateways or asked for."""

    mode: Literal["push", "ask"]


class Allow(Part):
    """What gateways may do."""

    cancel: bool
    second_copies: bool
    retry_after: bool
    max_attempts: int = Field(ge=1)


class Rules(Part):
    """The rules on draining (ms) and on cold servers (a multiple of what they can do, within ms)."""

    drain_grace_ms: float = Field(ge=0)
    fall_multiple: float = Field(gt=1)
    fall_ms: float = Field(gt=0)


class ServerKind(Part):
    """A kind of server: the share of its capacity it starts with, and the seconds until it is warm."""

    name: str
    cold_from: PositiveRange
    cold_s: PositiveRange


class Connections(Part):
    """Connections to servers: when an idle one is closed (s), how long one may take to come up (ms)."""

    idle_s: float = Field(gt=0)
    connect_timeout_ms: float = Field(gt=0)


class Tier(Part):
    """The servers."""

    name: str
    conn: Connections
    kind: list[ServerKind] = Field(min_length=1)


class RequestClass(Part):
    """A class of requests.

    Its aim and deadline (ms), what it is worth, whether it may run again and where.
    """

    name: str
    aim_ms: float = Field(gt=0)
    deadline_ms: float = Field(gt=0)
    worth: float = Field(ge=0)
    late_worth: float = Field(0.0, ge=0)
    effect: Literal["safe", "keyed", "unsafe"]
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: float = Field(0.0, ge=0)

    @model_validator(mode="after")
    def check_times(self) -> RequestClass:
        """A request has to have time for its answer."""
        if self.deadline_ms < self.aim_ms:
            raise ValueError("deadline_ms is below aim_ms")
        if self.effect == "keyed" and not self.window_ms:
            raise ValueError("a keyed class needs a window_ms above 0")
        return self


class TenantSpec(Part):
    """Customers on one plan, by the name of the plan."""

    name: str
    share: float = Field(gt=0)


class Quota(Part):
    """A plan's quota.

    Units a second, seconds of them held at most, prices, and a ceiling in multiples of both.
    """

    rate: PositiveRange
    burst_s: PositiveRange
    price: float = Field(ge=0)
    over_worth: float = Field(ge=0)
    over_cost: float = Field(ge=0)
    ceiling: Range = (0.0, 0.0)


class Family(Part):
    """What belongs to gateways with quotas: how units are told, the counter and its time-out (ms)."""

    units: Literal["one", "class", "size", "after"]
    most_units: float = Field(1.0, gt=0)
    slack: float = Field(ge=0)
    counter: bool
    counter_timeout_ms: float = Field(gt=0)
    plan: list[Quota] = Field(min_length=1)


class Clients(Part):
    """What clients do after a refusal: they wait at most so long (ms)."""

    max_retry_after_ms: float = Field(ge=0)


class SiteFile(Part):
    """A deployment as the operators' bench reads it."""

    name: str = Field(min_length=1)
    family: Literal["gate"]
    net: Net
    discovery: DiscoverySpec
    allow: Allow
    rules: Rules
    clients: Clients
    tier: list[Tier] = Field(min_length=1, max_length=1)
    classes: list[RequestClass] = Field(alias="class", min_length=1)
    tenant: list[TenantSpec] = Field(min_length=1)
    fam: Family

    @model_validator(mode="after")
    def check_plans(self) -> SiteFile:
        """What the plans name has to be there."""
        if len(self.fam.plan) != len(self.tenant):
            raise ValueError(f"{len(self.tenant)} tenants need as many plans, not {len(self.fam.plan)}")
        return self

    def settings(self, gateways: int) -> dict[str, Any]:
        """The settings of one of so many gateways, with the middle of each range."""
        tier, kind = self.tier[0], self.tier[0].kind[0]
        return {
            "areas": list(self.net.zones),
            "kinds": [one.name for one in tier.kind],
            "balancers": gateways,
            "slot_no": 0,
            "zone": 0,
            "membership_mode": {"push": "pushed", "ask": "on_request"}[self.discovery.mode],
            "classes": [class_settings(one) for one in self.classes],
            "tariffs": [
                plan_settings(one.name, quota, self.fam.slack)
                for one, quota in zip(self.tenant, self.fam.plan, strict=False)
            ],
            "extra": {
                "counter": self.fam.counter,
                "count_limit_s": self.fam.counter_timeout_ms / 1000,
                "largest": self.fam.most_units,
                "trued_up": self.fam.units == "after",
            },
            "limits": {
                "max_attempts": self.allow.max_attempts,
                "cancel": self.allow.cancel,
                "second_copies": self.allow.second_copies,
                "retry_after": self.allow.retry_after,
                "max_retry_after_s": self.clients.max_retry_after_ms / 1000,
                "conn_idle_s": tier.conn.idle_s,
                "connect_timeout_s": tier.conn.connect_timeout_ms / 1000,
            },
            "invariants": {
                "cold_from": middle(kind.cold_from),
                "ramp_time_s": middle(kind.cold_s),
                "fall_multiple": self.rules.fall_multiple,
                "fall_s": self.rules.fall_ms / 1000,
            },
        }


def class_settings(one: RequestClass) -> dict[str, Any]:
    """A class as the settings name its parts."""
    semantics = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}[one.effect]
    return {
        "name": one.name,
        "slo_s": one.aim_ms / 1000,
        "hard_limit_s": one.deadline_ms / 1000,
        "semantics": semantics,
        "key_scope": one.group,
        "window_s": one.window_ms / 1000,
        "importance": one.worth,
        "late_value": one.late_worth,
    }


def plan_settings(name: str, quota: Quota, slack: float) -> dict[str, Any]:
    """A plan as the settings name its parts."""
    rate, burst, ceiling = (
        middle(quota.rate),
        middle(quota.rate) * middle(quota.burst_s),
        middle(quota.ceiling),
    )
    return {
        "name": name,
        "refill": rate,
        "store_size": burst,
        "ceiling_rate": ceiling * rate,
        "cap_depth": ceiling * burst,
        "tolerance": slack * ceiling * burst,
        "pays": quota.price,
        "excess_worth": quota.over_worth,
        "overrun_cost": quota.over_cost,
    }
