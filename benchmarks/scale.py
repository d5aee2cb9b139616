"""Benchmark of the emulator's speed against the fleet's size: events per second with N limiters, 500 servers.

    python benchmarks/scale.py [SIMULATED_SECONDS] [N ...]

The emulator runs on one core. The program prints one JSON line per size. The total load is that of
experiments/limiters.toml for all sizes. Nothing is checked.
"""

from __future__ import annotations

import argparse
import json
from pathlib import Path

from brookhub.config import Experiment, load
from brookhub.emulator import Fleet
from brookhub.experiments.sweep import with_value

ROOT = Path(__file__).resolve().parent.parent
SERVERS = 500


def measure(base: Experiment, limiters: int) -> dict[str, object]:
    """Run a fleet of this many limiters and return the row of figures."""
    result = Fleet(with_value(base, "fleet.limiters", limiters), keep_trail=False).run()
    metrics = result.metrics()
    return {
        "limiters": limiters,
        "servers": SERVERS,
        "simulated_s": base.duration_s,
        "wall_s": metrics["wall_s"],
        "events": metrics["events"],
        "events_per_s": metrics["events_per_s"],
        "calls": metrics["calls"],
        "served_share": round(result.served_share(), 4),
    }


def main() -> None:
    """Print a line of JSON for each fleet size."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("seconds", nargs="?", type=float, default=60.0)
    parser.add_argument("limiters", nargs="*", type=int)
    arguments = parser.parse_args()
    base = load(ROOT / "experiments" / "limiters.toml", Experiment)
    base = with_value(base, "duration_s", arguments.seconds)
    base = with_value(base, "fleet.servers.count", SERVERS)
    for limiters in arguments.limiters or [10, 100, 1000]:
        print(json.dumps(measure(base, limiters)), flush=True)


if __name__ == "__main__":
    main()
