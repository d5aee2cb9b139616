"""Parser of discovery's JSON: complete server lists and changes to them."""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

from ..model import ServerState
from .errors import MalformedError, shorten

STATES_BY_HEALTH = {"Ready": ServerState.READY, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}
MAX_PORT = 65535
SERVER_ID_BYTES = 6  # Leading bytes of the hash of a server's name that form its id.
MAX_NUMBER = 1e15  # Absolute values of numbers in an entry must be below this.


@dataclass(slots=True)
class ServerEntry:
    """An entry of discovery's server list."""

    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    state: ServerState
    weight: float
    started_at: float  # Seconds since the Unix epoch on discovery's clock; 0: long ago.

    @classmethod
    def from_json(cls, item: dict[str, Any]) -> ServerEntry:
        """Parse an entry from decoded JSON. Raises MalformedError."""
        name = read_text(item, "host")
        try:
            address = parse_address(read_text(item, "dial"))
        except ValueError as error:
            raise MalformedError(f"server list: dial of {shorten(name)}: {error}") from None
        if item.get("health") not in STATES_BY_HEALTH:
            raise MalformedError(
                f"server list: health of {shorten(name)} is {shorten(item.get('health'))},"
                f" expected one of {', '.join(STATES_BY_HEALTH)}"
            )
        return cls(
            name=name,
            address=address,
            zone=read_text(item, "site", ""),
            kind=read_text(item, "class", ""),
            cell=int(read_number(item, "block", 0)),
            state=STATES_BY_HEALTH[item["health"]],
            weight=read_number(item, "share", 1.0),
            started_at=read_number(item, "born_ms", 0) / 1000,
        )

    def server_id(self) -> int:
        """Return the number that identifies the server inside the gateway."""
        return server_id(self.name)


@dataclass(slots=True)
class ServerListUpdate:
    """A complete server list, or the changes since the previous version."""

    version: int
    is_complete: bool  # True: servers that are not in the list have been removed.
    servers: list[ServerEntry]

    @classmethod
    def from_json(cls, value: object) -> ServerListUpdate:
        """Parse an update from decoded JSON. Raises MalformedError."""
        if not isinstance(value, dict) or not isinstance(value.get("hosts"), list):
            raise MalformedError(
                f"server list: expected an object with an array 'hosts', got {shorten(value)}"
            )
        version = int(read_number(value, "seq", 0))
        if not all(isinstance(item, dict) for item in value["hosts"]):
            raise MalformedError("server list: expected an object for each item of 'hosts'")
        servers = [ServerEntry.from_json(item) for item in value["hosts"]]
        return cls(version, value.get("whole") is True, servers)


def parse_update(document: bytes) -> ServerListUpdate:
    """Parse an update from JSON text. Raises MalformedError."""
    try:
        value = json.loads(document)
    except (ValueError, RecursionError):
        raise MalformedError(f"server list: expected JSON, got {shorten(document)}") from None
    return ServerListUpdate.from_json(value)


def server_id(name: str) -> int:
    """Return the number for a server's name, which is the same at every gateway."""
    return int.from_bytes(sha256(name.encode()).digest()[:SERVER_ID_BYTES], "big")


def parse_address(text: str) -> tuple[str, int]:
    """Parse an address of the form HOST:PORT, with an IPv6 host in brackets. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(
            f"expected an address of the form HOST:PORT with a port from 1 to {MAX_PORT}, got {shorten(text)}"
        )
    return host.strip("[]"), int(port)


def format_address(address: tuple[str, int]) -> str:
    """Format an address as HOST:PORT."""
    host, port = address
    return f"{host}:{port}"


def read_text(item: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a string from an entry; without a default it is required. Raises MalformedError."""
    value = item.get(name, default)
    if not isinstance(value, str):
        raise MalformedError(
            f"server list: {name} is {shorten(value)}, expected a string (host {shorten(item.get('host'))})"
        )
    return value


def read_number(item: dict[str, Any], name: str, default: float) -> float:
    """Return a number from an entry or from the list itself. Raises MalformedError."""
    value = item.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not -MAX_NUMBER < value < MAX_NUMBER:
        raise MalformedError(
            f"server list: {name} is {shorten(value)}, expected a number between -{MAX_NUMBER:g} and"
            f" {MAX_NUMBER:g} (host {shorten(item.get('host'))})"
        )
    return value
