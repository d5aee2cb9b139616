"""Runs jobs in worker processes and keeps a JSON line for each, so that a folder can be resumed."""

from __future__ import annotations

import json
import multiprocessing
import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

Job = dict[str, Any]  # the parameters of a run, by name; JSON
Row = dict[str, Any]  # a job with the figures of its run, by name; JSON
Progress = Callable[[float], None]  # takes the share that is done, 0 to 1


def no_progress(done: float) -> None:
    """Ignore the progress."""


def keyed(jobs: list[Job]) -> list[Job]:
    """Add to each job its `key`, which its parameters make; returns the same list."""
    for job in jobs:
        job["key"] = json.dumps(job, sort_keys=True)
    return jobs


def read_rows(path: Path) -> list[Row]:
    """The rows of a file of JSON lines; a torn line, as of a run that was killed, is skipped."""
    rows = []
    if path.exists():
        for line in path.read_text().splitlines():
            with suppress(ValueError):
                rows.append(json.loads(line))
    return rows


def play_all(
    path: Path,
    jobs: list[Job],
    play: Callable[[Job], Row],
    processes: int | None = None,
    progress: Progress = no_progress,
) -> list[Row]:
    """The rows in `path`, with those of jobs that are not in it yet, which run now.

    `play` has to be a function of a module: worker processes call it.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    rows = read_rows(path)
    present = {row["key"] for row in rows}
    missing = [job for job in jobs if job["key"] not in present]
    context = multiprocessing.get_context("spawn")
    with open(path, "a") as sink, context.Pool(processes or os.cpu_count()) as pool:
        if missing:
            sink.write("\n")  # ends a torn line
        for number, row in enumerate(pool.imap_unordered(play, missing), 1):
            rows.append(row)
            sink.write(json.dumps(row, sort_keys=True) + "\n")
            sink.flush()
            progress(number / len(missing))
    return rows
