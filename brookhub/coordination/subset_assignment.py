"""One limiter's subset of the servers, by the fleet's matching in each zone.

Each zone has a matching of its own, so that all limiters have the same number of servers near them: with one
matching for all zones, limiters with few servers in their own zone sent too much to these (4.3 times the mean
at one server, 40 limiters; 2.9 by consecutive servers of the sorted list).

Limiters are numbered by their names among all that the operator lists, so that a name keeps its number while
others come and go. The matching is of those that are present: all limiters that see the same members compute
the same one without messages. The two sides of a network partition match apart: a server then gets its share
of each side, and each limiter's load is spread as before.
"""

from __future__ import annotations

from itertools import zip_longest
from math import floor, log
from typing import Callable, Iterable, Mapping, NamedTuple

from .subset_matching import SubsetMatching, subset_size

# Limiters times servers: 0.15 s of work at a first list, a few ms for each change. A larger fleet uses
# consecutive servers of the sorted list.
MAX_PAIRS = 20_000
# Subset sizes go by the number of limiters rounded down to a power of this: where one limiter less made every
# subset larger by one, its end moved 4.3 times its own pairs (40 limiters, 60 servers).
FLEET_SIZE_STEP = 1.25
ROUNDING_TOLERANCE = 1e-9


class ServerPlacement(NamedTuple):
    """What the matching uses of a server. A weight of 0 or less counts as 1."""

    zone: int
    weight: float


class SubsetAssignment:
    """The subset of one limiter, kept up to date with the members and the servers.

    `key`: the fleet's, the same at all limiters; `me` and `peers`: the names that the operator lists;
    `present_peers()`: the peers that count as present (`Membership.live_names`), called each time
    the decisions choose servers. Names that are not listed get no subset.
    """

    def __init__(
        self, key: int, me: str, peers: Iterable[str], present_peers: Callable[[], Iterable[str]]
    ) -> None:
        self.key = key
        self.me = me
        self.present_peers = present_peers
        self._servers: dict[int, ServerPlacement] = {}
        self.set_peers(peers)

    def set_peers(self, peers: Iterable[str]) -> None:
        """Set the other names that are listed; all limiters are numbered anew."""
        names = sorted({self.me, *peers})
        self._numbers = {name: number for number, name in enumerate(names)}
        self._present = [self._numbers[self.me]]
        self._matchings: dict[int, SubsetMatching[int, int]] = {}  # by zone
        self._order: list[int] | None = None  # cached until the members or the servers change
        self._update_matchings()

    def set_servers(self, servers: Mapping[int, ServerPlacement]) -> None:
        """Set the servers that may be used, by id."""
        placements = {
            server: ServerPlacement(zone, weight if weight > 0 else 1.0)
            for server, (zone, weight) in servers.items()
        }
        if placements != self._servers:
            self._servers = placements
            self._update_matchings()

    def min_servers(self) -> int:
        """How many servers this limiter uses at least; 0 where the fleet is too large for a matching."""
        if not self._update_present():
            return 0
        return sum(self._subset_sizes().values())

    def preference_order(self) -> list[int] | None:
        """All servers in this limiter's order: its subset first, alternating between the zones.

        None where the fleet is too large for a matching. The result is cached: it must not be changed.
        """
        if not self._update_present():
            return None
        if self._order is None:
            self._order = self._compute_order()
        return self._order

    def _is_matchable(self) -> bool:
        """Whether there are any servers, and few enough names and servers for a matching."""
        return 0 < len(self._numbers) * len(self._servers) <= MAX_PAIRS

    def _update_matchings(self) -> None:
        """Bring the matching of each zone up to date with the servers."""
        self._order = None
        weights_by_zone: dict[int, dict[int, float]] = {}
        if self._is_matchable():
            for server, (zone, weight) in self._servers.items():
                weights_by_zone.setdefault(zone, {})[server] = weight
        self._matchings = {
            zone: self._matchings.get(zone) or SubsetMatching(self._present, self.key)
            for zone in sorted(weights_by_zone)
        }
        for zone, matching in self._matchings.items():
            matching.set_servers(weights_by_zone[zone])

    def _update_present(self) -> bool:
        """Bring the matchings up to date with the present members; whether there is a matching."""
        if not self._is_matchable():
            return False
        names = (self.me, *self.present_peers())
        present = sorted({self._numbers[name] for name in names if name in self._numbers})
        if present == self._present:
            return True
        left = sorted({*self._present} - {*present})
        joined = sorted({*present} - {*self._present})
        self._present = present
        self._order = None
        for matching in self._matchings.values():
            for number in left:
                matching.remove_limiter(number)
            for number in joined:
                matching.add_limiter(number)
        return True

    def _subset_sizes(self) -> dict[int, int]:
        """The servers of each zone in a subset, the same at all limiters that see the same fleet."""
        exponent = floor(log(len(self._present), FLEET_SIZE_STEP) + ROUNDING_TOLERANCE)
        stepped_fleet_size = max(1, floor(FLEET_SIZE_STEP**exponent))
        size = subset_size(stepped_fleet_size, len(self._servers))
        return {
            zone: max(1, round(size * len(matching.weights) / len(self._servers)))
            for zone, matching in self._matchings.items()
        }

    def _compute_order(self) -> list[int]:
        own: list[list[int]] = []  # by zone
        others: list[list[int]] = []
        for zone, size in self._subset_sizes().items():
            matching = self._matchings[zone]
            ranked = matching.widened_subset(self._numbers[self.me], size, len(matching.weights))
            own.append(ranked[:size])
            others.append(ranked[size:])
        return _alternate(own) + _alternate(others)


def _alternate(lists: list[list[int]]) -> list[int]:
    """The first of each list, then the second of each, and so on."""
    return [item for items in zip_longest(*lists) for item in items if item is not None]
