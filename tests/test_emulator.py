"""The emulator: replay, the rules judged on a run with faults, a broken module caught, the clock's grain."""

import importlib.util
import shutil
import sys
from pathlib import Path

import pytest

from brookhub import policy
from brookhub.config import Experiment, loads
from brookhub.config.models import MembershipSpec
from brookhub.emulator import Fleet, RuleBrokenError
from brookhub.emulator.engine import Engine

SMALL = """
name = "small"
duration_s = 8.0
strict = true
[fleet]
limiters = 6
zones = 2
[fleet.servers]
count = 12
[[fleet.routes]]
name = "grid-fetch"
target_s = 0.5
client_timeout_s = 2.0
share = 3
[[fleet.routes]]
name = "solve-submit"
target_s = 1.0
client_timeout_s = 3.0
repeat = "non_idempotent"
[[fleet.routes]]
name = "save"
target_s = 1.0
client_timeout_s = 3.0
repeat = "tokened"
group = "zone"
window_s = 2.0
[[fleet.plans]]
name = "hard"
rate = 20.0
burst = 40.0
ceiling_rate = 24.0
ceiling_burst = 48.0
customers = 4
calls_per_s = 25.0
[[fleet.plans]]
name = "soft"
rate = 5.0
burst = 10.0
customers = 6
calls_per_s = 8.0
"""

FAULTS = """
[[faults]]
at_s = %s
action = "%s"
share = 0.5
for_s = 2.0
"""


def experiment(*faults, **changes):
    text = SMALL + "".join(FAULTS % fault for fault in faults)
    return loads(text, Experiment).model_copy(update=changes)


@pytest.mark.parametrize(
    "action, said", [("reset_links", "only on processes"), ("split_limiters", "no membership")]
)
def test_a_fault_that_it_cannot_play_is_refused(action, said):
    with pytest.raises(ValueError, match=said):
        Fleet(experiment(("1.0", action))).run()


def test_a_split_in_the_emulator_tells_the_decisions_of_each_side_and_takes_nobody_from_the_sure():
    spec = experiment(("1.0", "split_limiters"), duration_s=16.0)
    spec = spec.model_copy(
        update={
            "fleet": spec.fleet.model_copy(update={"membership": MembershipSpec(on=True)}),
            "faults": [spec.faults[0].model_copy(update={"for_s": 10.0})],
        }
    )
    fleet = Fleet(spec)
    told = []
    fleet.engine.at(
        10.5,
        lambda: told.append(
            {(seat.gateway.fleet_size.live, seat.gateway.fleet_size.possible) for seat in fleet.seats}
        ),
    )
    fleet.run()
    assert told == [{(3, 6)}]  # each half of six sees three; both halves are still there
    assert {(seat.gateway.fleet_size.live, seat.gateway.fleet_size.possible) for seat in fleet.seats} == {
        (6, 6)
    }


def test_a_seed_replayed_gives_the_same_trail_and_another_seed_does_not():
    one, two = Fleet(experiment(("2.0", "kill_limiters"))), Fleet(experiment(("2.0", "kill_limiters")))
    first, second = one.run(), two.run()
    assert first.digest == second.digest and list(one.referee.trail) == list(two.referee.trail)
    assert first.metrics() | {"wall_s": 0, "events_per_s": 0} == second.metrics() | {
        "wall_s": 0,
        "events_per_s": 0,
    }
    assert Fleet(experiment(), seed=2).run().digest != Fleet(experiment(), seed=3).run().digest


@pytest.mark.parametrize(
    "fault",
    [
        "restart_limiters",
        "replace_servers",
        "drain_servers",
        "zone_lost",
        "counter_down",
        "counter_wipe",
        "counter_split",
        "lose_answers",
        "failing_servers",
        "slow_servers",
        "stall_limiters",
        "term_limiters",
        "split_limiters",
        "cut_peers",
        "lose_packets",
        "cut_links",
    ],
)
def test_every_fault_is_played_with_the_rules_judged_at_each_event(fault):
    # Strict: any break of rules 1 to 4 raises with its trail; the faults cause the failures the module
    # handles.
    spec = experiment(("3.0", fault))
    spec = spec.model_copy(
        update={"fleet": spec.fleet.model_copy(update={"membership": MembershipSpec(on=True)})}
    )
    result = Fleet(spec).run()
    metrics = result.metrics()
    assert not result.broken and metrics["calls"] > 300
    # Every API call ended one way, or is still open
    assert (
        metrics["calls"]
        == metrics["proxied"]
        + metrics["rate_limited"]
        + metrics["errored"]
        + metrics["lost"]
        + metrics["left"]
        + metrics["open"]
    )
    if fault == "zone_lost":
        assert (
            metrics["errored_share"] + metrics["rate_limited_share"] > 0.0
            or metrics["tries"] > metrics["proxied"]
        )


def test_a_killed_limiter_loses_its_calls_but_no_rule_breaks_and_answered_calls_are_forgotten():
    fleet = Fleet(experiment(("2.0", "kill_limiters")))
    result = fleet.run()
    assert result.lost > 0 and not result.broken and result.rate_limited > 0
    # Calls refused before any try were held by their limiter for ever: memory grew with the run.
    assert sum(len(seat.calls) for seat in fleet.seats) <= result.open


