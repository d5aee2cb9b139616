"""Maintenance plans on eight limiter processes and 12 servers under load, with a fault at each step.

`run_plan(scenario, max_out, folder, seed)` returns a row with the violations, the machines that were out and
the duration of the plan. Docs: docs/maintenance.md.
"""

from __future__ import annotations

import signal
import threading
from collections.abc import Mapping, Sequence
from pathlib import Path
from time import monotonic, sleep

from ..config import Experiment
from .jobs import Row
from .limiter_process import Limiter, LogLine
from .maintenance_workers import SAFE_TO_WORK, Workers
from .processes import ProcessFleet

LIMITERS = 8
SERVERS = 12
GRACE_S = 1.0  # Seconds from the announcement of a drain to its end.
WORK_S = 2.0  # Seconds of work on a machine.
LIMIT_S = 110.0  # Maximum duration of a run in seconds.
PLAN_LIMIT_S = 95.0  # Seconds after which a plan that has not ended is reported as such.
POLL_INTERVAL = 0.2  # Seconds between two checks for the end of the plan.
CONVERGED_AFTER = 3.0  # Seconds after the start at which all members know each other.
FAULT_TIME = 8.0  # Seconds for which links are cut.
MACHINES: Mapping[str, Sequence[int]] = {f"m{number}": [2 * number, 2 * number + 1] for number in range(4)}

WORK_COMPLETED = "machine work completed"

# Scenarios that kill a limiter, each with a log event. The first limiter that logs the event is killed.
KILLED_AT = {
    "killed, permitted": "machine drain started",
    "killed, open": SAFE_TO_WORK,
    "killed, back": "machine back in service",
    "killed, done": WORK_COMPLETED,
}
STALLED = "stopped past its lease"
CUT = "cut one way"
RESTART = "restart of all"
SPLIT = "split"
TWO_PLANS = "two plans"
SCENARIOS = ("quiet", *KILLED_AT, STALLED, CUT, RESTART, SPLIT, TWO_PLANS)


