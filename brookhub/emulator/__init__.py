"""Discrete-event emulator of a whole fleet that runs the real policy in simulated time.

`Fleet(experiment).run()` runs one experiment. docs/emulator.md describes the design and its limits.
"""

from .fleet import Fleet
from .invariants import InvariantViolationError
from .result import Result

__all__ = ["Fleet", "InvariantViolationError", "Result"]
