"""Measurements of maintenance plans in the emulator, compared with a timetable and with independent limiters.

Each job writes one row (JSON lines). A run on a folder that already has some of the rows adds the missing
ones. The key `how` of a row contains who decides that a machine is taken out of service: "agreed" (the
voters), "timetable" (fixed times), "alone" (each limiter independently), "none" (there is no plan). The
tables and the plot are shown in docs/maintenance.md.
"""

from __future__ import annotations

from collections.abc import Sequence
from itertools import product
from pathlib import Path
from typing import Any

from ..config import Experiment
from ..emulator import Fleet
from ..emulator.site import Scheduling, Site, SiteSettings
from ..emulator.site_faults import SiteFaults
from ..maintenance import Machine, Plan
from .figures import panels, save_figure
from .jobs import Job, Progress, Row, add_keys, no_progress, run_jobs
from .together_run import base_experiment

RESULTS = "maintenance.jsonl"
MACHINES = 12
SERVERS_PER_MACHINE = 5
ZONES = 3
LIMITERS = 200
VOTERS = 5
# Durations in seconds of simulated time.
WORK_S = 30.0
WARM_UP_S = 10.0
BEGIN_S = 5.0  # From the start of a run until the plan is submitted.
START_WITHIN_S = 10.0
PLAN_LIMIT_S = 6000.0  # Time limit of a run; a plan that needs more time counts as not ended.
FAULTS_FOR_S = 600.0  # Random faults occur during this time.
FAULT_RATES = (0, 2, 6, 20)  # Faults per minute.
MAX_OUT = (1, 2, 4)  # Maximum numbers of machines out of service at once, K in the tables.
SCHEDULINGS = ("agreed", "timetable", "alone")
SERVED_RUNS = (  # (scheduling, maximum of machines out of service) of the runs under load.
    ("none", 0),
    ("agreed", 1),
    ("agreed", 2),
    ("agreed", 4),
    ("timetable", 2),
    ("alone", 2),
)
# Mean seconds that a machine is out of service if nothing else delays it. The terms are the operators' delay
# (80 % start after 5 % of START_WITHIN_S, the others after 50 % on average), the drain, the work and the
# warm-up.
MIN_CYCLE_S = 0.8 * 0.05 * START_WITHIN_S + 0.2 * 0.5 * START_WITHIN_S + 1.0 + WORK_S + WARM_UP_S


def make_plan(
    max_out: int,
    machines: int = MACHINES,
    servers: int = SERVERS_PER_MACHINE,
    start_within_s: float = START_WITHIN_S,
    warm_up_s: float = WARM_UP_S,
) -> Plan:
    """Return a plan over `machines` machines with `servers` servers each."""
    return Plan(
        1,
        tuple(
            Machine(
                f"m{number}",
                f"z{number % ZONES}",
                1.0,
                tuple(f"s-{number * servers + offset}" for offset in range(servers)),
            )
            for number in range(machines)
        ),
        tuple(f"n{number}" for number in range(VOTERS)),
        max_out=max_out,
        max_out_per_zone=max(1, max_out - 1),
        min_capacity_share=0.5,
        start_within_s=start_within_s,
        warm_up_s=warm_up_s,
        pause_s=0.0,
    )


