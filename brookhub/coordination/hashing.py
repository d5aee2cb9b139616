"""Keyed hash (xxh3 of xxhash) for rendezvous hashing, with the same results on every machine.

Limiters agree without messages because they hash the same values. The hashed values must therefore not change
between versions that run in one fleet (tests/golden/choices.json).
"""

from __future__ import annotations

import xxhash

HASH_RANGE = 2.0**64


def uniform_hash(key: int, *values: object) -> float:
    """Return a uniform number in (0, 1) for `key` and the texts of the values, in their order."""
    text = "/".join(map(str, values))
    return (xxhash.xxh3_64_intdigest(text, seed=key) + 0.5) / HASH_RANGE


def stratified_hashes(key: int, count: int, *values: object) -> list[float]:
    """Return `count` numbers in (0, 1), one in each of `count` equal intervals, shuffled by the values."""
    hashes = [uniform_hash(key, *values, index) for index in range(count)]
    shuffled = sorted(range(count), key=hashes.__getitem__)
    numbers = [0.0] * count
    for interval, index in enumerate(shuffled):
        offset = uniform_hash(key, "within", *values, index)
        numbers[index] = (interval + offset) / count
    return numbers
