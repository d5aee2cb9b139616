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
        self.name = str(environment.get("NODE_NAME") or told.get("name") or "limiter")
        self.listen = address(environment.get("NODE_LISTEN") or told.get("listen"), "listen")
        variable, said = environment.get("NODE_DISCOVERY"), told.get("discovery")
        self.discovery = address((said or variable) if again else (variable or said), "discovery")
        settings = read_section(told, "settings")
        if not settings:
            raise StartError("settings are missing")
        self.gateway_settings, limits = read_gateway_settings(settings), read_section(settings, "limits")
        self.counter = None
        if self.gateway_settings.counter_wait > 0:
            self.counter = address(told.get("counter"), "counter")
        self.zones, self.kinds = names(settings, "areas"), names(settings, "kinds")
        self.connect_within = read_number(limits, "connect_timeout_s", 1.0)
        self.server_idle_for = read_number(limits, "conn_idle_s", 60.0)
        self.most_calls = int(read_number(limits, "open_cap", 20000)) or 20000
        self.sockets = int(read_number(read_section(told, "limits"), "sockets", 1024))
        self.memory = read_number(read_section(told, "limits"), "memory_mb", 192) * 1024 * 1024
        try:
            self.seed = int(str(told.get("seed", "0")), 16)
        except ValueError:
            raise StartError("seed is not a hexadecimal number") from None
        # Off where no file is named; deny by default: only settings that say so let limiters talk to each
        # other.
        self.membership, self.may_talk = told.get("membership"), limits.get("peer_messages") is True
        if self.membership is not None and not (isinstance(self.membership, str) and self.membership):
            raise StartError("membership is not the path of a file")
        # Off where none is named, and without peers; a file that is not there yet is a plan that was not
        # given yet.
        self.maintenance = told.get("maintenance")
        if self.maintenance is not None and not (isinstance(self.maintenance, str) and self.maintenance):
            raise StartError("maintenance is not the path of a file")
        # Off where no file is named: it calls the counter each beat, and a ledger needs a disk that lasts.
        self.recovery = told.get("recovery")
        if self.recovery is not None and not (isinstance(self.recovery, str) and self.recovery):
            raise StartError("recovery is not the path of a file")
        self.known = None
        if told.get("known") is not None:
            try:
                self.known = hosts.News(told["known"])
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
    figures = spec.model_dump(exclude={"machines", "voters", "voters_next"})
    return Plan(**figures, machines=machines, voters=tuple(spec.voters), voters_next=tuple(spec.voters_next))


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
