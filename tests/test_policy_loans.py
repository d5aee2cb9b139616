"""Loans of idle customers' room."""

from __future__ import annotations

from brookhub.model import Answer
from brookhub.policy.constants import IDLE_AFTER_HORIZONS
from brookhub.site import Plan
from gateway_harness import GatewayHarness


def test_an_idle_customer_lends_to_a_soft_plan_until_it_asks_itself():
    harness = GatewayHarness(plans=[Plan("hard", 8.0, 16.0), Plan("soft", 1.0, 2.0, excess_value=0.3)])
    lender, borrower = harness.customer(1, 0), harness.customer(2, 1)
    harness.request(lender)
    harness.advance(
        IDLE_AFTER_HORIZONS * 1.0 + 4.5
    )  # its call has timed out and it is idle for more than two horizons
    requests = [harness.request(borrower) for _ in range(4)]
    harness.advance(0.05)
    assert next(iter(harness.gateway.accounts)).lent_units > 0
    assert (
        sum(attempt.timeout == 1.0 for attempt in harness.attempts)
        == sum(bool(request.pending and request.pending.loan) for request in requests)
        > 0
    )
    lent = next(iter(harness.gateway.accounts)).lent_units
    refused = harness.request(lender, units=99.0)
    assert harness.answers[refused][0] == Answer.REJECTED
    later = [harness.request(borrower) for _ in range(4)]
    harness.advance(0.05)
    assert next(iter(harness.gateway.accounts)).lent_units == lent, "lent after its ask"
    assert all(harness.answers[request][0] == Answer.REJECTED for request in later)
