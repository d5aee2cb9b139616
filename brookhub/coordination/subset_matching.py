"""Subsets of the servers by rendezvous hashing with bounded loads, computed as a stable matching.

Each limiter ranks all servers by a keyed hash (weighted rendezvous hashing). A server that more limiters
prefer than its capacity allows keeps those that rank it best. This stable matching (Gale and Shapley 1962) is
unique, so it does not depend on the order of events. A limiter or server that is added or removed moves only
the pairs that it displaces. The bound is that of consistent hashing with bounded loads (Mirrokni, Thorup,
Zadimoghaddam 2018).

For limiters that are identified by numbers, the hashes are stratified: each server assigns evenly spread
hashes to each block of BLOCK_SIZE numbers, in a shuffled order. A server is therefore preferred by nearly its
share of the limiters before the bound takes effect, and few pairs move when a limiter or server is added or
removed.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Mapping, Sequence
from heapq import heappush, heapreplace
from math import ceil, floor, log
from typing import Generic, TypeVar

from .hashing import stratified_hashes, uniform_hash

# Minimum number of servers in a subset: a few of them may be failing, and two are always compared.
MIN_SUBSET_SIZE = 12
# Minimum average number of limiters that use a server, even if this needs larger subsets: with fewer, the
# load is uneven. At 8 the capacities, which are whole limiters, leave no spare capacity; at 10 one limiter
# less lowers the capacity of every server by one.
MIN_MEAN_LIMITERS_PER_SERVER = 8.5
# Limiter numbers that get stratified hashes together. Blocks of 32 or 64 give a less even distribution when
# numbers are missing.
BLOCK_SIZE = 16
CAPACITY_SLACK = 1.2  # Ratio of a server's capacity to its share of all pairs by weight.
ROUNDING_TOLERANCE = 1e-9  # Prevents floating-point noise from adding or removing a whole limiter.

LimiterT = TypeVar("LimiterT", int, str)
ServerT = TypeVar("ServerT", int, str)


def subset_size(
    limiters: int, servers: int, load_in_servers: float = 0.0, min_size: int = MIN_SUBSET_SIZE
) -> int:
    """Return the number of servers that each limiter uses, limited to the number of `servers`.

    It is the maximum of `min_size`, the size at which all servers are used evenly, and the size that the
    limiter's load requires.
    """
    even_size = ceil(MIN_MEAN_LIMITERS_PER_SERVER * servers / max(1, limiters))
    return min(servers, max(min_size, even_size, ceil(load_in_servers)))


def server_capacities(weights: Sequence[float], pairs: int) -> list[int]:
    """Return the capacity of each server: the maximum number of limiters that use it.

    `pairs`: number of pairs of a limiter and a server to match. The capacity is CAPACITY_SLACK
    times the server's share of the pairs by weight, rounded down, but not below that share.
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
    """Matching of `limiters` (names or numbers) and servers, updated when either are added or removed.

    Only added limiters and servers are hashed. `key` is the hash key of the fleet, the same at all limiters.
    Memory: one ranked entry for each pair of a limiter and a server.
    """

    def __init__(self, limiters: Sequence[LimiterT], key: int = 0) -> None:
        self.key = key
        self.limiters: list[LimiterT] = list(limiters)
        self.weights: dict[ServerT, float] = {}
        # Each limiter's servers as (cost, server), the lowest cost first.
        self.rankings: dict[LimiterT, list[tuple[float, ServerT]]] = {
            limiter: [] for limiter in self.limiters
        }
        self._block_hashes: dict[tuple[ServerT, int], list[float]] = {}  # By server and block number.
        self._subsets: dict[int, dict[LimiterT, list[ServerT]]] = {}  # By size, cached until a change.

    def hash_of(self, limiter: LimiterT, server: ServerT) -> float:
        """Return a uniform number in (0, 1) for the pair, stratified over a block of limiter numbers."""
        if not isinstance(limiter, int):
            return uniform_hash(self.key, limiter, server)
        block, index = divmod(limiter, BLOCK_SIZE)
        if (server, block) not in self._block_hashes:
            self._block_hashes[server, block] = stratified_hashes(self.key, BLOCK_SIZE, server, block)
        return self._block_hashes[server, block][index]

    def cost(self, limiter: LimiterT, server: ServerT) -> float:
        """Return a limiter's cost of a server, -ln(hash) / weight; the lowest is preferred."""
        return -log(self.hash_of(limiter, server)) / self.weights[server]

    def set_servers(self, weights: Mapping[ServerT, float]) -> None:
        """Set the servers with their weights; raises ValueError if a weight is not above 0."""
        if any(not weight > 0 for weight in weights.values()):
            raise ValueError(
                "server weights: expected numbers above 0, got "
                f"{next(weight for weight in weights.values() if not weight > 0)}"
            )
        self._subsets = {}
        removed = [server for server, weight in self.weights.items() if weights.get(server) != weight]
        added = [server for server, weight in weights.items() if self.weights.get(server) != weight]
        # Before the weights change: the entries to remove are found by the cost with the old weight.
        self._remove_servers(removed)
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
        """Remove a limiter from the matching; raises ValueError if it is not part of the matching."""
        self._subsets = {}
        self.limiters.remove(limiter)
        del self.rankings[limiter]

    def subsets(self, size: int) -> dict[LimiterT, list[ServerT]]:
        """Return each limiter's subset of `size` servers (all if there are fewer), the best ranked first.

        No server is in more subsets than its capacity. The result is cached; callers must not change it.
        """
        if size not in self._subsets:
            self._subsets[size] = self._match(min(size, len(self.weights)))
        return self._subsets[size]

    def widened_subset(self, limiter: LimiterT, size: int, widened_size: int) -> list[ServerT]:
        """Return `widened_size` servers for a limiter whose load needs more than its subset of `size`.

        The subset comes first, then the other servers in the order of this limiter's hashes, weighted by
        their spare capacity. The other limiters do not know about this and keep their subsets.
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
        """Return all servers in a limiter's order: its subset of `size`, then the others by its ranking."""
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
                # For this many servers, sorting once is faster than inserting each.
                ranking += [(self.cost(limiter, server), server) for server in added]
                ranking.sort()
                continue
            for server in added:
                insort(ranking, (self.cost(limiter, server), server))

    def _capacities(self, size: int) -> dict[ServerT, int]:
        capacities = server_capacities(list(self.weights.values()), len(self.limiters) * size)
        return dict(zip(self.weights, capacities, strict=True))

    def _match(self, size: int) -> dict[LimiterT, list[ServerT]]:
        """Match by deferred acceptance (Gale and Shapley): limiters propose, a server keeps the best."""
        capacities = self._capacities(size)
        # Limiters that each server keeps, as heaps of (-cost, limiter, index in its ranking) with the worst
        # on top.
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
        """Return each limiter's servers in its order, from the limiters that each server keeps."""
        indexed: dict[LimiterT, list[tuple[int, ServerT]]] = {limiter: [] for limiter in self.limiters}
        for server, heap in kept.items():
            for _, limiter, index in heap:
                indexed[limiter].append((index, server))
        return {limiter: [server for _, server in sorted(servers)] for limiter, servers in indexed.items()}
