"""The start file: what a gateway is configured with, in JSON or TOML, and the `NODE_*` variables beside it.

It may name further files of the operators: peers, recovery and a maintenance plan.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, Mapping

from ..protocol import server_list
from ..protocol.errors import MalformedError
from ..routing.peer_settings import PeerSettings
from ..settings import SettingsError, parse_object, read_gateway_settings, read_number, read_section
from ..site import GatewaySettings

if TYPE_CHECKING:  # imported where such a file is named only: they cost memory
    from ..config import MembershipFile, RecoveryFile
    from ..maintenance import Plan

Address = tuple[str, int]
Table = dict[str, Any]  # of a file, as parsed
DEFAULT_MAX_OPEN_REQUESTS = 20000
DEFAULT_MAX_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192


class StartError(Exception):
    """The program cannot start with these files; the message says why in one line."""


@dataclass(frozen=True)
class StartFile:
    """A start file, read and checked. Times in seconds; the paths are as they stand in the file."""

    name: str
    listen: Address
    discovery: Address
    gateway_settings: GatewaySettings
    counter: Address | None
    zones: list[str]
    kinds: list[str]
    connect_timeout: float  # to servers
    server_idle_timeout: float  # after which servers close idle connections
    max_open_requests: int
    allows_peer_messages: bool
    max_descriptors: int
    memory_bytes: float
    seed: int
    membership_path: str | None  # None: this gateway talks to no peers
    maintenance_path: str | None  # a file that does not exist stands for no plan yet
    recovery_path: str | None
    initial_server_list: server_list.ServerListUpdate | None


def parse(table: Table, environment: Mapping[str, str], reload: bool) -> StartFile:
    """Read and check a start file. Raises StartError or SettingsError.

    `reload`: the file is read again. Its address of discovery then precedes the variable's, which is as old
    as the program.
    """
    listen = parse_address(environment.get("NODE_LISTEN") or table.get("listen"), "listen")
    discovery = parse_discovery_address(table, environment, reload)
    settings = read_section(table, "settings")
    if not settings:
        raise StartError("settings are missing")
    gateway_settings = read_gateway_settings(settings)
    has_counter = gateway_settings.counter_timeout > 0
    site_limits = read_section(settings, "limits")
    limits = read_section(table, "limits")
    return StartFile(
        name=str(environment.get("NODE_NAME") or table.get("name") or "limiter"),
        listen=listen,
        discovery=discovery,
        gateway_settings=gateway_settings,
        counter=parse_address(table.get("counter"), "counter") if has_counter else None,
        zones=parse_names(settings, "areas"),
        kinds=parse_names(settings, "kinds"),
        connect_timeout=read_number(site_limits, "connect_timeout_s", 1.0),
        server_idle_timeout=read_number(site_limits, "conn_idle_s", 60.0),
        max_open_requests=int(read_number(site_limits, "open_cap", DEFAULT_MAX_OPEN_REQUESTS))
        or DEFAULT_MAX_OPEN_REQUESTS,
        allows_peer_messages=site_limits.get("peer_messages") is True,  # denied unless the settings allow it
        max_descriptors=int(read_number(limits, "sockets", DEFAULT_MAX_DESCRIPTORS)),
        memory_bytes=read_number(limits, "memory_mb", DEFAULT_MEMORY_MB) * 1024 * 1024,
        seed=parse_seed(table),
        membership_path=parse_path(table, "membership"),
        maintenance_path=parse_path(table, "maintenance"),
        recovery_path=parse_path(table, "recovery"),
        initial_server_list=parse_server_list(table.get("known")),
    )


def parse_discovery_address(table: Table, environment: Mapping[str, str], reload: bool) -> Address:
    """The address of discovery. Raises StartError."""
    variable = environment.get("NODE_DISCOVERY")
    text = table.get("discovery")
    return parse_address((text or variable) if reload else (variable or text), "discovery")


def parse_seed(table: Table) -> int:
    """The seed of the random numbers, a hexadecimal number. Raises StartError."""
    try:
        return int(str(table.get("seed", "0")), 16)
    except ValueError:
        raise StartError("seed is not a hexadecimal number") from None


def parse_path(table: Table, key: str) -> str | None:
    """The path of an operators' file, None where none is named. Raises StartError."""
    path = table.get(key)
    if path is None:
        return None
    if not isinstance(path, str) or not path:
        raise StartError(f"{key} is not the path of a file")
    return path


