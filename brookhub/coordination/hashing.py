"""The one keyed hash of all choices: xxh3 (xxhash), uniform over 64 bits, the same on every machine."""

from __future__ import annotations

import xxhash

TOP = 2.0**64


def score(key: int, *words: object) -> float:
    """Uniform in (0, 1) for these words under `key`; the order of the words matters."""
    return (xxhash.xxh3_64_intdigest("/".join(map(str, words)), seed=key) + 0.5) / TOP


def deal(key: int, many: int, *words: object) -> list[float]:
    """`many` numbers in (0, 1), one in each `many`th part, shuffled by these words under `key`."""
    hashes = [score(key, *words, number) for number in range(many)]
    places = sorted(range(many), key=hashes.__getitem__)
    dealt = [0.0] * many
    for place, number in enumerate(places):
        dealt[number] = (place + score(key, "within", *words, number)) / many
    return dealt
