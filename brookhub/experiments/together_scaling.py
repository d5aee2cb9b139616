"""Measurement of fairness while a fleet grows from 40 to 200 limiters and back to 40 within 20 s."""

from __future__ import annotations

from ..emulator import Fleet
from ..emulator.customers import EmulatedCustomer
from .jobs import Job, Row
from .together_run import base_experiment, run

SMALL_FLEET = 40  # Limiters before the fleet grows and after it shrinks.
LARGE_FLEET = 200  # Limiters between growing and shrinking.
GROWS_AT = 5.0  # In seconds.
SHRINKS_AT = 15.0  # In seconds.
CHANGE_DURATION = 5.0  # Seconds over which the starts or the ends of limiters are spread.
TIME_AFTER = 4.0  # Seconds that the run continues after the last change.
DRAIN_MARGIN = 0.1  # A draining limiter ends this many seconds after the longest client timeout.
MIN_RECEIVED = 10  # Limiters that received fewer requests are left out of the fairness index.


def jain(shares: list[float]) -> float:
    """Return Jain's fairness index: 1 if all shares are equal, 1/n if one share holds everything."""
    if not any(shares):
        return 0.0
    return sum(shares) ** 2 / (len(shares) * sum(share * share for share in shares))


class RequestCounter:
    """Counter of the requests of each customer, without retries."""

    def __init__(self) -> None:
        self.requests: dict[int, int] = {}  # By customer id.

    def on_send(self, customer: EmulatedCustomer, is_retry: bool) -> None:
        """Count a request, unless it is a retry. It is called for each request that a customer sends."""
        if not is_retry:
            self.requests[customer.id] = self.requests.get(customer.id, 0) + 1


def growing_fleet(job: Job) -> Row:
    """Measure fairness while limiters start and then shut down gracefully.

    `jain_limiters` is Jain's index of the served share of the requests that each limiter received.
    `jain_customers` is Jain's index of the served units for each request that a customer sent.
    """
    raw = base_experiment(job["limiters"], job["way"])
    raw["duration_s"] = SHRINKS_AT + CHANGE_DURATION + TIME_AFTER
    counter = RequestCounter()

    def prepare(fleet: Fleet) -> None:
        _schedule_scaling(fleet)
        fleet.clients.send_listeners.append(counter.on_send)

    finished = run(raw, job["seed"], prepare)
    requests = counter.requests
    return finished.figures | {
        "jain_limiters": jain(
            [
                limiter.served / limiter.received
                for limiter in finished.fleet.limiters
                if limiter.received >= MIN_RECEIVED
            ]
        ),
        "jain_customers": jain(
            [
                customer.served_units / requests[customer.id]
                for customer in finished.fleet.customers
                if customer.id in requests
            ]
        ),
    }


def _schedule_scaling(fleet: Fleet) -> None:
    """Stop the limiters beyond the small fleet before the run, and schedule their starts and ends."""
    interval = CHANGE_DURATION / (LARGE_FLEET - SMALL_FLEET)
    for number, limiter in enumerate(fleet.limiters[SMALL_FLEET:]):
        limiter.kill()
        _schedule_lifetime(fleet, limiter.index, number * interval)


def _schedule_lifetime(fleet: Fleet, index: int, delay: float) -> None:
    """Schedule the start and the end of a limiter, `delay` seconds after those of the first limiter."""
    fleet.engine.call_at(GROWS_AT + delay, lambda: fleet.restart(index))
    fleet.engine.call_at(SHRINKS_AT + delay, lambda: _drain(fleet, index))


def _drain(fleet: Fleet, index: int) -> None:
    """Shut a limiter down gracefully: it stops after the longest client timeout and a margin."""
    limiter = fleet.limiters[index]
    limiter.is_draining = True
    if limiter.member:
        limiter.member.core.leave()
    longest_timeout = max(route.client_timeout for route in fleet.routes)
    fleet.engine.call_later(longest_timeout + DRAIN_MARGIN, limiter.kill)
