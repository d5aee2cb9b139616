"""A discrete-event model of a whole fleet, in simulated time, round the real decision module.

`Fleet(spec).run()` plays one experiment; see docs/emulator.md for the design and its limits.
"""

from .fleet import Fleet
from .result import Result
from .rules import RuleBrokenError

__all__ = ["Fleet", "Result", "RuleBrokenError"]
