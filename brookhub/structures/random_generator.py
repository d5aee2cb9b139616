"""A small seeded random number generator whose sequence is the same in every Python version."""

from __future__ import annotations

MULTIPLIER = 6364136223846793005  # From the generator in Knuth's MMIX.
INCREMENT = 1442695040888963407
MODULUS = 1 << 64
LOW_BITS = 33  # Number of low bits to discard: in a linear congruential generator their periods are short.
HIGHEST = 1 << 31  # Exclusive upper bound of the number that the kept bits form.


class RandomGenerator:
    """A 64-bit linear congruential generator that returns its high bits. Not for cryptographic use."""

    __slots__ = ("state",)

    def __init__(self, seed: int) -> None:
        self.state = seed

    def uniform(self) -> float:
        """Return the next number, uniformly distributed from 0 (inclusive) to 1 (exclusive)."""
        self.state = (self.state * MULTIPLIER + INCREMENT) % MODULUS
        return (self.state >> LOW_BITS) / HIGHEST
