"""A RESP2 load generator: open-loop arrivals of an experiment against the limiters of a lab.

Each call goes over a connection of its own from a pool; the record of a call (`Asked`) holds every answer
that came, so the judge sees lost, late and doubled ones. Times in s (monotonic clock of this machine).
"""

from __future__ import annotations

import contextlib
import random
import socket
import threading
from dataclasses import dataclass, field
from queue import SimpleQueue
from time import monotonic, sleep

from ..config.models import Experiment
from ..fakes import read_value
from ..protocol import resp
from ..site import Idempotency

OVERTIME = 1.5  # s after a call's client timeout in which its client still listens, to catch late answers
REFUSED = 0.5  # s that the front leaves a limiter alone that refused a connection
DIAL = 1.0  # s for a connection to a limiter to come up
WORKERS = 600  # calls out at once at most; beyond that the generator itself would be late
REPEATS = {
    "idempotent": Idempotency.IDEMPOTENT,
    "tokened": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}


@dataclass(eq=False)
class Asked:
    """One API call as its client saw it.

    `answers`: (s, "proxied", "rate-limited" or "errored"), all that came; `end`: "answered", "closed" (the
    connection ended without one), "none" (silence), "left", "no-limiter".
    """

    id: int
    customer: int
    route: int
    limiter: int
    sent: float
    expires: float
    repeated: bool = False
    answers: list = field(default_factory=list)
    retry_after: float = 0.0
    end: str = ""
    ended: float = 0.0
    again: float = 0.0  # when its client asked once more, its connection having ended
    before: int = -1  # the limiter that it had asked before that
    # In a tokened route: the id of the call that its client asked first, where this one asks again
    token: int = 0


class Connection:
    """One client connection to a limiter; `last` is the call answered on it before."""

    def __init__(self, at: tuple[str, int]):
        self.sock = socket.create_connection(at, DIAL)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lines, self.last = self.sock.makefile("rb"), None

    def fresh(self) -> bool:
        """Whether it can carry another call.

        Bytes nobody asked for are booked as a second answer of the last one.
        """
        self.sock.setblocking(False)
        try:
            data = self.sock.recv(4096)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if data and self.last:
            self.last.answers.append((monotonic(), "again"))
        return False

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.lines.close()
            self.sock.close()


