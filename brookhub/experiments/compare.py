"""One experiment played both ways, in the emulator and on processes, and how far the shares are apart."""

from __future__ import annotations

from pathlib import Path
from typing import Callable

from ..config.models import Experiment
from ..emulator import Fleet
from .processes import ProcessFleet

SHARES = ("served_share", "rate_limited_share")
ALLOWED = 0.05  # of all calls: the most that a share may differ


def compare(
    experiment: Experiment,
    folder: Path,
    seeds: list[int],
    progress: Callable[[float], None] = lambda done: None,
) -> list[dict]:
    """A row a seed: {"seed", "emulator", "processes" (metrics), "apart" (share -> difference), "within"}."""
    rows = []
    for number, seed in enumerate(seeds):
        emulated = Fleet(experiment, seed=seed, keep_trail=False).run().metrics()
        with ProcessFleet(experiment, folder / f"seed-{seed}", seed) as lab:
            played = lab.play(lambda done, number=number: progress((number + done) / len(seeds))).metrics()
        apart = {share: played[share] - emulated[share] for share in SHARES}
        rows.append(
            {
                "seed": seed,
                "emulator": emulated,
                "processes": played,
                "apart": apart,
                "within": all(abs(value) <= ALLOWED for value in apart.values()),
            }
        )
    return rows
