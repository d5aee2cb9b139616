"""Subsets of the servers by rendezvous hashing with bounded loads, computed as a stable matching.

Each limiter ranks all servers by a keyed hash (weighted rendezvous hashing). A server that more limiters
prefer than its capacity allows keeps those that rank it best. That stable matching (Gale and Shapley 1962)
is unique, so it does not depend on any order of events, and a limiter or server that comes or goes moves only
those that it displaces. The bound is that of consistent hashing with bounded loads (Mirrokni, Thorup,
Zadimoghaddam 2018).

For limiters that are identified by numbers, the hashes are stratified: each server gives each block of
BLOCK_SIZE numbers evenly spread hashes in a shuffled order. So a server is preferred by nearly its share of
the limiters before any bound takes effect, and few pairs move when one comes or goes.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from heapq import heappush, heapreplace
from math import ceil, floor, log
from typing import Generic, Mapping, Sequence, TypeVar

from .hashing import stratified_hashes, uniform_hash

# Servers in a subset at least: a few of them may be failing, and two are always compared.
MIN_SUBSET_SIZE = 12
# Limiters that use a server in the mean, at least, even where that needs larger subsets: with fewer the load
# can't be even. At 8 the capacities in whole limiters leave nothing to spare; at 10 one limiter less lowers
# the capacity of every server by one.
MIN_MEAN_LIMITERS_PER_SERVER = 8.5
# Limiter numbers that get stratified hashes together: 32 and 64 are less even where numbers are missing.
BLOCK_SIZE = 16
CAPACITY_SLACK = 1.2  # a server's capacity over its share by weight of all pairs
ROUNDING_TOLERANCE = 1e-9  # keeps floating-point noise from adding or removing a whole limiter

LimiterT = TypeVar("LimiterT", int, str)
ServerT = TypeVar("ServerT", int, str)


def subset_size(
    limiters: int, servers: int, load_in_servers: float = 0.0, min_size: int = MIN_SUBSET_SIZE
) -> int:
    """How many servers each limiter uses, never more than there are.

    The largest of `min_size`, what uses all servers evenly, and what the limiter's load needs.
    """
    even_size = ceil(MIN_MEAN_LIMITERS_PER_SERVER * servers / max(1, limiters))
    return min(servers, max(min_size, even_size, ceil(load_in_servers)))


def server_capacities(weights: Sequence[float], pairs: int) -> list[int]:
    """How many limiters each server takes, where `pairs` of a limiter and a server are to be matched.

    CAPACITY_SLACK times its share of the pairs by weight, rounded down, yet not below that share.
    """
    total = sum(weights)
    return [
        max(
            ceil(pairs * weight / total - ROUNDING_TOLERANCE),
            floor(CAPACITY_SLACK * pairs * weight / total + ROUNDING_TOLERANCE),
        )
        for weight in weights
    ]


class SubsetMatching(Generic[LimiterT, ServerT]):
    """The matching of `limiters` (names or numbers) and servers, kept up to date as either come and go.

    Only newcomers are hashed. `key`: the fleet's, the same at all limiters. Memory: one ranked entry for each
    pair of a limiter and a server.
    """

    def __init__(self, limiters: Sequence[LimiterT], key: int = 0) -> None:
        self.key = key
        self.limiters: list[LimiterT] = list(limiters)
        self.weights: dict[ServerT, float] = {}
        # Each limiter's servers by (cost, server), the lowest cost first.
        self.rankings: dict[LimiterT, list[tuple[float, ServerT]]] = {
            limiter: [] for limiter in self.limiters
        }
        self._block_hashes: dict[tuple[ServerT, int], list[float]] = {}  # by server and number of the block
        self._subsets: dict[int, dict[LimiterT, list[ServerT]]] = {}  # by size, until something changes

    def hash_of(self, limiter: LimiterT, server: ServerT) -> float:
        """A number in (0, 1) for the pair, uniform; stratified over a block of limiter numbers."""
        if not isinstance(limiter, int):
            return uniform_hash(self.key, limiter, server)
        block, index = divmod(limiter, BLOCK_SIZE)
        if (server, block) not in self._block_hashes:
            self._block_hashes[server, block] = stratified_hashes(self.key, BLOCK_SIZE, server, block)
        return self._block_hashes[server, block][index]

    def cost(self, limiter: LimiterT, server: ServerT) -> float:
        """A limiter's cost of a server, the lowest preferred: -ln(hash) / weight (weighted rendezvous)."""
        return -log(self.hash_of(limiter, server)) / self.weights[server]

    def set_servers(self, weights: Mapping[ServerT, float]) -> None:
        """Set the servers, with their weights; raises ValueError where a weight is not above 0."""
        if any(not weight > 0 for weight in weights.values()):
            raise ValueError("a server's weight must be above 0")
        self._subsets = {}
        removed = [server for server, weight in self.weights.items() if weights.get(server) != weight]
        added = [server for server, weight in weights.items() if self.weights.get(server) != weight]
        self._remove_servers(removed)  # found by their cost, so while the old weights still hold
        self._block_hashes = {
            (server, block): hashes
            for (server, block), hashes in self._block_hashes.items()
            if server in weights
        }
        self.weights = dict(weights)
        self._add_servers(added)

    def add_limiter(self, limiter: LimiterT) -> None:
        """Add a limiter to the matching."""
        self._subsets = {}
        self.limiters.append(limiter)
        self.rankings[limiter] = sorted((self.cost(limiter, server), server) for server in self.weights)

    def remove_limiter(self, limiter: LimiterT) -> None:
        """Remove a limiter from the matching; raises ValueError where it is not part of it."""
        self._subsets = {}
        self.limiters.remove(limiter)
        del self.rankings[limiter]

    def subsets(self, size: int) -> dict[LimiterT, list[ServerT]]:
        """Each limiter's subset of `size` servers (or all, where there are fewer), the best ranked first.

        No server is in more subsets than its capacity. The result is cached: it must not be changed.
        """
        if size not in self._subsets:
            self._subsets[size] = self._match(min(size, len(self.weights)))
        return self._subsets[size]

    def widened_subset(self, limiter: LimiterT, size: int, widened_size: int) -> list[ServerT]:
        """A limiter's servers where its load needs more than its subset of `size`.

        The subset comes first; then the servers with the most capacity to spare, by this limiter's own
        hashes. The other limiters don't know of it and keep their subsets.
        """
        subsets = self.subsets(size)
        capacities = self._capacities(min(size, len(self.weights)))
        users = dict.fromkeys(self.weights, 0)
        for servers in subsets.values():
            for server in servers:
                users[server] += 1

        def widening_cost(server: ServerT) -> tuple[float, ServerT]:
            spare = capacities[server] - users[server] + 1
            return -log(self.hash_of(limiter, server)) / spare, server

        own = subsets[limiter]
        in_subset = set(own)
        others = [server for server in self.weights if server not in in_subset]
        others.sort(key=widening_cost)
        return (own + others)[: max(widened_size, size)]

    def preference_order(self, limiter: LimiterT, size: int) -> list[ServerT]:
        """All servers in a limiter's order: its subset of `size` first, then the others by its ranking."""
        own = self.subsets(size)[limiter]
        in_subset = set(own)
        return own + [server for _, server in self.rankings[limiter] if server not in in_subset]

    def _remove_servers(self, removed: list[ServerT]) -> None:
        for limiter, ranking in self.rankings.items():
            for server in removed:
                del ranking[bisect_left(ranking, (self.cost(limiter, server), server))]

    def _add_servers(self, added: list[ServerT]) -> None:
        for limiter, ranking in self.rankings.items():
            if len(added) > len(ranking) // 4:
                # So many at once are sorted in faster than inserted.
                ranking += [(self.cost(limiter, server), server) for server in added]
                ranking.sort()
                continue
            for server in added:
                insort(ranking, (self.cost(limiter, server), server))

    def _capacities(self, size: int) -> dict[ServerT, int]:
        capacities = server_capacities(list(self.weights.values()), len(self.limiters) * size)
        return dict(zip(self.weights, capacities, strict=True))

    def _match(self, size: int) -> dict[LimiterT, list[ServerT]]:
        """Deferred acceptance (Gale and Shapley): limiters propose, a server keeps the best of them."""
        capacities = self._capacities(size)
        # Limiters kept by each server, as heaps of (-cost, limiter, index in its ranking): the worst on top.
        kept: dict[ServerT, list[tuple[float, LimiterT, int]]] = {server: [] for server in self.weights}
        next_index = dict.fromkeys(self.limiters, 0)
        matched = dict.fromkeys(self.limiters, 0)
        unmatched = list(self.limiters)
        while unmatched:
            limiter = unmatched.pop()
            ranking = self.rankings[limiter]
            index = next_index[limiter]
            count = matched[limiter]
            while count < size and index < len(ranking):
                cost, server = ranking[index]
                heap = kept[server]
                if len(heap) < capacities[server]:
                    heappush(heap, (-cost, limiter, index))
                    count += 1
                elif -heap[0][0] > cost:
                    _, displaced, _ = heapreplace(heap, (-cost, limiter, index))
                    count += 1
                    matched[displaced] -= 1
                    unmatched.append(displaced)
                index += 1
            next_index[limiter] = index
            matched[limiter] = count
        return self._by_limiter(kept)

    def _by_limiter(
        self, kept: dict[ServerT, list[tuple[float, LimiterT, int]]]
    ) -> dict[LimiterT, list[ServerT]]:
        """Each limiter's servers in its order, from the limiters that each server keeps."""
        indexed: dict[LimiterT, list[tuple[int, ServerT]]] = {limiter: [] for limiter in self.limiters}
        for server, heap in kept.items():
            for _, limiter, index in heap:
                indexed[limiter].append((index, server))
        return {limiter: [server for _, server in sorted(servers)] for limiter, servers in indexed.items()}
