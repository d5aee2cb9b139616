"""Measurements of algorithms that assign a subset of the servers to each limiter, without an emulated fleet.

The algorithms are `stretch` (consecutive servers in the order of their ids, from a position derived from the
limiter's number and the golden ratio), `random` (the first servers in the order of a hash) and `matching`
(the class coordination.SubsetMatching). Balance, load, churn and connections are measured. Each row is a JSON
object; the tables in docs/choices.md show the values of its keys.
"""

from __future__ import annotations

import json
import multiprocessing
import os
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from math import ceil, floor
from pathlib import Path
from typing import Any

from ..coordination import SubsetMatching, subset_size
from ..coordination.hashing import uniform_hash
from .figures import panels, save_figure
from .jobs import Job, Progress, Row, no_progress

RESULTS = "choices.jsonl"
GOLDEN_RATIO = 0.6180339887  # Share of the circle between the positions of two consecutive limiters.
SIZES = [  # (limiters, servers)
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
ALGORITHM_NAMES = ("stretch", "random", "matching")
# Factor on the size of a widened subset of the matching. A hot limiter that uses more servers sends a smaller
# part of its load to each, so that the sum of the loads is more even, but needs that many more connections.
WIDENING_FACTOR = 2.0
HOT_SHARE = 0.1  # Share of the limiters that are hot.
HOT_LOAD = 4.0  # Load of a hot limiter, as a multiple of the load of each other limiter.
# Limiters get random numbers below this multiple of their count, so that some numbers are not used.
NUMBER_RANGE_FACTOR = 1.1
WEIGHTS = (0.5, 1.0, 2.0)  # Weights of servers in jobs with weighted servers.

PANELS = [
    ("limiters_a_server", "limiters a server, largest / mean"),
    ("load_a_server", "load a server, largest / mean"),
    ("churn_limiter", "changed pairs / least, a limiter goes"),
    ("churn_server", "changed pairs / least, a server goes"),
]

Subsets = dict[int, list[str]]  # Servers by limiter.
Pair = tuple[int, str]  # (limiter, server of its subset)


@dataclass(frozen=True)
class Fleet:
    """The numbers of the limiters, the weights of the servers, and the key of the hashes."""

    limiters: Sequence[int]
    weights: Mapping[str, float]
    key: int

    def without_limiter(self, limiter: int) -> Fleet:
        """Return a copy of the fleet without this limiter."""
        return Fleet([other for other in self.limiters if other != limiter], self.weights, self.key)

    def without_server(self, server: str) -> Fleet:
        """Return a copy of the fleet without this server."""
        remaining_weights = {other: weight for other, weight in self.weights.items() if other != server}
        return Fleet(self.limiters, remaining_weights, self.key)

    def matching(self) -> SubsetMatching[int, str]:
        """Return a matching of this fleet's limiters and servers."""
        matching: SubsetMatching[int, str] = SubsetMatching(self.limiters, self.key)
        matching.set_servers(self.weights)
        return matching


def stretch_subsets(fleet: Fleet, size: int) -> Subsets:
    """Return for each limiter `size` consecutive servers in the order of their ids."""
    ring = sorted(fleet.weights, key=lambda server: uniform_hash(0, server))  # Ids are hashes of names.
    subsets = {}
    for limiter in fleet.limiters:
        first = floor(limiter * GOLDEN_RATIO % 1.0 * len(ring))
        subsets[limiter] = [ring[(first + step) % len(ring)] for step in range(size)]
    return subsets


def random_subsets(fleet: Fleet, size: int) -> Subsets:
    """Return for each limiter the first `size` servers in the order of a hash of both names."""
    names = {limiter: f"n{limiter}" for limiter in fleet.limiters}
    ranking: SubsetMatching[str, str] = SubsetMatching(list(names.values()), fleet.key)
    ranking.set_servers(fleet.weights)
    return {
        limiter: [server for _, server in ranking.rankings[name][:size]] for limiter, name in names.items()
    }


def matching_subsets(fleet: Fleet, size: int) -> Subsets:
    """Return the subsets that the matching assigns."""
    return fleet.matching().subsets(size)


ALGORITHMS: dict[str, Callable[[Fleet, int], Subsets]] = {
    "stretch": stretch_subsets,
    "random": random_subsets,
    "matching": matching_subsets,
}


def pairs_of(subsets: Subsets) -> set[Pair]:
    """Return all pairs of a limiter and a server of its subset."""
    return {(limiter, server) for limiter, servers in subsets.items() for server in servers}


@dataclass(frozen=True)
class Balance:
    """Unevenness of an assignment of subsets: 1 if it is perfectly even, above 1 if it is not.

    Attributes:
        limiters: Limiters per server, divided by the server's weight: the largest value over the mean.
        load: Load per server, divided by the server's weight: the largest value over the mean.
    """

    limiters: float
    load: float


def balance(subsets: Subsets, weights: Mapping[str, float], load: Mapping[int, float]) -> Balance:
    """Return the balance of subsets if each limiter spreads its load over its servers by their weights."""
    limiter_counts = dict.fromkeys(weights, 0)
    loads = dict.fromkeys(weights, 0.0)
    for limiter, servers in subsets.items():
        total_weight = sum(weights[server] for server in servers)
        for server in servers:
            limiter_counts[server] += 1
            loads[server] += load[limiter] * weights[server] / total_weight
    sum_of_weights = sum(weights.values())
    mean_limiters = sum(limiter_counts.values()) / sum_of_weights
    mean_load = sum(load.values()) / sum_of_weights
    return Balance(
        max(limiter_counts[server] / weight for server, weight in weights.items()) / mean_limiters,
        max(loads[server] / weight for server, weight in weights.items()) / mean_load,
    )


def widen_hot_subsets(
    fleet: Fleet, algorithm: str, subsets: Subsets, hot_limiters: set[int], size: int
) -> Subsets:
    """Return the subsets, in which hot limiters have larger ones.

    The other limiters do not know which limiters are hot, so their subsets stay the same.
    """
    server_count = len(fleet.weights)
    hot_size = min(server_count, ceil(size * HOT_LOAD))
    matching = fleet.matching()
    widened_subsets = {}
    for limiter in hot_limiters:
        if algorithm == "matching":
            widened_size = min(server_count, ceil(hot_size * WIDENING_FACTOR))
            widened_subsets[limiter] = matching.widened_subset(limiter, size, widened_size)
        else:
            single_limiter_fleet = Fleet([limiter], fleet.weights, fleet.key)
            widened_subsets[limiter] = ALGORITHMS[algorithm](single_limiter_fleet, hot_size)[limiter]
    return subsets | widened_subsets


@dataclass(frozen=True)
class Churn:
    """Cost of removals: the number of changed pairs, divided by the minimum number that a removal requires.

    Attributes:
        limiter: A value for each removal of a limiter.
        server: A value for each removal of a server.
    """

    limiter: list[float]
    server: list[float]


def churn(fleet: Fleet, algorithm: str, size: int, moves: int, rng: random.Random) -> Churn:
    """Measure the churn of `moves` removals of a random limiter and as many of a random server.

    Each removal starts from the complete fleet.
    """
    assign_subsets = ALGORITHMS[algorithm]
    before = pairs_of(assign_subsets(fleet, size))
    servers = list(fleet.weights)
    result = Churn([], [])
    for _ in range(moves):
        fewer_limiters = fleet.without_limiter(rng.choice(fleet.limiters))
        after = pairs_of(assign_subsets(fewer_limiters, min(size, len(servers))))
        result.limiter.append(len(before ^ after) / size)
        if size < len(servers):
            removed_server = servers[rng.randrange(len(servers))]
            after = pairs_of(assign_subsets(fleet.without_server(removed_server), size))
            # Another pair replaces each pair of the removed server, so the minimum is twice their number.
            removed_pairs = sum(server == removed_server for _, server in before)
            result.server.append(len(before ^ after) / max(1, 2 * removed_pairs))
    return result


def run_job(job: Job) -> Row:
    """Run a job and return its row: balance without and with hot limiters, mean churn, connections."""
    rng = random.Random(job["seed"])
    limiter_count = job["limiters"]
    algorithm = job["way"]
    limiters = sorted(rng.sample(range(ceil(limiter_count * NUMBER_RANGE_FACTOR)), limiter_count))
    servers = [f"s{job['seed']}-{number}" for number in range(job["servers"])]
    weights = {server: rng.choice(WEIGHTS) if job["weighted"] else 1.0 for server in servers}
    fleet = Fleet(limiters, weights, job["seed"])
    size = subset_size(limiter_count, len(servers))
    subsets = ALGORITHMS[algorithm](fleet, size)
    hot_limiters = set(rng.sample(limiters, max(1, round(HOT_SHARE * limiter_count))))
    even_balance = balance(subsets, weights, dict.fromkeys(limiters, 1.0))
    uneven_load = {limiter: HOT_LOAD if limiter in hot_limiters else 1.0 for limiter in limiters}
    uneven_balance = balance(
        widen_hot_subsets(fleet, algorithm, subsets, hot_limiters, size), weights, uneven_load
    )
    measured_churn = churn(fleet, algorithm, size, job["moves"], rng)
    return job | {
        "each": size,
        "limiters_a_server": even_balance.limiters,
        "load_a_server": uneven_balance.load,
        "load_even": even_balance.load,
        "churn_limiter": sum(measured_churn.limiter) / len(measured_churn.limiter),
        "churn_server": sum(measured_churn.server) / len(measured_churn.server)
        if measured_churn.server
        else None,
        "connections": len(pairs_of(subsets)),
    }


def measure(
    out: Path,
    seeds: Sequence[int],
    moves: int = 6,
    processes: int | None = None,
    sizes: Sequence[tuple[int, int]] = tuple(SIZES),
    progress: Progress = no_progress,
) -> list[Row]:
    """Run all jobs, overwrite the rows in the folder `out`, and return the rows."""
    out.mkdir(parents=True, exist_ok=True)
    jobs: list[Job] = [
        {
            "limiters": limiters,
            "servers": servers,
            "way": algorithm,
            "weighted": weighted,
            "seed": seed,
            "moves": moves,
        }
        for limiters, servers in sizes
        for algorithm in ALGORITHM_NAMES
        for weighted in (False, True)
        for seed in seeds
    ]
    jobs.sort(key=lambda job: -job["limiters"] * job["servers"])  # The jobs that take longest start first.
    rows = []
    context = multiprocessing.get_context("spawn")
    with open(out / RESULTS, "w") as sink, context.Pool(processes or os.cpu_count() or 1) as pool:
        for number, row in enumerate(pool.imap_unordered(run_job, jobs), 1):
            sink.write(json.dumps(row, sort_keys=True) + "\n")
            rows.append(row)
            progress(number / len(jobs))
    return rows


def mean_and_largest(rows: Sequence[Row], key: str) -> str:
    """Return the mean of a figure over rows, with its largest value in brackets, or "-" if no row has it."""
    values = [row[key] for row in rows if row[key] is not None]
    return f"{sum(values) / len(values):.2f} ({max(values):.2f})" if values else "-"


def table(rows: Sequence[Row]) -> str:
    """Return a Markdown table with a row for each size and algorithm.

    Figures are means over the seeds, with the largest value in brackets.
    """
    lines = [
        "| limiters, servers | each | way | limiters a server, largest over mean | "
        "the same, servers of weight 0.5 to 2 | load, a tenth see 4 times | changed pairs, a limiter goes | "
        "a server goes | connections |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    groups: dict[tuple[int, int, str], list[Row]] = {}
    for row in rows:
        groups.setdefault((row["limiters"], row["servers"], row["way"]), []).append(row)
    for (limiters, servers, algorithm), group in sorted(groups.items()):
        unweighted_rows = [row for row in group if not row["weighted"]]
        weighted_rows = [row for row in group if row["weighted"]]
        cells = [
            f"{limiters}, {servers}",
            str(unweighted_rows[0]["each"]),
            algorithm,
            mean_and_largest(unweighted_rows, "limiters_a_server"),
            mean_and_largest(weighted_rows, "limiters_a_server"),
            mean_and_largest(unweighted_rows, "load_a_server"),
            mean_and_largest(unweighted_rows, "churn_limiter"),
            mean_and_largest(unweighted_rows, "churn_server"),
            str(unweighted_rows[0]["connections"]),
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def plot_line(
    axis: Any, rows: Sequence[Row], sizes: Sequence[tuple[int, int]], algorithm: str, key: str
) -> None:
    """Draw the means of a figure against the size of the fleet, for one algorithm."""
    positions = []
    means = []
    for position, size in enumerate(sizes):
        values = [
            row[key]
            for row in rows
            if (row["limiters"], row["servers"]) == size
            and row["way"] == algorithm
            and not row["weighted"]
            and row[key] is not None
        ]
        if values:
            positions.append(position)
            means.append(sum(values) / len(values))
    axis.plot(positions, means, marker="o", label=algorithm)


def plot(rows: Sequence[Row], png: Path) -> Path:
    """Draw balance, load and churn against the size of the fleet into the file `png`, and return its path."""
    figure, axes = panels(len(PANELS), (17, 4))
    sizes = sorted({(row["limiters"], row["servers"]) for row in rows})
    labels = [f"{limiters}/{servers}" for limiters, servers in sizes]
    for axis, (key, title) in zip(axes, PANELS, strict=True):
        for algorithm in ALGORITHM_NAMES:
            plot_line(axis, rows, sizes, algorithm, key)
        axis.set_xticks(range(len(sizes)), labels, rotation=60, fontsize=7)
        axis.set_title(title)
        axis.grid(alpha=0.3)
    axes[0].legend()
    return save_figure(figure, png)