def parse_server_list(value: object) -> server_list.ServerListUpdate | None:
    """The server list to begin with, None where there is none. Raises StartError."""
    if value is None:
        return None
    try:
        return server_list.ServerListUpdate.from_json(value)
    except MalformedError as error:
        raise StartError(f"known: {error}") from None


def parse_names(settings: Table, key: str) -> list[str]:
    """A list of names in the settings. Raises StartError."""
    value = settings.get(key, [])
    if not isinstance(value, list):
        raise StartError(f"settings: {key} is not a list")
    return [str(name) for name in value]


def parse_address(text: object, key: str) -> Address:
    """An address of the form HOST:PORT. Raises StartError."""
    try:
        return server_list.parse_address(text if isinstance(text, str) else "")
    except ValueError:
        raise StartError(f"{key}: an address of the form HOST:PORT is needed, not {text!r}") from None


def parse_toml(text: bytes, path: str) -> Table:
    """The table of a start file in TOML, which has the same keys as one in JSON. Raises StartError."""
    from ..config import ConfigError, GatewayFile, loads

    try:
        return loads(text.decode(errors="replace"), GatewayFile, path).start_json()
    except ConfigError as error:
        # Without the path, which `read` adds
        raise StartError(f"line {error.line}: {error.key}: {error.why}") from None


def read(environment: Mapping[str, str], reload: bool = False) -> StartFile:
    """Read the start file that `NODE_CONFIG` names. Raises StartError; `reload`: as of `parse`."""
    path = environment.get("NODE_CONFIG")
    if not path:
        raise StartError("NODE_CONFIG is not set: it names the start file")
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise StartError(f"{path}: {error.strerror}") from None
    try:
        table = parse_toml(text, path) if path.endswith(".toml") else parse_object(text)
        return parse(table, environment, reload)
    except (SettingsError, StartError) as error:
        raise StartError(f"{path}: {error}") from None


def read_membership_file(path: str) -> MembershipFile:
    """The operators' file of peers. Raises StartError."""
    from ..config import ConfigError, MembershipFile, load

    try:
        return load(path, MembershipFile)
    except ConfigError as error:
        raise StartError(f"membership: {error}") from None


def peer_settings(file: MembershipFile) -> PeerSettings:
    """The settings of the membership; the file's addresses are checked already."""
    return PeerSettings(
        fleet=file.fleet,
        name=file.name,
        listen=server_list.parse_address(file.listen),
        period=file.period_s,
        peers={peer.name: server_list.parse_address(peer.address) for peer in file.peers},
        shares_ejections=file.signals,
        uses_subsets=file.subsets,
    )


def read_recovery_file(path: str) -> RecoveryFile:
    """The operators' file of the counter's recovery. Raises StartError."""
    from ..config import ConfigError, RecoveryFile, load

    try:
        return load(path, RecoveryFile)
    except ConfigError as error:
        raise StartError(f"recovery: {error}") from None


def read_plan_if_present(path: str) -> Plan | None:
    """The operators' maintenance plan, None where the file does not exist yet. Raises StartError."""
    return read_plan(Path(path)) if Path(path).exists() else None


def read_plan(path: Path) -> Plan:
    """An operators' maintenance plan. Raises StartError."""
    from ..config import ConfigError, PlanFile, load
    from ..maintenance import Machine, Plan

    try:
        spec = load(str(path), PlanFile)
    except ConfigError as error:
        raise StartError(f"maintenance: {error}") from None
    machines = tuple(
        Machine(machine.name, machine.zone, machine.capacity, tuple(machine.servers), machine.limiter)
        for machine in spec.machines
    )
    return Plan(
        version=spec.version,
        machines=machines,
        voters=tuple(spec.voters),
        max_out=spec.most_out,
        max_out_per_zone=spec.most_zone,
        min_capacity_share=spec.capacity_least,
        min_served_share=spec.served_least,
        max_response_s=spec.answer_most_s,
        max_work_s=spec.work_most_s,
        start_within_s=spec.start_within_s,
        warm_up_s=spec.fill_s,
        pause_s=spec.pause_s,
        next_voters=tuple(spec.voters_next),
        resume=spec.resume,
    )
