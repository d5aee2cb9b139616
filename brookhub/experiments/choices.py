"""Measures subsets.

Balance, load, churn and connections of several ways to choose them, by computation alone.

Ways: `stretch` (today's: a stretch of the servers sorted by id, from a golden-ratio place on), `random` (a
hash's first few), `matching` (coordination.SubsetMatching). docs/choices.md reads the tables and the plot.
"""

from __future__ import annotations

import json
import multiprocessing
import os
import random
from math import ceil, floor
from pathlib import Path
from typing import Callable

from ..coordination import SubsetMatching, subset_size
from ..coordination.hashing import uniform_hash
from .canvas import panels, save_figure

RESULTS = "choices.jsonl"
GOLDEN = 0.6180339887  # of a circle, between numbers in turn (policy.GOLDEN)
SIZES = [
    (4, 10),
    (10, 60),
    (40, 60),
    (40, 30),
    (100, 60),
    (200, 200),
    (200, 60),
    (1000, 60),
    (1000, 500),
    (40, 500),
]
WAYS = ("stretch", "random", "matching")
# Times as many more, of the matching: the smaller each part, the more even their sum (that many more
# connections)
SPREAD = 2.0
HOT, TIMES = 0.1, 4.0  # share of limiters that see more than the others, how many times the mean of those


def subsets(
    way: str, limiters: list[int], servers: list[str], weights: list[float], each: int, key: int
) -> dict[int, list]:
    """Limiter -> its servers, chosen in that way."""
    if way == "matching":
        fleet = SubsetMatching(limiters, key)
        fleet.set_servers(dict(zip(servers, weights, strict=False)))
        return fleet.subsets(each)
    if way == "random":
        fleet = SubsetMatching(
            [f"n{one}" for one in limiters], key
        )  # by names: nothing is dealt, all is chance
        fleet.set_servers(dict(zip(servers, weights, strict=False)))
        return {one: [server for _, server in fleet.rankings[f"n{one}"][:each]] for one in limiters}
    ring = sorted(servers, key=lambda server: uniform_hash(0, server))  # ids are hashes of names
    return {
        one: [ring[(floor(one * GOLDEN % 1.0 * len(ring)) + step) % len(ring)] for step in range(each)]
        for one in limiters
    }


def pairs(chosen: dict[int, list]) -> set[tuple]:
    """Who uses which server."""
    return {(one, server) for one, own in chosen.items() for server in own}


def balance(
    chosen: dict[int, list], servers: list[str], weights: list[float], load: dict[int, float]
) -> tuple[float, float]:
    """(limiters a server by weight, largest over mean; load a server by weight, largest over mean)."""
    count, carried = dict.fromkeys(servers, 0), dict.fromkeys(servers, 0.0)
    weight = dict(zip(servers, weights, strict=False))
    for one, own in chosen.items():
        whole = sum(weight[server] for server in own)
        for server in own:
            count[server] += 1
            carried[server] += load[one] * weight[server] / whole
    total = sum(weights)
    mean, mean_load = sum(count.values()) / total, sum(load.values()) / total
    return (
        max(count[one] / weight[one] for one in servers) / mean,
        max(carried[one] / weight[one] for one in servers) / mean_load,
    )


def play(job: dict) -> dict:
    """One row.

    Balance with even and with hot limiters, changed pairs over the least possible for one that comes or goes
    (mean over `moves` of each), connections; some limiters are away, so numbers are not dense.
    """
    rng = random.Random(job["seed"])
    count, many, way = job["limiters"], job["servers"], job["way"]
    limiters = sorted(rng.sample(range(ceil(count * 1.1)), count))
    servers = [f"s{job['seed']}-{number}" for number in range(many)]
    weights = [1.0] * many if not job["weighted"] else [rng.choice([0.5, 1.0, 2.0]) for _ in servers]
    key, each = job["seed"], subset_size(count, many)
    chosen = subsets(way, limiters, servers, weights, each, key)
    hot = set(rng.sample(limiters, max(1, round(HOT * count))))
    even, loaded = balance(chosen, servers, weights, dict.fromkeys(limiters, 1.0))
    fleet = SubsetMatching(limiters, key)
    fleet.set_servers(dict(zip(servers, weights, strict=False)))
    # Hot ones use as many more servers as they see more; the others can't know, so their own lists stay.
    for one in hot:
        more = min(many, ceil(each * TIMES))
        if way == "matching":
            chosen_hot = fleet.widened_subset(one, each, min(many, ceil(more * SPREAD)))
        else:
            chosen_hot = subsets(way, [one], servers, weights, more, key)[one]
        chosen[one] = chosen_hot
    uneven = balance(chosen, servers, weights, {one: TIMES if one in hot else 1.0 for one in limiters})[1]
    base = pairs(subsets(way, limiters, servers, weights, each, key))
    churn = {"limiter": [], "server": []}
    for _move in range(job["moves"]):
        gone = rng.choice(limiters)
        rest = [one for one in limiters if one != gone]
        after = pairs(subsets(way, rest, servers, weights, min(each, many), key))
        churn["limiter"].append(len(base ^ after) / each)
        if each < many:
            gone = rng.randrange(many)
            fewer, lighter = servers[:gone] + servers[gone + 1 :], weights[:gone] + weights[gone + 1 :]
            after = pairs(subsets(way, limiters, fewer, lighter, each, key))
            lost = sum(server == servers[gone] for _, server in base)
            churn["server"].append(len(base ^ after) / max(1, 2 * lost))
    return job | {
        "each": each,
        "limiters_a_server": even,
        "load_a_server": uneven,
        "load_even": loaded,
        "churn_limiter": sum(churn["limiter"]) / len(churn["limiter"]),
        "churn_server": sum(churn["server"]) / len(churn["server"]) if churn["server"] else None,
        "connections": len(base),
    }


