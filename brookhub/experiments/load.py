"""A RESP2 load generator, which sends an experiment's open-loop arrivals to the limiters of a fleet.

A request in progress has a connection of its own. `ClientRequest` records every answer, so that the invariant
checker finds lost, late and duplicate answers. Times are seconds on the monotonic clock.
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

LATE_ANSWER_TIME = 1.5  # Seconds after the client timeout in which answers are still recorded.
MIN_TIMEOUT = 0.01  # Minimum seconds to wait for an answer.
DEFAULT_RETRY_AFTER = 1.0  # Seconds before a repeat if the rejection has no Retry-After.
# Maximum number of requests in progress. With more threads the generator itself would delay arrivals.
MAX_WORKERS = 600


@dataclass(frozen=True)
class LoadCustomer:
    """A customer of the load, with the index of its plan and its requests per second."""

    plan: int
    rate: float


@dataclass(frozen=True)
class Job:
    """A request for a worker to send.

    Attributes:
        request: The request.
        cancel_after: Seconds after which the client cancels the request, 0 if it does not.
    """

    request: ClientRequest
    cancel_after: float


class Load:
    """The load of an experiment. `endpoints` has the limiters' endpoints in the order of their indices.

    Attributes:
        lock: Guards `requests`, the pools and the workers' counts.
        requests: All requests, in the order in which they were sent.
        max_arrival_delay: Largest delay in seconds of an arrival, which is an error of the generator itself.
        stop: Event that ends the arrivals early when it is set.
        is_over: Event that is set when no more requests are sent, repeats included.
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
        self.is_over = threading.Event()

    def run(self, seconds: float) -> None:
        """Send requests for `seconds`, then wait until every request has ended."""
        self.send_arrivals(seconds)
        self.is_over.set()
        longest = max(route.client_timeout_s for route in self.routes) + LATE_ANSWER_TIME + 1.0
        deadline = monotonic() + longest
        while monotonic() < deadline and any(request.end is None for request in self.requests):
            sleep(0.05)
        self.pools.close()

    def send_arrivals(self, seconds: float) -> None:
        """Send requests at random times until `seconds` have passed or `stop` is set."""
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
        """Return the factor applied to the mean rate `elapsed` seconds after the start."""
        load = self.experiment.load
        is_burst = load.shape == "bursty" and elapsed % load.burst_every_s < load.burst_for_s
        return load.burst_factor if is_burst else 1.0

    def submit(self, customer: int, route: int, repeated: ClientRequest | None = None) -> None:
        """Queue a request for a worker. `repeated` is the rejected request that it repeats, if any."""
        timeout = self.routes[route].client_timeout_s
        with self.lock:
            now = monotonic()
            limiter = self.pools.choose_locked(now)
            number = len(self.requests) + 1
            request = ClientRequest(number, customer, route, limiter, now, now + timeout)
            request.repeats = repeated is not None
            request.original = number if repeated is None else repeated.original
            cancel_after = self.draw_cancel_after(timeout)
            self.requests.append(request)
            has_idle_worker = self.idle_workers > self.jobs.qsize()
            if not has_idle_worker and self.worker_count < MAX_WORKERS:
                self.worker_count += 1
                threading.Thread(target=self.work, daemon=True).start()
        self.jobs.put(Job(request, cancel_after))

    def draw_cancel_after(self, timeout: float) -> float:
        """Return the seconds after which a client cancels its request, 0 for most, which do not cancel.

        The caller must hold `lock`.
        """
        if self.rng.random() >= self.experiment.load.give_up_share:
            return 0.0
        return timeout * (0.2 + 0.7 * self.rng.random())

    def work(self) -> None:
        """Send the queued requests one after another. Runs in a thread of its own."""
        while True:
            with self.lock:
                self.idle_workers += 1
            job = self.jobs.get()
            with self.lock:
                self.idle_workers -= 1
            request = job.request
            try:
                self.send(request, job.cancel_after)
            finally:
                request.ended_at = monotonic()
                request.end = request.end or RequestEnd.CLOSED
            if request.outcome is AnswerKind.REJECTED and not self.is_over.is_set():
                self.schedule_repeat(request)

    def schedule_repeat(self, request: ClientRequest) -> None:
        """Repeat a rejected request after its Retry-After, with the probability `repeat_share`."""
        with self.lock:
            repeats = self.rng.random() < self.experiment.load.repeat_share
        if repeats:
            delay = request.retry_after or DEFAULT_RETRY_AFTER
            threading.Timer(delay, self.repeat, (request,)).start()

    def repeat(self, request: ClientRequest) -> None:
        """Send a rejected request again, unless the load is over."""
        if not self.is_over.is_set():
            self.submit(request.customer, request.route, request)

    def command(self, request: ClientRequest) -> bytes:
        """Return the command that sends a request to a limiter."""
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

    def send(self, request: ClientRequest, cancel_after: float) -> None:
        """Send a request and record its end.

        A reused connection may be closed by the limiter while the request is sent. The request is then sent
        once more on another connection.
        """
        for is_second in (False, True):
            connection, was_used = self.pools.connect(request)
            if connection is None:
                request.end = RequestEnd.NO_LIMITER
                return
            try:
                connection.send(self.command(request))
                ends_at = (
                    request.sent_at + cancel_after if cancel_after else request.expires_at + LATE_ANSWER_TIME
                )
                answer = connection.receive(max(MIN_TIMEOUT, ends_at - monotonic()))
            except TimeoutError:
                request.end = RequestEnd.CANCELLED if cancel_after else RequestEnd.SILENT
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
        """Record an answer and return its connection to the pool."""
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
