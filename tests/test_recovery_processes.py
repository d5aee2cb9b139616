"""The counter wiped, swapped, split and back again under processes of the program.

Judged by clients, servers and the counter's own record.
"""

import threading
import time

import pytest

from brookhub.config import ConfigError, Experiment, RecoveryFile, loads
from brookhub.experiments.client_request import AnswerKind
from brookhub.experiments.processes import ProcessFleet
from brookhub.experiments.recovery import Debt, bound
from brookhub.recovery import scan
from helpers import play_script, until

# Two labs at a time are what this machine carries; each has addresses of its own
pytestmark = pytest.mark.xdist_group("first process lab")

ROUTES = [
    {"name": "look", "target_s": 0.5, "client_timeout_s": 1.0, "share": 3},
    {"name": "once", "target_s": 0.5, "client_timeout_s": 1.0, "repeat": "non_idempotent"},
    {
        "name": "kept",
        "target_s": 0.5,
        "client_timeout_s": 1.0,
        "repeat": "tokened",
        "group": "zone",
        "window_s": 30.0,
        "share": 2,
    },
]
BEAT = 0.5


def spec(limiters, rate=30.0, recovery=True, **counter):
    """Three customers that ask for twice their quota all the time; refused ones come again, anywhere."""
    return Experiment.model_validate(
        {
            "name": "recovery",
            "duration_s": 60.0,
            "load": {"repeat_share": 0.5},
            "fleet": {
                "limiters": limiters,
                "servers": {"count": 6, "places": 16, "service_s": 0.01, "warm_after_s": 1.0},
                "counter": {"wait_s": 0.2, "recovery": recovery, "beat_s": BEAT} | counter,
                "routes": ROUTES,
                "plans": [
                    {
                        "name": "tight",
                        "rate": rate,
                        "burst": 2 * rate,
                        "customers": 3,
                        "calls_per_s": 2 * rate,
                    }
                ],
            },
        }
    )


def said(lab, *events):
    return [line for one in lab.limiters for line in one.lines() if line["event"] in events]


def sure(lab, changes):
    """All of them are sure, and each has changed its epoch so many times."""

    def look():
        for one in lab.limiters:
            lines = [line["event"] for line in one.lines() if line.get("what") == "recovery"]
            states = [
                event for event in lines if event in ("counter changed", "counter split", "counter sure")
            ]
            if lines.count("counter changed") < changes or states[-1:] != ["counter sure"]:
                return False
        return True

    return look


@pytest.fixture
def play(tmp_path):
    """Plays a script beside the load; returns the outcome and units over the quota by customer."""
    made = []

    def begin(experiment, script):
        lab = ProcessFleet(experiment, tmp_path, seed=1)
        made.append(lab)
        outcome = play_script(lab, script)
        debts, plan = {}, experiment.fleet.plans[0]
        for at, customer in sorted(
            (one.answers[0].arrived_at, one.customer)
            for one in lab.load.requests
            if one.outcome == AnswerKind.SERVED
        ):
            debts.setdefault(customer, Debt(plan.rate, plan.burst)).take(at, 1.0)
        return lab, outcome, {customer: debt.worst for customer, debt in debts.items()}

    yield begin
    for one in made:
        one.close()


def within(over, experiment, kind):
    fleet = experiment.fleet
    plan = fleet.plans[0]
    most = bound(
        plan.rate, plan.burst, kind, plan.calls_per_s * 1.5, fleet.counter.beat_s, fleet.counter.wait_s
    )
    assert over and max(over.values()) <= most, (over, most)


def test_a_wiped_counter_is_told_counted_again_and_no_quota_is_passed_beyond_the_bound(play):
    experiment = spec(6)

    def script(lab):
        assert until(lambda: len(said(lab, "counter known")) == 6, 8)
        time.sleep(3.0)
        lab.counter.wipe()
        assert until(sure(lab, 1), 8), said(lab, "counter changed", "counter sure")
        time.sleep(2.0)

    lab, outcome, over = play(experiment, script)
    within(over, experiment, "wipe")
    assert len({line["epoch"] for line in said(lab, "counter changed")}) == 1
    assert outcome.result.proxied > 100


