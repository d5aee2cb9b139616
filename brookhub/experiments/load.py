"""A RESP2 load generator: open-loop arrivals of an experiment against the limiters of a fleet.

Each request has a connection to itself while it is out; `ClientRequest` records every answer, so that the
invariant checker finds lost, late and duplicate ones. Times in s (monotonic clock of this machine).
"""

from __future__ import annotations

import random
import threading
from dataclasses import dataclass
from queue import SimpleQueue
from time import monotonic, sleep

from ..config.models import Experiment
from ..fakes import Endpoint
from ..protocol import resp
from .client_connections import ClientConnection, ConnectionPools
from .client_request import Answer, AnswerKind, ClientRequest, RequestEnd

LATE_ANSWER_TIME = 1.5  # s after the client timeout in which answers are still recorded
MIN_TIMEOUT = 0.01  # s
DEFAULT_RETRY_AFTER = 1.0  # s, for a rejection that does not say
MAX_WORKERS = 600  # requests out at once; with more threads the generator itself would be late


@dataclass(frozen=True)
class LoadCustomer:
    """A customer of the load: the index of its plan, and its requests/s."""

    plan: int
    rate: float


@dataclass(frozen=True)
class Job:
    """A request for a worker; its client cancels it `patience` s after it was sent (0: it does not)."""

    request: ClientRequest
    patience: float


