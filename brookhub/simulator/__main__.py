"""`python -m brookhub.simulator`: the decisions on the wire of the operators' simulator."""

import sys

from .frames import WireError
from .host import Host


def main() -> int:
    """Play the decisions on the simulator's wire until it ends; the exit code."""
    try:
        Host(sys.stdin.buffer, sys.stdout.buffer).run()
    except WireError as error:
        print(f"brookhub.simulator: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