def test_swapped_for_an_empty_one_that_goes_again_and_the_old_counts_come_back(play):
    experiment = spec(6)

    def script(lab):
        assert until(lambda: len(said(lab, "counter known")) == 6, 8)
        time.sleep(2.5)
        lab.counter.swap()
        assert until(sure(lab, 1), 8), said(lab, "counter changed", "counter sure")
        time.sleep(1.0)
        lab.counter.restore()
        assert until(sure(lab, 2), 8), said(lab, "counter changed", "counter sure")
        assert any(line["why"] == "one that was left came back" for line in said(lab, "counter changed"))
        time.sleep(1.5)

    within(play(experiment, script)[2], experiment, "swap")


def test_a_split_gives_each_side_its_part_while_tokened_calls_come_again_on_either(play):
    experiment = spec(6)

    def script(lab):
        assert until(lambda: len(said(lab, "counter known")) == 6, 8)
        time.sleep(2.0)
        far = {one.address for one in lab.limiters[:2]}
        lab.counter.split(lambda limiter: int(limiter in far))
        assert until(lambda: {line["part"] for line in said(lab, "counter split")} >= {0.333, 0.667}, 8), (
            said(lab, "counter split")
        )
        time.sleep(3.0)
        lab.counter.heal()
        assert until(sure(lab, 1), 10), said(lab, "counter changed", "counter sure")
        time.sleep(1.5)

    lab, outcome, over = play(experiment, script)
    within(over, experiment, "split")
    asked: dict[int, list] = {}  # by token: refused calls come again with it, through any limiter
    for one in lab.load.requests:
        if one.route == 2:
            asked.setdefault(one.original, []).append(one)
    # On both sides of the split
    assert sum(len({one.limiter < 2 for one in them}) == 2 for them in asked.values()) > 5
    ran: dict[bytes, set] = {}
    for one in lab.attempts:
        if one.idempotency_key and one.executed:
            ran.setdefault(one.idempotency_key, set()).add(one.request)
    # A refused call had no effect, whichever side refused it
    assert ran and all(len(calls) == 1 for calls in ran.values())


def test_a_ledger_on_disk_outlives_a_kill_and_a_wipe_meanwhile(play, tmp_path):
    experiment = spec(4, rate=20.0, ledgers_last=True)

    def script(lab):
        assert until(lambda: len(said(lab, "counter known")) == 4, 8)
        time.sleep(2.0)
        killed = lab.limiters[1]
        kill = threading.Thread(target=lab.kill, args=(killed, 0.8), daemon=True)
        kill.start()
        assert until(lambda: not killed.alive(), 2)
        lab.counter.wipe()
        kill.join(10.0)
        assert until(lambda: [line["event"] for line in killed.lines()].count("counter known") == 2, 8)
        line = [line for line in killed.lines() if line["event"] == "ledger read"][-1]
        assert line["names"] and line["records"] and not line["skipped"]
        assert until(lambda: len({one["node"] for one in said(lab, "counter changed")}) >= 3, 8)
        time.sleep(2.0)
        known = [line for line in killed.lines() if line["event"] == "counter known"][-1]
        assert (
            known["names"]
            and len({one["epoch"] for one in said(lab, "counter changed")} | {known["epoch"]}) == 1
        )
        held = scan((tmp_path / "n1.ledger").read_bytes(), 0.0, time.time())
        assert held.ledger.entries and not held.skipped

    lab, _, over = play(experiment, script)
    within(over, experiment, "wipe")


def test_without_the_operator_s_file_the_counter_hears_the_decisions_names_alone(play):
    """`run` on the operators' platform names no such file.

    No register, no roll, no epochs, and nothing of it in the log.
    """
    experiment = spec(3, recovery=False)

    def script(lab):
        time.sleep(4.0)

    lab, _, _ = play(experiment, script)
    names = [int(name) for name in lab.counter.totals]
    assert names and max(names) < 2**64
    assert not [line for one in lab.limiters for line in one.lines() if line.get("what") == "recovery"]


@pytest.mark.parametrize(
    "text, key",
    [("beat_s = 0.0\n", "beat_s"), ("missing_most = 1.0\n", "missing_most"), ("bet_s = 1.0\n", "bet_s")],
)
def test_a_file_that_cannot_be_used_is_told_with_its_key(text, key):
    with pytest.raises(ConfigError) as refused:
        loads(text, RecoveryFile, "recovery.toml")
    assert refused.value.key == key and refused.value.line == 1


def test_the_example_file_is_one_that_can_be_used():
    from pathlib import Path

    text = (Path(__file__).parent.parent / "deploy" / "recovery.example.toml").read_text()
    assert loads(text, RecoveryFile, "recovery.example.toml").beat_s == 1.0
