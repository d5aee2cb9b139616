"""Generic data structures that work on times in seconds and numbers, without I/O or tuned values."""

from .adaptive_rate import AdaptiveRate, RateLimits
from .decaying_mean import DecayingMean
from .decaying_sum import DecayingSum
from .random_generator import RandomGenerator
from .rising_minimum import RisingMinimum
from .success_window import SuccessWindow
from .token_bucket import TokenBucket

__all__ = [
    "AdaptiveRate",
    "DecayingMean",
    "DecayingSum",
    "RandomGenerator",
    "RateLimits",
    "RisingMinimum",
    "SuccessWindow",
    "TokenBucket",
]
