"""The start file, a gateway's configuration in JSON or TOML, and the `NODE_*` variables that override it.

A start file may name further files: the membership file, the recovery file and a maintenance plan.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..protocol import server_list
from ..protocol.errors import MalformedError
from ..routing.peer_settings import PeerSettings
from ..settings import SettingsError, parse_object, read_gateway_settings, read_number, read_section
from ..site import GatewaySettings

if TYPE_CHECKING:  # Imported at run time only if the start file names such a file, to save memory.
    from ..config import MembershipFile, RecoveryFile
    from ..maintenance import Plan

Address = tuple[str, int]
Table = dict[str, Any]  # A table of a file, as parsed.
DEFAULT_MAX_OPEN_REQUESTS = 20000
DEFAULT_MAX_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192


class StartError(Exception):
    """An unusable start file, or a file that it names. The message gives the reason in one line."""


@dataclass(frozen=True)
class StartFile:
    """The checked content of a start file. Times in seconds; paths are exactly as written in the file."""

    name: str
    listen: Address
    discovery: Address
    gateway_settings: GatewaySettings
    counter: Address | None
    zones: list[str]
    kinds: list[str]
    connect_timeout: float  # Maximum time to open a connection to a server.
    server_idle_timeout: float  # Time after which servers close idle connections.
    max_open_requests: int
    allows_peer_messages: bool
    max_descriptors: int
    memory_bytes: float
    seed: int
    membership_path: str | None  # None: this gateway exchanges no messages with peers.
    maintenance_path: str | None  # The file need not exist until there is a plan.
    recovery_path: str | None  # None: this gateway does not recover lost counts.
    initial_server_list: server_list.ServerListUpdate | None


def parse(table: Table, environment: Mapping[str, str], reload: bool) -> StartFile:
    """Check the content of a start file. Raises StartError or SettingsError.

    On a `reload`, the file's discovery address takes precedence over NODE_DISCOVERY, which still has its
    value from the start of the process.
    """
    listen = parse_address(environment.get("NODE_LISTEN") or table.get("listen"), "listen")
    discovery = parse_discovery_address(table, environment, reload)
    settings = read_section(table, "settings")
    if not settings:
        raise StartError("settings are missing: expected a table with at least one key")
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
        # Peer messages are denied unless the settings allow them explicitly.
        allows_peer_messages=site_limits.get("peer_messages") is True,
        max_descriptors=int(read_number(limits, "sockets", DEFAULT_MAX_DESCRIPTORS)),
        memory_bytes=read_number(limits, "memory_mb", DEFAULT_MEMORY_MB) * 1024 * 1024,
        seed=parse_seed(table),
        membership_path=parse_path(table, "membership"),
        maintenance_path=parse_path(table, "maintenance"),
        recovery_path=parse_path(table, "recovery"),
        initial_server_list=parse_server_list(table.get("known")),
    )


def parse_discovery_address(table: Table, environment: Mapping[str, str], reload: bool) -> Address:
    """Return the address of discovery from the file or NODE_DISCOVERY. Raises StartError."""
    from_environment = environment.get("NODE_DISCOVERY")
    from_file = table.get("discovery")
    return parse_address(
        (from_file or from_environment) if reload else (from_environment or from_file), "discovery"
    )


def parse_seed(table: Table) -> int:
    """Return the seed of the random numbers, written in hexadecimal digits. Raises StartError."""
    text = str(table.get("seed", "0"))
    try:
        return int(text, 16)
    except ValueError:
        raise StartError(f"seed: expected a hexadecimal number, got {text!r}") from None


def parse_path(table: Table, key: str) -> str | None:
    """Return the path under `key`, None if the key is absent. Raises StartError."""
    path = table.get(key)
    if path is None:
        return None
    if not isinstance(path, str) or not path:
        raise StartError(f"{key}: expected the path of a file, got {path!r}")
    return path


def parse_server_list(value: object) -> server_list.ServerListUpdate | None:
    """Return the initial server list, None if the file has none. Raises StartError."""
    if value is None:
        return None
    try:
        return server_list.ServerListUpdate.from_json(value)
    except MalformedError as error:
        raise StartError(f"known: {error}") from None


def parse_names(settings: Table, key: str) -> list[str]:
    """Return the list of names under `key` of the settings, empty if absent. Raises StartError."""
    value = settings.get(key, [])
    if not isinstance(value, list):
        raise StartError(f"settings: {key}: expected a list of names, got {type(value).__name__}")
    return [str(name) for name in value]


def parse_address(text: object, key: str) -> Address:
    """Parse an address of the form HOST:PORT. Raises StartError."""
    try:
        return server_list.parse_address(text if isinstance(text, str) else "")
    except ValueError:
        raise StartError(f"{key}: expected an address of the form HOST:PORT, got {text!r}") from None


def parse_toml(text: bytes, path: str) -> Table:
    """Parse a start file in TOML, which has the same keys as one in JSON. Raises StartError."""
    from ..config import ConfigError, GatewayFile, loads

    try:
        return loads(text.decode(errors="replace"), GatewayFile, path).start_json()
    except ConfigError as error:
        # `read` adds the path.
        raise StartError(f"line {error.line}: {error.key}: {error.why}") from None


def read(environment: Mapping[str, str], reload: bool = False) -> StartFile:
    """Read and check the start file that NODE_CONFIG names. Raises StartError.

    See `parse` for `reload`.
    """
    path = environment.get("NODE_CONFIG")
    if not path:
        raise StartError("NODE_CONFIG is not set: expected the path of the start file")
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
    """Read the membership file, which lists the peers. Raises StartError."""
    from ..config import ConfigError, MembershipFile, load

    try:
        return load(path, MembershipFile)
    except ConfigError as error:
        raise StartError(f"membership: {error}") from None


def peer_settings(file: MembershipFile) -> PeerSettings:
    """Return the membership settings of a file. Its addresses are valid, because its model checked them."""
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
    """Read the recovery file, which configures the recovery of lost counts. Raises StartError."""
    from ..config import ConfigError, RecoveryFile, load

    try:
        return load(path, RecoveryFile)
    except ConfigError as error:
        raise StartError(f"recovery: {error}") from None


def read_plan_if_present(path: str) -> Plan | None:
    """Read a maintenance plan, or return None if the file does not exist. Raises StartError."""
    return read_plan(Path(path)) if Path(path).exists() else None


def read_plan(path: Path) -> Plan:
    """Read a maintenance plan. Raises StartError."""
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