class Load:
    """Plays the arrivals; `asked` holds every call.

    `limiters`: address of each, in the order of their slots.
    """

    def __init__(self, experiment: Experiment, limiters: list[tuple[str, int]], seed: int):
        self.experiment, self.limiters, self.rng = experiment, limiters, random.Random(f"load/{seed}")
        fleet = experiment.fleet
        self.routes = fleet.routes
        self.route_weights = [one.share for one in fleet.routes]
        self.customers = [
            (plan, one.calls_per_s * experiment.load.scale)
            for plan, one in enumerate(fleet.plans)
            for _ in range(one.customers)
        ]
        self.weights = [rate for _, rate in self.customers]
        self.rate = sum(self.weights)
        self.asked: list[Asked] = []
        self.lock = threading.Lock()
        self.pools: list[list[Connection]] = [[] for _ in limiters]
        self.refused = [0.0] * len(limiters)
        self.jobs: SimpleQueue = SimpleQueue()
        self.idle = self.workers = self.ident = 0
        self.late = 0.0  # s, the most by which an arrival went out late: the generator's own noise
        self.over, self.stop = threading.Event(), threading.Event()  # stop: no more arrivals, before the time

    def run(self, seconds: float) -> None:
        """Send arrivals for so long (s), then wait until the last call has its end."""
        began = monotonic()
        due, load = began, self.experiment.load
        while True:
            bursting = load.shape == "bursty" and (due - began) % load.burst_every_s < load.burst_for_s
            due += self.rng.expovariate(self.rate * (load.burst_factor if bursting else 1.0))
            if due - began > seconds or self.stop.is_set():
                break
            wait = due - monotonic()
            if wait > 0:
                sleep(wait)
            self.late = max(self.late, monotonic() - due)
            customer = self.rng.choices(range(len(self.customers)), self.weights)[0]
            self.submit(customer, self.rng.choices(range(len(self.routes)), self.route_weights)[0], False)
        self.over.set()
        longest = max(one.client_timeout_s for one in self.routes) + OVERTIME + 1.0
        end = monotonic() + longest
        while monotonic() < end and any(not one.end for one in self.asked):
            sleep(0.05)
        for pool in self.pools:
            for one in pool:
                one.fresh()
                one.close()

    def submit(self, customer: int, route: int, repeated: bool, token: int = 0) -> None:
        """A client asks; `token`: of the request that it asked first."""
        with self.lock:
            self.ident += 1
            now = monotonic()
            limiter = self.choose(now)
            one = Asked(
                self.ident, customer, route, limiter, now, now + self.routes[route].client_timeout_s, repeated
            )
            one.token = token or one.id
            leaves = self.rng.random() < self.experiment.load.give_up_share
            patience = (
                self.routes[route].client_timeout_s * (0.2 + 0.7 * self.rng.random()) if leaves else 0.0
            )
            self.asked.append(one)
            spare = self.idle > self.jobs.qsize()
            if not spare and self.workers < WORKERS:
                self.workers += 1
                threading.Thread(target=self.work, daemon=True).start()
        self.jobs.put((one, patience))

    def choose(self, now: float, but: int | None = None) -> int:
        """The front: a limiter at random, not one that refused a connection just now."""
        open_to = [n for n in range(len(self.limiters)) if now - self.refused[n] > REFUSED and n != but]
        return self.rng.choice(open_to or list(range(len(self.limiters))))

    def work(self) -> None:
        """Play requests, one after another. Runs in a thread of its own."""
        while True:
            with self.lock:
                self.idle += 1
            one, patience = self.jobs.get()
            with self.lock:
                self.idle -= 1
            try:
                self.ask(one, patience)
            finally:
                one.ended, one.end = monotonic(), one.end or "closed"
            how = one.answers[0][1] if one.answers else ""
            if how == "rate-limited" and not self.over.is_set():
                with self.lock:
                    again = self.rng.random() < self.experiment.load.repeat_share
                if again:
                    threading.Timer(one.retry_after or 1.0, self.again, (one,)).start()

    def again(self, one: Asked) -> None:
        """A refused client asks once more."""
        if not self.over.is_set():
            self.submit(one.customer, one.route, True, one.token)

    def words(self, one: Asked) -> bytes:
        """The request as a command."""
        spec, plan = self.routes[one.route], self.experiment.fleet.plans[self.customers[one.customer][0]]
        reads = spec.repeat == "idempotent"
        key = f",k={one.token:016x}" if spec.repeat == "tokened" else ""
        fields = (
            f"c={spec.name},t={plan.name},d={max(1, round((one.expires - monotonic()) * 1000))}{key}"
            f"{',r=1' if one.repeated else ''},units=1,spread={len(self.limiters)},first={one.limiter}"
        )
        return resp.command(
            b"CALL.GET" if reads else b"CALL.POST",
            b"%016x" % one.customer,
            b"%016x" % one.id,
            fields.encode(),
            *(() if reads else (b"",)),
        )

    def connect(self, one: Asked) -> tuple[Connection | None, bool]:
        """A connection to its limiter, or to another where that refuses."""
        dials = 0
        while dials <= len(self.limiters):
            with self.lock:
                pool = self.pools[one.limiter]
                held = pool.pop() if pool else None
            if held:
                if held.fresh():
                    return held, True
                held.close()
                continue
            dials += 1
            try:
                return Connection(self.limiters[one.limiter]), False
            except OSError:
                with self.lock:
                    self.refused[one.limiter] = monotonic()
                    one.limiter = self.choose(monotonic(), one.limiter)
        return None, False

    def ask(self, one: Asked, patience: float) -> None:
        """Send a request and wait for its answer."""
        for again in (False, True):
            conn, used = self.connect(one)
            if conn is None:
                one.end = "no-limiter"
                return
            try:
                conn.sock.settimeout(DIAL)
                conn.sock.sendall(self.words(one))
                conn.sock.settimeout(
                    max(0.01, (one.sent + patience if patience else one.expires + OVERTIME) - monotonic())
                )
                said = read_value(conn.lines)
            except TimeoutError:
                one.end = "left" if patience else "none"
                conn.close()
                return
            except (OSError, ValueError):
                conn.close()
                if used and not again:
                    one.again, one.before = monotonic(), one.limiter
                    continue  # the close of an idle connection crossed the call: once more, on a new one
                one.end = "closed"
                return
            return self.took(one, conn, said)

    def took(self, one: Asked, conn: Connection, said) -> None:
        """An answer came."""
        how = "errored"
        if said is not None and said[:5] == b"-BUSY":
            how = "rate-limited"
            words = said.split()
            one.retry_after = int(words[1]) / 1000 if len(words) > 1 else 0.0
        elif said is not None and not said.startswith(b"-"):
            how = "proxied"
        one.answers.append((monotonic(), how))
        one.end, conn.last = "answered", one
        with self.lock:
            self.pools[one.limiter].append(conn)