def broken_copy(folder):
    """The decisions, copied with one line changed: every outcome counts as proof that nothing ran."""
    copied = shutil.copytree(Path(policy.__file__).parent, folder / "policy_broken")
    constants = copied / "constants.py"
    line = "NEVER_RAN = (Outcome.BUSY, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)"
    assert line in constants.read_text()
    constants.write_text(constants.read_text().replace(line, "NEVER_RAN = tuple(Outcome)"))
    spec = importlib.util.spec_from_file_location(
        "brookhub.policy_broken", copied / "__init__.py", submodule_search_locations=[str(copied)]
    )
    module = sys.modules[spec.name] = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_a_broken_rule_in_a_copy_of_the_module_is_caught_with_its_trail(tmp_path):
    # Failing servers make errors; the broken copy then sends a non-idempotent call again: rule 2.
    spec = experiment(("1.0", "failing_servers"))
    with pytest.raises(RuleBrokenError) as caught:
        Fleet(spec, decisions=broken_copy(tmp_path)).run()
    assert caught.value.rule == 2 and "sent again" in caught.value.text
    assert any(" send " in line for line in caught.value.trail) and "BROKEN" in caught.value.trail[-1]
    assert not Fleet(spec).run().broken  # the real module, on the same run, holds


def test_a_send_to_a_drained_server_after_the_grace_is_caught():
    fleet = Fleet(
        experiment(),
    )
    fleet.discovery.delay = 5.0  # the list comes later than the grace: the limiters send on
    fleet.faults.schedule(loads(SMALL + FAULTS % ("1.0", "drain_servers"), Experiment).faults[0])
    with pytest.raises(RuleBrokenError) as caught:
        fleet.run()
    assert caught.value.rule == 3


def test_a_wait_below_the_clocks_resolution_still_moves_the_clock():
    # Without the engine's grain a store short by a rounding remainder asked for 1e-17 s again and again at
    # the same instant, and the run never ended.
    engine, fired = Engine(), []

    def retake():
        fired.append(engine.now)
        if len(fired) < 5000 and engine.now < 0.9:
            engine.after(1e-17, retake)

    engine.at(0.8333333333333331, retake)
    engine.run(1.0)
    assert len(set(fired)) == len(fired) and fired[-1] > fired[0]  # each retake at a later instant


def test_a_cold_server_pushed_over_inside_a_send_ends_its_tries_after_the_send():
    # A fall seen as the try was handed over ended the tries inside Port.send, before the module had recorded
    # the try: the module's own bookkeeping then failed. The fall is a rule 4 break, counted where not strict.
    spec = experiment(("2.0", "zone_lost"), strict=False)
    spec = spec.model_copy(
        update={
            "fleet": spec.fleet.model_copy(
                update={
                    "servers": spec.fleet.servers.model_copy(
                        update={
                            "count": 3,
                            "service_s": 0.2,
                            "places": 1,
                            "fall_multiple": 3.0,
                            "warm_after_s": 20.0,
                        }
                    )
                }
            )
        }
    )
    fleet = Fleet(spec)
    for model in fleet.servers.models.values():
        model.fall_multiple = 0.3  # less than the decisions are told: they keep to half of what they are told
    result = fleet.run()
    assert result.cold_falls > 0 and result.broken.get(4) == result.cold_falls


# a plan of work on a site (emulator/site.py)


def plan_of_work(most, machines=6):
    from brookhub.maintenance import Machine, Plan

    made = tuple(Machine(f"m{n}", f"z{n % 3}", 1.0, (f"s-{n}",)) for n in range(machines))
    return Plan(
        1,
        made,
        ("n0", "n1", "n2"),
        max_out=most,
        max_out_per_zone=1,
        min_capacity_share=0.4,
        start_within_s=5.0,
        warm_up_s=3.0,
        pause_s=0.0,
    )


@pytest.mark.parametrize("most", [1, 2])
@pytest.mark.parametrize("seed", range(8))
def test_random_faults_on_a_plan_of_work_break_nothing_and_the_plan_ends(most, seed):
    """Kills that forget all, stops, splits, lost words, machines that fail by themselves.

    Clocks up to 5% fast or slow.
    """
    from brookhub.emulator.site import Site

    site = Site(plan_of_work(most), limiters=12, seed=seed, work_s=8.0)
    site.faults(20.0, 120.0)
    site.run(1500.0)
    assert not site.breaks, site.breaks[:3]
    assert site.ended and site.most == most and site.done == {f"m{n}" for n in range(6)}


def test_without_agreement_too_many_are_out_and_without_faults_a_plan_takes_little_more_than_the_work():
    from brookhub.emulator.site import Site

    alone = Site(plan_of_work(1), limiters=12, seed=1, how="alone", work_s=8.0).run(600.0)
    assert alone.breaks and alone.most > 1
    agreed = Site(plan_of_work(2), limiters=12, seed=1, work_s=60.0).run(1500.0)
    assert agreed.ended < 1.3 * 3 * (60.0 + 1.0 + 3.0 + 1.5)


