"""Benchmark of the load that a whole fleet sends to its cold servers, as a distribution over seeds.

    python benchmarks/cold_sum.py [--processes] [SEEDS] [LIMITERS ...]

There are two faults: 60 % of the servers are replaced at once during a burst, or a zone is lost and returns
cold. Each limiter learns of a server's start after a random delay of up to MAX_LIST_DELAY. The program prints
a JSON line for each fleet size and fault, with quantiles over all cold servers of all seeds. The figure of a
server is the maximum number of requests that it was sent in any window, as a share of N (the number that
makes a server collapse) and as a share of N + 2 x square root of N + 2. The limiters are emulated. With
--processes they are gateway processes on loopback, with a third of the load and half the concurrency of
servers, which is what one machine can carry.
"""

from __future__ import annotations

import argparse
import json
import random
import tempfile
from collections.abc import Iterable
from functools import partial
from pathlib import Path
from statistics import quantiles

from brookhub.config import Experiment
from brookhub.emulator import Fleet
from brookhub.emulator.server_model import ServerModel
from brookhub.experiments.processes import ProcessFleet

# Range of the seconds after which a limiter learns of a server's start.
MIN_LIST_DELAY, MAX_LIST_DELAY = 0.05, 0.9
FAULTS = {
    "replaced": [{"at_s": 5.0, "action": "replace_servers", "share": 0.6, "for_s": 1.0}],
    "zone back": [{"at_s": 5.0, "action": "zone_lost", "zone": 0, "for_s": 2.0}],
}
ROUTES = [
    {"name": "read", "target_s": 0.5, "client_timeout_s": 2.0, "share": 8},
    {"name": "write", "target_s": 1.0, "client_timeout_s": 3.0, "repeat": "non_idempotent", "share": 2},
]
PLANS = [{"name": "hard", "rate": 20.0, "burst": 40.0, "customers": 30, "calls_per_s": 15.0}]


def experiment(limiters: int, fault: str, concurrency: int = 4, scale: float = 1.0) -> Experiment:
    """Return an experiment with twelve servers in three zones, under `scale` times 450 requests/s."""
    servers = {
        "count": 12,
        "places": concurrency,
        "service_s": 0.1,
        "cold_from": 0.25,
        "warm_after_s": 10.0,
    }
    fleet = {
        "limiters": limiters,
        "zones": 3,
        "routes": ROUTES,
        "plans": PLANS,
        "list_delay_s": 0.05,
        "servers": servers,
    }
    load = {"scale": scale, "shape": "bursty", "burst_factor": 1.5, "burst_every_s": 6.0, "burst_for_s": 3.0}
    return Experiment.model_validate(
        {"name": "cold-sum", "duration_s": 18.0, "fleet": fleet, "load": load, "faults": FAULTS[fault]}
    )


def run_emulated(limiters: int, fault: str, seed: int) -> list[ServerModel]:
    """Run a fault in the emulator and return the servers.

    Each limiter learns of changes of the server list after a random delay of its own.
    """
    fleet = Fleet(experiment(limiters, fault), seed=seed, keep_trail=False)
    rng = random.Random(seed)

    def publish(models: Iterable[ServerModel]) -> None:
        entries = [model.registry_entry() for model in models]
        for limiter in fleet.limiters:
            delay = rng.uniform(MIN_LIST_DELAY, MAX_LIST_DELAY)
            limiter.call_later(delay, partial(limiter.on_server_list, entries, False))

    # The emulator has one delay for all limiters.
    fleet.discovery.publish = publish  # type: ignore[method-assign]
    fleet.run()
    return list(fleet.servers.models.values())


def run_on_processes(limiters: int, fault: str, seed: int) -> list[ServerModel]:
    """Run a fault on gateway processes and return the servers."""
    with tempfile.TemporaryDirectory() as folder:
        process_experiment = experiment(limiters, fault, concurrency=2, scale=1 / 3)
        with ProcessFleet(process_experiment, Path(folder), seed) as fleet:
            fleet.run()
            return [server.model for server in fleet.servers.values()]


def quantile_figures(shares: list[float]) -> dict[str, float]:
    """Return the median, the 90th and 99th percentile and the maximum of the shares."""
    percentiles = quantiles(shares, n=100, method="inclusive")
    return {
        "median": round(percentiles[49], 3),
        "p90": round(percentiles[89], 3),
        "p99": round(percentiles[98], 3),
        "most": round(max(shares), 3),
    }


def measure(limiters: int, fault: str, seeds: int, on_processes: bool) -> dict[str, object]:
    """Run a fleet size and a fault with each seed, and return the row of figures."""
    run = run_on_processes if on_processes else run_emulated
    servers_by_run = [run(limiters, fault, seed) for seed in range(1, seeds + 1)]
    cold_servers = [server for servers in servers_by_run for server in servers if server.peak_overload]
    return {
        "limiters": limiters,
        "fault": fault,
        "seeds": seeds,
        "cold_servers": len(cold_servers),
        "falls": sum(server.collapses for server in cold_servers),
        "of_n": quantile_figures([server.peak_overload for server in cold_servers]),
        "of_n_and_chance": quantile_figures([server.peak_overload_with_variation for server in cold_servers]),
    }


def main() -> None:
    """Print a line of JSON for each fleet size and fault."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--processes", action="store_true")
    parser.add_argument("seeds", nargs="?", type=int, default=20)
    parser.add_argument("limiters", nargs="*", type=int)
    arguments = parser.parse_args()
    for limiters in arguments.limiters or [20, 25, 30]:
        for fault in FAULTS:
            row = measure(limiters, fault, arguments.seeds, arguments.processes)
            print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