def jobs(seeds: int) -> list[Job]:
    """Return the jobs: `seeds` runs of agreed plans with faults, runs of the baselines, runs under load.

    The agreed plans with faults cycle through all values of MAX_OUT and all fault rates above 0. Baselines
    are run six times for each value of MAX_OUT and each fault rate, agreed plans without faults six times for
    each value of MAX_OUT.
    """
    all_jobs: list[Job] = []
    for seed in range(seeds):
        max_out = MAX_OUT[seed % len(MAX_OUT)]
        fault_rate = FAULT_RATES[1 + seed // len(MAX_OUT) % (len(FAULT_RATES) - 1)]
        all_jobs.append({"what": "plan", "how": "agreed", "most": max_out, "rate": fault_rate, "seed": seed})
    all_jobs += [
        {"what": "plan", "how": scheduling, "most": max_out, "rate": fault_rate, "seed": 10_000 + seed}
        for scheduling, max_out, fault_rate, seed in product(SCHEDULINGS, MAX_OUT, FAULT_RATES, range(6))
        if scheduling != "agreed" or fault_rate == 0
    ]
    all_jobs += [
        {"what": "served", "how": scheduling, "most": max_out, "rate": fault_rate, "seed": seed}
        for (scheduling, max_out), fault_rate, seed in product(SERVED_RUNS, (0, 6), (1, 2, 3))
    ]
    return sorted(add_keys(all_jobs), key=lambda job: (job["what"] != "served", job["seed"]))


def run_job(job: Job) -> Row:
    """Run a job and return its row."""
    figures = run_plan(job) if job["what"] == "plan" else run_under_load(job)
    return job | figures


def run_plan(job: Job) -> Row:
    """Run a plan on 200 limiters and 60 servers without requests, and return its figures."""
    settings = SiteSettings(LIMITERS, job["seed"], Scheduling(job["how"]), WORK_S, begins_at=BEGIN_S)
    site = Site(make_plan(job["most"]), settings)
    SiteFaults(site).schedule_random(job["rate"], FAULTS_FOR_S)
    site.run(PLAN_LIMIT_S)
    return {
        "ended": site.ended_at,
        "most_seen": site.max_out,
        "breaks": len(site.violations),
        "first": site.violations[:1],
    }


def run_under_load(job: Job) -> Row:
    """Run a plan, or none, on a fleet of 40 limiters under load, and return its figures."""
    raw = base_experiment(40, "none", count=24, service_s=0.1)
    raw["duration_s"] = 90.0
    raw["load"]["scale"] = 1.0
    fleet = Fleet(Experiment.model_validate(raw), seed=job["seed"], keep_trail=False)
    site = None
    if job["how"] != "none":
        plan = make_plan(job["most"], machines=8, servers=3, start_within_s=4.0, warm_up_s=5.0)
        site = Site(plan, SiteSettings(40, job["seed"], Scheduling(job["how"]), 6.0), fleet)
        SiteFaults(site).schedule_random(job["rate"], 60.0)
    metrics = fleet.run().metrics()
    figures: Row = {
        "served": metrics["served_share"],
        "errored": metrics["errored_share"],
        "broken": metrics["broken"],
    }
    if site is not None:
        figures |= {"done": len(site.done), "breaks": len(site.violations), "most_seen": site.max_out}
    return figures


def measure(
    folder: Path, seeds: int, processes: int | None = None, progress: Progress = no_progress
) -> list[Row]:
    """Run the jobs that have no row in the folder yet, and return all rows."""
    return run_jobs(folder / RESULTS, jobs(seeds), run_job, processes, progress)


def min_duration(max_out: int) -> float:
    """Return the minimum duration of a plan (in seconds), if `max_out` machines are always out of service."""
    return BEGIN_S + MACHINES * MIN_CYCLE_S / max_out


def plan_rows(rows: Sequence[Row], scheduling: str, max_out: int, fault_rate: int) -> list[Row]:
    """Return the rows of the plans without load that have this scheduling, maximum and fault rate."""
    return [
        row
        for row in rows
        if row["what"] == "plan"
        and (row["how"], row["most"], row["rate"]) == (scheduling, max_out, fault_rate)
    ]


def durations(rows: Sequence[Row]) -> list[float]:
    """Return the durations (in seconds) of the plans that ended."""
    return [row["ended"] for row in rows if row["ended"]]


def plan_line(scheduling: str, max_out: int, fault_rate: int, rows: Sequence[Row]) -> str:
    """Return a line of the table of plans without load."""
    plan_durations = durations(rows)
    mean = sum(plan_durations) / max(1, len(plan_durations))
    cells = [
        scheduling,
        str(max_out),
        str(fault_rate),
        str(len(rows)),
        str(len(rows) - len(plan_durations)),
        str(sum(row["breaks"] > 0 for row in rows)),
        str(max(row["most_seen"] for row in rows)),
        f"{mean:.0f} ({max(plan_durations, default=0):.0f})",
        f"{mean / min_duration(max_out):.2f}",
    ]
    return f"| {' | '.join(cells)} |"


def served_line(scheduling: str, max_out: int, fault_rate: int, rows: Sequence[Row]) -> str:
    """Return a line of the table of runs under load."""
    shares = [row["served"] for row in rows]
    cells = [
        scheduling,
        str(max_out),
        str(fault_rate),
        f"{sum(shares) / len(shares):.4f} ({min(shares):.4f}, {max(shares):.4f})",
        f"{sum(row['errored'] for row in rows) / len(rows):.4f}",
        str(min(row.get("done", 0) for row in rows)),
        str(sum(row.get("breaks", 0) > 0 for row in rows)),
    ]
    return f"| {' | '.join(cells)} |"


def table(rows: Sequence[Row]) -> str:
    """Return two Markdown tables: the plans without load, and the served shares of the runs under load.

    Each has a line for each scheduling, maximum of machines out of service (K) and fault rate.
    """
    lines = [
        "| way | K | faults a minute | runs | not ended | broke the plan | most out | "
        "s in the mean (worst) | over the least |",
        "| --- " * 9 + "|",
    ]
    for scheduling, max_out, fault_rate in product(SCHEDULINGS, MAX_OUT, FAULT_RATES):
        group = plan_rows(rows, scheduling, max_out, fault_rate)
        if group:
            lines.append(plan_line(scheduling, max_out, fault_rate, group))
    lines += [
        "",
        "| way | K | faults a minute | served (least, most) | errored | machines done | broke the plan |",
        "| --- " * 7 + "|",
    ]
    groups: dict[tuple[str, int, int], list[Row]] = {}
    for row in rows:
        if row["what"] == "served":
            groups.setdefault((row["how"], row["most"], row["rate"]), []).append(row)
    lines += [served_line(*key, group) for key, group in sorted(groups.items())]
    return "\n".join(lines)


def plot_durations(axis: Any, rows: Sequence[Row]) -> None:
    """Draw the duration of plans, divided by its minimum, against the fault rate."""
    for colour, max_out in enumerate(MAX_OUT):
        for scheduling, style in (("agreed", "o-"), ("timetable", "s--")):
            means = []
            for fault_rate in FAULT_RATES:
                plan_durations = durations(plan_rows(rows, scheduling, max_out, fault_rate))
                means.append(
                    sum(plan_durations) / len(plan_durations) / min_duration(max_out)
                    if plan_durations
                    else None
                )
            axis.plot(FAULT_RATES, means, style, color=f"C{colour}", label=f"{scheduling}, K {max_out}")
    axis.set_xlabel("faults a minute")
    axis.set_title("time of a plan over the least possible")
    axis.legend(fontsize=7)


def plot_served(axis: Any, rows: Sequence[Row]) -> None:
    """Draw the served share of each run under load, by scheduling, maximum out of service and fault rate."""
    served_rows = [row for row in rows if row["what"] == "served"]
    keys = sorted({(row["how"], row["most"]) for row in served_rows})
    for offset, fault_rate in enumerate(sorted({row["rate"] for row in served_rows})):
        for position, key in enumerate(keys):
            shares = [
                row["served"]
                for row in served_rows
                if (row["how"], row["most"]) == key and row["rate"] == fault_rate
            ]
            label = f"{fault_rate} faults a minute" if position == 0 else None
            axis.plot([position + 0.2 * offset] * len(shares), shares, "o", color=f"C{offset}", label=label)
    axis.set_xticks(
        range(len(keys)), [f"{scheduling}\nK {max_out}" for scheduling, max_out in keys], fontsize=7
    )
    axis.set_title("served share")
    axis.legend(fontsize=7)


def plot(rows: Sequence[Row], png: Path) -> Path:
    """Draw the durations and the served shares into the file `png`, and return its path."""
    figure, (left, right) = panels(2, (12, 4.5))
    plot_durations(left, rows)
    plot_served(right, rows)
    return save_figure(figure, png)
