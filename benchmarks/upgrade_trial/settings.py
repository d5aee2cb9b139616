"""Settings of the trial: time limits, the experiment that the fleet runs, and the maintenance plan."""

from __future__ import annotations

import json

from brookhub.config import Experiment

LIMITERS, SERVERS = 12, 30  # With these numbers a limiter's subset does not contain all servers.
CALLS_PER_S = 120.0
MAX_RUN_S = 150.0  # Maximum duration of the load, which ends with the last check.
POLL_INTERVAL_S = 0.2  # Seconds between two reads of the logs.
STEP_TIMEOUT_S = 15.0  # Maximum seconds for each expected state.
PLAN_TIMEOUT_S = 60.0  # Maximum seconds for the whole maintenance plan.
SUBSET_WINDOWS = 3  # Maximum number of windows; in one of them all limiters must keep to their subsets.
WINDOW_S = 3.0  # Seconds of load in which the limiters' use of servers is observed.
SETTLE_S = 2.0  # Seconds between two steps.
RESTART_DELAY_S = 0.5  # Seconds from the end of a limiter to its restart.
# Maximum seconds until an ejected server that has recovered is used again; an ejection lasts up to 20 s
READMISSION_TIMEOUT_S = 45.0
MACHINES: dict[str, list[int | str]] = {f"m{n}": [2 * n, 2 * n + 1] for n in range(4)}  # Two servers each.
PLANNED_SERVERS = {server for servers in MACHINES.values() for server in servers}
MAX_OUT = 1  # Maximum number of machines that are out at a time.
# Seconds of work on a machine, and from the start of a drain to its end
WORK_S, GRACE_S = 2.0, 1.0

# Two voters of each version, so a majority needs both versions
PLAN_HEAD = f"""version = 1
voters = ["n0", "n1", "n2", "n3"]
most_out = {MAX_OUT}
most_zone = 4
capacity_least = 0.3
work_most_s = 30.0
start_within_s = 3.0
fill_s = 0.5
pause_s = 0.0
"""


def plan_text() -> str:
    """Return the maintenance plan as an operator writes it."""
    text = PLAN_HEAD
    for name, servers in MACHINES.items():
        listed = json.dumps([f"s-{server}" for server in servers])
        text += f'[[machines]]\nname = "{name}"\nservers = {listed}\n'
    return text


def trial_experiment() -> Experiment:
    """Return an experiment with membership, gossip, subsets and the counter's recovery, under light load."""
    route = {"target_s": 0.5, "client_timeout_s": 1.0}
    fleet = {
        "limiters": LIMITERS,
        "grace_s": GRACE_S,
        "membership": {"on": True, "period_s": 0.2, "signals": True, "subsets": True},
        "servers": {"count": SERVERS, "places": 4, "service_s": 0.1, "warm_after_s": 2.0},
        "counter": {"wait_s": 0.2, "recovery": True, "beat_s": 0.5, "ledgers_last": True},
        "routes": [
            route | {"name": "look", "share": 3},
            route | {"name": "once", "repeat": "non_idempotent"},
        ],
        "plans": [
            {"name": "wide", "rate": 200, "burst": 400, "customers": 4, "calls_per_s": CALLS_PER_S / 4}
        ],
    }
    return Experiment.model_validate(
        {
            "name": "rolling upgrade",
            "duration_s": MAX_RUN_S,
            "load": {"give_up_share": 0.0},
            "fleet": fleet,
        }
    )
