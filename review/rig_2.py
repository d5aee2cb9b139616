"""Stand-ins and helpers of the cases 6 to 10: clients, servers, counter, discovery and the gateway's process.

All of them run on loopback in the event loop of the case's process; only the gateways are processes of their
own, started with the command `run` of deploy/balancer.toml. Times are in seconds of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import closing
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any, ClassVar

ROOT = Path(__file__).resolve().parent.parent
NEVER_ANSWERED = b""  # An answer's place in the record when the connection ended without one.
HEARTBEAT_S = 2.0  # Discovery sends an empty line this often while nothing changes.

Reply = list[bytes | None] | bytes | None


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, in the order of time."""

    def __init__(self, path: Path) -> None:
        self.started_at = monotonic()
        self.file = path.open("w", encoding="utf-8")

    def write(self, who: str, what: str) -> None:
        """Write one line with the time since the start."""
        self.file.write(f"{monotonic() - self.started_at:9.4f} {who:12} {what}\n")

    def close(self) -> None:
        """Write the rest to the disk."""
        self.file.close()


def free_port() -> int:
    """Return a port of loopback that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port: int = listener.getsockname()[1]
        return port


def encode(*words: bytes) -> bytes:
    """Encode a RESP2 command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one RESP2 value. Raises OSError or asyncio.IncompleteReadError at the end of the connection.

    Lines that are neither arrays nor bulk strings are returned with their type byte.
    """
    line = await reader.readuntil(b"\r\n")
    if line[:1] == b"*":
        items = [await read_reply(reader) for _ in range(int(line[1:]))]
        return [item for item in items if not isinstance(item, list)]
    if line[:1] == b"$":
        size = int(line[1:])
        return None if size < 0 else (await reader.readexactly(size + 2))[:-2]
    return line[:-2]


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    with contextlib.suppress(OSError):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# Servers


@dataclass(eq=False)
class Attempt:
    """An attempt that has arrived whole at a server."""

    server: str
    request: bytes
    words: list[bytes]
    arrived_at: float
    writer: asyncio.StreamWriter
    ended_at: float | None = None  # When its answer was written or its connection ended.
    has_run: bool = False

    @property
    def options(self) -> dict[bytes, bytes]:
        """The names and values of the command."""
        return dict(item.split(b"=", 1) for item in self.words[3].split(b","))


def answer_of(attempt: Attempt, value: bytes) -> bytes:
    """Encode a good answer with its value."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


class Server:
    """A server of the platform. `work` runs an attempt and returns its answer, or None for none."""

    def __init__(
        self, name: str, record: Record, work: Callable[[Attempt], Awaitable[bytes | None]], zone: str = "a"
    ) -> None:
        self.name = name
        self.zone = zone
        self.record = record
        self.work = work
        self.attempts: list[Attempt] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""
        self.listener: asyncio.Server | None = None
        self.born_ms = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=2**20)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]

    def entry(self, health: str = "Ready") -> dict[str, Any]:
        """Return this server's entry of discovery's list."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": self.zone,
            "class": "m",
            "block": 1,
            "health": health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection: begin each command once its last byte has arrived."""
        self.writers.add(writer)
        tasks: list[asyncio.Task[None]] = []
        try:
            while True:
                words = await read_reply(reader)
                if not isinstance(words, list) or not words or words[0] is None:
                    break
                if words[0] == b"PING":
                    writer.write(b"+PONG\r\n")
                elif words[0] == b"INFO":
                    writer.write(b"$9\r\nutil=0.30\r\n")
                elif words[0] in (b"CALL.GET", b"CALL.POST"):
                    present = [word for word in words if word is not None]
                    attempt = Attempt(self.name, present[2], present, monotonic(), writer)
                    self.attempts.append(attempt)
                    text = b" ".join(present[:4]).decode()
                    self.record.write(self.name, f"attempt {text}")
                    tasks.append(asyncio.create_task(self.run(attempt)))
                else:
                    writer.write(b"-ERR\r\n")
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            for attempt in self.attempts:
                if attempt.writer is writer and attempt.ended_at is None:
                    attempt.ended_at = monotonic()
                    self.record.write(self.name, f"connection ended under {attempt.request.decode()}")
            self.writers.discard(writer)
            writer.close()

    async def run(self, attempt: Attempt) -> None:
        """Run an attempt and answer it."""
        answer = await self.work(attempt)
        if answer is None or attempt.ended_at is not None:
            return
        attempt.ended_at = monotonic()
        self.record.write(self.name, f"answer to {attempt.request.decode()}: {answer[:60]!r}")
        with contextlib.suppress(OSError):
            attempt.writer.write(answer)


