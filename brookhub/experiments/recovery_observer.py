"""Observers of excess use, repeated requests and agreement of counts while the emulated counter fails."""

from __future__ import annotations

from ..emulator import Fleet
from ..emulator.customers import EmulatedCustomer, EmulatedRequest
from ..emulator.servers import AttemptOwner
from ..model import Attempt, Request
from ..recovery import Recovery
from .recovery_bounds import ExcessUse, excess_bound

AGREEMENT_CHECK_INTERVAL = 0.05  # In seconds.
ROUNDING_TOLERANCE = 1e-3  # Units by which counts that agree may differ.
# A count expires after three windows. Its window has not ended while more than this share of the lifetime is
# left.
RUNNING_SHARE = 2 / 3

ExcessByCustomer = dict[int, ExcessUse]


def counts_agree(fleet: Fleet) -> bool:
    """Return whether the counter's totals of all running windows equal what the live limiters added."""
    recoveries = [limiter.recovery for limiter in fleet.limiters if limiter.is_alive and limiter.recovery]
    has_one_counter = len(fleet.counter.instances) == 1
    has_one_epoch = len({recovery.epochs.epoch for recovery in recoveries}) <= 1
    if not has_one_counter or not has_one_epoch:
        return False
    if not all(recovery.is_reconciled() for recovery in recoveries):
        return False
    return _totals_match(fleet, recoveries)


def _totals_match(fleet: Fleet, recoveries: list[Recovery]) -> bool:
    """Return whether the first counter instance has the sum of the ledgers for each running window."""
    units_by_name: dict[int, float] = {}
    running_names: set[int] = set()
    for recovery in recoveries:
        for name, entry in recovery.ledger.entries.items():
            units_by_name[name] = units_by_name.get(name, 0.0) + entry.units
            time_left = entry.expires_at - fleet.engine.now
            if entry.units and time_left > RUNNING_SHARE * entry.lifetime:
                running_names.add(name)
    instance = fleet.counter.instances[0]
    epochs = recoveries[0].epochs
    return all(
        abs(instance.total(epochs.count_name(name)) - units_by_name[name]) < ROUNDING_TOLERANCE
        for name in running_names
    )


class ExcessObserver:
    """Observer of the use of each customer beyond its quota and its ceiling, by customer id.

    Customers of soft plans are not in `over_quota`, because their loans let them exceed the quota.
    """

    def __init__(self, fleet: Fleet, fault: str, repeat_share: float) -> None:
        self.over_quota: ExcessByCustomer = {}
        self.over_ceiling: ExcessByCustomer = {}
        self._fleet = fleet
        self._fault = fault
        self._repeat_share = repeat_share
        for customer in fleet.customers:
            self._observe(customer)

    def _observe(self, customer: EmulatedCustomer) -> None:
        plan = customer.plan
        if not plan.is_soft:
            quota = ExcessUse(plan.rate, plan.burst)
            self.over_quota[customer.id] = quota
            customer.served_listeners.append(quota.record)
        if plan.ceiling_rate:
            ceiling = ExcessUse(plan.ceiling_rate, plan.ceiling_burst)
            self.over_ceiling[customer.id] = ceiling
            customer.served_listeners.append(ceiling.record)

    def bounds(self, excess_by_customer: ExcessByCustomer) -> dict[int, float]:
        """Return the bound on the excess use (in units) of each of these customers, by id."""
        counter = self._fleet.experiment.fleet.counter
        bounds = {}
        for customer_id, excess in excess_by_customer.items():
            requested_rate = self._fleet.customers[customer_id].requests_per_s * (1 + self._repeat_share)
            bounds[customer_id] = excess_bound(
                excess.rate, excess.burst, self._fault, requested_rate, counter.beat_s, counter.wait_s
            )
        return bounds

    def share_of_bound(self, excess_by_customer: ExcessByCustomer) -> float:
        """Return the largest ratio of excess use to its bound, among the customers whose bound is above 0."""
        bounds = self.bounds(excess_by_customer)
        shares = [
            excess.worst / bounds[customer_id]
            for customer_id, excess in excess_by_customer.items()
            if bounds[customer_id]
        ]
        return max(shares, default=0.0)


class RepeatObserver:
    """Observer of repeated requests: which ran, and on which sides of a split counter they arrived.

    Repeats of a request have the same token (idempotency key).
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._executed: dict[int, set[int]] = {}  # Token -> ids of requests that reached a server.
        self._sides: dict[int, set[int]] = {}  # Token -> counter instances of its limiters.
        fleet.servers.attempt_listeners.append(self._on_attempt)
        fleet.environment.request_listeners.append(self._on_request)

    def _on_attempt(self, attempt: Attempt, owner: AttemptOwner) -> None:
        request = attempt.request
        assert isinstance(request, EmulatedRequest)
        self._executed.setdefault(request.token, set()).add(request.id)

    def _on_request(self, limiter_index: int, request: Request) -> None:
        assert isinstance(request, EmulatedRequest)
        side = limiter_index % len(self._fleet.counter.instances)
        self._sides.setdefault(request.token, set()).add(side)

    def executed_twice(self) -> int:
        """Return the number of tokens with more than one request that reached a server."""
        return sum(len(requests) > 1 for requests in self._executed.values())

    def on_both_sides(self) -> int:
        """Return the number of tokens that arrived on both sides of a split counter."""
        return sum(len(sides) > 1 for sides in self._sides.values())


class AgreementObserver:
    """Observer of the time from the end of a fault until counts agree again, as `counts_agree` defines it.

    `agreed_after` is this time in seconds, None until counts agree.
    """

    def __init__(self, fleet: Fleet, fault_end: float) -> None:
        self.agreed_after: float | None = None
        self._fleet = fleet
        self._fault_end = fault_end

    def start(self) -> None:
        """Schedule the first check."""
        self._fleet.engine.call_at(self._fault_end + AGREEMENT_CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        """Check whether counts agree, and schedule the next check if they do not."""
        if counts_agree(self._fleet):
            self.agreed_after = self._fleet.engine.now - self._fault_end
        else:
            self._fleet.engine.call_later(AGREEMENT_CHECK_INTERVAL, self._check)
