"""Measures maintenance plans on a fleet in the emulator, against a timetable and no agreement."""

from __future__ import annotations

from pathlib import Path
from typing import Callable

from ..config import Experiment
from ..emulator import Fleet
from ..emulator.site import Site
from ..maintenance import Machine, Plan
from .canvas import panels, save_figure
from .jobs import keyed, play_all
from .together import base

RESULTS = "maintenance.jsonl"
MACHINES, SERVERS, LIMITERS, VOTERS = 12, 5, 200, 5
# s: of work, of filling, until the plan is given, to start within
WORK, FILL, BEGIN, START = 30.0, 10.0, 5.0, 10.0
RATES, MOSTS, HOWS = (0, 2, 6, 20), (1, 2, 4), ("agreed", "timetable", "alone")  # faults a minute, K, ways
# Seconds that a machine is out at least, in the mean
LEAST_CYCLE = 0.8 * 0.05 * START + 0.2 * 0.5 * START + 1.0 + WORK + FILL


def plan(most: int, machines: int = MACHINES, servers: int = SERVERS, zones: int = 3, **more) -> Plan:
    """A plan over so many machines."""
    made = tuple(
        Machine(f"m{n}", f"z{n % zones}", 1.0, tuple(f"s-{n * servers + k}" for k in range(servers)))
        for n in range(machines)
    )
    return Plan(
        1,
        made,
        tuple(f"n{n}" for n in range(VOTERS)),
        max_out=most,
        max_out_per_zone=max(1, most - 1),
        min_capacity_share=0.5,
        **{"start_within_s": START, "warm_up_s": FILL, "pause_s": 0.0, **more},
    )