def measure(
    out: Path,
    seeds: list[int],
    moves: int = 6,
    processes: int | None = None,
    sizes=SIZES,
    progress: Callable[[float], None] = lambda done: None,
) -> list[dict]:
    """Play what is not yet in `out`; returns all rows."""
    out.mkdir(parents=True, exist_ok=True)
    jobs = [
        {
            "limiters": limiters,
            "servers": servers,
            "way": way,
            "weighted": weighted,
            "seed": seed,
            "moves": moves,
        }
        for limiters, servers in sizes
        for way in WAYS
        for weighted in (False, True)
        for seed in seeds
    ]
    jobs.sort(key=lambda job: -job["limiters"] * job["servers"])
    rows = []
    context = multiprocessing.get_context("spawn")
    with open(out / RESULTS, "w") as sink, context.Pool(processes or os.cpu_count() or 1) as pool:
        for number, row in enumerate(pool.imap_unordered(play, jobs)):
            sink.write(json.dumps(row, sort_keys=True) + "\n")
            rows.append(row)
            progress((number + 1) / len(jobs))
    return rows


def table(rows: list[dict]) -> str:
    """Markdown: a line for each size and way, means over the seeds, the largest of the seeds in brackets."""
    lines = [
        "| limiters, servers | each | way | limiters a server, largest over mean | the same, servers of weight 0.5 to 2 | "
        "load, a tenth see 4 times | changed pairs, a limiter goes | a server goes | connections |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    groups: dict[tuple, list[dict]] = {}
    for row in rows:
        groups.setdefault((row["limiters"], row["servers"], row["way"]), []).append(row)

    def show(values: list) -> str:
        values = [value for value in values if value is not None]
        return f"{sum(values) / len(values):.2f} ({max(values):.2f})" if values else "-"

    for (limiters, servers, way), own in sorted(groups.items()):
        plain, heavy = [row for row in own if not row["weighted"]], [row for row in own if row["weighted"]]
        lines.append(
            f"| {limiters}, {servers} | {plain[0]['each']} | {way} | {show([row['limiters_a_server'] for row in plain])} | "
            f"{show([row['limiters_a_server'] for row in heavy])} | {show([row['load_a_server'] for row in plain])} | "
            f"{show([row['churn_limiter'] for row in plain])} | {show([row['churn_server'] for row in plain])} | "
            f"{plain[0]['connections']} |"
        )
    return "\n".join(lines)


def plot(rows: list[dict], png: Path) -> Path:
    """Balance, load and churn against the number of limiters."""
    figure, axes = panels(4, (17, 4))
    shown = [
        ("limiters_a_server", "limiters a server, largest / mean"),
        ("load_a_server", "load a server, largest / mean"),
        ("churn_limiter", "changed pairs / least, a limiter goes"),
        ("churn_server", "changed pairs / least, a server goes"),
    ]
    sizes = sorted({(row["limiters"], row["servers"]) for row in rows})
    for axis, (key, title) in zip(axes, shown, strict=False):
        for way in WAYS:
            points = []
            for number, (limiters, servers) in enumerate(sizes):
                values = [
                    row[key]
                    for row in rows
                    if (row["limiters"], row["servers"], row["way"]) == (limiters, servers, way)
                    and not row["weighted"]
                    and row[key] is not None
                ]
                if values:
                    points.append((number, sum(values) / len(values)))
            axis.plot([x for x, _ in points], [y for _, y in points], marker="o", label=way)
        axis.set_xticks(range(len(sizes)), [f"{a}/{b}" for a, b in sizes], rotation=60, fontsize=7)
        axis.set_title(title)
        axis.grid(alpha=0.3)
    axes[0].legend()
    return save_figure(figure, png)
