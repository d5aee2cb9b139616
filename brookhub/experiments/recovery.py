"""Measurements of a counter that is lost, split or replaced, in the emulator, with and without recovery.

They show how many units customers got beyond their quotas and ceilings, and the seconds until the counter's
totals equal the limiters' ledgers again. Each job writes one row (JSON lines). A run on a folder that already
has some of the rows adds the missing ones. `over` is the maximum of the units that a customer got in any time
span beyond burst + rate x span, in bursts of its quota; `ceiling_over` is the same for the ceiling.
recovery_report makes the tables and plots.
"""

from __future__ import annotations

from importlib import resources
from pathlib import Path
from typing import Any

from ..config import Experiment, loads
from ..emulator import Fleet
from .jobs import Job, Progress, Row, add_keys, no_progress, run_jobs
from .recovery_bounds import ExcessUse
from .recovery_observer import AgreementObserver, ExcessObserver, RepeatObserver

RESULTS = "recovery.jsonl"
FAULT_AT = 12.0  # In seconds, when the counter fails.
TIME_AFTER_FAULT = 10.0  # Seconds that the run continues after the fault.
# Customers send this multiple of their plan's requests. It is above every quota, so that they use any excess
# that is granted.
LOAD_SCALE = 1.5
REPEAT_SHARE = 0.1  # Share of the rejected requests that clients send again.
ACTIONS = {  # The emulator's fault for each kind of run; None is a run without a fault.
    "none": None,
    "wipe": "counter_wipe",
    "lose": "counter_lose",
    "swap": "counter_swap",
    "split": "counter_split",
}
KINDS = tuple(ACTIONS)
LASTING_KINDS = ("swap", "split")
FAULT_DURATIONS = (4.0, 12.0)  # In seconds, for the lasting kinds.
LIMITERS = (4, 40, 200)
QUOTAS = "quotas"  # The plans of the default experiment.
NATIONAL = "national"  # The plans of the default experiment and NATIONAL_PLAN.
# A soft plan under a hard ceiling. Its customers send three times their quota and two and a half times their
# ceiling, and borrow what they get beyond the quota, so that only the ceiling limits them.
NATIONAL_PLAN = {
    "name": "national",
    "rate": 20.0,
    "burst": 40.0,
    "ceiling_rate": 24.0,
    "ceiling_burst": 48.0,
    "value": 1.0,
    "beyond_value": 0.5,
    "beyond_cost": 0.1,
    "customers": 8,
    "calls_per_s": 40.0,
}
SERVERS = {"count": 60, "places": 16}  # Enough capacity for all requests.
TOKENED_ROUTE = {"repeat": "tokened", "group": "zone", "window_s": 30.0}


def jobs(seeds: list[int]) -> list[Job]:
    """Return the jobs of all measurements for these seeds, those that take the most time first."""
    all_jobs = [
        job
        for seed in seeds
        for recovery in ("off", "on")
        for limiters in LIMITERS
        for kind in KINDS
        for job in _jobs_of_kind(kind, recovery, limiters, seed)
    ]
    return sorted(add_keys(all_jobs), key=lambda job: -job["limiters"] * (20 + job["for_s"]))


def _jobs_of_kind(kind: str, recovery: str, limiters: int, seed: int) -> list[Job]:
    """Return the jobs of a kind of fault, for both sets of plans and each duration."""
    kind_jobs = []
    for plans in (QUOTAS, NATIONAL):
        for duration in FAULT_DURATIONS if kind in LASTING_KINDS else (0.0,):
            job: Job = {"kind": kind, "way": recovery, "limiters": limiters, "for_s": duration, "seed": seed}
            if plans != QUOTAS:
                job["plans"] = plans
            kind_jobs.append(job)
    return kind_jobs


def experiment_of(job: Job) -> Experiment:
    """Return the embedded default experiment with the changes of a job."""
    text = resources.files("brookhub.experiments").joinpath("default.toml").read_text()
    raw = loads(text, Experiment, "default").model_dump()
    raw["sweep"] = {}
    raw["duration_s"] = FAULT_AT + job["for_s"] + TIME_AFTER_FAULT
    raw["load"].update(scale=LOAD_SCALE, repeat_share=REPEAT_SHARE)
    raw["faults"] = []
    action = ACTIONS[job["kind"]]
    if action:
        raw["faults"].append({"at_s": FAULT_AT, "action": action, "share": 0.5, "for_s": job["for_s"]})
    _change_fleet(raw["fleet"], job)
    return Experiment.model_validate(raw)


