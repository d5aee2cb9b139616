"""Stand-ins: a world whose clock the test moves, for the decisions.

On loopback, for the program, all its peers.
"""

import contextlib
import json
import os
import random
import socket
import subprocess
import sys
import threading
import time

from brookhub.config import Experiment
from brookhub.fakes import FakeCounter, FakeDiscovery, FakeServer, host, read_value

# Stand-ins on loopback for the integration tests, and the program itself.


SETTINGS = {
    "areas": ["a", "b"],
    "kinds": ["m"],
    "balancers": 1,
    "slot_no": 0,
    "zone": 0,
    "membership_mode": "pushed",
    "classes": [
        {"name": "look", "slo_s": 1.0, "hard_limit_s": 2.0, "semantics": "read_like"},
        {"name": "once", "slo_s": 1.0, "hard_limit_s": 2.0, "semantics": "non_idempotent"},
    ],
    "tariffs": [
        {"name": "wide", "refill": 500.0, "store_size": 1000.0},
        {"name": "narrow", "refill": 0.1, "store_size": 2.0},
    ],
    "extra": {"counter": True, "count_limit_s": 0.2, "largest": 1},
    "limits": {
        "max_attempts": 3,
        "cancel": True,
        "retry_after": True,
        "max_retry_after_s": 2.0,
        "open_cap": 20000,
        "conn_idle_s": 15.0,
        "connect_timeout_s": 0.25,
    },
    "invariants": {"cold_from": 0.5, "ramp_time_s": 1.0, "fall_multiple": 3.0, "fall_s": 1.0},
}


class Ports:
    """Ports on loopback for programs to listen at, each given out once.

    They lie below those that the system gives to connections, so none is taken between here and the program's
    start.
    """

    FIRST, LAST = 20000, 32000

    def __init__(self) -> None:
        self.lock, self.given = threading.Lock(), set()
        self.chance = random.Random(os.getpid())

    def draw(self):
        with self.lock:
            while True:
                port = self.chance.randrange(self.FIRST, self.LAST)
                if port not in self.given and self.free(port):
                    self.given.add(port)
                    return port

    def free(self, port):
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            return False
        return True


PORTS = Ports()


class Program:
    """`python -m brookhub`, its stand-ins, and a client's view of it."""

    def __init__(self, folder, servers=None, start=None, limits=None, settings=None, discovery=None) -> None:
        self.servers = servers if servers is not None else [FakeServer()]
        self.counter = FakeCounter()
        listed = [host(f"s-{n}", one.address) for n, one in enumerate(self.servers)]
        self.discovery = FakeDiscovery(listed, **(discovery or {}))
        self.port = PORTS.draw()
        told = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery.address,
            "seed": "8c1f30",
            "limits": limits or {"memory_mb": 192, "sockets": 1024},
            "counter": self.counter.address,
            "known": json.loads(self.discovery.complete_list()),
            "settings": {**SETTINGS, **(settings or {})},
            **(start or {}),
        }
        config = folder / "config.json"
        config.write_text(json.dumps(told))
        self.log_path = folder / "log"
        self.process = subprocess.Popen(
            [sys.executable, "-m", "brookhub"],
            stderr=open(self.log_path, "w"),
            env={
                **{name: value for name, value in os.environ.items() if not name.startswith("NODE_")},
                "NODE_CONFIG": str(config),
            },
        )
        assert until(self.ready, 20), self.log_path.read_text()
        until(
            lambda: self.counter.connections, 1
        )  # a first call decided without the counter's word may be refused

    def ready(self):
        with contextlib.suppress(OSError), self.dial() as sock:
            sock.sendall(b"*1\r\n$4\r\nPING\r\n")
            return sock.makefile("rb").readline() == b"+PONG\r\n"

    def dial(self):
        return socket.create_connection(("127.0.0.1", self.port), timeout=10)

    def ended(self):
        """The reasons logged so far, each with the peer that it was about."""
        lines = [json.loads(line) for line in self.log_path.read_text().splitlines() if line.startswith("{")]
        return [(line["peer"], line["reason"]) for line in lines if line["event"] == "connection closed"]

    def faults(self):
        return [
            line
            for line in self.log_path.read_text().splitlines()
            if any(mark in line for mark in ('"internal error"', '"internal-error"', "Traceback"))
        ]

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def status(self, name):
        return next(
            int(line.split()[1]) for line in open(f"/proc/{self.process.pid}/status") if line.startswith(name)
        )

    def close(self):
        self.process.kill()
        self.process.wait()
        for one in [self.counter, self.discovery, *self.servers]:
            one.close()


def until(true, seconds=10.0):
    """Whether it becomes true in that time."""
    end = time.monotonic() + seconds
    while not (met := true()) and time.monotonic() < end:
        time.sleep(0.02)
    return met


def command(*words):
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def api_call(ident, route="look", plan="wide", patience=2000, body=None, customer=7, more=""):
    verb = b"CALL.POST" if route == "once" else b"CALL.GET"
    words = [
        verb,
        b"%016x" % customer,
        b"%016x" % ident,
        f"c={route},t={plan},d={patience}{more},units=1,spread=1,first=0".encode(),
    ]
    return command(*words, *([body or b""] if route == "once" else []))


class Client:
    """One connection of a client."""

    def __init__(self, program) -> None:
        self.sock = program.dial()
        self.lines = self.sock.makefile("rb")

    def ask(self, data):
        self.sock.sendall(data)
        return read_value(self.lines)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.lines.close()
        self.sock.close()


def play_script(lab, script):
    """Play a process lab with `script(lab)` beside its load, which ends when the script does.

    Its outcome, no rule broken.
    """
    failed, start = [], lab.start

    def run():
        try:
            script(lab)
        except BaseException as met:  # the load plays on to its end; what went wrong is told then
            failed.append(met)
        lab.load.stop.set()

    def started():
        start()
        threading.Thread(target=run, daemon=True).start()

    lab.start = started
    outcome = lab.play()
    if failed:
        raise failed[0]
    assert not outcome.result.violations, outcome.result.first_violation
    assert not [line for one in lab.limiters for line in one.lines() if line["event"] == "internal error"]
    return outcome


def experiment(
    limiters=4,
    servers=6,
    duration=4.0,
    faults=(),
    rate=40.0,
    membership=False,
    signals=False,
    subsets=False,
    service=0.02,
    warm=2.0,
    **more,
):
    """A small fleet: two routes, one plan with room for all calls.

    Servers that are new are warm after `warm` s.
    """
    return Experiment.model_validate(
        {
            "name": "small",
            "duration_s": duration,
            "faults": list(faults),
            **more,
            "fleet": {
                "limiters": limiters,
                "membership": {"on": membership, "period_s": 0.2, "signals": signals, "subsets": subsets},
                "servers": {"count": servers, "places": 4, "service_s": service, "warm_after_s": warm},
                "counter": {"wait_s": 0.2},
                "routes": [
                    {"name": "look", "target_s": 0.5, "client_timeout_s": 1.0, "share": 3},
                    {"name": "once", "target_s": 0.5, "client_timeout_s": 1.0, "repeat": "non_idempotent"},
                ],
                "plans": [
                    {"name": "wide", "rate": 200, "burst": 400, "customers": 4, "calls_per_s": rate / 4}
                ],
            },
        }
    )


# the judge, on traffic of limiters that do wrong
