"""The shapes of the configuration files, as pydantic models.

Times in seconds, rates per second, units as billed.

Every model forbids unknown keys, so a misspelt key is an error rather than a silent default.
"""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator


class Strict(BaseModel):
    """A part of a file: unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class RouteSpec(Strict):
    """A kind of API call.

    Its latency target and client timeout (s), whether it may run again, its share of load.
    """

    name: str
    target_s: float = Field(gt=0)
    client_timeout_s: float = Field(gt=0)
    repeat: Literal["idempotent", "tokened", "non_idempotent"] = "idempotent"
    group: Literal["all", "zone", "cell"] = "all"
    window_s: float = Field(0.0, ge=0)
    share: float = Field(1.0, gt=0)


class PlanSpec(Strict):
    """A plan, its customers and their load: quota `rate` units/s with `burst`; ceiling 0: none."""

    name: str
    rate: float = Field(ge=0)
    burst: float = Field(ge=0)
    ceiling_rate: float = Field(0.0, ge=0)
    ceiling_burst: float = Field(0.0, ge=0)
    ceiling_slack: float = Field(0.0, ge=0)
    open_cap: int = Field(0, ge=0)
    value: float = Field(1.0, ge=0, description="billed value of a call inside the quota")
    beyond_value: float = Field(
        0.0, ge=0, description="the same beyond it; above beyond_cost: a soft plan, which borrows idle room"
    )
    beyond_cost: float = Field(0.0, ge=0)
    customers: int = Field(1, ge=1)
    calls_per_s: float = Field(gt=0, description="offered load of each customer of the plan")


class ServerSpec(Strict):
    """The upstream servers.

    `count` in `zones`, each with `places` answered at once and a mean service time.
    """

    count: int = Field(20, ge=1)
    places: int = Field(8, ge=1)
    queue: int = Field(8, ge=0)
    service_s: float = Field(0.05, gt=0)
    cold_from: float = Field(0.3, gt=0, le=1)
    warm_after_s: float = Field(10.0, ge=0)
    fall_multiple: float = Field(3.0, gt=1)
    fall_for_s: float = Field(2.0, ge=0, description="how long a fallen server stays down")
    fall_within_s: float = Field(1.0, gt=0, description="rule 4's window: sends over it are judged")
    error_share: float = Field(0.0, ge=0, lt=1)


class CounterSpec(Strict):
    """The shared counter: whether the plans use it, how long an answer takes and may take (s)."""

    on: bool = True
    delay_s: float = Field(0.002, ge=0)
    wait_s: float = Field(0.05, gt=0)
    signals: bool = Field(
        False, description="limiters tell each other of sick servers by it; only in the emulator"
    )
    recovery: bool = Field(
        False, description="limiters tell a wiped or another counter, and add again what they counted"
    )
    beat_s: float = Field(
        1.0, gt=0, le=10, description="of recovery: between two looks at the counter's register"
    )
    ledgers_last: bool = Field(
        False, description="a limiter's ledger outlives its restart, as on a disk; only in the emulator"
    )


class MembershipSpec(Strict):
    """Whether the limiters know who is there by talking to each other, and how."""

    on: bool = False
    period_s: float = Field(0.25, gt=0, le=10, description="between two probes of a member")
    signals: bool = Field(
        False, description="limiters tell each other of sick servers by it (docs/choices.md)"
    )
    subsets: bool = Field(
        False,
        description="each uses a part of the servers that the fleet chose by matching (docs/choices.md)",
    )
    hard_by: Literal["sure", "live"] = Field(
        "sure", description="live: a baseline in the emulator, joint parts by who is seen"
    )


class FleetSpec(Strict):
    """The fleet: limiters, zones, servers, counter and the settings that the decisions go by."""

    limiters: int = Field(10, ge=1)
    zones: int = Field(3, ge=1)
    servers: ServerSpec = ServerSpec()
    counter: CounterSpec = CounterSpec()
    membership: MembershipSpec = MembershipSpec()
    routes: list[RouteSpec] = Field(min_length=1)
    plans: list[PlanSpec] = Field(min_length=1)
    max_tries: int = Field(3, ge=1)
    second_copies: bool = False
    may_cancel: bool = True
    longest_retry_after_s: float = Field(2.0, ge=0)
    grace_s: float = Field(1.0, ge=0, description="after a drain, time in which a send is still allowed")
    list_delay_s: float = Field(0.2, ge=0, description="how late discovery's word reaches a limiter")

    @model_validator(mode="after")
    def _listed_under_grace(self) -> "FleetSpec":
        if self.list_delay_s >= self.grace_s:
            raise ValueError("list_delay_s must be below grace_s, or rule 3 breaks by construction")
        return self


class LoadSpec(Strict):
    """Open-loop arrivals.

    Poisson, or bursty (`burst_factor` times for `burst_for_s` of every `burst_every_s`).
    """

    shape: Literal["poisson", "bursty"] = "poisson"
    scale: float = Field(1.0, gt=0, description="times the plans' calls_per_s")
    burst_factor: float = Field(3.0, ge=1)
    burst_every_s: float = Field(30.0, gt=0)
    burst_for_s: float = Field(5.0, ge=0)
    give_up_share: float = Field(0.02, ge=0, le=1, description="clients that leave before their timeout")
    repeat_share: float = Field(0.3, ge=0, le=1, description="clients that ask again after a refusal")


class FaultSpec(Strict):
    """One scripted fault at `at_s`, lasting `for_s` where that applies."""

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
    share: float = Field(0.1, ge=0, le=1)
    zone: int = Field(0, ge=0)
    for_s: float = Field(5.0, ge=0)
    factor: float = Field(5.0, ge=1)
    way: Literal["both", "forward", "back"] = Field(
        "both", description="of links: forward from limiter to server"
    )
    delay_s: float = Field(0.05, ge=0, description="delay_links: of each direction named")


class Axis(Strict):
    """One swept parameter: a dotted path into the experiment (e.g. `fleet.limiters`) and its values."""

    parameter: str
    values: list[Any] = Field(min_length=1)


class SweepSpec(Strict):
    """The grid: one or two axes, each point played once for each seed."""

    axes: list[Axis] = Field(default_factory=list, max_length=2)
    seeds: list[int] = Field(default_factory=lambda: [1])
    processes: int = Field(0, ge=0, description="0: one for each core")


class Experiment(Strict):
    """An experiment file: a fleet, a load, a fault script, a duration, and the sweep over it."""

    name: str
    duration_s: float = Field(60.0, gt=0)
    settle_s: float = Field(
        0.0, ge=0, description="from the start, not counted in the shares that are compared"
    )
    seed: int = 1
    strict: bool = Field(False, description="stop at the first broken rule, with its trail")
    fleet: FleetSpec
    load: LoadSpec = LoadSpec()
    faults: list[FaultSpec] = Field(default_factory=list)
    sweep: SweepSpec = SweepSpec()


class Limits(Strict):
    """What the program may take: descriptors, and memory (MB) for what is held for clients."""

    sockets: int = Field(1024, ge=16)
    memory_mb: float = Field(192, gt=0)


def endpoint(text: str) -> str:
    """HOST:PORT with an IPv4 address; raises ValueError."""
    host, _, port = text.rpartition(":")
    try:
        good = str(IPv4Address(host)) == host and 0 < int(port) < 65536
    except ValueError:
        good = False
    if not good:
        raise ValueError(f"an IPv4 address and a port are needed, not {text!r}")
    return text


class PeerSpec(Strict):
    """Another limiter of the fleet: its name, and the UDP address it is reached at and sends from."""

    name: str = Field(min_length=1, max_length=32)
    address: Annotated[str, AfterValidator(endpoint)]


class MembershipFile(Strict):
    """The operator's file of a limiter's peers (deploy/membership.example.toml).

    Off unless the start file names it.
    """

    fleet: str = Field(min_length=1, max_length=32, description="others' messages are dropped")
    name: str = Field(min_length=1, max_length=32, description="of this limiter, as the others list it")
    listen: Annotated[str, AfterValidator(endpoint)]
    period_s: float = Field(0.25, ge=0.05, le=10, description="between two probes; the same at all")
    signals: bool = Field(False, description="tell each other of sick servers (docs/operators/choices.md)")
    subsets: bool = Field(
        False,
        description="use the servers that the fleet chose for this one; the same at all",
    )
    peers: list[PeerSpec] = Field(min_length=1, max_length=1024)

    @model_validator(mode="after")
    def _each_once(self) -> "MembershipFile":
        names = [self.name] + [one.name for one in self.peers]
        addresses = [self.listen] + [one.address for one in self.peers]
        for what, all_of_them in (("name", names), ("address", addresses)):
            twice = next((one for one in all_of_them if all_of_them.count(one) > 1), None)
            if twice is not None:
                raise ValueError(f"the {what} {twice} is there twice")
        return self


class RecoveryFile(Strict):
    """How a limiter tells a wiped, split or other counter (deploy/recovery.example.toml).

    Off unless the start file names it.
    """

    beat_s: float = Field(
        1.0, ge=0.2, le=10, description="between two looks at the counter's register; the same at all"
    )
    missing_most: float = Field(
        0.1, ge=0, lt=1, description="share of the limiters that may be missing before quotas are parted"
    )
    ledger: str = Field(
        "", description="path of the ledger's file, on a disk that lasts; empty: kept in memory alone"
    )


class MachineSpec(Strict):
    """A machine to be taken out for work.

    Servers on it by their names in discovery's list, a limiter by its name among the peers, or both.
    """

    name: str = Field(min_length=1, max_length=32)
    zone: str = Field("", max_length=32)
    capacity: float = Field(1.0, gt=0, description="in one unit for all machines")
    servers: list[str] = Field(default_factory=list, max_length=64)
    limiter: str = Field("", max_length=32)

    @model_validator(mode="after")
    def _something_on_it(self) -> "MachineSpec":
        if not self.servers and not self.limiter:
            raise ValueError("a machine has servers, a limiter, or both")
        return self


class PlanFile(Strict):
    """The operator's plan of work on machines (deploy/maintenance.example.toml).

    Off unless the start file names it.
    """

    version: int = Field(
        ge=1, le=2**40, description="raised with every change; two plans of one version are a conflict"
    )
    voters: list[str] = Field(
        min_length=1, max_length=9, description="limiters whose majority permits; the same in every version"
    )
    voters_next: list[str] = Field(
        default_factory=list, max_length=9, description="who votes instead, once the plan runs"
    )
    most_out: int = Field(1, ge=1, le=16, description="machines out at once")
    most_zone: int = Field(1, ge=1, le=16, description="of one zone")
    capacity_least: float = Field(0.5, ge=0, lt=1, description="share of all capacity that must stay")
    served_least: float = Field(
        0.0,
        ge=0,
        le=1,
        description="share of the fleet's API calls, below which the plan halts; 0: not looked at",
    )
    answer_most_s: float = Field(
        0.0, ge=0, description="mean time of an answer, above which it halts; 0: not looked at"
    )
    work_most_s: float = Field(3600.0, gt=0, description="that work on a machine may take")
    start_within_s: float = Field(
        60.0, gt=0, description='from "safe to work" until the machine has to be gone from the list'
    )
    fill_s: float = Field(
        30.0, ge=0, description="that one that came back is filled before the next goes out"
    )
    pause_s: float = Field(5.0, ge=0)
    resume: int = Field(0, ge=0, description="raised to go on after a halt at once")
    machines: list[MachineSpec] = Field(min_length=1, max_length=256)

    @model_validator(mode="after")
    def _each_once(self) -> "PlanFile":
        for what, names in (
            ("machine", [one.name for one in self.machines]),
            ("voter", self.voters),
            ("server", [name for one in self.machines for name in one.servers]),
            ("limiter", [one.limiter for one in self.machines if one.limiter]),
        ):
            twice = next((one for one in names if names.count(one) > 1), None)
            if twice is not None:
                raise ValueError(f"the {what} {twice} is there twice")
        total, largest = (
            sum(one.capacity for one in self.machines),
            max(one.capacity for one in self.machines),
        )
        if total - largest < self.capacity_least * total:
            raise ValueError(
                f"the largest machine can never go out: {total - largest:g} of {total:g} would be left"
            )
        return self


class GatewayFile(Strict):
    """The gateway's start file in TOML: the same keys as the JSON start file (README), checked."""

    name: str = "limiter"
    listen: str
    discovery: str
    counter: str | None = None
    seed: str = "0"
    limits: Limits = Limits()
    known: Any = None
    membership: str | None = Field(None, description="path of the file of peers; off where it is not named")
    maintenance: str | None = Field(
        None, description="path of the plan of work; off where it is not named, and without peers"
    )
    recovery: str | None = Field(
        None, description="path of the file on the counter's recovery; off where it is not named"
    )
    settings: dict[str, Any]

    def start_json(self) -> dict:
        """The JSON start file that the program reads (program/start_file.py)."""
        return self.model_dump(exclude_none=True)