# Counter and discovery


class Counter:
    """The counter: adds amounts to named counts, which live for the time of their first call."""

    def __init__(self) -> None:
        self.counts: dict[bytes, tuple[float, float]] = {}
        self.address = ""
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of a connection in their order."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError), closing(writer):
            while True:
                words = await read_reply(reader)
                if not isinstance(words, list) or not words:
                    break
                if words[0] != b"ADDGET":
                    writer.write(b"+PONG\r\n" if words[0] == b"PING" else b"+OK\r\n")
                    continue
                total = b"%.6f" % self.add(words[1] or b"", float(words[2] or 0), float(words[3] or 1))
                writer.write(b"$%d\r\n%b\r\n" % (len(total), total))

    def add(self, name: bytes, amount: float, life_ms: float) -> float:
        """Add to a count and return its total."""
        now = monotonic()
        total, ends_at = self.counts.get(name, (0.0, 0.0))
        if now >= ends_at:
            total, ends_at = 0.0, now + min(life_ms, 60_000) / 1000
        self.counts[name] = (total + amount, ends_at)
        return total + amount


class Discovery:
    """The agent of discovery: answers at once with what it holds, and tells changes on each watch."""

    def __init__(self, record: Record, entries: list[dict[str, Any]]) -> None:
        self.record = record
        self.entries = {entry["host"]: entry for entry in entries}
        self.version = 41
        self.watches: set[asyncio.StreamWriter] = set()
        self.address = ""
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]

    def document(self, entries: list[dict[str, Any]], whole: bool) -> bytes:
        """Return a list or its changes as JSON text."""
        return json.dumps({"seq": self.version, "whole": whole, "hosts": entries}).encode()

    def known(self) -> dict[str, Any]:
        """Return the whole list as it is now."""
        known: dict[str, Any] = json.loads(self.document(list(self.entries.values()), whole=True))
        return known

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request: the whole list, and then the changes if it asks for a watch."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError), closing(writer):
            head = await reader.readuntil(b"\r\n\r\n")
            list_text = self.document(list(self.entries.values()), whole=True)
            if b"stream=1" not in head.split(b"\r\n", 1)[0]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(list_text) + list_text)
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.send(writer, list_text)
            self.watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT_S)
                self.send(writer, b"")
        self.watches.discard(writer)

    @staticmethod
    def send(writer: asyncio.StreamWriter, line: bytes) -> None:
        """Write one line as a chunk."""
        writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    def tell(self, entry: dict[str, Any]) -> None:
        """Change an entry and tell it on all watches."""
        self.version += 1
        self.entries[entry["host"]] = entry
        if entry["health"] == "Gone":
            del self.entries[entry["host"]]
        self.record.write("discovery", f"tells {entry['host']} {entry['health']}")
        for writer in list(self.watches):
            self.send(writer, self.document([entry], whole=False))


