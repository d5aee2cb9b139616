"""Assignment of a subset of the servers to one limiter, by the fleet's matching in each zone.

Each zone has a matching of its own, so that all limiters have the same number of servers in each zone. With
one matching for all zones, limiters with few servers in their own zone overloaded these: one server got 4.3
times the mean load with 40 limiters (2.9 times with consecutive servers of the sorted list).

Limiters are numbered in the order of all names that the operator lists, so that a name keeps its number while
other limiters start and stop. Only present limiters are matched: all limiters that see the same members
compute the same matching without messages. The two sides of a network partition compute separate matchings: a
server then gets its share of the load of each side, and the load of each limiter is spread as before.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from itertools import zip_longest
from math import floor, log
from typing import NamedTuple

from .subset_matching import SubsetMatching, subset_size

# Maximum number of limiters times number of servers. At this size the first list takes 0.15 s of computing,
# each change a few ms. A larger fleet uses consecutive servers of the sorted list.
MAX_PAIRS = 20_000
# Subset sizes are computed from the number of limiters rounded down to a power of this base. Without
# rounding, the end of one limiter could make every subset larger by one, and then changed 4.3 times as many
# pairs as the limiter itself had (40 limiters, 60 servers).
FLEET_SIZE_STEP = 1.25
ROUNDING_TOLERANCE = 1e-9


class ServerPlacement(NamedTuple):
    """Properties of a server that the matching depends on. A weight of 0 or less counts as 1."""

    zone: int
    weight: float


class SubsetAssignment:
    """Subset of one limiter, kept up to date with the members and the servers.

    `key` is the hash key of the fleet, the same at all limiters. `me` and `peers` are the names that the
    operator lists; names that are not listed get no subset. `present_peers()` returns the peers that count as
    present (`Membership.live_names`); it is called each time the policy selects its subset.
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
        """Set the listed names of the peers, and number all limiters again."""
        names = sorted({self.me, *peers})
        self._numbers = {name: number for number, name in enumerate(names)}
        self._present = [self._numbers[self.me]]
        self._matchings: dict[int, SubsetMatching[int, int]] = {}  # By zone.
        self._order: list[int] | None = None  # Cached until the members or the servers change.
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
        """Return the minimum number of servers this limiter uses; 0 if the fleet is too large to match."""
        if not self._update_present():
            return 0
        return sum(self._subset_sizes().values())

    def preference_order(self) -> list[int] | None:
        """Return all servers in this limiter's order: its subset first, alternating between the zones.

        Returns None if the fleet is too large to be matched. The result is cached; callers must not change
        it.
        """
        if not self._update_present():
            return None
        if self._order is None:
            self._order = self._compute_order()
        return self._order

    def _is_matchable(self) -> bool:
        """Return whether there are servers, and no more than MAX_PAIRS pairs of a limiter and a server."""
        return 0 < len(self._numbers) * len(self._servers) <= MAX_PAIRS

    def _update_matchings(self) -> None:
        """Update the matching of each zone with the servers."""
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
        """Update the matchings with the present members; return whether the fleet can be matched."""
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
        """Return the number of servers per zone in a subset, equal for all limiters with the same view."""
        exponent = floor(log(len(self._present), FLEET_SIZE_STEP) + ROUNDING_TOLERANCE)
        stepped_fleet_size = max(1, floor(FLEET_SIZE_STEP**exponent))
        size = subset_size(stepped_fleet_size, len(self._servers))
        return {
            zone: max(1, round(size * len(matching.weights) / len(self._servers)))
            for zone, matching in self._matchings.items()
        }

    def _compute_order(self) -> list[int]:
        own: list[list[int]] = []  # One list for each zone.
        others: list[list[int]] = []
        for zone, size in self._subset_sizes().items():
            matching = self._matchings[zone]
            ranked = matching.widened_subset(self._numbers[self.me], size, len(matching.weights))
            own.append(ranked[:size])
            others.append(ranked[size:])
        return _interleave(own) + _interleave(others)


def _interleave(lists: list[list[int]]) -> list[int]:
    """Return the first item of each list, then the second of each, and so on."""
    return [item for items in zip_longest(*lists) for item in items if item is not None]
