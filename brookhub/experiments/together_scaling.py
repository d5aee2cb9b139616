"""Measures fairness while a fleet grows from 40 limiters to 200 and shrinks back within 20 s."""

from __future__ import annotations

from ..emulator import Fleet
from ..emulator.customers import EmulatedCustomer
from .jobs import Job, Row
from .together_run import base_experiment, run

SMALL_FLEET = 40  # limiters, before and after
LARGE_FLEET = 200  # limiters, between
GROWS_AT = 5.0  # s
SHRINKS_AT = 15.0  # s
CHANGE_DURATION = 5.0  # s over which limiters start or end
TIME_AFTER = 4.0  # s that the run goes on after the last change
DRAIN_MARGIN = 0.1  # s beyond the longest client timeout, after which a draining limiter ends
MIN_RECEIVED = 10  # requests of a limiter that counts


def jain(shares: list[float]) -> float:
    """Jain's index of fairness: 1 where all are equal, 1/n where a single share has all."""
    if not any(shares):
        return 0.0
    return sum(shares) ** 2 / (len(shares) * sum(share * share for share in shares))


class RequestCounter:
    """Counts the requests of each customer, without retries."""

    def __init__(self) -> None:
        self.requests: dict[int, int] = {}  # by customer id

    def on_send(self, customer: EmulatedCustomer, is_retry: bool) -> None:
        """Count a request."""
        if not is_retry:
            self.requests[customer.id] = self.requests.get(customer.id, 0) + 1


def growing_fleet(job: Job) -> Row:
    """Limiters start and end as planned.

    `jain_limiters`: how evenly limiters serve what they receive; `jain_customers`: how evenly customers get
    what they request inside their quotas.
    """
    raw = base_experiment(job["limiters"], job["way"])
    raw["duration_s"] = SHRINKS_AT + CHANGE_DURATION + TIME_AFTER
    counter = RequestCounter()

    def prepare(fleet: Fleet) -> None:
        _schedule_scaling(fleet)
        fleet.clients.send_listeners.append(counter.on_send)

    played = run(raw, job["seed"], prepare)
    requests = counter.requests
    return played.figures | {
        "jain_limiters": jain(
            [
                limiter.served / limiter.received
                for limiter in played.fleet.limiters
                if limiter.received >= MIN_RECEIVED
            ]
        ),
        "jain_customers": jain(
            [
                customer.served_units / requests[customer.id]
                for customer in played.fleet.customers
                if customer.id in requests
            ]
        ),
    }


def _schedule_scaling(fleet: Fleet) -> None:
    """Kill the limiters beyond the small fleet, and schedule their starts and ends."""
    interval = CHANGE_DURATION / (LARGE_FLEET - SMALL_FLEET)
    for number, limiter in enumerate(fleet.limiters[SMALL_FLEET:]):
        limiter.kill()
        _schedule_lifetime(fleet, limiter.index, number * interval)


def _schedule_lifetime(fleet: Fleet, index: int, delay: float) -> None:
    """Schedule the start and the end of a limiter, `delay` s after those of the first."""
    fleet.engine.call_at(GROWS_AT + delay, lambda: fleet.restart(index))
    fleet.engine.call_at(SHRINKS_AT + delay, lambda: _drain(fleet, index))


def _drain(fleet: Fleet, index: int) -> None:
    """Shut a limiter down gracefully."""
    limiter = fleet.limiters[index]
    limiter.is_draining = True
    if limiter.member:
        limiter.member.core.leave()
    longest_timeout = max(route.client_timeout for route in fleet.routes)
    fleet.engine.call_later(longest_timeout + DRAIN_MARGIN, limiter.kill)
