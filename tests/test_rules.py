"""The rules of policy.py, without the bench: seeded random runs checked after every step, and plain cases."""

from brookhub.interface import Outcome

from helpers import World


def test_a_call_inside_the_quota_is_sent_and_answered():
    world = World()
    call = world.call(world.customer())
    world.run(0.01)
    world.end(world.sent[0], Outcome.OK)
    assert world.answers[call][0] == "proxied"


def test_beyond_a_hard_plans_quota_calls_are_rate_limited_at_once():
    world = World()
    payer = world.customer()
    calls = [world.call(payer) for _ in range(20)]
    world.run(0.02)
    limited = [call for call in calls if world.answers.get(call, ("", 0))[0] == "rate-limited"]
    assert len(limited) == 12