class Load:
    """Plays the arrivals of an experiment; `endpoints` are the limiters' in the order of their indices.

    `requests` holds every request, in order. `stop` may be set to end the arrivals before their time.
    `max_arrival_delay` (s) is the largest delay of an arrival: the generator's own noise. `lock` guards
    `requests`, the pools and the workers' counts.
    """

    def __init__(self, experiment: Experiment, endpoints: list[Endpoint], seed: int) -> None:
        fleet = experiment.fleet
        self.experiment = experiment
        self.routes = fleet.routes
        self.customers = [
            LoadCustomer(number, plan.calls_per_s * experiment.load.scale)
            for number, plan in enumerate(fleet.plans)
            for _ in range(plan.customers)
        ]
        self.rng = random.Random(f"load/{seed}")
        self.lock = threading.Lock()
        self.pools = ConnectionPools(endpoints, self.rng, self.lock)
        self.requests: list[ClientRequest] = []
        self.jobs: SimpleQueue[Job] = SimpleQueue()
        self.idle_workers = 0
        self.worker_count = 0
        self.max_arrival_delay = 0.0
        self.stop = threading.Event()
        self.is_over = threading.Event()  # no more requests, retries included

    def run(self, seconds: float) -> None:
        """Send arrivals for so long (s), then wait until every request has ended."""
        self.send_arrivals(seconds)
        self.is_over.set()
        longest = max(route.client_timeout_s for route in self.routes) + LATE_ANSWER_TIME + 1.0
        deadline = monotonic() + longest
        while monotonic() < deadline and any(request.end is None for request in self.requests):
            sleep(0.05)
        self.pools.close()

    def send_arrivals(self, seconds: float) -> None:
        """Send requests at random times, until the time is over or `stop` is set."""
        weights = [customer.rate for customer in self.customers]
        route_weights = [route.share for route in self.routes]
        rate = sum(weights)
        began = due = monotonic()
        while True:
            due += self.rng.expovariate(rate * self.rate_factor(due - began))
            if due - began > seconds or self.stop.is_set():
                return
            wait = due - monotonic()
            if wait > 0:
                sleep(wait)
            self.max_arrival_delay = max(self.max_arrival_delay, monotonic() - due)
            customer = self.rng.choices(range(len(self.customers)), weights)[0]
            route = self.rng.choices(range(len(self.routes)), route_weights)[0]
            self.submit(customer, route)

    def rate_factor(self, elapsed: float) -> float:
        """The factor on the mean rate, `elapsed` s after the start."""
        load = self.experiment.load
        is_burst = load.shape == "bursty" and elapsed % load.burst_every_s < load.burst_for_s
        return load.burst_factor if is_burst else 1.0

    def submit(self, customer: int, route: int, repeated: ClientRequest | None = None) -> None:
        """Send a request; `repeated` is the rejected one that its client repeats."""
        timeout = self.routes[route].client_timeout_s
        with self.lock:
            now = monotonic()
            limiter = self.pools.choose_locked(now)
            number = len(self.requests) + 1
            request = ClientRequest(number, customer, route, limiter, now, now + timeout)
            request.repeats = repeated is not None
            request.original = number if repeated is None else repeated.original
            patience = self.draw_patience(timeout)
            self.requests.append(request)
            has_idle_worker = self.idle_workers > self.jobs.qsize()
            if not has_idle_worker and self.worker_count < MAX_WORKERS:
                self.worker_count += 1
                threading.Thread(target=self.work, daemon=True).start()
        self.jobs.put(Job(request, patience))

    def draw_patience(self, timeout: float) -> float:
        """After how many s a client cancels its request; 0 for most, who do not. Needs the lock."""
        if self.rng.random() >= self.experiment.load.give_up_share:
            return 0.0
        return timeout * (0.2 + 0.7 * self.rng.random())

    def work(self) -> None:
        """Send requests, one after another. Runs in a thread of its own."""
        while True:
            with self.lock:
                self.idle_workers += 1
            job = self.jobs.get()
            with self.lock:
                self.idle_workers -= 1
            request = job.request
            try:
                self.send(request, job.patience)
            finally:
                request.ended_at = monotonic()
                request.end = request.end or RequestEnd.CLOSED
            if request.outcome is AnswerKind.REJECTED and not self.is_over.is_set():
                self.maybe_repeat(request)

    def maybe_repeat(self, request: ClientRequest) -> None:
        """Have a share of the rejected clients send their request once more, after the Retry-After."""
        with self.lock:
            repeats = self.rng.random() < self.experiment.load.repeat_share
        if repeats:
            delay = request.retry_after or DEFAULT_RETRY_AFTER
            threading.Timer(delay, self.repeat, (request,)).start()

    def repeat(self, request: ClientRequest) -> None:
        """Send a rejected request once more, unless the load is over."""
        if not self.is_over.is_set():
            self.submit(request.customer, request.route, request)

    def command(self, request: ClientRequest) -> bytes:
        """The request as a command."""
        route = self.routes[request.route]
        plan = self.experiment.fleet.plans[self.customers[request.customer].plan]
        deadline_ms = max(1, round((request.expires_at - monotonic()) * 1000))
        fields = [f"c={route.name}", f"t={plan.name}", f"d={deadline_ms}"]
        if route.repeat == "tokened":
            fields.append(f"k={request.original:016x}")
        if request.repeats:
            fields.append("r=1")
        fields += ["units=1", f"spread={len(self.pools.endpoints)}", f"first={request.limiter}"]
        is_read = route.repeat == "idempotent"
        body = () if is_read else (b"",)
        return resp.encode_command(
            b"CALL.GET" if is_read else b"CALL.POST",
            b"%016x" % request.customer,
            b"%016x" % request.id,
            ",".join(fields).encode(),
            *body,
        )

    def send(self, request: ClientRequest, patience: float) -> None:
        """Send a request and record its end.

        If the close of an idle connection crossed the request, it is sent once more on another one.
        """
        for is_second in (False, True):
            connection, was_used = self.pools.connect(request)
            if connection is None:
                request.end = RequestEnd.NO_LIMITER
                return
            try:
                connection.send(self.command(request))
                ends_at = request.sent_at + patience if patience else request.expires_at + LATE_ANSWER_TIME
                answer = connection.receive(max(MIN_TIMEOUT, ends_at - monotonic()))
            except TimeoutError:
                request.end = RequestEnd.CANCELLED if patience else RequestEnd.SILENT
                connection.close()
                return
            except (OSError, ValueError):
                connection.close()
                if not was_used or is_second:
                    request.end = RequestEnd.CLOSED
                    return
                request.resent_at = monotonic()
                request.previous_limiter = request.limiter
                continue
            self.record_answer(request, connection, answer)
            return

    def record_answer(
        self, request: ClientRequest, connection: ClientConnection, answer: bytes | None
    ) -> None:
        """Record an answer and keep its connection for other requests."""
        kind = AnswerKind.FAILED
        if answer is not None and answer.startswith(b"-BUSY"):
            kind = AnswerKind.REJECTED
            words = answer.split()
            request.retry_after = int(words[1]) / 1000 if len(words) > 1 else 0.0
        elif answer is not None and not answer.startswith(b"-"):
            kind = AnswerKind.SERVED
        request.answers.append(Answer(monotonic(), kind))
        request.end = RequestEnd.ANSWERED
        connection.last_request = request
        self.pools.put(request.limiter, connection)
