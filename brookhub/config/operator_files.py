"""The models of the files that operators write for a gateway: start file, peers, recovery, maintenance plan.

Times in seconds. An unknown key is an error rather than a silent default (`StrictModel`).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from ipaddress import IPv4Address
from typing import Annotated, Any

from pydantic import AfterValidator, Field, model_validator

from .base import StrictModel

MAX_PORT = 65535


class Limits(StrictModel):
    """Resource limits of the process: file descriptors, and memory (MB) for buffered client data."""

    sockets: int = Field(default=1024, ge=16)
    memory_mb: float = Field(default=192, gt=0)


def check_endpoint(text: str) -> str:
    """Return `text` unchanged if it is HOST:PORT with an IPv4 address; raises ValueError otherwise."""
    host, _, port = text.rpartition(":")
    try:
        valid = str(IPv4Address(host)) == host and 0 < int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if not valid:
        raise ValueError(f"an IPv4 address and a port are needed, not {text!r}")
    return text


Endpoint = Annotated[str, AfterValidator(check_endpoint)]


def check_unique(kind: str, values: Sequence[str]) -> None:
    """Raise ValueError naming the first of `values` that occurs more than once; `kind` says what it is."""
    counts = Counter(values)
    for value in values:
        if counts[value] > 1:
            raise ValueError(f"the {kind} {value} is there twice")


class PeerSpec(StrictModel):
    """Another limiter of the fleet: its name, and the UDP address that it receives at and sends from."""

    name: str = Field(min_length=1, max_length=32)
    address: Endpoint


class MembershipFile(StrictModel):
    """The file of a limiter's peers (deploy/membership.example.toml).

    Membership is disabled unless the start file names such a file.
    """

    fleet: str = Field(
        min_length=1, max_length=32, description="name of the fleet; messages of other fleets are dropped"
    )
    name: str = Field(min_length=1, max_length=32, description="name of this limiter, as its peers list it")
    listen: Endpoint
    period_s: float = Field(
        default=0.25, ge=0.05, le=10, description="time between two probes; the same on all limiters"
    )
    signals: bool = Field(
        default=False, description="exchange outlier signals on servers (docs/operators/choices.md)"
    )
    subsets: bool = Field(
        default=False,
        description="use the subset of servers that the fleet assigned; the same on all limiters",
    )
    peers: list[PeerSpec] = Field(min_length=1, max_length=1024)

    @model_validator(mode="after")
    def check_unique_names(self) -> MembershipFile:
        """Names and addresses have to be unique, this limiter's own included."""
        check_unique("name", [self.name, *(peer.name for peer in self.peers)])
        check_unique("address", [self.listen, *(peer.address for peer in self.peers)])
        return self


class RecoveryFile(StrictModel):
    """How a limiter detects a wiped, split or replaced counter (deploy/recovery.example.toml).

    Recovery is disabled unless the start file names such a file.
    """

    beat_s: float = Field(
        default=1.0,
        ge=0.2,
        le=10,
        description="heartbeat interval of the counter's register; the same on all limiters",
    )
    missing_most: float = Field(
        default=0.1, ge=0, lt=1, description="share of limiters that may be missing before quotas are divided"
    )
    ledger: str = Field(
        default="", description="path of the ledger file, on a persistent disk; empty: in memory only"
    )


class MachineSpec(StrictModel):
    """A machine to be taken out for maintenance.

    It carries servers (names as in discovery's list), a limiter (name as among the peers), or both.
    """

    name: str = Field(min_length=1, max_length=32)
    zone: str = Field(default="", max_length=32)
    capacity: float = Field(default=1.0, gt=0, description="capacity in any unit that all machines share")
    servers: list[str] = Field(default_factory=list, max_length=64)
    limiter: str = Field(default="", max_length=32)

    @model_validator(mode="after")
    def check_not_empty(self) -> MachineSpec:
        """A machine without servers and limiter would be a mistake."""
        if not self.servers and not self.limiter:
            raise ValueError("a machine has servers, a limiter, or both")
        return self


class PlanFile(StrictModel):
    """A plan of maintenance work on machines (deploy/maintenance.example.toml).

    Maintenance is disabled unless the start file names such a file.
    """

    version: int = Field(
        ge=1, le=2**40, description="raised with every change; two plans of the same version conflict"
    )
    voters: list[str] = Field(
        min_length=1,
        max_length=9,
        description="limiters whose majority permits a take-out; the same in every version",
    )
    voters_next: list[str] = Field(
        default_factory=list, max_length=9, description="voters that replace them once the plan runs"
    )
    most_out: int = Field(default=1, ge=1, le=16, description="maximum number of machines out at once")
    most_zone: int = Field(
        default=1, ge=1, le=16, description="maximum number of machines of one zone out at once"
    )
    capacity_least: float = Field(
        default=0.5, ge=0, lt=1, description="minimum share of the total capacity that stays in service"
    )
    served_least: float = Field(
        default=0.0,
        ge=0,
        le=1,
        description="share of served requests below which the plan halts; 0: not checked",
    )
    answer_most_s: float = Field(
        default=0.0, ge=0, description="mean latency above which the plan halts; 0: not checked"
    )
    work_most_s: float = Field(default=3600.0, gt=0, description="maximum duration of the work on a machine")
    start_within_s: float = Field(
        default=60.0,
        gt=0,
        description='time from "safe to work" until the machine has to be gone from the list',
    )
    fill_s: float = Field(
        default=30.0, ge=0, description="recovery ramp of a returned machine before the next one goes out"
    )
    pause_s: float = Field(default=5.0, ge=0, description="pause between two machines")
    resume: int = Field(default=0, ge=0, description="raised to continue at once after a halt")
    machines: list[MachineSpec] = Field(min_length=1, max_length=256)

    @model_validator(mode="after")
    def check_unique_names(self) -> PlanFile:
        """Machines, voters, servers and limiters have to be named once each."""
        check_unique("machine", [machine.name for machine in self.machines])
        check_unique("voter", self.voters)
        check_unique("server", [server for machine in self.machines for server in machine.servers])
        check_unique("limiter", [machine.limiter for machine in self.machines if machine.limiter])
        return self

    @model_validator(mode="after")
    def check_capacity(self) -> PlanFile:
        """Every machine, the largest included, has to fit under `capacity_least`."""
        total = sum(machine.capacity for machine in self.machines)
        remaining = total - max(machine.capacity for machine in self.machines)
        if remaining < self.capacity_least * total:
            raise ValueError(
                f"the largest machine can never go out: {remaining:g} of {total:g} would be left"
            )
        return self


class GatewayFile(StrictModel):
    """The gateway's start file in TOML, with the keys of the JSON start file (README)."""

    name: str = "limiter"
    listen: str
    discovery: str
    counter: str | None = None
    seed: str = "0"
    limits: Limits = Limits()
    known: Any = None
    membership: str | None = Field(
        default=None, description="path of the file of peers; empty: membership is disabled"
    )
    maintenance: str | None = Field(
        default=None, description="path of the maintenance plan; needs membership; empty: disabled"
    )
    recovery: str | None = Field(default=None, description="path of the recovery file; empty: disabled")
    settings: dict[str, Any]

    def start_json(self) -> dict[str, Any]:
        """The content of the JSON start file that the program reads (program/start_file.py)."""
        return self.model_dump(exclude_none=True)