def experiment(seconds: float) -> Experiment:
    """Return an experiment on eight limiters under a light load that lasts `seconds`."""
    route = {"target_s": 0.5, "client_timeout_s": 1.0}
    return Experiment.model_validate(
        {
            "name": "plans",
            "duration_s": seconds,
            "load": {"give_up_share": 0.0},
            "fleet": {
                "limiters": LIMITERS,
                "grace_s": GRACE_S,
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


def plan_text(max_out: int, version: int = 1, machines: Mapping[str, Sequence[int]] = MACHINES) -> str:
    """Return the text of a plan file as an operator writes it."""
    lines = [
        f"version = {version}",
        'voters = ["n0", "n1", "n2"]',
        f"most_out = {max_out}",
        "most_zone = 4",
        "capacity_least = 0.3",
        "work_most_s = 60.0",
        "start_within_s = 3.0",
        "fill_s = 0.5",
        "pause_s = 0.0",
    ]
    for name, servers in machines.items():
        listed = ", ".join(f'"s-{server}"' for server in servers)
        lines += ["[[machines]]", f'name = "{name}"', f"servers = [{listed}]"]
    return "\n".join(lines) + "\n"


def run_plan(scenario: str, max_out: int, folder: Path, seed: int = 1) -> Row:
    """Run one plan with the fault of a scenario. Raises ExperimentError if it cannot be run."""
    with ProcessFleet(experiment(LIMIT_S), folder, seed) as fleet:
        run = PlanRun(fleet, scenario, max_out)
        outcome = fleet.run(script=run.run)
        result = outcome.result
        return {
            "scenario": scenario,
            "most": max_out,
            "seed": seed,
            "broken": result.violations,
            "first": result.first_violation,
            "served": round(result.served / max(1, result.requests - outcome.checks.excused), 4),
            "excused": outcome.checks.excused,
            "noise": outcome.noise.metrics(),
            **run.figures,
        }


class PlanRun:
    """A run of one plan with one fault on a fleet. `figures` is set when `run` returns."""

    def __init__(self, fleet: ProcessFleet, scenario: str, max_out: int) -> None:
        self.fleet = fleet
        self.scenario = scenario
        self.max_out = max_out
        self.figures: Row = {}
        self.fault_began = threading.Event()

    def run(self) -> None:
        """Submit the plan, wait for its end and set the figures. Runs concurrently with the load."""
        sleep(CONVERGED_AFTER)
        workers = Workers(self.fleet, MACHINES, WORK_S, GRACE_S)
        began = monotonic()
        workers.hooks[KILLED_AT.get(self.scenario, SAFE_TO_WORK)] = self.begin_fault
        self.submit_plans()
        while monotonic() - began < PLAN_LIMIT_S and not self.is_done():
            sleep(POLL_INTERVAL)
        duration = monotonic() - began
        workers.stop()
        self.figures = {
            "ended": self.is_done(),
            "took_s": round(duration, 1),
            "most_out": workers.max_out(),
            "kept": workers.max_out() <= self.max_out,
            "stewards": len(self.lines("leadership acquired")),
            "refused": len(self.lines("plan rejected")),
            "faults": len(self.lines("internal error")),
        }

    def submit_plans(self) -> None:
        """Write the plan to the files of all limiters and signal one of them to read it.

        In the scenarios SPLIT and TWO_PLANS, another limiter is signalled. In TWO_PLANS, a second limiter
        gets a different plan, and later all get a new version that replaces both.
        """
        limiters = self.fleet.limiters
        for limiter in limiters:
            self.fleet.plan_path(limiter).write_text(plan_text(self.max_out))
        if self.scenario not in (SPLIT, TWO_PLANS):
            limiters[3].send_signal(signal.SIGHUP)
            return
        limiters[0].send_signal(signal.SIGHUP)
        if self.scenario == TWO_PLANS:
            fewer = dict(list(MACHINES.items())[:2])
            self.fleet.give_plan(limiters[5], plan_text(self.max_out, machines=fewer))
            sleep(3.0)
            for limiter in limiters:  # The operators resolve the conflict.
                self.fleet.give_plan(limiter, plan_text(self.max_out, version=2))

    def lines(self, prefix: str) -> list[LogLine]:
        """Return all limiters' log lines whose event starts with `prefix`."""
        return [
            line
            for limiter in self.fleet.limiters
            for line in limiter.lines()
            if line.get("event", "").startswith(prefix)
        ]

    def is_done(self) -> bool:
        """Return whether the work on all machines is completed."""
        return {line["machine"] for line in self.lines(WORK_COMPLETED)} == set(MACHINES)

    def begin_fault(self, limiter: Limiter, line: LogLine) -> None:
        """Start the scenario's fault at the limiter that logged the scenario's event.

        Only the first call has an effect.
        """
        if not self.fault_began.is_set():
            self.fault_began.set()
            self.fleet.schedule(0.0, lambda: self.inject_fault(limiter))

    def inject_fault(self, limiter: Limiter) -> None:
        """Inject the scenario's fault and return when it is cleared."""
        if self.scenario in KILLED_AT:
            self.fleet.kill(limiter, 1.0)
        elif self.scenario == STALLED:
            self.fleet.stall(limiter, 6.0)
        elif self.scenario == CUT:
            self.cut_sender(limiter)
        elif self.scenario == RESTART:
            self.restart_all()
        elif self.scenario == SPLIT:
            limiters = self.fleet.limiters
            self.fleet.split([*limiters[:1], *limiters[5:]])
            sleep(FAULT_TIME)
            self.fleet.heal()

    def cut_sender(self, limiter: Limiter) -> None:
        """Drop all datagrams that a limiter sends to its peers, for FAULT_TIME seconds."""
        mesh = self.fleet.mesh
        for path in mesh.directions:
            if path.sender == limiter.name:
                mesh.set(path.sender, path.receiver, cut=True)
        sleep(FAULT_TIME)
        mesh.clear()

    def restart_all(self) -> None:
        """Kill all limiters at the same time and start them again."""
        threads = [
            threading.Thread(target=self.fleet.kill, args=(limiter, 0.5)) for limiter in self.fleet.limiters
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