def test_a_fleet_sends_nothing_to_machines_that_a_plan_has_out_and_serves_on():
    from brookhub.emulator.site import Site

    spec = loads(SMALL.replace("duration_s = 8.0", "duration_s = 60.0"), Experiment)
    fleet = Fleet(spec)
    site = Site(plan_of_work(1, machines=3), limiters=spec.fleet.limiters, seed=1, work_s=3.0, fleet=fleet)
    sent_to_out = []
    take = fleet.servers.take

    def seen(one, seat):
        if one.server.id in seat.off:
            sent_to_out.append(one)
        take(one, seat)

    fleet.servers.take = seen
    result = fleet.run()
    assert not site.breaks and len(site.done) >= 2 and not sent_to_out
    assert not result.broken and result.errored == 0


def test_what_all_voters_forgot_the_others_remember():
    """Found by random faults.

    Voters that had all restarted began with low ballots, and who had no vote heeded them no more.
    """
    from brookhub.emulator.site import Site

    site = Site(plan_of_work(1), limiters=8, seed=2, work_s=40.0)
    while not site.out:
        site.engine.run(site.engine.now + 0.5)
    first = set(site.out)
    known_before = site.seats["n5"].core.follower.committed_revision
    for name in ("n0", "n1", "n2"):
        site.kill(name, 0.5)
    site.engine.run(site.engine.now + 15.0)
    leader = next(
        seat.core.register
        for seat in map(site.seats.get, site.plan.voters)
        if seat.core.register.proposer.is_leader
    )
    assert leader.value.names_out() == first and leader.proposer.ballot > known_before.ballot
    assert site.seats["n5"].core.follower.committed_revision.ballot == leader.proposer.ballot  # heeded again
    assert not site.run(900.0).breaks and site.ended


@pytest.mark.parametrize("seed", range(4))
def test_voters_leave_and_join_one_at_a_time_while_a_plan_runs(seed):
    import msgspec

    from brookhub.emulator.site import Site

    plan = plan_of_work(1)
    site = Site(plan, limiters=10, seed=seed, work_s=8.0)
    while not site.done:
        site.engine.run(site.engine.now + 1.0)
    following = msgspec.structs.replace(plan, version=2, next_voters=("n2", "n4", "n5"))
    site.seats["n7"].core.submit_plan(following)  # to one without a vote
    site.plan = msgspec.structs.replace(plan, voters=("n0", "n1", "n2", "n4", "n5"))  # whom the site looks at
    site.faults(10.0, site.engine.now + 60.0)
    site.run(1500.0)
    assert not site.breaks, site.breaks[:3]
    assert site.ended and site.seats["n4"].core.register.value.voters == ("n2", "n4", "n5")


class WatchedFleet(Fleet):
    """Notes for each final answer which limiter gave it, when (s), and whether an attempt had gone out."""

    def answer(self, seat, call, how, retry_after=0.0, one=None):
        self.noted.append((seat.index, self.engine.now, bool(call.attempts)))
        super().answer(seat, call, how, retry_after, one)


def longest_refusals(noted, limiters, span=4.0):
    """The most requests that each turned away on end, for so many seconds (s), with no attempt in between."""
    worst = dict.fromkeys(range(limiters), 0)
    refused = {limiter: [] for limiter in worst}
    for limiter, at, sent in noted:
        refused[limiter] = [] if sent else [*refused[limiter], at]
        if refused[limiter] and at - refused[limiter][0] >= span:
            worst[limiter] = max(worst[limiter], len(refused[limiter]))
    return worst


ROLL = "".join(
    f'[[faults]]\nat_s = {at}\naction = "term_limiters"\nshare = 0.1\n' for at in (3.0, 5.0, 7.0, 9.0, 11.0)
)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("faults", ["", ROLL], ids=["calm", "a tenth restarted at a time"])
def test_no_limiter_turns_away_all_that_it_gets_for_four_seconds_while_others_serve(seed, faults):
    """The operators allow one limiter in ten to; on these days none has a reason."""
    text = (Path(__file__).parent.parent / "experiments" / "limiters.toml").read_text()
    spec = loads(text.replace("[sweep]", faults + "[sweep]"), Experiment)
    fleet_spec = spec.fleet.model_copy(update={"limiters": 20})
    fleet = WatchedFleet(
        spec.model_copy(update={"fleet": fleet_spec, "duration_s": 20.0, "strict": True}), seed=seed
    )
    fleet.noted = []
    result = fleet.run()
    assert result.proxied > 0.5 * result.calls and not result.broken
    worst = longest_refusals(fleet.noted, 20)
    assert max(worst.values()) < 15, worst


def test_the_judge_of_refusals_sees_a_limiter_that_turns_all_away():
    quiet = [(0, at / 4, True) for at in range(40)]
    closed = [(1, at / 4, False) for at in range(40)]
    worst = longest_refusals(sorted(quiet + closed, key=lambda one: one[1]), 2)
    assert worst[0] == 0 and worst[1] >= 15
