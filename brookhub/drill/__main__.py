"""Deprecated entry point `python -m brookhub.drill`, which warns and runs `brookhub.simulator`."""

import sys

from ..simulator.__main__ import main

if __name__ == "__main__":
    print("brookhub.drill: deprecated, use `python -m brookhub.simulator`", file=sys.stderr)
    sys.exit(main())
