"""The JSON of discovery: complete server lists and changes to them."""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

from ..model import ServerState
from .errors import MalformedError

STATES_BY_HEALTH = {"Ready": ServerState.READY, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}
MAX_PORT = 65535
SERVER_ID_BYTES = 6  # of the hash of a server's name
MAX_NUMBER = 1e15  # magnitude below which a number in an entry has to be


@dataclass(slots=True)
class ServerEntry:
    """A server as discovery lists it."""

    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    state: ServerState
    weight: float
    started_at: float  # s since the epoch, on discovery's clock; 0: long ago

    @classmethod
    def from_json(cls, item: dict[str, Any]) -> ServerEntry:
        """Read an entry. Raises MalformedError."""
        name = read_text(item, "host")
        try:
            address = parse_address(read_text(item, "dial"))
        except ValueError as error:
            raise MalformedError(f"{name}: {error}") from None
        if item.get("health") not in STATES_BY_HEALTH:
            raise MalformedError(f"the health of {name} is unknown")
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
        """The number by which the server is known inside the gateway."""
        return server_id(self.name)


@dataclass(slots=True)
class ServerListUpdate:
    """A server list, or what changed in it since the version before."""

    version: int
    is_complete: bool  # whether servers that are not in it are gone
    servers: list[ServerEntry]

    @classmethod
    def from_json(cls, value: object) -> ServerListUpdate:
        """Read an update from its decoded JSON. Raises MalformedError."""
        if not isinstance(value, dict) or not isinstance(value.get("hosts"), list):
            raise MalformedError("a server list without hosts")
        version = int(read_number(value, "seq", 0))
        if not all(isinstance(item, dict) for item in value["hosts"]):
            raise MalformedError("a server that is no object")
        servers = [ServerEntry.from_json(item) for item in value["hosts"]]
        return cls(version, value.get("whole") is True, servers)


def parse_update(document: bytes) -> ServerListUpdate:
    """Read an update from JSON text. Raises MalformedError."""
    try:
        value = json.loads(document)
    except (ValueError, RecursionError):
        raise MalformedError("a server list that is not JSON") from None
    return ServerListUpdate.from_json(value)


def server_id(name: str) -> int:
    """The number for a server's name, the same at every gateway."""
    return int.from_bytes(sha256(name.encode()).digest()[:SERVER_ID_BYTES], "big")


def parse_address(text: str) -> tuple[str, int]:
    """Read an address of the form HOST:PORT, an IPv6 host in brackets. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"not an address of the form HOST:PORT: {text!r}")
    return host.strip("[]"), int(port)


def read_text(item: dict[str, Any], name: str, default: str | None = None) -> str:
    """Read a text of an entry; without a default it has to be there. Raises MalformedError."""
    value = item.get(name, default)
    if not isinstance(value, str):
        raise MalformedError(f"{name} of a server is no text")
    return value


def read_number(item: dict[str, Any], name: str, default: float) -> float:
    """Read a number of an entry. Raises MalformedError."""
    value = item.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not -MAX_NUMBER < value < MAX_NUMBER:
        raise MalformedError(f"{name} of a server is no number")
    return value
