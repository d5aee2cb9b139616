"""Comparison of an experiment in the emulator with the same one on processes, by the shares of answers."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ..config.models import Experiment
from ..emulator import Fleet
from .jobs import Progress, Row, no_progress
from .processes import ProcessFleet

SHARES = ("served_share", "rate_limited_share")
MAX_DIFFERENCE = 0.05  # Maximum difference between two shares, as a share of all requests.


def compare(
    experiment: Experiment, folder: Path, seeds: list[int], progress: Progress = no_progress
) -> list[Row]:
    """Run an experiment in the emulator and on processes with each seed, and return a row per seed.

    Keys of a row: "seed"; "emulator" and "processes", the metrics; "apart", the differences of the shares;
    "within", whether all differences are within MAX_DIFFERENCE.
    """

    def progress_of(number: int) -> Callable[[float], None]:
        return lambda done: progress((number + done) / len(seeds))

    rows = []
    for number, seed in enumerate(seeds):
        emulated = Fleet(experiment, seed=seed, keep_trail=False).run().metrics()
        with ProcessFleet(experiment, folder / f"seed-{seed}", seed) as fleet:
            measured = fleet.run(progress_of(number)).metrics()
        differences = {share: measured[share] - emulated[share] for share in SHARES}
        rows.append(
            {
                "seed": seed,
                "emulator": emulated,
                "processes": measured,
                "apart": differences,
                "within": all(abs(difference) <= MAX_DIFFERENCE for difference in differences.values()),
            }
        )
    return rows
