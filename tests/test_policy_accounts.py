"""Tests of accounts: shares that depend on the size of the fleet, and removal of unused accounts."""

from __future__ import annotations

import random

import pytest

from brookhub.model import Answer, Outcome
from brookhub.site import Plan
from gateway_harness import GatewayHarness
from policy_fleet import create_fleet_member


def test_shares_follow_the_number_of_possible_gateways_not_of_live_ones():
    harness = create_fleet_member()
    customer = harness.customer()
    harness.request(customer, gateways=4)
    account = customer.account
    before = {
        name: (getattr(account, name).rate, getattr(account, name).depth)
        for name in ("own_share", "unconfirmed", "ceiling")
    }
    harness.gateway.on_membership_changed(2, 0, 4)  # Partition into halves: two are live, none has left.
    assert {name: (getattr(account, name).rate, getattr(account, name).depth) for name in before} == before
    competing_gateways = harness.gateway.subset.competing_gateways
    harness.gateway.on_membership_changed(2, 0, 2)  # Two have left the fleet.
    after = {name: getattr(account, name) for name in before}
    assert (
        after["own_share"].rate == 20.0
        and after["unconfirmed"].rate == 40.0 * 0.75
        and after["ceiling"].rate == 24.0
    )
    assert harness.gateway.subset.competing_gateways == competing_gateways / 2
    harness.gateway.on_membership_changed(8, 0, 8)  # Growth reduces levels to the smaller depths at once.
    assert account.own_share.level <= account.own_share.depth == 10.0 and account.ceiling.depth == 12.0
    assert account.unconfirmed.depth == 80.0 * 1.5 / 8


def test_customer_of_a_part_of_the_fleet_keeps_its_number_of_holders():
    harness = create_fleet_member()
    earlier_customer, later_customer = harness.customer(1), harness.customer(2)
    harness.request(earlier_customer, gateways=3)
    harness.gateway.on_membership_changed(2, 0, 2)
    harness.request(later_customer, gateways=3)
    assert earlier_customer.account.holders == later_customer.account.holders == 3
    assert later_customer.account.own_share.rate == pytest.approx(40.0 / 3)
    whole_fleet_customer = harness.customer(3)
    harness.request(whole_fleet_customer, gateways=4)  # The number of gateways in the settings.
    assert whole_fleet_customer.account.holders == 2


@pytest.mark.parametrize("seed", range(4))
def test_without_the_counter_both_sides_of_a_partition_stay_within_the_bound(seed):
    """Four gateways are partitioned into two and two for 20 s.

    If the quota is divided by the possible gateways, all together stay within 1.5 times the quota. If it is
    divided by the two live gateways that each side sees (for comparison), they exceed this bound.
    """
    served = {}
    for basis in ("possible", "live"):
        harnesses = [
            GatewayHarness(
                seed=seed * 10 + index,
                gateways=4,
                servers=12,
                counter="silent",
                index=index,
                plans=[Plan("hard", 40.0, 80.0)],
            )
            for index in range(4)
        ]
        for harness in harnesses:
            harness.advance(8.0)  # The buckets are empty at the start and fill up in this time.
            harness.gateway.on_membership_changed(2, 0, 4 if basis == "possible" else 2)
        rng, customers = random.Random(seed), [harness.customer() for harness in harnesses]
        for _ in range(200):
            for harness, customer in zip(harnesses, customers, strict=False):
                for _ in range(rng.randrange(9)):
                    harness.request(customer, gateways=4)
                harness.advance(0.1)
                for attempt in list(harness.in_flight):
                    harness.end_attempt(attempt, Outcome.OK)
        served[basis] = sum(
            answer == Answer.SERVED for harness in harnesses for answer, _ in harness.answers.values()
        )
    bound = 1.5 * (40.0 * 20 + 80.0) + 2 * 4 * 1.0
    assert 0.9 * 1.5 * 40.0 * 20 < served["possible"] <= bound < served["live"]


def test_records_of_one_time_customers_are_dropped_and_ceilings_hold():
    plans = [Plan("hard", 4.0, 8.0), Plan("ceiled", 50.0, 100.0, ceiling_rate=8.0, ceiling_burst=16.0)]
    harness, sizes = GatewayHarness(servers=9, plans=plans), []
    regular_customer = harness.customer(1, 1)
    for number in range(3000):
        harness.request(harness.customer(10 + number))
        if number % 3 == 0:
            harness.request(regular_customer)
        harness.advance(0.02)
        for attempt in list(harness.in_flight):
            harness.end_attempt(attempt, Outcome.OK)
        sizes.append(len(harness.gateway.accounts))
        units = sum(
            attempt.request.units
            for attempt in harness.attempts
            if attempt.request.customer is regular_customer
        )
        # Half of this gateway's share, and 4 units admitted by the total of each window.
        seconds = harness.now - 100.0
        assert units <= 4.0 + 2.0 * seconds + 4.0 * (seconds / 2 + 2) + 1e-6
    # Accounts are kept for two horizons and the refill time of the buckets, so their number stops growing.
    assert max(sizes) < 450 and sizes[-1] <= sizes[1500] + 20
    assert len(harness.timers) < 2000
    new_customer = harness.customer(9999)
    assert set(harness.gateway.accounts) >= {regular_customer.account} and new_customer.account is None


def serve(harness, number):
    """Pass a request of a customer to the gateway, and answer it if it is sent; return its answer."""
    request = harness.request(harness.customer(number))
    while request not in harness.answers:
        harness.advance(0.01)
        for attempt in list(harness.in_flight):
            harness.end_attempt(attempt, Outcome.OK)
    return harness.answers[request][0]


def full_table(**plan):
    """Return a harness whose table of three accounts is full, all of them without an open request."""
    harness = GatewayHarness(plans=(Plan("hard", 4.0, 8.0, **plan),))
    harness.advance(60.0)  # Its share of a ceiling is empty at the start.
    harness.gateway.accounts.max_accounts = 3
    assert [serve(harness, number) for number in range(3)] == [Answer.SERVED] * 3
    return harness


def test_accounts_do_not_grow_beyond_the_memory_with_ever_new_customers():
    # Guards against memory that grows with every new customer's name for as long as records are kept.
    harness = full_table()
    for number in range(10, 300):
        assert serve(harness, number) is Answer.SERVED and len(harness.gateway.accounts) == 3


def test_new_customer_is_rejected_while_no_account_may_be_deleted_without_breaking_a_ceiling():
    harness = full_table(ceiling_rate=0.5, ceiling_burst=4.0)
    assert serve(harness, 10) is Answer.REJECTED and len(harness.gateway.accounts) == 3
    harness.advance(60.0)  # The ceilings are full again.
    assert serve(harness, 10) is Answer.SERVED and len(harness.gateway.accounts) <= 3


def test_account_with_an_open_request_is_not_deleted_for_another():
    harness = GatewayHarness()
    harness.gateway.accounts.max_accounts = 1
    first = harness.request(harness.customer(1))
    assert harness.answers[harness.request(harness.customer(2))][0] is Answer.REJECTED
    harness.advance(0.01)
    assert first.customer.account in harness.gateway.accounts
