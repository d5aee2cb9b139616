"""Recovery of processes of the program while the counter is wiped, swapped and split.

Checked against the records of clients, servers and the counter.
"""

import threading
import time
from pathlib import Path

import pytest

from brookhub.config import ConfigError, Experiment, RecoveryFile, loads
from brookhub.experiments.client_request import AnswerKind
from brookhub.experiments.processes import ProcessFleet
from brookhub.experiments.recovery_bounds import ExcessUse, excess_bound
from brookhub.recovery import read_log
from process_fleet import play_script
from waiting import until

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
HEARTBEAT_INTERVAL = 0.5  # s


def make_experiment(limiters, rate=30.0, recovery=True, **counter):
    """Three customers that send twice their quota; half of the rejected requests are sent again."""
    return Experiment.model_validate(
        {
            "name": "recovery",
            "duration_s": 60.0,
            "load": {"repeat_share": 0.5},
            "fleet": {
                "limiters": limiters,
                "servers": {"count": 6, "places": 16, "service_s": 0.01, "warm_after_s": 1.0},
                "counter": {"wait_s": 0.2, "recovery": recovery, "beat_s": HEARTBEAT_INTERVAL} | counter,
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


def logged(lab, *events):
    """The lines of log events, limiter by limiter."""
    return [line for limiter in lab.limiters for line in limiter.lines() if line["event"] in events]


def logged_epochs(lab):
    """The epochs that limiters changed to."""
    return {line["epoch"] for line in logged(lab, "counter epoch changed")}


def all_joined(lab, limiters):
    """A condition: as many limiters have joined their first epoch."""
    return lambda: len(logged(lab, "counter epoch joined")) == limiters


def all_reconciled(lab, changes):
    """A condition: all limiters are reconciled, after at least so many changes of the epoch each."""
    states = ("counter epoch changed", "counter split detected", "counter reconciled")

    def is_reconciled(limiter):
        events = [line["event"] for line in limiter.lines() if line.get("what") == "recovery"]
        last_state = [event for event in events if event in states][-1:]
        return events.count("counter epoch changed") >= changes and last_state == ["counter reconciled"]

    return lambda: all(is_reconciled(limiter) for limiter in lab.limiters)


@pytest.fixture
def play(tmp_path):
    """Play a script beside the load; returns lab, outcome and the units beyond quota of each customer."""
    labs = []

    def play_experiment(experiment, script):
        lab = ProcessFleet(experiment, tmp_path, seed=1)
        labs.append(lab)
        outcome = play_script(lab, script)
        plan = experiment.fleet.plans[0]
        debts = {}
        for time_served, customer in sorted(
            (request.answers[0].arrived_at, request.customer)
            for request in lab.load.requests
            if request.outcome == AnswerKind.SERVED
        ):
            debts.setdefault(customer, ExcessUse(plan.rate, plan.burst)).record(time_served, 1.0)
        return lab, outcome, {customer: debt.worst for customer, debt in debts.items()}

    yield play_experiment
    for lab in labs:
        lab.close()


def assert_within_bound(excess, experiment, fault):
    """No customer got more beyond its quota than the bound of a fault."""
    fleet = experiment.fleet
    plan = fleet.plans[0]
    max_excess = excess_bound(
        plan.rate, plan.burst, fault, plan.calls_per_s * 1.5, fleet.counter.beat_s, fleet.counter.wait_s
    )
    assert excess and max(excess.values()) <= max_excess, (excess, max_excess)


def assert_reconciled(lab, changes, seconds=8):
    """All limiters are reconciled within some seconds, after at least so many changes of the epoch each."""
    assert until(all_reconciled(lab, changes), seconds), logged(
        lab, "counter epoch changed", "counter reconciled"
    )


def test_wiped_counter_gets_one_new_epoch_and_no_quota_is_exceeded_beyond_the_bound(play):
    experiment = make_experiment(6)

    def script(lab):
        assert until(all_joined(lab, 6), 8)
        time.sleep(3.0)
        lab.counter.wipe()
        assert_reconciled(lab, 1)
        time.sleep(2.0)

    lab, outcome, excess = play(experiment, script)
    assert_within_bound(excess, experiment, "wipe")
    assert len(logged_epochs(lab)) == 1
    assert outcome.result.served > 100


def test_counter_swapped_for_an_empty_one_and_back_stays_within_the_bound(play):
    experiment = make_experiment(6)

    def script(lab):
        assert until(all_joined(lab, 6), 8)
        time.sleep(2.5)
        lab.counter.swap()
        assert_reconciled(lab, 1)
        time.sleep(1.0)
        lab.counter.restore()
        assert_reconciled(lab, 2)
        reasons = [line["reason"] for line in logged(lab, "counter epoch changed")]
        assert "former epoch returned" in reasons
        time.sleep(1.5)

    assert_within_bound(play(experiment, script)[2], experiment, "swap")


def test_split_grants_each_side_its_share_and_retries_on_both_sides_are_served_once(play):
    experiment = make_experiment(6)

    def script(lab):
        assert until(all_joined(lab, 6), 8)
        time.sleep(2.0)
        far_side = {limiter.address for limiter in lab.limiters[:2]}
        lab.counter.split(lambda limiter: int(limiter in far_side))

        def both_shares_granted():
            shares = {line["granted_share"] for line in logged(lab, "counter split detected")}
            return shares >= {0.333, 0.667}

        assert until(both_shares_granted, 8), logged(lab, "counter split detected")
        time.sleep(3.0)
        lab.counter.heal()
        assert_reconciled(lab, 1, seconds=10)
        time.sleep(1.5)

    lab, _outcome, excess = play(experiment, script)
    assert_within_bound(excess, experiment, "split")
    limiters_by_token: dict[int, set] = {}  # rejected requests are sent again to any limiter
    for request in lab.load.requests:
        if request.route == 2:
            limiters_by_token.setdefault(request.original, set()).add(request.limiter < 2)
    assert sum(len(sides) == 2 for sides in limiters_by_token.values()) > 5
    served_by_key: dict[bytes, set] = {}
    for call in lab.attempts:
        if call.idempotency_key and call.executed:
            served_by_key.setdefault(call.idempotency_key, set()).add(call.request)
    # A rejected request had no effect, whichever side rejected it
    assert served_by_key and all(len(calls) == 1 for calls in served_by_key.values())


def test_ledger_on_disk_survives_a_kill_while_the_counter_is_wiped(play, tmp_path):
    experiment = make_experiment(4, rate=20.0, ledgers_last=True)

    def script(lab):
        assert until(all_joined(lab, 4), 8)
        time.sleep(2.0)
        killed = lab.limiters[1]
        kill = threading.Thread(target=lab.kill, args=(killed, 0.8), daemon=True)
        kill.start()
        assert until(lambda: not killed.alive(), 2)
        lab.counter.wipe()
        kill.join(10.0)

        def lines_of_killed(event):
            return [line for line in killed.lines() if line["event"] == event]

        assert until(lambda: len(lines_of_killed("counter epoch joined")) == 2, 8)
        loaded = lines_of_killed("ledger loaded")[-1]
        assert loaded["entries"] and loaded["records"] and not loaded["corrupt_records"]
        assert until(
            lambda: len({line["node"] for line in logged(lab, "counter epoch changed")}) >= 3,
            8,
        )
        time.sleep(2.0)
        joined = lines_of_killed("counter epoch joined")[-1]
        assert joined["entries"] and len(logged_epochs(lab) | {joined["epoch"]}) == 1
        contents = read_log((tmp_path / "n1.ledger").read_bytes(), 0.0, time.time())
        assert contents.ledger.entries and not contents.corrupt_records

    _lab, _, excess = play(experiment, script)
    assert_within_bound(excess, experiment, "wipe")


def test_without_a_recovery_file_the_counter_gets_only_the_names_of_the_decisions(play):
    """The operators' platform names no recovery file: no register, no membership, no epochs, no log event."""
    experiment = make_experiment(3, recovery=False)

    def script(lab):
        time.sleep(4.0)

    lab, _, _ = play(experiment, script)
    names = [int(name) for name in lab.counter.totals]
    assert names and max(names) < 2**64
    assert not [
        line for limiter in lab.limiters for line in limiter.lines() if line.get("what") == "recovery"
    ]


@pytest.mark.parametrize(
    "text, key",
    [("beat_s = 0.0\n", "beat_s"), ("missing_most = 1.0\n", "missing_most"), ("bet_s = 1.0\n", "bet_s")],
)
def test_invalid_recovery_file_is_rejected_with_key_and_line(text, key):
    with pytest.raises(ConfigError) as rejected:
        loads(text, RecoveryFile, "recovery.toml")
    assert rejected.value.key == key and rejected.value.line == 1


def test_example_recovery_file_is_valid():
    text = (Path(__file__).parent.parent / "deploy" / "recovery.example.toml").read_text()
    assert loads(text, RecoveryFile, "recovery.example.toml").beat_s == 1.0
