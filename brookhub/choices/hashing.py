"""The one keyed hash of all choices: xxh3 (xxhash), uniform over 64 bits, the same on every machine."""

from __future__ import annotations

import xxhash

TOP = 2.0 ** 64


def score(key: int, *words: object) -> float:
    """Uniform in (0, 1) for these words under `key`; the order of the words matters."""
    return (xxhash.xxh3_64_intdigest("/".join(map(str, words)), seed=key) + 0.5) / TOP
