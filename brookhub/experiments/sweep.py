"""Runs the grid of an experiment's sweep and writes each point's result as it ends."""

from __future__ import annotations

import itertools
import json
import multiprocessing
import os
from pathlib import Path
from typing import Any, Iterator

import structlog

from ..config.models import Experiment
from ..emulator import Fleet, InvariantViolationError

RESULTS = "results.jsonl"


def with_value(experiment: Experiment, path: str, value: Any) -> Experiment:
    """A copy of `experiment` with one value changed, checked anew; `path` as in `fleet.servers.count`."""
    raw = experiment.model_dump()
    place: Any = raw
    names = [int(name) if name.isdigit() else name for name in path.split(".")]
    for depth, name in enumerate(names):
        found = (
            name < len(place)
            if isinstance(place, list) and isinstance(name, int)
            else isinstance(place, dict) and name in place
        )
        if not found:
            raise KeyError(f"sweep parameter {path}: no {name} in the experiment")
        if depth == len(names) - 1:
            place[name] = value
        else:
            place = place[name]
    return Experiment.model_validate(raw)


def points(experiment: Experiment) -> Iterator[dict]:
    """Each point of the grid, with each seed: {"key", "seed", "params"}; keys are stable across runs."""
    axes = experiment.sweep.axes
    grid = itertools.product(*[[(axis.parameter, value) for value in axis.values] for axis in axes])
    for combination in grid:
        params = dict(combination)
        for seed in experiment.sweep.seeds:
            key = json.dumps({"params": params, "seed": seed}, sort_keys=True)
            yield {"key": key, "seed": seed, "params": params}


def play(experiment_json: str, point: dict) -> dict:
    """One point, in a worker process: the Result's metrics and its encoded histogram, or the broken rule."""
    experiment = Experiment.model_validate_json(experiment_json)
    for path, value in point["params"].items():
        experiment = with_value(experiment, path, value)
    fleet = Fleet(experiment, seed=point["seed"], keep_trail=experiment.strict)
    row = {"key": point["key"], "seed": point["seed"], "params": point["params"]}
    try:
        result = fleet.run()
    except InvariantViolationError as violation:
        return row | {"broken_rule": violation.rule, "why": violation.text, "trail": violation.trail[-40:]}
    return row | {"metrics": result.metrics(), "histogram": result.latency.encode().decode()}


def done(out: Path) -> set[str]:
    """The keys already written.

    A torn last line (a sweep killed while writing) is ignored and played again.
    """
    keys = set()
    path = out / RESULTS
    if path.exists():
        for line in path.read_text().splitlines():
            try:
                keys.add(json.loads(line)["key"])
            except (ValueError, KeyError):
                continue
    return keys


def sweep(experiment: Experiment, out: Path, processes: int | None = None, limit: int | None = None) -> int:
    """Play every point not yet in `out`/results.jsonl; `limit`: at most so many this time.

    Returns points played.
    """
    log = structlog.get_logger("lab")
    out.mkdir(parents=True, exist_ok=True)
    finished = done(out)
    todo = [point for point in points(experiment) if point["key"] not in finished]
    if limit is not None:
        todo = todo[:limit]
    log.info("sweep", experiment=experiment.name, points=len(todo), already=len(finished))
    workers = processes or experiment.sweep.processes or os.cpu_count() or 1
    text = experiment.model_dump_json()
    played = 0
    with open(out / RESULTS, "a") as sink:
        if sink.tell() and not (out / RESULTS).read_bytes().endswith(b"\n"):
            sink.write("\n")  # a torn last line stays alone: the next row must not be glued to it and lost
        if workers == 1 or len(todo) <= 1:
            rows = (play(text, point) for point in todo)
            for row in rows:
                played += write(sink, row, log)
        else:
            context = multiprocessing.get_context("spawn")
            with context.Pool(min(workers, len(todo))) as pool:
                for row in pool.imap_unordered(_play, [(text, point) for point in todo]):
                    played += write(sink, row, log)
    return played


def _play(job: tuple[str, dict]) -> dict:
    return play(*job)


def write(sink, row: dict, log) -> int:
    """Append a row."""
    sink.write(json.dumps(row, sort_keys=True) + "\n")
    sink.flush()
    os.fsync(sink.fileno())
    metrics = row.get("metrics", {})
    log.info(
        "point",
        params=row["params"],
        seed=row["seed"],
        served=metrics.get("served_share"),
        broken=row.get("broken_rule"),
        wall_s=metrics.get("wall_s"),
    )
    return 1


def read(out: Path) -> list[dict]:
    """All complete rows of a results file."""
    rows = []
    for line in (out / RESULTS).read_text().splitlines():
        try:
            rows.append(json.loads(line))
        except ValueError:
            continue
    return rows
