"""Runs the grid of an experiment's sweep and writes each point's result as it ends."""

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
MAX_TRAIL = 40  # last entries of a broken rule's trail that are kept


class Point(TypedDict):
    """A point of the grid with a seed; `params` has the swept values by path, `key` is stable across runs."""

    key: str
    seed: int
    params: dict[str, Any]


def with_value(experiment: Experiment, path: str, value: Any) -> Experiment:
    """A copy of an experiment with one value changed, validated anew; `path` as in `fleet.servers.count`.

    Raises KeyError for a path that is not in the experiment.
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
    """Raise KeyError if a table (or array) of an experiment has no such key (or index)."""
    if isinstance(table, list):
        is_there = isinstance(name, int) and name < len(table)
    else:
        is_there = isinstance(table, dict) and name in table
    if not is_there:
        raise KeyError(f"sweep parameter {path}: no {name} in the experiment")


def points(experiment: Experiment) -> Iterator[Point]:
    """Each point of the grid, with each seed."""
    axes = experiment.sweep.axes
    grid = itertools.product(*[[(axis.parameter, value) for value in axis.values] for axis in axes])
    for combination in grid:
        params = dict(combination)
        for seed in experiment.sweep.seeds:
            key = json.dumps({"params": params, "seed": seed}, sort_keys=True)
            yield {"key": key, "seed": seed, "params": params}


def play(experiment_json: str, point: Point) -> Row:
    """Run one point: the result's metrics and its encoded histogram, or the broken rule."""
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


def play_job(job: tuple[str, Point]) -> Row:
    """Run one point, in a worker process."""
    return play(*job)


def read(folder: Path) -> list[Row]:
    """All complete rows of a results folder."""
    return read_rows(folder / RESULTS)


def done(folder: Path) -> set[str]:
    """The keys of the rows in a results folder."""
    return {row["key"] for row in read(folder) if "key" in row}


def sweep(
    experiment: Experiment, folder: Path, processes: int | None = None, limit: int | None = None
) -> int:
    """Run every point that is not yet in the results folder, at most `limit`; returns how many ran."""
    log = structlog.get_logger("lab")
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / RESULTS
    finished = done(folder)
    missing = [point for point in points(experiment) if point["key"] not in finished][:limit]
    log.info("sweep", experiment=experiment.name, points=len(missing), already=len(finished))
    workers = processes or experiment.sweep.processes or os.cpu_count() or 1
    with open(path, "a") as sink:
        if sink.tell() and not path.read_bytes().endswith(b"\n"):
            sink.write("\n")  # ends a torn line, or the next row would be lost with it
        for row in run_points(experiment, missing, workers):
            write(sink, row)
            log_point(log, row)
    return len(missing)


def run_points(experiment: Experiment, missing: list[Point], workers: int) -> Iterator[Row]:
    """The rows of points as they end, from so many worker processes."""
    text = experiment.model_dump_json()
    if workers == 1 or len(missing) <= 1:
        for point in missing:
            yield play(text, point)
        return
    context = multiprocessing.get_context("spawn")
    with context.Pool(min(workers, len(missing))) as pool:
        yield from pool.imap_unordered(play_job, [(text, point) for point in missing])


def write(sink: TextIO, row: Row) -> None:
    """Append a row and have it on disk."""
    sink.write(json.dumps(row, sort_keys=True) + "\n")
    sink.flush()
    os.fsync(sink.fileno())


def log_point(log: Any, row: Row) -> None:
    """Log a row's main figures."""
    metrics = row.get("metrics", {})
    log.info(
        "point",
        params=row["params"],
        seed=row["seed"],
        served=metrics.get("served_share"),
        broken=row.get("broken_rule"),
        wall_s=metrics.get("wall_s"),
    )
