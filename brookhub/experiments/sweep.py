"""Sweeps of experiments, which run each point of a grid and write its result as soon as it is available."""

from __future__ import annotations

import itertools
import json
import multiprocessing
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TextIO, TypedDict

import structlog

from ..config.models import Experiment
from ..emulator import Fleet, InvariantViolationError
from .jobs import Row, read_rows

RESULTS = "results.jsonl"
MAX_TRAIL = 40  # Maximum number of trail entries, the latest ones, kept when a rule is violated.


class Point(TypedDict):
    """A point of the grid with a seed.

    Attributes:
        key: Key of the point, which is the same in every run.
        seed: Seed of the run.
        params: Swept values by the path of their parameter.
    """

    key: str
    seed: int
    params: dict[str, Any]


def with_value(experiment: Experiment, path: str, value: Any) -> Experiment:
    """Return a validated copy of an experiment with one value changed.

    `path` is dotted, such as `fleet.servers.count`. Raises KeyError if the experiment does not contain it.
    """
    content = experiment.model_dump()
    names = [int(name) if name.isdigit() else name for name in path.split(".")]
    table: Any = content
    for name in names[:-1]:
        check_contains(table, name, path)
        table = table[name]
    check_contains(table, names[-1], path)
    table[names[-1]] = value
    return Experiment.model_validate(content)


def check_contains(table: Any, name: str | int, path: str) -> None:
    """Raise KeyError if a table of an experiment lacks a key, or an array lacks an index."""
    if isinstance(table, list):
        is_present = isinstance(name, int) and name < len(table)
    else:
        is_present = isinstance(table, dict) and name in table
    if not is_present:
        raise KeyError(f"sweep parameter {path}: no {name} in the experiment")


def points(experiment: Experiment) -> Iterator[Point]:
    """Yield each point of the grid with each seed."""
    axes = experiment.sweep.axes
    grid = itertools.product(*[[(axis.parameter, value) for value in axis.values] for axis in axes])
    for combination in grid:
        params = dict(combination)
        for seed in experiment.sweep.seeds:
            key = json.dumps({"params": params, "seed": seed}, sort_keys=True)
            yield {"key": key, "seed": seed, "params": params}


def run_point(experiment_json: str, point: Point) -> Row:
    """Run one point and return its row, with the metrics and encoded histogram or with the violated rule."""
    experiment = Experiment.model_validate_json(experiment_json)
    for path, value in point["params"].items():
        experiment = with_value(experiment, path, value)
    fleet = Fleet(experiment, seed=point["seed"], keep_trail=experiment.strict)
    row: Row = {"key": point["key"], "seed": point["seed"], "params": point["params"]}
    try:
        result = fleet.run()
    except InvariantViolationError as error:
        return row | {"broken_rule": error.rule, "why": error.text, "trail": error.trail[-MAX_TRAIL:]}
    return row | {"metrics": result.metrics(), "histogram": result.latency.encode().decode()}


def run_point_job(job: tuple[str, Point]) -> Row:
    """Run the point of a job in a worker process."""
    return run_point(*job)


def read_results(folder: Path) -> list[Row]:
    """Return all complete rows of a results folder."""
    return read_rows(folder / RESULTS)


def finished_keys(folder: Path) -> set[str]:
    """Return the keys of the rows in a results folder."""
    return {row["key"] for row in read_results(folder) if "key" in row}


def sweep(
    experiment: Experiment, folder: Path, processes: int | None = None, limit: int | None = None
) -> int:
    """Run the points that have no result in a folder yet, up to `limit`, and return how many were run."""
    log = structlog.get_logger("lab")
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / RESULTS
    finished = finished_keys(folder)
    missing = [point for point in points(experiment) if point["key"] not in finished][:limit]
    log.info("sweep", experiment=experiment.name, points=len(missing), already=len(finished))
    workers = processes or experiment.sweep.processes or os.cpu_count() or 1
    with open(path, "a") as sink:
        if sink.tell() and not path.read_bytes().endswith(b"\n"):
            # End an incomplete line. Otherwise the next row would be appended to it and lost.
            sink.write("\n")
        for row in run_points(experiment, missing, workers):
            append_row(sink, row)
            log_point(log, row)
    return len(missing)


def run_points(experiment: Experiment, missing: list[Point], workers: int) -> Iterator[Row]:
    """Yield the rows of points in the order in which they end, from `workers` worker processes."""
    text = experiment.model_dump_json()
    if workers == 1 or len(missing) <= 1:
        for point in missing:
            yield run_point(text, point)
        return
    context = multiprocessing.get_context("spawn")
    with context.Pool(min(workers, len(missing))) as pool:
        yield from pool.imap_unordered(run_point_job, [(text, point) for point in missing])


def append_row(sink: TextIO, row: Row) -> None:
    """Append a row to a results file and sync it to disk."""
    sink.write(json.dumps(row, sort_keys=True) + "\n")
    sink.flush()
    os.fsync(sink.fileno())


def log_point(log: Any, row: Row) -> None:
    """Log the main figures of a row."""
    metrics = row.get("metrics", {})
    log.info(
        "point",
        params=row["params"],
        seed=row["seed"],
        served=metrics.get("served_share"),
        broken=row.get("broken_rule"),
        wall_s=metrics.get("wall_s"),
    )