def jobs(seeds: int) -> list[dict]:
    """`seeds` runs of the agreed way, shared out over K and rates.

    Fewer of the baselines, which break in nearly all.
    """
    made = []
    for number in range(seeds):
        most, rate = MOSTS[number % 3], RATES[1 + number // 3 % 3]
        made.append({"what": "plan", "how": "agreed", "most": most, "rate": rate, "seed": number})
    for how in HOWS:
        made += [
            {"what": "plan", "how": how, "most": most, "rate": rate, "seed": 10_000 + seed}
            for most in MOSTS
            for rate in RATES
            for seed in range(6)
            if how != "agreed" or rate == 0
        ]
    made += [
        {"what": "served", "how": how, "most": most, "rate": rate, "seed": seed}
        for how, most in (
            ("none", 0),
            ("agreed", 1),
            ("agreed", 2),
            ("agreed", 4),
            ("timetable", 2),
            ("alone", 2),
        )
        for rate in (0, 6)
        for seed in (1, 2, 3)
    ]
    return sorted(keyed(made), key=lambda job: (job["what"] != "served", job["seed"]))


def play(job: dict) -> dict:
    """One row."""
    return job | {"plan": alone_run, "served": served_run}[job["what"]](job)


def alone_run(job: dict) -> dict:
    """The plan by itself, without calls: 200 limiters, 60 servers on 12 machines."""
    site = Site(plan(job["most"]), LIMITERS, job["seed"], job["how"], WORK, begins=BEGIN)
    site.faults(job["rate"], 600.0)
    site.run(6000.0)
    return {"ended": site.ended, "most_seen": site.most, "breaks": len(site.breaks), "first": site.breaks[:1]}


def served_run(job: dict) -> dict:
    """The plan on a fleet of 40 limiters under load: served share, against the run without work."""
    raw = base(40, "none", count=24, service_s=0.1)
    raw["duration_s"], raw["load"]["scale"] = 90.0, 1.0
    fleet = Fleet(Experiment.model_validate(raw), seed=job["seed"], keep_trail=False)
    if job["how"] != "none":
        one = plan(job["most"], machines=8, servers=3, start_within_s=4.0, warm_up_s=5.0)
        site = Site(one, 40, job["seed"], job["how"], 6.0, fleet=fleet)
        site.faults(job["rate"], 60.0)
    metrics = fleet.run().metrics()
    figures = {
        "served": metrics["served_share"],
        "errored": metrics["errored_share"],
        "broken": metrics["broken"],
    }
    return figures | (
        {"done": len(site.done), "breaks": len(site.breaks), "most_seen": site.most}
        if job["how"] != "none"
        else {}
    )


def measure(
    folder: Path,
    seeds: int,
    processes: int | None = None,
    progress: Callable[[float], None] = lambda done: None,
) -> list[dict]:
    """Play what is not in the folder yet; all rows."""
    return play_all(folder / RESULTS, jobs(seeds), play, processes, progress)


def least(most: int) -> float:
    """S that a plan needs at the least for that K.

    Each slot one machine after another, nothing between them.
    """
    return BEGIN + MACHINES * LEAST_CYCLE / most


def table(rows: list[dict]) -> str:
    """Markdown: plans by way, K and rate of faults; served share by way and K."""
    lines = [
        "| way | K | faults a minute | runs | not ended | broke the plan | most out | s in the mean (worst) | over the least |",
        "| --- " * 9 + "|",
    ]
    for how in HOWS:
        for most in MOSTS:
            for rate in RATES:
                own = [
                    row
                    for row in rows
                    if row["what"] == "plan" and (row["how"], row["most"], row["rate"]) == (how, most, rate)
                ]
                times = [row["ended"] for row in own if row["ended"]]
                if own:
                    mean = sum(times) / max(1, len(times))
                    lines.append(
                        f"| {how} | {most} | {rate} | {len(own)} | {len(own) - len(times)} | "
                        f"{sum(row['breaks'] > 0 for row in own)} | {max(row['most_seen'] for row in own)} | "
                        f"{mean:.0f} ({max(times, default=0):.0f}) | {mean / least(most):.2f} |"
                    )
    lines += [
        "",
        "| way | K | faults a minute | served (least, most) | errored | machines done | broke the plan |",
        "| --- " * 7 + "|",
    ]
    for key in sorted({(row["how"], row["most"], row["rate"]) for row in rows if row["what"] == "served"}):
        own = [
            row for row in rows if row["what"] == "served" and (row["how"], row["most"], row["rate"]) == key
        ]
        shares = [row["served"] for row in own]
        lines.append(
            f"| {key[0]} | {key[1]} | {key[2]} | {sum(shares) / len(shares):.4f} ({min(shares):.4f}, {max(shares):.4f}) | "
            f"{sum(row['errored'] for row in own) / len(own):.4f} | {min(row.get('done', 0) for row in own)} | "
            f"{sum(row.get('breaks', 0) > 0 for row in own)} |"
        )
    return "\n".join(lines)


def plot(rows: list[dict], png: Path) -> Path:
    """Time of a plan over the least possible, and served share, against K and the rate of faults."""
    figure, (left, right) = panels(2, (12, 4.5))
    for place, most in enumerate(MOSTS):
        for how, mark in (("agreed", "o-"), ("timetable", "s--")):
            means = []
            for rate in RATES:
                times = [
                    row["ended"]
                    for row in rows
                    if row["what"] == "plan"
                    and row["ended"]
                    and (row["how"], row["most"], row["rate"]) == (how, most, rate)
                ]
                means.append(sum(times) / len(times) / least(most) if times else None)
            left.plot(RATES, means, mark, color=f"C{place}", label=f"{how}, K {most}")
    left.set_xlabel("faults a minute")
    left.set_title("time of a plan over the least possible")
    left.legend(fontsize=7)
    served = [row for row in rows if row["what"] == "served"]
    keys = sorted({(row["how"], row["most"]) for row in served})
    for offset, rate in enumerate(sorted({row["rate"] for row in served})):
        for place, key in enumerate(keys):
            own = [
                row["served"] for row in served if (row["how"], row["most"]) == key and row["rate"] == rate
            ]
            right.plot(
                [place + 0.2 * offset] * len(own),
                own,
                "o",
                color=f"C{offset}",
                label=f"{rate} faults a minute" if not place else None,
            )
    right.set_xticks(range(len(keys)), [f"{how}\nK {most}" for how, most in keys], fontsize=7)
    right.set_title("served share")
    right.legend(fontsize=7)
    return save_figure(figure, png)
