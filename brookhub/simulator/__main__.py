"""Entry point of `python -m brookhub.simulator`: serves gateways to the operators' simulator."""

import sys

from .frames import WireError
from .host import Host


def main() -> int:
    """Answer the simulator's batches until the input ends; return the exit code."""
    try:
        Host(sys.stdin.buffer, sys.stdout.buffer).run()
    except WireError as error:
        print(f"brookhub.simulator: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
