"""`python -m brookhub.drill`: the former name of `python -m brookhub.simulator`, with a warning."""

import sys

from ..simulator.__main__ import main

if __name__ == "__main__":
    print("brookhub.drill: deprecated, use `python -m brookhub.simulator`", file=sys.stderr)
    sys.exit(main())
