"""What the program is told at its start: a file of JSON, and a few variables beside it."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Mapping

from ..protocol import hosts
from ..protocol.resp import MalformedError
from ..settings import SettingsError, parse_object, read_gateway_settings, read_number, read_section

if TYPE_CHECKING:
    from ..maintenance import Plan


class StartError(Exception):
    """The program can't start as it was told to: says why in one line."""


class Start:
    """The start file, read and checked."""

    def __init__(self, told: dict, environment: Mapping[str, str], again: bool):
        """Raises StartError or SettingsError. `again`: read anew, so the file goes before the variables."""
        self.name = str(environment.get("NODE_NAME") or told.get("name") or "limiter")
        self.listen = address(environment.get("NODE_LISTEN") or told.get("listen"), "listen")
        variable, said = environment.get("NODE_DISCOVERY"), told.get("discovery")
        self.discovery = address((said or variable) if again else (variable or said), "discovery")
        settings = read_section(told, "settings")
        if not settings:
            raise StartError("settings are missing")
        self.gateway_settings = read_gateway_settings(settings)
        has_counter = self.gateway_settings.counter_timeout > 0
        self.counter = address(told.get("counter"), "counter") if has_counter else None
        self.zones, self.kinds = names(settings, "areas"), names(settings, "kinds")
        self.read_limits(read_section(settings, "limits"), read_section(told, "limits"))
        try:
            self.seed = int(str(told.get("seed", "0")), 16)
        except ValueError:
            raise StartError("seed is not a hexadecimal number") from None
        self.membership = optional_path(told, "membership")
        # Without peers there is none, and a file that is not there yet is a plan that was not given yet.
        self.maintenance = optional_path(told, "maintenance")
        # It calls the counter each beat, and a ledger needs a disk that lasts.
        self.recovery = optional_path(told, "recovery")
        self.known = known_list(told.get("known"))

    def read_limits(self, site: dict, program: dict) -> None:
        """What the site's settings and the start file allow."""
        self.connect_within = read_number(site, "connect_timeout_s", 1.0)
        self.server_idle_for = read_number(site, "conn_idle_s", 60.0)
        self.most_calls = int(read_number(site, "open_cap", 20000)) or 20000
        # Deny by default: only settings that say so let limiters talk to each other.
        self.may_talk = site.get("peer_messages") is True
        self.sockets = int(read_number(program, "sockets", 1024))
        self.memory = read_number(program, "memory_mb", 192) * 1024 * 1024


def optional_path(told: dict, name: str) -> str | None:
    """The path of an operator's file, whose part is off where none is named. Raises StartError."""
    path = told.get(name)
    if path is not None and not (isinstance(path, str) and path):
        raise StartError(f"{name} is not the path of a file")
    return path


def known_list(told: object) -> hosts.News | None:
    """The server list as last heard, None where none is told. Raises StartError."""
    if told is None:
        return None
    try:
        return hosts.News(told)
    except MalformedError as bad:
        raise StartError(f"known: {bad}") from None


def names(settings: dict, name: str) -> list[str]:
    """A list of names in the settings. Raises StartError."""
    value = settings.get(name, [])
    if not isinstance(value, list):
        raise StartError(f"settings: {name} is not a list")
    return [str(item) for item in value]


def address(text, what: str) -> tuple[str, int]:
    """An address of the form HOST:PORT. Raises StartError."""
    try:
        return hosts.address(text if isinstance(text, str) else "")
    except ValueError:
        raise StartError(f"{what}: an address of the form HOST:PORT is needed, not {text!r}") from None


def toml(text: bytes, path: str) -> dict:
    """A start file in TOML, checked against config.models.GatewayFile: the same keys as the JSON one."""
    from ..config import ConfigError, GatewayFile, loads

    try:
        return loads(text.decode(errors="replace"), GatewayFile, path).start_json()
    except ConfigError as broken:
        raise StartError(f"line {broken.line}: {broken.key}: {broken.why}") from None  # read() names the file


def peers(start: Start):
    """The file of peers that a start file names (config.models.MembershipFile).

    Raises StartError in one line.
    """
    from ..config import ConfigError, MembershipFile, load

    try:
        return load(start.membership, MembershipFile)
    except ConfigError as broken:
        raise StartError(f"membership: {broken}") from None


def recovery(start: Start):
    """The file that a start file names for the counter's recovery (config.models.RecoveryFile).

    Raises StartError in one line.
    """
    from ..config import ConfigError, RecoveryFile, load

    try:
        return load(start.recovery, RecoveryFile)
    except ConfigError as broken:
        raise StartError(f"recovery: {broken}") from None


def plan(start: Start) -> Plan | None:
    """The plan of work that a start file names, None where there is none yet.

    Raises StartError in one line.
    """
    if not start.maintenance or not Path(start.maintenance).exists():
        return None
    return plan_from_file(Path(start.maintenance))


def plan_from_file(path: Path) -> Plan:
    """A plan of work; raises StartError in one line."""
    from ..config import ConfigError, PlanFile, load
    from ..maintenance import Machine, Plan

    try:
        spec = load(str(path), PlanFile)
    except ConfigError as broken:
        raise StartError(f"maintenance: {broken}") from None
    machines = tuple(
        Machine(one.name, one.zone, one.capacity, tuple(one.servers), one.limiter) for one in spec.machines
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


def read(environment: Mapping[str, str], again: bool = False) -> Start:
    """The file is the newer word where it is read again: the variables are those of the program's start."""
    path = environment.get("NODE_CONFIG")
    if not path:
        raise StartError("NODE_CONFIG is not set: it names the start file")
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as broken:
        raise StartError(f"{path}: {broken.strerror}") from None
    try:
        told = toml(text, path) if path.endswith(".toml") else parse_object(text)
        return Start(told, environment, again)
    except (SettingsError, StartError) as broken:
        raise StartError(f"{path}: {broken}") from None