# The gateway


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of the deployment puzzle-platform, with the given keys replaced."""
    return {
        "areas": ["a", "b", "c"],
        "kinds": ["m"],
        "balancers": 3,
        "slot_no": 0,
        "zone": 0,
        "tick_s": 0.002,
        "membership_mode": "pushed",
        "classes": [
            {"name": "fetch", "slo_s": 1.5, "hard_limit_s": 4.0, "semantics": "read_like", "importance": 3},
            {"name": "list", "slo_s": 2.0, "hard_limit_s": 8.0, "semantics": "read_like", "importance": 1},
            {
                "name": "submit",
                "slo_s": 2.5,
                "hard_limit_s": 8.0,
                "semantics": "idempotency_key",
                "key_scope": "zone",
                "window_s": 8.0,
                "importance": 5,
            },
            {"name": "once", "slo_s": 2.5, "hard_limit_s": 8.0, "semantics": "non_idempotent"},
        ],
        "tariffs": [
            {"name": "starter", "refill": 2.0, "store_size": 8.0, "overrun_cost": 1.0, "pays": 0.5},
            {"name": "daily", "refill": 60.0, "store_size": 120.0, "overrun_cost": 0.5, "pays": 1.2},
            {"name": "wide", "refill": 900.0, "store_size": 1800.0, "overrun_cost": 0.5, "pays": 1.2},
        ],
        "extra": {"counter": True, "count_limit_s": 0.08, "largest": 4, "trued_up": False},
        "limits": {
            "max_attempts": 5,
            "cancel": True,
            "second_copies": True,
            "retry_after": True,
            "max_retry_after_s": 2.0,
            "open_cap": 20000,
            "conn_idle_s": 15.0,
            "connect_timeout_s": 0.25,
            "probes": True,
            "peer_messages": False,
        },
        "invariants": {
            "answer_slack_s": 0.05,
            "cold_from": 0.2,
            "ramp_time_s": 18.0,
            "fall_multiple": 3.0,
            "fall_s": 1.0,
            "drain_grace_s": 2.0,
        },
        **changes,
    }


class Gateway:
    """One gateway, started as a process of its own with the command of the deploy file."""

    all: ClassVar[list[Gateway]] = []

    def __init__(
        self,
        folder: Path,
        record: Record,
        counter: Counter,
        discovery: Discovery,
        site: dict[str, Any],
        limits: dict[str, float] | None = None,
    ) -> None:
        self.record = record
        self.port = free_port()
        self.name = f"gateway-{site['slot_no']}"
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.config = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        self.start_file = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "counter": counter.address,
            "known": discovery.known(),
            "settings": site,
        }
        self.process: subprocess.Popen[bytes] | None = None
        Gateway.all.append(self)

    async def start(self) -> None:
        """Start the process and wait until it answers PING. Raises RuntimeError if it never does."""
        self.config.write_text(json.dumps(self.start_file))
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        environment = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
        environment["NODE_CONFIG"] = str(self.config)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        deadline = monotonic() + 30
        while monotonic() < deadline:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(encode(b"PING"))
                reply = await read_reply(reader)
                writer.close()
                if reply == b"+PONG":
                    self.record.write(self.name, f"ready, process {self.process.pid}")
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError("the gateway is not ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.write(self.name, f"gets {number.name}")
        self.process.send_signal(number)

    def memory_kib(self, name: str = "VmRSS") -> int:
        """Return a figure of the process's memory in KiB; 0 if the process has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(name + ":"):
                    return int(line.split()[1])
        return 0

    async def ended(self, seconds: float) -> bool:
        """Wait until the process ends, for some seconds at most; return whether it did."""
        assert self.process is not None
        deadline = monotonic() + seconds
        while self.process.poll() is None and monotonic() < deadline:
            await asyncio.sleep(0.02)
        return self.process.poll() is not None

    def end(self) -> None:
        """Kill the process."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


# Clients


@dataclass(eq=False)
class Call:
    """A client's request, and what became of it."""

    request: bytes
    route: str
    sent_at: float
    d_ms: int
    answer: Reply = NEVER_ANSWERED
    answered_at: float | None = None
    ended_at: float | None = None  # When its connection ended without an answer.
    is_first: bool = False  # The first on its connection.
    command: bytes = b""
    done: asyncio.Event = field(default_factory=asyncio.Event)


