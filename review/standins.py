"""What the cases share: limiters started by the deploy file, a server stand-in, a client and the record.

Discovery and the counter are the project's own fakes. Every address is a loopback address.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from time import monotonic, sleep, strftime
from typing import Any, BinaryIO

from brookhub.fakes import FakeCounter, FakeDiscovery, host
from brookhub.fakes.listener import FakeListener
from brookhub.fakes.resp import read_command

ROOT = Path(__file__).resolve().parent.parent
# Exit codes of case.py. run.sh turns BROKEN into 1 and any other code, such as that of an error, into 2.
HELD, BROKEN, NOT_RUN = 0, 10, 2
MAX_SECONDS = 110  # The case ends itself by then.
READY_WITHIN = 30.0

# The figures of a small deployment: puzzle-platform with three limiters, three halls and its three classes.
SETTINGS: dict[str, Any] = {
    "areas": ["hall-a", "hall-b", "hall-c"],
    "kinds": ["std-3core"],
    "balancers": 3,
    "zone": 0,
    "membership_mode": "pushed",
    "classes": [
        {"name": "grid-fetch", "slo_s": 1.5, "hard_limit_s": 4.0, "semantics": "read_like", "importance": 3},
        {"name": "archive-list", "slo_s": 2.0, "hard_limit_s": 8.0, "semantics": "read_like"},
        {
            "name": "solve-submit",
            "slo_s": 2.5,
            "hard_limit_s": 8.0,
            "semantics": "idempotency_key",
            "key_scope": "zone",
            "window_s": 8.0,
            "importance": 5,
        },
    ],
    "tariffs": [
        {
            "name": "national",
            "refill": 25.0,
            "store_size": 50.0,
            "ceiling_rate": 55.0,
            "cap_depth": 110.0,
            "tolerance": 6.0,
            "pays": 1.4,
            "overrun_cost": 0.6,
        },
    ],
    "extra": {"counter": True, "count_limit_s": 0.08, "largest": 4, "trued_up": True},
    "limits": {
        "cancel": True,
        "conn_idle_s": 15.0,
        "connect_timeout_s": 0.25,
        "max_attempts": 5,
        "max_retry_after_s": 2.0,
        "open_cap": 20000,
        "peer_messages": False,
        "probes": True,
        "retry_after": True,
        "second_copies": True,
        "streams_per_conn": 32,
    },
    "invariants": {
        "answer_slack_s": 0.5,
        "cold_from": 0.3,
        "drain_grace_s": 2.0,
        "fall_multiple": 3.0,
        "fall_s": 1.0,
        "ramp_time_s": 8.0,
    },
}
LIMITS: dict[str, float] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}  # The largest of a scored day.


class CannotRunError(Exception):
    """The case could not run on this machine."""


class Record:
    """The file record.txt of a case: one line for each thing sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.lock = threading.Lock()
        self.started_at = monotonic()
        self.note(f"started {strftime('%Y-%m-%d %H:%M:%S')} with TROUBLE={int(with_trouble())}")

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        with self.lock:
            self.file.write(f"{monotonic() - self.started_at:9.3f} {text}\n")
            self.file.flush()


def with_trouble() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(file: str, play: Callable[[Record], bool]) -> None:
    """Run a case and exit with its result. `play` returns whether the rule held."""
    record = Record(Path(file).resolve().parent)

    def give_up(*_: object) -> None:
        raise CannotRunError("ended from outside, or it took too long")

    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(MAX_SECONDS)
    try:
        result = HELD if play(record) else BROKEN
    except Exception as error:  # Whatever it is: the case did not run to its end.
        record.note("could not run: " + "".join(traceback.format_exception(error)))
        result = NOT_RUN
    signal.alarm(0)
    words = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "the case could not run"}
    record.note(words[result])
    print(words[result])
    sys.stdout.flush()
    os._exit(result)  # The threads of the stand-ins do not end by themselves.


def free_port() -> int:
    """Return a free loopback port below the range from which the system takes ports."""
    rng = random.Random()
    for _ in range(200):
        port = rng.randrange(20000, 32000)
        with contextlib.suppress(OSError):
            socket.create_server(("127.0.0.1", port)).close()
            return port
    raise CannotRunError("no free port")


def encode(*words: bytes) -> bytes:
    """Encode a RESP2 command, an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


class Server(FakeListener):
    """A sound server: it runs each command once its last byte has arrived, and answers on that connection.

    `work` returns the seconds of a command's work. `on_run` is called when a command has arrived whole, with
    the server and the words of the command; it returns the value to answer.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        work: Callable[[Server, list[bytes]], float],
        on_run: Callable[[Server, list[bytes]], bytes],
    ) -> None:
        self.name = name
        self.zone = zone
        self.work = work
        self.on_run = on_run
        super().__init__()

    def entry(self) -> dict[str, Any]:
        """Return this server as an entry of discovery's list."""
        return host(self.name, self.address, zone=self.zone)

    def serve(self, connection: socket.socket, lines: BinaryIO) -> None:
        """Answer the commands of a connection, one after another."""
        while True:
            words = read_command(lines)
            if words[0] == b"PING":
                connection.sendall(b"+PONG\r\n")
                continue
            value = self.on_run(self, words)
            sleep(self.work(self, words))
            connection.sendall(b"*3\r\n$%d\r\n%b\r\n$13\r\nused=1,cost=1\r\n$-1\r\n" % (len(value), value))


