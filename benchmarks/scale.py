"""How the emulator's cost grows with the fleet: events per second at N limiters x 500 servers, one core.

    python benchmarks/scale.py [SIMULATED_SECONDS] [N ...]

Not a test: it prints one JSON line per size. The offered load is the limiters experiment's, fixed in total.
"""

import json
import sys
from pathlib import Path

from brookhub.config import Experiment, load
from brookhub.experiments.sweep import with_value

ROOT = Path(__file__).resolve().parent.parent


def main() -> None:
    """A line for each size of fleet."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 60.0
    sizes = [int(n) for n in sys.argv[2:]] or [10, 100, 1000]
    from brookhub.emulator import Fleet

    base = with_value(load(ROOT / "experiments" / "limiters.toml", Experiment), "duration_s", seconds)
    base = with_value(base, "fleet.servers.count", 500)
    for size in sizes:
        result = Fleet(with_value(base, "fleet.limiters", size), keep_trail=False).run()
        metrics = result.metrics()
        print(
            json.dumps(
                {
                    "limiters": size,
                    "servers": 500,
                    "simulated_s": seconds,
                    "wall_s": metrics["wall_s"],
                    "events": metrics["events"],
                    "events_per_s": metrics["events_per_s"],
                    "calls": metrics["calls"],
                    "served_share": round(metrics["served_share"], 4),
                }
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