class Connection:
    """A client's connection to a gateway. Answers follow the order of the commands."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, record: Record) -> None:
        self.reader = reader
        self.writer = writer
        self.record = record
        self.waiting: list[Call] = []
        self.ended_at: float | None = None
        self.task = asyncio.create_task(self.read())

    @classmethod
    async def open(cls, port: int, record: Record) -> Connection:
        """Connect to a gateway. Raises OSError."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2**22)
        return cls(reader, writer, record)

    def send(self, *calls: Call) -> None:
        """Write the commands of one or more calls at once."""
        now = monotonic()
        for call in calls:
            call.sent_at = now
            self.waiting.append(call)
            self.record.write("client", f"sends {call.request.decode()} {call.route} d={call.d_ms}")
        self.writer.write(b"".join(call.command for call in calls))

    async def read(self) -> None:
        """Read the answers until the connection ends."""
        try:
            while True:
                reply = await read_reply(self.reader)
                if self.waiting:
                    call = self.waiting.pop(0)
                    call.answer = reply
                    call.answered_at = monotonic()
                    waited = call.answered_at - call.sent_at
                    self.record.write("client", f"gets {call.request.decode()}: {reply!r} after {waited:.3f}")
                    call.done.set()
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            self.ended_at = monotonic()
            for call in self.waiting:
                call.ended_at = self.ended_at
                self.record.write("client", f"connection ended under {call.request.decode()}: {error!r}")
                call.done.set()
        finally:
            self.writer.close()

    def close(self) -> None:
        """Close the connection as a client that goes away."""
        self.task.cancel()
        self.ended_at = monotonic()
        self.writer.close()


class Ids:
    """Draws the ids of requests."""

    def __init__(self) -> None:
        self.last = time.time_ns() & 0xFFFF_FFFF

    def next(self) -> bytes:
        """Return a new id."""
        self.last += 1
        return b"%016x" % self.last


def make_call(
    ids: Ids,
    route: str,
    plan: str = "wide",
    customer: int = 7,
    d_ms: int = 4000,
    body: bytes = b"x",
    units: int = 1,
) -> Call:
    """Make a request as a client words it."""
    request = ids.next()
    is_read = route in ("fetch", "list")
    key = f"k={request.decode()}," if route == "submit" else ""
    options = f"c={route},t={plan},d={d_ms},{key}units={units},spread=1,first=0".encode()
    words = [b"CALL.GET" if is_read else b"CALL.POST", b"%016x" % customer, request, options]
    command = encode(*words, *([] if is_read else [body]))
    return Call(request, route, 0.0, d_ms, command=command)


class Platform:
    """Servers, the counter and discovery of a small deployment."""

    def __init__(self, record: Record, work: Callable[[Attempt], Awaitable[bytes | None]]) -> None:
        self.record = record
        self.servers = [Server(f"s-{number}", record, work, "abc"[number % 3]) for number in range(9)]
        self.counter = Counter()
        self.discovery = Discovery(record, [])

    async def start(self) -> None:
        """Start all of them."""
        for server in self.servers:
            await server.start()
        await self.counter.start()
        self.discovery.entries = {server.name: server.entry() for server in self.servers}
        await self.discovery.start()

    async def gateway(self, folder: Path, number: int = 0, **limits: float) -> Gateway:
        """Start a gateway of this deployment."""
        all_limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits}
        site = settings(slot_no=number)
        gateway = Gateway(folder, self.record, self.counter, self.discovery, site, all_limits)
        await gateway.start()
        return gateway

    def attempts(self) -> dict[bytes, list[Attempt]]:
        """Return the attempts that arrived at the servers, by request."""
        found: dict[bytes, list[Attempt]] = {}
        for server in self.servers:
            for attempt in server.attempts:
                found.setdefault(attempt.request, []).append(attempt)
        return found


def run_case(record_path: Path, case: Callable[[Path, Record, bool], Awaitable[bool]]) -> int:
    """Run a case in a temporary folder; return the exit code: 1 broken, 0 held, 2 could not run."""
    with_trouble = os.environ.get("TROUBLE") != "0"
    record = Record(record_path)
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(asyncio.wait_for(case(Path(temporary), record, with_trouble), 115))
            code = 1 if broken else 0
        except Exception as error:  # The case could not run.
            print(f"could not run: {error!r}", file=sys.stderr)
            record.write("case", f"could not run: {error!r}")
        for gateway in Gateway.all:
            gateway.end()
    record.write("case", f"exit code {code}")
    record.close()
    return code
