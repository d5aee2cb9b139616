"""Plans of work on processes, long.

Eight limiters, 12 servers under load, one fault at each step of a take-out, all judged.

`play(scenario, folder, seed)` -> a row: what broke, machines out at most, how long the plan took.
docs/maintenance.md.
"""

from __future__ import annotations

import signal
import threading
from pathlib import Path
from time import monotonic, sleep

from ..config import Experiment
from .maintenance import Workers
from .processes import ProcessFleet

LIMITERS, SERVERS, GRACE, WORK = 8, 12, 1.0, 2.0  # s: from the drain's announcement to the end; of work
LONGEST = 110.0  # s until a plan counts as one that does not end
MACHINES = {f"m{n}": [2 * n, 2 * n + 1] for n in range(4)}
STEPS = {
    "killed, permitted": "permitted",
    "killed, open": "safe",
    "killed, back": "back",
    "killed, done": "done",
}
SCENARIOS = ("quiet", *STEPS, "stopped past its lease", "cut one way", "restart of all", "split", "two plans")


def experiment(seconds: float) -> Experiment:
    """Eight limiters under a light load, for so long (s)."""
    route = {"target_s": 0.5, "client_timeout_s": 1.0}
    return Experiment.model_validate(
        {
            "name": "plans",
            "duration_s": seconds,
            "load": {"give_up_share": 0.0},
            "fleet": {
                "limiters": LIMITERS,
                "grace_s": GRACE,
                "membership": {"on": True, "period_s": 0.2},
                "servers": {"count": SERVERS, "places": 4, "service_s": 0.05, "warm_after_s": 3.0},
                "counter": {"wait_s": 0.2},
                "routes": [
                    route | {"name": "look", "share": 3},
                    route | {"name": "once", "repeat": "non_idempotent"},
                ],
                "plans": [{"name": "wide", "rate": 200, "burst": 400, "customers": 4, "calls_per_s": 20}],
            },
        }
    )


def plan(most: int, version: int = 1, machines: dict = MACHINES) -> str:
    """A plan as an operator writes it."""
    head = (
        f'version = {version}\nvoters = ["n0", "n1", "n2"]\nmost_out = {most}\nmost_zone = 4\ncapacity_least = 0.3\n'
        "work_most_s = 60.0\nstart_within_s = 3.0\nfill_s = 0.5\npause_s = 0.0\n"
    )
    return head + "".join(
        f'[[machines]]\nname = "{name}"\nservers = {[f"s-{one}" for one in own]}\n'.replace("'", '"')
        for name, own in machines.items()
    )


def play(scenario: str, most: int, folder: Path, seed: int = 1) -> dict:
    """One plan with one fault; raises lab.processes.ExperimentError where it can't be played."""
    with ProcessFleet(experiment(LONGEST), folder, seed) as lab:
        found: dict = {}
        start = lab.start

        def started() -> None:
            start()
            threading.Thread(target=script, daemon=True).start()

        def script() -> None:
            try:
                found.update(run(lab, scenario, most))
            finally:
                lab.load.stop.set()

        lab.start = started
        outcome = lab.play()
        result = outcome.result
        return {
            "scenario": scenario,
            "most": most,
            "seed": seed,
            "broken": result.broken,
            "first": result.first_break,
            "served": round(result.proxied / max(1, result.calls - outcome.verdict.excused), 4),
            "excused": outcome.verdict.excused,
            "noise": outcome.noise,
            **found,
        }


def run(lab: ProcessFleet, scenario: str, most: int) -> dict:
    """Play a plan with its fault; the figures."""
    sleep(3.0)  # until they know each other
    workers, once, began = Workers(lab, MACHINES, WORK, GRACE), threading.Event(), monotonic()

    def fault(limiter, line: dict) -> None:
        if once.is_set():
            return
        once.set()
        lab.after(0.0, lambda: act(limiter))

    def act(limiter) -> None:
        if scenario in STEPS:
            lab.kill(limiter, 1.0)
        elif scenario == "stopped past its lease":
            lab.stall(limiter, 6.0)
        elif scenario == "cut one way":
            ways = [way for way in lab.mesh.directions if way[0] == f"n{limiter.index}"]
            for way in ways:
                lab.mesh.set(*way, cut=True)
            sleep(8.0)
            lab.mesh.clear()
        elif scenario == "restart of all":
            ends = [threading.Thread(target=lab.kill, args=(one, 0.5)) for one in lab.limiters]
            for one in ends:
                one.start()
            for one in ends:
                one.join()
        elif scenario == "split":
            lab.split([*lab.limiters[:1], *lab.limiters[5:]], True)
            sleep(8.0)
            lab.split([], False)

    for one in lab.limiters:
        lab.plan_path(one).write_text(plan(most))
    workers.hooks[STEPS.get(scenario, "safe")] = fault
    if scenario in ("split", "two plans"):
        lab.limiters[0].hit(signal.SIGHUP)
        if scenario == "two plans":
            lab.give_plan(lab.limiters[5], plan(most, machines=dict(list(MACHINES.items())[:2])))
            sleep(3.0)
            for one in lab.limiters:  # the operators settle it
                lab.give_plan(one, plan(most, version=2))
    else:
        lab.limiters[3].hit(signal.SIGHUP)

    def lines(event: str) -> list[dict]:
        return [
            line for one in lab.limiters for line in one.lines() if line.get("event", "").startswith(event)
        ]

    while monotonic() - began < LONGEST - 15.0:
        if {line["machine"] for line in lines("done with")} == set(MACHINES):
            break
        sleep(0.2)
    took = monotonic() - began
    workers.stop()
    return {
        "ended": {line["machine"] for line in lines("done with")} == set(MACHINES),
        "took_s": round(took, 1),
        "most_out": workers.most_out(),
        "kept": workers.most_out() <= most,
        "stewards": len(lines("steward")) - len(lines("steward no")),
        "refused": len(lines("plan refused")),
        "faults": len(lines("fault")),
    }
