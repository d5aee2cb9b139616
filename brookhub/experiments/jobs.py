"""Plays jobs in worker processes and keeps a JSON line for each.

A folder half played goes on where it was.
"""

from __future__ import annotations

import json
import multiprocessing
import os
from contextlib import suppress
from pathlib import Path
from typing import Callable


def keyed(jobs: list[dict]) -> list[dict]:
    """Each job with a `key` of its own, by what it says."""
    for job in jobs:
        job["key"] = json.dumps(job, sort_keys=True)
    return jobs


def play_all(
    path: Path,
    jobs: list[dict],
    play: Callable[[dict], dict],
    processes: int | None = None,
    progress: Callable[[float], None] = lambda done: None,
) -> list[dict]:
    """The rows of the jobs in `path` and of those not in it yet, which are played now.

    `play`: a module's function, as worker processes call it.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    rows = []
    for line in path.read_text().splitlines() if path.exists() else ():
        with suppress(ValueError):  # a torn last line: played again
            rows.append(json.loads(line))
    have = {row["key"] for row in rows}
    todo = [job for job in jobs if job["key"] not in have]
    with (
        open(path, "a") as sink,
        multiprocessing.get_context("spawn").Pool(processes or os.cpu_count()) as pool,
    ):
        for number, row in enumerate(pool.imap_unordered(play, todo)):
            rows.append(row)
            sink.write("\n" * (not number) + json.dumps(row, sort_keys=True) + "\n")
            sink.flush()
            progress((number + 1) / len(todo))
    return rows
