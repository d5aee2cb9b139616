"""A small seeded generator: the same seed gives the same numbers on every version of the language."""

from __future__ import annotations

MULTIPLIER = 6364136223846793005  # of Knuth's MMIX
INCREMENT = 1442695040888963407
MODULUS = 1 << 64
LOW_BITS = 33  # dropped: the low bits of a linear congruential generator repeat soon
HIGHEST = 1 << 31  # the high bits that are kept give numbers below this


class RandomGenerator:
    """A linear congruential generator of 64 bits, of which the high ones are used. Not for secrets."""

    __slots__ = ("state",)

    def __init__(self, seed: int) -> None:
        self.state = seed

    def uniform(self) -> float:
        """The next number, evenly from 0 (inclusive) to 1 (exclusive)."""
        self.state = (self.state * MULTIPLIER + INCREMENT) % MODULUS
        return (self.state >> LOW_BITS) / HIGHEST