class Fleet:
    """Limiters, each started by the `run` line of the deploy file, with discovery and the counter."""

    def __init__(
        self,
        record: Record,
        servers: list[Server],
        count: int = 3,
        settings: dict[str, Any] | None = None,
        limits: dict[str, float] | None = None,
    ) -> None:
        self.record = record
        self.servers = servers
        self.settings = settings or SETTINGS
        self.limits = limits or LIMITS
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.counter = FakeCounter()
        self.discovery = FakeDiscovery([server.entry() for server in servers])
        self.run_line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.ports = [free_port() for _ in range(count)]
        self.processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        """Start all limiters and wait until they are ready."""
        for index in range(len(self.ports)):
            self.processes.append(self.start_limiter(index))
        deadline = monotonic() + READY_WITHIN
        while not all(self.is_ready(index) for index in range(len(self.ports))):
            if monotonic() > deadline:
                raise CannotRunError("a limiter is not ready in 30 s")
            sleep(0.05)
        self.record.note(f"{len(self.ports)} limiters are ready")

    def start_limiter(self, index: int) -> subprocess.Popen[bytes]:
        """Start a limiter by the deploy file."""
        config = self.folder / f"n{index}.json"
        config.write_text(
            json.dumps(
                {
                    "name": f"n{index}",
                    "listen": f"127.0.0.1:{self.ports[index]}",
                    "discovery": self.discovery.address,
                    "seed": f"{random.getrandbits(64):x}",
                    "limits": self.limits,
                    "counter": self.counter.address,
                    "known": json.loads(self.discovery.complete_list()),
                    "settings": {**self.settings, "slot_no": index},
                }
            )
        )
        environment = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
        environment.pop("PYTHONPATH", None)
        environment["NODE_CONFIG"] = str(config)
        with (self.folder / f"n{index}.log").open("a") as log:
            return subprocess.Popen(
                ["/bin/sh", "-c", self.run_line], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def is_ready(self, index: int) -> bool:
        """Return whether a limiter answers a ping with +PONG. Raises CannotRunError if it has ended."""
        if self.processes[index].poll() is not None:
            raise CannotRunError(f"limiter {index} ended: " + (self.folder / f"n{index}.log").read_text())
        with contextlib.suppress(OSError), self.dial(index) as connection:
            connection.sendall(encode(b"PING"))
            return connection.recv(16) == b"+PONG\r\n"
        return False

    def dial(self, index: int) -> socket.socket:
        """Open a connection to a limiter."""
        connection = socket.create_connection(("127.0.0.1", self.ports[index]), timeout=10)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def log_lines(self, word: str) -> list[str]:
        """Return the limiters' log lines that contain a word."""
        texts = [(self.folder / f"n{index}.log").read_text() for index in range(len(self.ports))]
        return [line for text in texts for line in text.splitlines() if word in line]

    def stop(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for process in self.processes:
            process.kill()
            process.wait()
        for standin in (self.counter, self.discovery, *self.servers):
            standin.close()


class Client:
    """A sound client of a limiter: it reads all answers at once, in a thread of its own.

    `answers` holds each answer with the time of its last byte: the value of a bulk string, or the error line.
    `ended_at` is the time at which the limiter ended the connection, None before.
    """

    def __init__(self, fleet: Fleet, index: int) -> None:
        self.connection = fleet.dial(index)
        self.connection.settimeout(None)
        self.answers: list[tuple[float, bytes]] = []
        self.ended_at: float | None = None
        self.changed = threading.Condition()
        threading.Thread(target=self.read, daemon=True).start()

    def read(self) -> None:
        """Read answers until the connection ends."""
        with contextlib.suppress(OSError, ValueError), self.connection.makefile("rb") as lines:
            while line := lines.readline():
                answer = line.strip()
                if line[:1] == b"$":
                    size = int(line[1:])
                    answer = lines.read(size + 2)[:-2]
                    if len(answer) < size:
                        break
                with self.changed:
                    self.answers.append((monotonic(), answer))
                    self.changed.notify_all()
        with self.changed:
            self.ended_at = monotonic()
            self.changed.notify_all()

    def wait_for(self, count: int, seconds: float) -> bool:
        """Wait until there are `count` answers; return whether there are."""
        with self.changed:
            self.changed.wait_for(lambda: len(self.answers) >= count or self.ended_at is not None, seconds)
            return len(self.answers) >= count

    def send(self, data: bytes) -> None:
        """Send bytes. Does nothing if the limiter has closed the connection."""
        with contextlib.suppress(OSError):
            self.connection.sendall(data)

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)
        self.connection.close()
