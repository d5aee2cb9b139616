"""A discrete-event model of a whole fleet, in simulated time, round the real decision module.

`Fleet(experiment).run()` plays one experiment; see docs/emulator.md for the design and its limits.
"""

from .fleet import Fleet
from .invariants import InvariantViolationError
from .result import Result

__all__ = ["Fleet", "InvariantViolationError", "Result"]
