"""Jobs that run in worker processes. Each writes a JSON line, so that an interrupted run can be resumed."""

from __future__ import annotations

import json
import multiprocessing
import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

Job = dict[str, Any]  # Parameters of a run by name, as JSON values.
Row = dict[str, Any]  # Parameters and figures of a run by name, as JSON values.
Progress = Callable[[float], None]  # Takes the share of the work that is done, 0 to 1.


def no_progress(done: float) -> None:
    """Do nothing. The default for callers that do not show the progress."""


def add_keys(jobs: list[Job]) -> list[Job]:
    """Add to each job its `key`, which is derived from its parameters, and return the same list."""
    for job in jobs:
        job["key"] = json.dumps(job, sort_keys=True)
    return jobs


def read_rows(path: Path) -> list[Row]:
    """Return the rows of a file of JSON lines.

    Skips an incomplete line, which a killed run may leave.
    """
    rows = []
    if path.exists():
        for line in path.read_text().splitlines():
            with suppress(ValueError):
                rows.append(json.loads(line))
    return rows


def run_jobs(
    path: Path,
    jobs: list[Job],
    run: Callable[[Job], Row],
    processes: int | None = None,
    progress: Progress = no_progress,
) -> list[Row]:
    """Run the jobs that have no row in `path` yet, and return all rows, including the earlier ones.

    `run` must be a function at the top level of a module because worker processes call it.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    rows = read_rows(path)
    present = {row["key"] for row in rows}
    missing = [job for job in jobs if job["key"] not in present]
    context = multiprocessing.get_context("spawn")
    with open(path, "a") as sink, context.Pool(processes or os.cpu_count()) as pool:
        if missing:
            sink.write("\n")  # Ends a line that a killed run may have left incomplete.
        for number, row in enumerate(pool.imap_unordered(run, missing), 1):
            rows.append(row)
            sink.write(json.dumps(row, sort_keys=True) + "\n")
            sink.flush()
            progress(number / len(missing))
    return rows
