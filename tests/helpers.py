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
from dataclasses import replace

from brookhub.config import Experiment
from brookhub.fakes import FakeCounter, FakeDiscovery, FakeServer, host, read_value
from brookhub.model import Attempt, Customer, Outcome, Request, Server, ServerState
from brookhub.policy import NEVER_RAN, Gateway
from brookhub.site import DeduplicationScope, GatewaySettings, Idempotency, Plan, Route

DEFAULT_SETTINGS = GatewaySettings(
    routes=(Route("read", 1.0, 4.0),),
    plans=(Plan("hard", 4.0, 8.0),),
    zone=0,
    index=0,
    gateways=2,
    counter_timeout=0.05,
    max_request_units=1.0,
    reports_actual_units=False,
    max_attempts=3,
    allows_hedging=False,
    can_cancel=True,
    max_retry_after=2.0,
    cold_capacity=0.2,
    warm_up_time=10.0,
    overload_multiple=2.0,
    overload_window=1.0,
    polls_server_list=False,
    server_list_max_age=10.0,
)


class World:
    """One gateway, its port, and all it did."""

    def __init__(self, seed=1, now=100.0, servers=3, counter="ok", **settings):
        self.now, self.alarms, self.order = now, [], 0
        self.counter, self.totals, self.counts = counter, {}, []
        self.sent, self.out, self.answers, self.told_gone = [], [], {}, {}
        self.calls, self.late = 0, False  # late: it stood still, so late answers are the adapter's to drop
        self.settings = replace(DEFAULT_SETTINGS, **settings)
        self.gateway = Gateway(self, seed, self.settings)
        self.servers = [Server(index, zone=index % 3) for index in range(servers)]
        self.gateway.on_servers_updated(self.servers)

    # the port

    def start_attempt(self, request, server, timeout):
        assert request not in self.answers and self.now <= request.deadline, "sent after the final answer"
        assert server.state is ServerState.READY, "sent to a server that drains or is gone"
        ran = [other for other in request.attempts if other.outcome not in NEVER_RAN]
        assert self.settings.allows_hedging or all(other.outcome for other in request.attempts), (
            "two tries out"
        )
        if ran and request.route.idempotency is not Idempotency.IDEMPOTENT:
            assert request.route.idempotency is Idempotency.KEYED, "a non-idempotent call sent twice"
            assert self.now < ran[0].sent_at + request.route.deduplication_window, "a repeat after its window"
            assert (
                request.route.deduplication_scope is not DeduplicationScope.ZONE
                or server.zone == ran[0].server.zone
            ), "a repeat left its zone"
        assert len(request.attempts) < self.settings.max_attempts
        one = Attempt(request, server, len(request.attempts), self.now)
        one.timeout = timeout
        request.attempts.append(one)
        self.sent.append(one)
        self.out.append(one)
        self.later(min(timeout or 1e9, request.deadline - self.now), lambda: self.end(one, Outcome.TIMEOUT))
        return one

    def cancel_attempt(self, one):
        self.later(0.001, lambda: self.end(one, Outcome.CANCELLED))

    def reject_request(self, request, retry_after):
        ran = [one for one in request.attempts if one.outcome not in NEVER_RAN]
        assert (
            not ran
            or request.route.idempotency is Idempotency.IDEMPOTENT
            or request.route.deduplication_scope is DeduplicationScope.ALL
        )
        self.answer(request, "rate-limited")

    def fail_request(self, request):
        self.answer(request, "errored")

    def answer(self, request, how):
        assert request not in self.answers, "two final answers"
        assert self.now <= request.deadline + 1e-6 or self.late, "answered after the client timeout"
        self.answers[request] = (how, self.now)

    def add_to_counter(self, name, amount, lifetime, told):
        self.counts.append((name, amount))
        if self.counter == "silent":
            self.later(self.settings.counter_timeout, lambda: told(Outcome.TIMEOUT, 0.0, 0.05))
        elif self.counter == "full":
            self.later(0.001, lambda: told(Outcome.BUSY, 0.0, 0.001))
        elif self.counter == "ok":
            self.totals[name] = total = self.totals.get(name, 0.0) + amount
            self.later(0.002, lambda: told(Outcome.OK, total, 0.002))

    def watch_servers(self, on):
        pass

    def later(self, seconds, callback):
        self.order += 1
        self.alarms.append((self.now + max(0.0, seconds), self.order, callback))

    # the test's side

    def call(self, customer, route=0, units=1.0, gateways=2, patience=None):
        self.calls += 1
        route = self.settings.routes[route]
        request = Request(
            self.calls, customer, route, self.now + (patience or route.client_timeout), units, gateways
        )
        self.gateway.on_request(request)
        return request

    def customer(self, ident=1, plan=0):
        return Customer(ident, self.settings.plans[plan])

    def end(self, one, outcome, charged=0.0):
        if one.outcome is None:
            one.outcome = outcome
            self.out.remove(one)
            final = outcome is Outcome.OK and one.request not in self.answers
            if final:
                self.answer(one.request, "proxied")
            self.gateway.on_attempt_ended(
                one, self.now - one.sent_at, outcome is Outcome.OK, charged, None, {}
            )

    def run(self, seconds):
        """Move the clock, step by step, through all that was asked for on the way."""
        until = self.now + seconds
        while self.alarms and min(self.alarms)[0] <= until:
            due = min(self.alarms)
            self.alarms.remove(due)
            self.now = due[0]
            due[2]()
        self.now = until


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

    def __init__(self):
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

    def __init__(self, folder, servers=None, start=None, limits=None, settings=None, discovery=None):
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
        return [(line["peer"], line["reason"]) for line in lines if line["event"] == "connection ended"]

    def faults(self):
        return [
            line
            for line in self.log_path.read_text().splitlines()
            if '"fault"' in line or "Traceback" in line
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

    def __init__(self, program):
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
    assert not outcome.result.broken, outcome.result.first_break
    assert not [line for one in lab.limiters for line in one.lines() if line["event"] == "fault"]
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
