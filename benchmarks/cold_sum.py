"""What a whole fleet sends to its cold servers, as a distribution over seeds, in the emulator or by real processes.

    python benchmarks/cold_sum.py [--processes] [SEEDS] [LIMITERS ...]

Six in ten servers are replaced at once under a burst, and a zone is lost that returns cold while half of the limiters
hear nothing of the other half; each limiter hears of a start after a delay of its own, up to `LATEST`. One JSON line
a size and fault: quantiles over all cold servers of all seeds of the most that was sent in any window, as a share of
N (what makes a server fall) and of N + 2 x root of N + 2. With --processes the limiters are processes of the program
on loopback, under a third of the load on half of the places: what one machine carries.
"""

import json
import random
import sys
import tempfile
from pathlib import Path
from statistics import quantiles

from brookhub.config import Experiment
from brookhub.emulator import Fleet
from brookhub.emulator.world import ServerModel
from brookhub.experiments.processes import ProcessFleet

LATEST = 0.9  # s after which the last limiter hears of a start
FAULTS = {
    "replaced": [{"at_s": 5.0, "action": "replace_servers", "share": 0.6, "for_s": 1.0}],
    "zone back": [{"at_s": 5.0, "action": "zone_lost", "zone": 0, "for_s": 2.0}],
}


def experiment(limiters: int, fault: str, places: int = 4, scale: float = 1.0) -> Experiment:
    """Twelve servers of so many places, each third of them in a zone, under `scale` times 450 requests a second."""
    routes = [
        {"name": "read", "target_s": 0.5, "client_timeout_s": 2.0, "share": 8},
        {"name": "write", "target_s": 1.0, "client_timeout_s": 3.0, "repeat": "non_idempotent", "share": 2},
    ]
    plans = [{"name": "hard", "rate": 20.0, "burst": 40.0, "customers": 30, "calls_per_s": 15.0}]
    return Experiment.model_validate(
        {
            "name": "cold-sum",
            "duration_s": 18.0,
            "fleet": {
                "limiters": limiters,
                "zones": 3,
                "routes": routes,
                "plans": plans,
                "list_delay_s": 0.05,
                "servers": {
                    "count": 12,
                    "places": places,
                    "service_s": 0.1,
                    "cold_from": 0.25,
                    "warm_after_s": 10.0,
                },
            },
            "load": {
                "scale": scale,
                "shape": "bursty",
                "burst_factor": 1.5,
                "burst_every_s": 6.0,
                "burst_for_s": 3.0,
            },
            "faults": FAULTS[fault],
        }
    )


def play(limiters: int, fault: str, seed: int) -> Fleet:
    """One run in which each limiter hears of changes after a delay of its own."""
    fleet = Fleet(experiment(limiters, fault), seed=seed, keep_trail=False)
    delays = random.Random(seed)

    def changed(models) -> None:
        entries = [model.entry() for model in models]
        for seat in fleet.seats:
            seat.later(delays.uniform(0.05, LATEST), lambda seat=seat: seat.servers(entries, whole=False))

    fleet.discovery.changed = changed
    fleet.run()
    return fleet


def play_processes(limiters: int, fault: str, seed: int) -> list[ServerModel]:
    """One run on real processes; the servers' models."""
    with tempfile.TemporaryDirectory() as folder:
        spec = experiment(limiters, fault, places=2, scale=1 / 3)
        with ProcessFleet(spec, Path(folder), seed) as lab:
            lab.play()
            return [server.model for server in lab.servers.values()]


def play_emulated(limiters: int, fault: str, seed: int) -> list[ServerModel]:
    """One run in the emulator; the servers' models."""
    return list(play(limiters, fault, seed).servers.models.values())


def spread(shares: list[float]) -> dict[str, float]:
    """Quantiles of the shares."""
    cuts = quantiles(shares, n=100, method="inclusive")
    return {
        "median": round(cuts[49], 3),
        "p90": round(cuts[89], 3),
        "p99": round(cuts[98], 3),
        "most": round(max(shares), 3),
    }


def main() -> None:
    """A line of JSON for each size and fault."""
    words = [word for word in sys.argv[1:] if word != "--processes"]
    play_one = play_processes if "--processes" in sys.argv else play_emulated
    seeds = int(words[0]) if words else 20
    sizes = [int(size) for size in words[1:]] or [20, 25, 30]
    for limiters in sizes:
        for fault in FAULTS:
            runs = [play_one(limiters, fault, seed) for seed in range(1, seeds + 1)]
            cold = [model for models in runs for model in models if model.push]
            row = {
                "limiters": limiters,
                "fault": fault,
                "seeds": seeds,
                "cold_servers": len(cold),
                "falls": sum(model.falls for model in cold),
                "of_n": spread([model.push for model in cold]),
                "of_n_and_chance": spread([model.push_beside_chance for model in cold]),
            }
            print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
