"""How words of signals.py travel: by membership's datagrams, or by named windows at the counter.

Both without I/O. `pack` and `unpack` are the datagram's data (msgpack by msgspec, checked).
"""

from __future__ import annotations

from typing import Annotated, Callable

import msgspec
import xxhash

from ..interface import Outcome
from .signals import FADE, SICK, STILL_SICK, WELL, Signals

TOPIC = 1  # of signals among membership's words
MOST_WORDS = 60  # in a datagram: below membership.WORD_MOST with the longest ids
ASKS = 2.0  # counter calls a second that one limiter's words may cost at most: the quotas' own come first
LATE = 0.25  # s from which the counter's answer counts as late: no words by it until QUIET s later
QUIET = 5.0  # s without words after a late answer or none
SPARE = 1 << 62  # added to the names of windows: no customer's count has such a name


class UnusableError(ValueError):
    """A datagram's data that is no list of words."""


Word = tuple[
    Annotated[int, msgspec.Meta(ge=0, le=2**62)], Annotated[int, msgspec.Meta(ge=SICK, le=STILL_SICK)]
]
_decoder = msgspec.msgpack.Decoder(Annotated[list[Word], msgspec.Meta(max_length=MOST_WORDS)])


def pack(words: list[tuple[int, int]]) -> list[bytes]:
    """The words as data of one datagram or more."""
    return [msgspec.msgpack.encode(words[at : at + MOST_WORDS]) for at in range(0, len(words), MOST_WORDS)]


def unpack(data: bytes) -> list[tuple[int, int]]:
    """The words of a datagram; raises UnusableError."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as bad:
        raise UnusableError(str(bad)) from None


class ByPeers:
    """Words to all members that are present.

    `clock` has `now`, `calendar` and `later`; `membership` has `say`.
    """

    def __init__(self, clock, membership):
        self.clock, self.membership = clock, membership

    @property
    def now(self) -> float:
        return self.clock.now

    @property
    def calendar(self) -> float:
        return self.clock.calendar

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        self.clock.later(seconds, callback)

    def say(self, words: list[tuple[int, int]]) -> None:
        for data in pack(words):
            self.membership.say(TOPIC, data)


class ByCounter:
    """Words as counts of witnesses in windows of FADE s.

    Who was failed adds one and hears how many there are by now; who was not asks nothing, and learns nothing.
    `port`: interface.Port, whose `count` is used at most ASKS times a second and not for QUIET s after a late
    answer; `key`: the fleet's, the same at all.
    """

    def __init__(self, port, key: int):
        self.port, self.key, self.signals = port, key, None
        self.allowed, self.at, self.quiet_until, self.asked = ASKS, port.now, 0.0, 0

    @property
    def now(self) -> float:
        return self.port.now

    calendar = now  # no turns between those that hear nothing of each other: each tries by itself

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        self.port.later(seconds, callback)

    def serve(self, signals: Signals) -> None:
        self.signals = signals

    def name(self, server: int) -> int:
        window = int(self.port.now / FADE)
        return SPARE + xxhash.xxh3_64_intdigest(f"{server}/{window}", seed=self.key) % SPARE

    def say(self, words: list[tuple[int, int]]) -> None:
        now = self.port.now
        self.allowed, self.at = min(ASKS, self.allowed + ASKS * (now - self.at)), now
        for server, what in words:
            if what == WELL or now < self.quiet_until or self.allowed < 1:
                continue
            self.allowed -= 1
            self.asked += 1
            self.port.count(
                self.name(server),
                1.0,
                2 * FADE,
                lambda outcome, total, took, server=server: self.told(server, outcome, total, took),
            )

    def told(self, server: int, outcome: Outcome, total: float, took: float) -> None:
        if outcome is not Outcome.OK or took >= LATE:
            self.quiet_until = self.port.now + QUIET
        elif outcome is Outcome.OK:
            self.signals.attested(server, int(total))
