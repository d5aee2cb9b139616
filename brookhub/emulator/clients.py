"""Clients of an emulated fleet: an open-loop stream of requests, some of them abandoned, some retried."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from ..config.models import LoadSpec
from ..site import Idempotency, Route
from .accounting import RequestAccounting
from .customers import EmulatedCustomer, EmulatedRequest
from .engine import Engine
from .limiter import EmulatedLimiter

DEFAULT_RETRY_AFTER = 1.0  # Seconds after which a client retries a rejection that had no Retry-After.
# A client that disconnects early does so after a random share of its timeout, between MIN_DISCONNECT_SHARE
# and MIN_DISCONNECT_SHARE + DISCONNECT_SHARE_SPREAD.
MIN_DISCONNECT_SHARE, DISCONNECT_SHARE_SPREAD = 0.2, 0.7

SendListener = Callable[[EmulatedCustomer, bool], None]
"""Called before a request is sent, with its customer and whether it is a retry."""


class Clients:
    """Generator of requests, each sent to a limiter drawn at random.

    Requests arrive as one Poisson stream over all customers, weighted by their rates. A bursty load
    multiplies the rate during its bursts. `route_weights` are the relative rates of the routes. `limiters` is
    the fleet's own list, in which the fleet replaces restarted limiters. `send_listeners` are called before a
    request is sent.
    """

    def __init__(
        self,
        rng: random.Random,
        load: LoadSpec,
        customers: Sequence[EmulatedCustomer],
        routes: Sequence[tuple[Route, float]],
        limiters: Sequence[EmulatedLimiter],
        accounting: RequestAccounting,
    ) -> None:
        self.rng = rng
        self.load = load
        self.customers = customers
        self.customer_weights = [customer.requests_per_s for customer in customers]
        self.routes = [route for route, _ in routes]
        self.route_weights = [weight for _, weight in routes]
        self.limiters = limiters
        self.accounting = accounting
        self.engine: Engine = accounting.engine
        self.rate = sum(self.customer_weights)  # Requests per second outside bursts.
        self.send_listeners: list[SendListener] = []
        self._last_request = 0

    def start(self) -> None:
        """Schedule the first request."""
        self.engine.call_later(self.rng.expovariate(self.rate), self._on_next_arrival)

    def offered_rate(self, now: float) -> float:
        """Return the requests per second that clients send at time `now` (s)."""
        load = self.load
        if load.shape == "bursty" and now % load.burst_every_s < load.burst_for_s:
            return self.rate * load.burst_factor
        return self.rate

    def _on_next_arrival(self) -> None:
        """Send a request and schedule the next one."""
        rate = self.offered_rate(self.engine.now)
        self.engine.call_later(self.rng.expovariate(rate), self._on_next_arrival)
        customer = self.rng.choices(self.customers, self.customer_weights)[0]
        route = self.rng.choices(self.routes, self.route_weights)[0]
        self.send(customer, route, is_retry=False)

    def send(self, customer: EmulatedCustomer, route: Route, is_retry: bool, token: int = 0) -> None:
        """Send a request.

        `token` is the idempotency key of the request that this one retries, 0 for a new request.
        """
        for listener in self.send_listeners:
            listener(customer, is_retry)
        available = [limiter for limiter in self.limiters if limiter.is_alive and not limiter.is_draining]
        if not available:
            self.accounting.on_no_limiter()
            return
        limiter = available[self.rng.randrange(len(available))]
        request = self._create_request(limiter, customer, route, is_retry, token)
        self.accounting.on_arrival(request)
        limiter.on_request(request)
        if self.accounting.is_open(request) and self.rng.random() < self.load.give_up_share:
            disconnects_after = route.client_timeout * (
                MIN_DISCONNECT_SHARE + DISCONNECT_SHARE_SPREAD * self.rng.random()
            )
            limiter.call_later(disconnects_after, lambda: self._disconnect(limiter, request))

    def _create_request(
        self, limiter: EmulatedLimiter, customer: EmulatedCustomer, route: Route, is_retry: bool, token: int
    ) -> EmulatedRequest:
        """Return a request as it arrives at a limiter.

        `quota_holders` is the configured number of limiters, whether or not all of them are alive: the load
        balancer that spreads the requests over the limiters does not know which are alive.
        """
        self._last_request += 1
        return EmulatedRequest(
            self._last_request,
            limiter.customers.find(customer.id, customer.plan),
            route,
            self.engine.now + route.client_timeout,
            quota_holders=len(self.limiters),
            first_gateway=limiter.index,
            is_retry=is_retry,
            is_write=route.idempotency is not Idempotency.IDEMPOTENT,
            emulated_customer=customer,
            token=token or self._last_request,
        )

    def on_rejected(self, request: EmulatedRequest, retry_after: float) -> None:
        """Schedule a retry of a rejected request with the probability `repeat_share` of the load."""
        if self.rng.random() < self.load.repeat_share:
            self.engine.call_later(
                retry_after or DEFAULT_RETRY_AFTER,
                lambda: self.send(request.emulated_customer, request.route, True, request.token),
            )

    def _disconnect(self, limiter: EmulatedLimiter, request: EmulatedRequest) -> None:
        """Disconnect the client of a request, unless the request has been answered."""
        if self.accounting.is_open(request):
            self.accounting.checker.record("leave", limiter.index, request.id)
            self.accounting.on_client_left(request)
            limiter.gateway.on_client_disconnected(request)
