"""Accounts: shares by the size of the fleet, and records that are dropped."""

from __future__ import annotations

import random

import pytest

from brookhub.model import Answer, Outcome
from brookhub.site import Plan
from gateway_harness import GatewayHarness
from policy_fleet import fleet_member


def test_shares_follow_the_possible_number_of_gateways_not_the_live_one():
    harness = fleet_member()
    customer = harness.customer()
    harness.request(customer, gateways=4)
    account = customer.account
    before = {
        name: (getattr(account, name).rate, getattr(account, name).depth)
        for name in ("own_share", "unconfirmed", "ceiling")
    }
    harness.gateway.on_membership_changed(2, 0, 4)  # a split in halves: two are seen, none has left
    assert {name: (getattr(account, name).rate, getattr(account, name).depth) for name in before} == before
    cold = harness.gateway.subset.competing_gateways
    harness.gateway.on_membership_changed(2, 0, 2)  # two have left for good
    after = {name: getattr(account, name) for name in before}
    assert (
        after["own_share"].rate == 20.0
        and after["unconfirmed"].rate == 40.0 * 0.75
        and after["ceiling"].rate == 24.0
    )
    assert harness.gateway.subset.competing_gateways == cold / 2
    harness.gateway.on_membership_changed(8, 0, 8)  # growth: what was there for fewer is cut at once
    assert account.own_share.level <= account.own_share.depth == 10.0 and account.ceiling.depth == 12.0
    assert account.unconfirmed.depth == 80.0 * 1.5 / 8


def test_a_customer_of_a_part_of_the_fleet_keeps_its_number_of_holders():
    harness = fleet_member()
    some, later = harness.customer(1), harness.customer(2)
    harness.request(some, gateways=3)
    harness.gateway.on_membership_changed(2, 0, 2)
    harness.request(later, gateways=3)
    assert some.account.holders == later.account.holders == 3
    assert later.account.own_share.rate == pytest.approx(40.0 / 3)
    whole = harness.customer(3)
    harness.request(whole, gateways=4)  # the whole fleet's, as the settings know it
    assert whole.account.holders == 2


@pytest.mark.parametrize("seed", range(4))
def test_without_the_counter_both_sides_of_a_partition_stay_within_the_bound(seed):
    """Four gateways, split two and two for 20 s.

    Divided by `sure`, all together stay within 1.5 times the quota; divided by the two that each sees (the
    baseline), they pass it.
    """
    spent = {}
    for hard in ("sure", "live"):
        harnesses = [
            GatewayHarness(
                seed=seed * 10 + n,
                gateways=4,
                servers=12,
                counter="silent",
                index=n,
                plans=[Plan("hard", 40.0, 80.0)],
            )
            for n in range(4)
        ]
        for harness in harnesses:
            harness.advance(8.0)  # stores that begin empty have filled
            harness.gateway.on_membership_changed(2, 0, 4 if hard == "sure" else 2)
        chance, customers = random.Random(seed), [harness.customer() for harness in harnesses]
        for _ in range(200):
            for harness, customer in zip(harnesses, customers, strict=False):
                for _ in range(chance.randrange(9)):
                    harness.request(customer, gateways=4)
                harness.advance(0.1)
                for attempt in list(harness.in_flight):
                    harness.end_attempt(attempt, Outcome.OK)
        spent[hard] = sum(
            how == Answer.SERVED for harness in harnesses for how, _ in harness.answers.values()
        )
    bound = 1.5 * (40.0 * 20 + 80.0) + 2 * 4 * 1.0
    assert 0.9 * 1.5 * 40.0 * 20 < spent["sure"] <= bound < spent["live"]


def test_records_of_one_time_customers_are_dropped_and_ceilings_hold():
    plans = [Plan("hard", 4.0, 8.0), Plan("ceiled", 50.0, 100.0, ceiling_rate=8.0, ceiling_burst=16.0)]
    harness, most, sizes = GatewayHarness(servers=9, plans=plans), [], []
    usual = harness.customer(1, 1)
    for n in range(3000):
        harness.request(harness.customer(10 + n))
        if n % 3 == 0:
            harness.request(usual)
        harness.advance(0.02)
        for attempt in list(harness.in_flight):
            harness.end_attempt(attempt, Outcome.OK)
        sizes.append(len(harness.gateway.accounts))
        units = sum(
            attempt.request.units for attempt in harness.attempts if attempt.request.customer is usual
        )
        seconds = harness.now - 100.0  # half of an Nth, and 4 units of each window's count
        assert units <= 4.0 + 2.0 * seconds + 4.0 * (seconds / 2 + 2) + 1e-6
    # Two horizons and the stores' refill, then it ends
    assert max(sizes) < 450 and sizes[-1] <= sizes[1500] + 20
    assert len(harness.timers) < 2000
    most = harness.customer(9999)
    assert set(harness.gateway.accounts) >= {usual.account} and most.account is None