def _change_fleet(fleet: dict[str, Any], job: Job) -> None:
    """Change the fleet section of an experiment file for a job."""
    fleet["limiters"] = job["limiters"]
    if job.get("plans") == NATIONAL:
        fleet["plans"].append(dict(NATIONAL_PLAN))
    for plan in fleet["plans"]:
        plan["customers"] = max(1, plan["customers"] // job.get("few", 1))
    if job.get("tokened"):
        fleet["routes"][1].update(TOKENED_ROUTE)
    fleet["servers"].update(SERVERS)
    fleet["counter"].update(recovery=job["way"] == "on")


def run_job(job: Job) -> Row:
    """Run a job and return its row.

    Optional keys of a job are `plans` (QUOTAS or NATIONAL), `few` (the number of customers of each plan is
    divided by it) and `tokened` (whether the second route accepts idempotency keys).
    """
    fleet = Fleet(experiment_of(job), seed=job["seed"], keep_trail=False)
    excess = ExcessObserver(fleet, job["kind"], REPEAT_SHARE)
    repeats = RepeatObserver(fleet) if job.get("tokened") else None
    agreement = AgreementObserver(fleet, FAULT_AT + job["for_s"])
    if job["way"] == "on":
        agreement.start()
    metrics = fleet.run().metrics()
    figures = {
        "served": metrics["served_share"],
        "broken": metrics["broken"],
        "agreed_s": agreement.agreed_after,
        "twice": repeats.executed_twice() if repeats else 0,
        "both_sides": repeats.on_both_sides() if repeats else 0,
    }
    return job | _excess_figures(fleet, excess) | figures | _recovery_figures(fleet)


def _excess_figures(fleet: Fleet, excess: ExcessObserver) -> Row:
    """Return the figures of the use beyond quotas and ceilings, in bursts and as a share of the bound."""
    over_quota = excess.over_quota
    bounds = excess.bounds(over_quota)
    in_bursts = [_in_bursts(use) for use in over_quota.values()]
    return {
        "over": max(in_bursts),
        "over_mean": sum(in_bursts) / len(in_bursts),
        "bound": max(bounds[customer_id] / use.burst for customer_id, use in over_quota.items()),
        "of_bound": excess.share_of_bound(over_quota),
        "ceiling_over": max(_in_bursts(use) for use in excess.over_ceiling.values()),
        "ceiling_of_bound": excess.share_of_bound(excess.over_ceiling),
        "of_ceiling": _used_share_of_ceilings(fleet),
    }


def _in_bursts(use: ExcessUse) -> float:
    """Return the largest excess use in bursts."""
    return use.worst / use.burst


def _used_share_of_ceilings(fleet: Fleet) -> float:
    """Return the mean share of the ceiling's rate that customers of soft plans used, 0 if there are none."""
    duration = fleet.experiment.duration_s
    shares = [
        customer.served_units / (customer.plan.ceiling_rate * duration)
        for customer in fleet.customers
        if customer.plan.is_soft
    ]
    return sum(shares) / max(1, len(shares))


def _recovery_figures(fleet: Fleet) -> Row:
    """Return the numbers of epochs, of replayed counts and of calls to the counter in a run."""
    epochs = {event.fields["epoch"] for event in fleet.recovery_log if "epoch" in event.fields}
    recoveries = [limiter.recovery for limiter in fleet.limiters if limiter.recovery]
    return {
        "epochs": len(epochs),
        "resent": sum(recovery.replay.replayed_counts for recovery in recoveries),
        "counter_calls": fleet.counter.calls,
    }


def measure(
    folder: Path, seeds: list[int], processes: int | None = None, progress: Progress = no_progress
) -> list[Row]:
    """Run the jobs that have no row in the folder yet, and return all rows."""
    return run_jobs(folder / RESULTS, jobs(seeds), run_job, processes, progress)
