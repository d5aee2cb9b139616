"""Models of a gateway's files: start file, membership file, recovery file and maintenance plan.

Times in seconds. An unknown key is an error, so that a misspelt key does not silently leave the default
(`StrictModel`).
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
    """Resource limits of the process: number of file descriptors, and memory (MB) for buffered data."""

    sockets: int = Field(default=1024, ge=16)
    memory_mb: float = Field(default=192, gt=0)


def check_endpoint(text: str) -> str:
    """Return `text` unchanged if it is HOST:PORT with an IPv4 address. Raises ValueError otherwise."""
    host, _, port = text.rpartition(":")
    try:
        valid = str(IPv4Address(host)) == host and 0 < int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if not valid:
        raise ValueError(f"expected an IPv4 address and a port (1 to {MAX_PORT}) as HOST:PORT, got {text!r}")
    return text


Endpoint = Annotated[str, AfterValidator(check_endpoint)]


def check_unique(kind: str, values: Sequence[str]) -> None:
    """Raise ValueError if a value occurs more than once. `kind` names the type of value in the message."""
    counts = Counter(values)
    for value in values:
        if counts[value] > 1:
            raise ValueError(f"the {kind} {value} is listed {counts[value]} times, expected once")


class PeerSpec(StrictModel):
    """Another limiter of the fleet: its name, and the UDP address that it receives at and sends from."""

    name: str = Field(min_length=1, max_length=32)
    address: Endpoint


class MembershipFile(StrictModel):
    """The membership file, which lists a limiter's peers (deploy/membership.example.toml).

    Membership is disabled unless the start file names such a file.
    """

    fleet: str = Field(
        min_length=1, max_length=32, description="name of the fleet; messages of other fleets are dropped"
    )
    name: str = Field(min_length=1, max_length=32, description="name of this limiter, as its peers list it")
    listen: Endpoint
    period_s: float = Field(
        default=0.25,
        ge=0.05,
        le=10,
        description="time (s) between two probes; must be the same on all limiters",
    )
    signals: bool = Field(
        default=False, description="exchange outlier signals about servers (docs/operators/choices.md)"
    )
    subsets: bool = Field(
        default=False,
        description="use the subset of servers that the fleet assigns; must be the same on all limiters",
    )
    peers: list[PeerSpec] = Field(min_length=1, max_length=1024)

    @model_validator(mode="after")
    def check_unique_names(self) -> MembershipFile:
        """Check that names and addresses are unique, including this limiter's own."""
        check_unique("name", [self.name, *(peer.name for peer in self.peers)])
        check_unique("address", [self.listen, *(peer.address for peer in self.peers)])
        return self


class RecoveryFile(StrictModel):
    """Settings by which a limiter detects a wiped, split or replaced counter (deploy/recovery.example.toml).

    Recovery is disabled unless the start file names such a file.
    """

    beat_s: float = Field(
        default=1.0,
        ge=0.2,
        le=10,
        description="heartbeat interval (s) in the counter's register; must be the same on all limiters",
    )
    missing_most: float = Field(
        default=0.1, ge=0, lt=1, description="share of limiters that may be missing before quotas are divided"
    )
    ledger: str = Field(
        default="", description="path of the ledger file, on a persistent disk; empty: in memory only"
    )


class MachineSpec(StrictModel):
    """A machine to be taken out for maintenance.

    It carries servers, named as in discovery's list, or a limiter, named as in the membership file, or both.
    """

    name: str = Field(min_length=1, max_length=32)
    zone: str = Field(default="", max_length=32)
    capacity: float = Field(default=1.0, gt=0, description="capacity in any unit that all machines share")
    servers: list[str] = Field(default_factory=list, max_length=64)
    limiter: str = Field(default="", max_length=32)

    @model_validator(mode="after")
    def check_not_empty(self) -> MachineSpec:
        """Check that the machine carries a server or a limiter."""
        if not self.servers and not self.limiter:
            raise ValueError(f"machine {self.name} is empty, expected servers, a limiter, or both")
        return self


class PlanFile(StrictModel):
    """A maintenance plan (deploy/maintenance.example.toml).

    Maintenance is disabled unless the start file names such a file.
    """

    version: int = Field(
        ge=1,
        le=2**40,
        description="version, to be increased with every change; two plans of the same version conflict",
    )
    voters: list[str] = Field(
        min_length=1,
        max_length=9,
        description="limiters whose majority permits taking a machine out; the same in every version",
    )
    voters_next: list[str] = Field(
        default_factory=list,
        max_length=9,
        description="voters that replace the current ones once the plan runs",
    )
    most_out: int = Field(default=1, ge=1, le=16, description="maximum number of machines out at once")
    most_zone: int = Field(
        default=1, ge=1, le=16, description="maximum number of machines of one zone out at once"
    )
    capacity_least: float = Field(
        default=0.5, ge=0, lt=1, description="minimum share of the total capacity that has to stay in service"
    )
    served_least: float = Field(
        default=0.0,
        ge=0,
        le=1,
        description="share of served requests below which the plan halts; 0: not checked",
    )
    answer_most_s: float = Field(
        default=0.0, ge=0, description="mean latency (s) above which the plan halts; 0: not checked"
    )
    work_most_s: float = Field(
        default=3600.0, gt=0, description="maximum duration (s) of the work on a machine"
    )
    start_within_s: float = Field(
        default=60.0,
        gt=0,
        description='time (s) from "safe to work" within which the machine has to leave the server list',
    )
    fill_s: float = Field(
        default=30.0,
        ge=0,
        description="warm-up time (s) of a returned machine before the next one is taken out",
    )
    pause_s: float = Field(default=5.0, ge=0, description="pause (s) between two machines")
    resume: int = Field(default=0, ge=0, description="to be increased to continue immediately after a halt")
    machines: list[MachineSpec] = Field(min_length=1, max_length=256)

    @model_validator(mode="after")
    def check_unique_names(self) -> PlanFile:
        """Check that no machine, voter, server or limiter is listed twice."""
        check_unique("machine", [machine.name for machine in self.machines])
        check_unique("voter", self.voters)
        check_unique("server", [server for machine in self.machines for server in machine.servers])
        check_unique("limiter", [machine.limiter for machine in self.machines if machine.limiter])
        return self

    @model_validator(mode="after")
    def check_capacity(self) -> PlanFile:
        """Check that `capacity_least` allows every machine to be taken out, including the largest."""
        total = sum(machine.capacity for machine in self.machines)
        remaining = total - max(machine.capacity for machine in self.machines)
        if remaining < self.capacity_least * total:
            raise ValueError(
                f"the largest machine can never go out: capacity {remaining:g} of {total:g} would remain, "
                f"expected at least {self.capacity_least * total:g} (capacity_least {self.capacity_least:g})"
            )
        return self


class GatewayFile(StrictModel):
    """A gateway's start file in TOML. It has the same keys as the JSON start file (README)."""

    name: str = "limiter"
    listen: str
    discovery: str
    counter: str | None = None
    seed: str = "0"
    limits: Limits = Limits()
    known: Any = None
    membership: str | None = Field(
        default=None, description="path of the membership file; if absent, membership is disabled"
    )
    maintenance: str | None = Field(
        default=None, description="path of the maintenance plan, requires membership; if absent, disabled"
    )
    recovery: str | None = Field(default=None, description="path of the recovery file; if absent, disabled")
    settings: dict[str, Any]

    def start_json(self) -> dict[str, Any]:
        """Return the content in the form of a JSON start file (see program/start_file.py)."""
        return self.model_dump(exclude_none=True)
