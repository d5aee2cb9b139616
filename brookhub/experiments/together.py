"""Measurements of the coordination between limiters, in the emulator.

They cover outlier detection, slow start, fairness while the fleet grows, and subsets of the servers. Each job
writes one row (JSON lines): {"key", "what", "way", "limiters", "seed", ...figures}. A run on a folder that
already has some of the rows adds the missing ones. The baseline, limiters that exchange no reports ("none"),
is measured in the same run. together_report makes the tables and the plot.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from .jobs import Job, Progress, Row, add_keys, no_progress, run_jobs
from .together_outliers import broken_links, faulty_server, random_errors
from .together_scaling import LARGE_FLEET, growing_fleet
from .together_slow_start import cold_servers
from .together_subsets import subsets

RESULTS = "together.jsonl"
# How limiters exchange reports about servers: not at all, through the counter, or by gossip.
TRANSPORTS = ("none", "counter", "peers")
ASSIGNMENTS = ("stretch", "matching")  # Algorithms that assign subsets of the servers.
SERVER_FAULTS = ("failing", "silent", "slow")
FAULTY_SERVER_FLEETS = ((40, 1.0), (200, 0.5), (200, 1.0))  # (limiters, load scale)
SUBSET_FLEETS = ((40, 60, 0.25), (200, 60, 0.5), (200, 100, 0.5))  # (limiters, servers, load scale)
COLD_FLEETS = (8, 40, 200)  # Limiters.
SLOWEST_MEASUREMENTS = ("cold", "grow")  # Their jobs take the most time, so they start first.

MEASUREMENTS: dict[str, Callable[[Job], Row]] = {  # By the "what" of a job.
    "bad": faulty_server,
    "errors": random_errors,
    "link": broken_links,
    "cold": cold_servers,
    "grow": growing_fleet,
    "parts": subsets,
}


def jobs(seeds: list[int]) -> list[Job]:
    """Return the jobs of all measurements for these seeds, those that take the most time first."""
    all_jobs: list[Job] = []
    for seed in seeds:
        for transport in TRANSPORTS:
            all_jobs += _outlier_jobs(transport, seed)
        for transport in ("none", "peers"):
            all_jobs += _capacity_jobs(transport, seed)
        all_jobs += _subset_jobs(seed)
    return sorted(add_keys(all_jobs), key=lambda job: job["what"] not in SLOWEST_MEASUREMENTS)


def _outlier_jobs(transport: str, seed: int) -> list[Job]:
    """Return the jobs with a faulty server, with random errors and with broken links."""
    outlier_jobs: list[Job] = [
        {"what": "bad", "kind": kind, "way": transport, "limiters": limiters, "scale": scale, "seed": seed}
        for kind in SERVER_FAULTS
        for limiters, scale in FAULTY_SERVER_FLEETS
    ]
    outlier_jobs.append({"what": "errors", "way": transport, "limiters": 200, "scale": 1.0, "seed": seed})
    outlier_jobs.append({"what": "link", "way": transport, "limiters": 40, "scale": 1.0, "seed": seed})
    return outlier_jobs


def _capacity_jobs(transport: str, seed: int) -> list[Job]:
    """Return the jobs with cold servers and with a growing fleet."""
    capacity_jobs: list[Job] = [
        {"what": "cold", "kind": kind, "way": transport, "limiters": limiters, "seed": seed}
        for limiters in COLD_FLEETS
        for kind in ("replace", "split")
    ]
    capacity_jobs.append({"what": "grow", "way": transport, "limiters": LARGE_FLEET, "seed": seed})
    return capacity_jobs


def _subset_jobs(seed: int) -> list[Job]:
    """Return the jobs that measure subsets, for each assignment algorithm."""
    return [
        {
            "what": "parts",
            "way": assignment,
            "limiters": limiters,
            "servers": servers,
            "scale": scale,
            "seed": seed,
        }
        for assignment in ASSIGNMENTS
        for limiters, servers, scale in SUBSET_FLEETS
    ]


def run_job(job: Job) -> Row:
    """Run a job and return its row."""
    return job | MEASUREMENTS[job["what"]](job)


def measure(
    folder: Path, seeds: list[int], processes: int | None = None, progress: Progress = no_progress
) -> list[Row]:
    """Run the jobs that have no row in the folder yet, and return all rows."""
    return run_jobs(folder / RESULTS, jobs(seeds), run_job, processes, progress)
