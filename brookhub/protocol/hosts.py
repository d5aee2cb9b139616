"""Discovery's JSON: lists of servers, and changes to them."""

from __future__ import annotations

import json
from hashlib import sha256
from typing import Any

from ..model import ServerState
from .resp import MalformedError

STATES = {"Ready": ServerState.READY, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}


class Host:
    """One server as discovery words it."""

    __slots__ = ("name", "address", "zone", "kind", "cell", "state", "weight", "born")

    def __init__(self, item: dict[str, Any]):
        self.name = text(item, "host")
        try:
            self.address = address(text(item, "dial"))
        except ValueError as bad:
            raise MalformedError(f"{self.name}: {bad}") from None
        self.zone, self.kind = text(item, "site", ""), text(item, "class", "")
        self.cell = int(figure(item, "block", 0))
        if item.get("health") not in STATES:
            raise MalformedError(f"the health of {self.name} is unknown")
        self.state = STATES[item["health"]]
        self.weight, self.born = figure(item, "share", 1.0), figure(item, "born_ms", 0) / 1000

    def ident(self) -> int:
        """The number by which it is known inside."""
        return ident(self.name)


def ident(name: str) -> int:
    """A number for a server's name, the same at every gateway."""
    return int.from_bytes(sha256(name.encode()).digest()[:6], "big")


def address(words: str) -> tuple[str, int]:
    """HOST:PORT, both needed."""
    host, _, port = words.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address of the form HOST:PORT: {words!r}")
    return host.strip("[]"), int(port)


def text(item: dict[str, Any], name: str, absent: str | None = None) -> str:
    """A text in an entry. Raises MalformedError."""
    value = item.get(name, absent)
    if not isinstance(value, str):
        raise MalformedError(f"{name} of a server is no text")
    return value


def figure(item: dict[str, Any], name: str, absent: float) -> float:
    """A number in an entry. Raises MalformedError."""
    value = item.get(name, absent)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not -1e15 < value < 1e15:
        raise MalformedError(f"{name} of a server is no number")
    return value


class News:
    """A list of servers, whole or what changed in it."""

    def __init__(self, told: Any):
        if not isinstance(told, dict) or not isinstance(told.get("hosts"), list):
            raise MalformedError("a server list without hosts")
        self.version, self.whole = int(figure(told, "seq", 0)), told.get("whole") is True
        if not all(isinstance(item, dict) for item in told["hosts"]):
            raise MalformedError("a server that is no object")
        self.hosts = [Host(item) for item in told["hosts"]]


def parse(line: bytes) -> News:
    """The news on a line. Raises MalformedError."""
    try:
        told = json.loads(line)
    except (ValueError, RecursionError):
        raise MalformedError("a server list that is not JSON") from None
    return News(told)
