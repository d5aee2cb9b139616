"""Models of the keys in the site files of the operators' bench that a gateway's settings depend on.

A site file contains ranges, from which the bench draws the values of a simulated day. `SiteFile.settings`
returns the middle of each range under the keys that a gateway reads at its start (settings.py), so that a
site can be checked without the bench. Keys that only the bench uses are ignored.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator

Number = float | int

# Words of a site file, each with the corresponding word of a gateway's settings.
MEMBERSHIP_MODES = {"push": "pushed", "ask": "on_request"}
SEMANTICS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}


def check_range(value: Any) -> tuple[float, float]:
    """Convert a number, or a list of two numbers, into (lower end, upper end). Raises ValueError."""
    ends = value if isinstance(value, list) else [value, value]
    if len(ends) != 2 or not all(isinstance(end, Number) and not isinstance(end, bool) for end in ends):
        raise ValueError(f"expected a number or a range of two numbers, got {value!r}")
    return float(min(ends)), float(max(ends))


def check_positive(ends: tuple[float, float]) -> tuple[float, float]:
    """Return the range unchanged if both ends are above 0 and finite. Raises ValueError otherwise."""
    if not 0 < ends[0] <= ends[1] < float("inf"):
        raise ValueError(f"expected finite numbers above 0, got {list(ends)}")
    return ends


Range = Annotated[Any, AfterValidator(check_range)]
PositiveRange = Annotated[Any, AfterValidator(check_range), AfterValidator(check_positive)]


def middle(ends: tuple[float, float]) -> float:
    """Return the middle of a range."""
    return sum(ends) / 2


class SiteTable(BaseModel):
    """Base class of a site file's tables. Tables are immutable; other keys belong to the bench."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class Net(SiteTable):
    """The network, given by the names of its zones."""

    zones: list[str] = Field(min_length=1)


class DiscoverySpec(SiteTable):
    """Discovery: whether it pushes the server list to the gateways, or they ask for it."""

    mode: Literal["push", "ask"]


class Allow(SiteTable):
    """Actions that the site allows a gateway."""

    cancel: bool
    second_copies: bool
    retry_after: bool
    max_attempts: int = Field(ge=1)


class Rules(SiteTable):
    """Drain grace period (ms), and the overload at which a warming server collapses.

    `fall_multiple` is a multiple of the server's current capacity, measured over `fall_ms`.
    """

    drain_grace_ms: float = Field(ge=0)
    fall_multiple: float = Field(gt=1)
    fall_ms: float = Field(gt=0)


class ServerKind(SiteTable):
    """A kind of server: share of its capacity when it starts, and duration of its slow start (s)."""

    name: str
    cold_from: PositiveRange
    cold_s: PositiveRange


class Connections(SiteTable):
    """Connections to servers: idle timeout (s) and connect timeout (ms)."""

    idle_s: float = Field(gt=0)
    connect_timeout_ms: float = Field(gt=0)


class Tier(SiteTable):
    """The servers: their kinds and the connections to them."""

    name: str
    conn: Connections
    kind: list[ServerKind] = Field(min_length=1)


class RequestClass(SiteTable):
    """A class of requests: latency target and deadline (ms), value, idempotency and its scope."""

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
        """Check that the deadline is not below the latency target, and that a keyed class has a window."""
        if self.deadline_ms < self.aim_ms:
            raise ValueError(
                f"deadline_ms is {self.deadline_ms:g}, expected at least aim_ms ({self.aim_ms:g})"
            )
        if self.effect == "keyed" and not self.window_ms:
            raise ValueError(f"expected a window_ms above 0 for a keyed class, got {self.window_ms:g}")
        return self


class TenantSpec(SiteTable):
    """The customers of a plan, with the name of the plan."""

    name: str
    share: float = Field(gt=0)


class Quota(SiteTable):
    """A plan's quota and prices.

    `rate` is in units/s and `burst_s` in seconds of that rate; `ceiling` is a multiple of both, 0 for none.
    """

    rate: PositiveRange
    burst_s: PositiveRange
    price: float = Field(ge=0)
    over_worth: float = Field(ge=0)
    over_cost: float = Field(ge=0)
    ceiling: Range = (0.0, 0.0)


class Family(SiteTable):
    """Quotas: how the units of a request are determined, and the shared counter with its timeout (ms)."""

    units: Literal["one", "class", "size", "after"]
    most_units: float = Field(1.0, gt=0)
    slack: float = Field(ge=0)
    counter: bool
    counter_timeout_ms: float = Field(gt=0)
    plan: list[Quota] = Field(min_length=1)


class Clients(SiteTable):
    """Clients, with the longest Retry-After (ms) that they obey."""

    max_retry_after_ms: float = Field(ge=0)


class SiteFile(SiteTable):
    """A site file: a deployment that the operators' bench runs."""

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
        """Check that there are as many plans as tenants, because they are paired by position."""
        if len(self.fam.plan) != len(self.tenant):
            raise ValueError(
                f"expected one plan for each of {len(self.tenant)} tenants, got {len(self.fam.plan)}"
            )
        return self

    def settings(self, gateways: int) -> dict[str, Any]:
        """Return the settings of the first of `gateways` gateways, with the middle of each range."""
        tier = self.tier[0]
        kind = tier.kind[0]
        return {
            "areas": list(self.net.zones),
            "kinds": [server_kind.name for server_kind in tier.kind],
            "balancers": gateways,
            "slot_no": 0,
            "zone": 0,
            "membership_mode": MEMBERSHIP_MODES[self.discovery.mode],
            "classes": [class_settings(request_class) for request_class in self.classes],
            "tariffs": [
                plan_settings(tenant.name, quota, self.fam.slack)
                for tenant, quota in zip(self.tenant, self.fam.plan, strict=True)
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


def class_settings(request_class: RequestClass) -> dict[str, Any]:
    """Return the settings of a class of requests."""
    return {
        "name": request_class.name,
        "slo_s": request_class.aim_ms / 1000,
        "hard_limit_s": request_class.deadline_ms / 1000,
        "semantics": SEMANTICS[request_class.effect],
        "key_scope": request_class.group,
        "window_s": request_class.window_ms / 1000,
        "importance": request_class.worth,
        "late_value": request_class.late_worth,
    }


def plan_settings(name: str, quota: Quota, slack: float) -> dict[str, Any]:
    """Return the settings of a plan. `slack` is the ceiling's tolerance, as a share of its burst."""
    rate = middle(quota.rate)
    burst = rate * middle(quota.burst_s)
    ceiling = middle(quota.ceiling)
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
