"""Who may use which servers: rendezvous hashing with bounded loads, as a stable matching.

Each limiter ranks all servers by a keyed hash (weighted rendezvous); a server that more want than it has
places for keeps those that rank it best. The stable matching of that (Gale and Shapley 1962) is unique, so it
does not depend on any order, and one that comes or goes moves only those that it displaces. The bound is that
of consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2018).

Limiters that are known by numbers do not draw by chance alone: each server deals BLOCK evenly spread ranks to
BLOCK numbers in turn (stratified sampling; a shuffle for each server and block). So a server is wanted by
nearly its part before any bound binds, and one that comes or goes displaces few.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from heapq import heappush, heapreplace
from math import ceil, floor, log
from typing import Any, Hashable, Sequence

from .hashing import deal, score

LEAST = 12  # servers that a limiter uses at least: a few may be sick, and two of them are always compared
# Limiters that a server has in the mean at least, where that needs larger subsets: fewer can't be even. At 8
# the bound in whole places leaves nothing to spare, at 10 one limiter less takes a place from every server
COVER = 8.5
# Numbers that a server deals ranks to at a time: 32 and 64 are less even where numbers are missing
BLOCK = 16
SLACK = 1.2  # times the mean (by weight) that a server has at most


def size(limiters: int, servers: int, load: float = 0.0, least: int = LEAST) -> int:
    """How many servers a limiter uses.

    `least`, as many as cover all servers evenly, or as its `load` needs (in servers); never more than there
    are.
    """
    cover = ceil(COVER * servers / max(1, limiters))
    return min(servers, max(least, cover, ceil(load)))


def capacities(weights: Sequence[float], pairs: int) -> list[int]:
    """Places of each server.

    SLACK times its part of all pairs by weight, rounded down, yet not below that part.
    """
    total = sum(weights)
    return [
        max(ceil(pairs * weight / total - 1e-9), floor(SLACK * pairs * weight / total + 1e-9))
        for weight in weights
    ]


class Subsets:
    """The matching for `limiters` (names or numbers), kept up to date as servers come and go.

    Only who is new is hashed. Memory: a number for each limiter and server.
    """

    def __init__(self, limiters: Sequence[Hashable], key: int = 0):
        self.key, self.limiters = key, list(limiters)
        self.ranks: dict[Hashable, list[tuple[float, Hashable]]] = {one: [] for one in self.limiters}
        self.weights: dict[Hashable, float] = {}
        self.dealt: dict[tuple[Hashable, int], list[float]] = {}
        self.matched: dict[
            int, dict[Hashable, list[Hashable]]
        ] = {}  # the last matchings, until something changes

    def drawn(self, limiter: Hashable, server: Hashable) -> float:
        """Uniform in (0, 1); over a block of numbers evenly spread at each server."""
        if not isinstance(limiter, int):
            return score(self.key, limiter, server)
        block, place = divmod(limiter, BLOCK)
        if (server, block) not in self.dealt:
            self.dealt[server, block] = deal(self.key, BLOCK, server, block)
        return self.dealt[server, block][place]

    def cost(self, limiter: Hashable, server: Hashable) -> float:
        """A limiter's cost of a server, lowest first: -ln(u) / weight (weighted rendezvous)."""
        return -log(self.drawn(limiter, server)) / self.weights[server]

    def listed(self, weights: dict[Hashable, float]) -> None:
        """The servers that there are now, with their weights (above 0)."""
        if any(not weight > 0 for weight in weights.values()):
            raise ValueError("a server's weight must be above 0")
        self.matched = {}
        gone = [one for one, weight in self.weights.items() if weights.get(one) != weight]
        for limiter, ranked in self.ranks.items():
            for server in gone:
                del ranked[bisect_left(ranked, (self.cost(limiter, server), server))]
        self.dealt = {at: them for at, them in self.dealt.items() if at[0] in weights}
        new = [one for one, weight in weights.items() if self.weights.get(one) != weight]
        self.weights = dict(weights)
        for limiter, ranked in self.ranks.items():
            if len(new) > len(ranked) // 4:
                ranked += [(self.cost(limiter, server), server) for server in new]
                ranked.sort()
            else:
                for server in new:
                    insort(ranked, (self.cost(limiter, server), server))

    def join(self, limiter: Hashable) -> None:
        """A limiter is there: servers deal it ranks."""
        self.matched = {}
        self.limiters.append(limiter)
        self.ranks[limiter] = sorted((self.cost(limiter, server), server) for server in self.weights)

    def leave(self, limiter: Hashable) -> None:
        """A limiter is gone."""
        self.matched = {}
        self.limiters.remove(limiter)
        del self.ranks[limiter]

    def match(self, each: int) -> dict[Hashable, list[Hashable]]:
        """Limiter -> its `each` servers (or all, where there are no more), best ranked first.

        No server has more than its capacity.
        """
        if each not in self.matched:
            self.matched[each] = self.matching(min(each, len(self.weights)))
        return self.matched[each]

    def matching(self, each: int) -> dict[Hashable, list[Hashable]]:
        """Deferred acceptance (Gale and Shapley): limiters ask in their order, a server keeps the best."""
        room = self.room(each)
        held: dict[Hashable, list[Any]] = {one: [] for one in self.weights}  # heaps, the worst ranked first
        asked, have = dict.fromkeys(self.limiters, 0), dict.fromkeys(self.limiters, 0)
        todo = list(self.limiters)
        while todo:
            one = todo.pop()
            ranked, at, has = self.ranks[one], asked[one], have[one]
            while has < each and at < len(ranked):
                cost, server = ranked[at]
                heap = held[server]
                if len(heap) < room[server]:
                    heappush(heap, (-cost, one, at))
                    has += 1
                elif -heap[0][0] > cost:
                    _, out, _ = heapreplace(heap, (-cost, one, at))
                    has += 1
                    have[out] -= 1
                    todo.append(out)
                at += 1
            asked[one], have[one] = at, has
        return self.by_limiter(held)

    def room(self, each: int) -> dict[Hashable, int]:
        """Limiters that each server takes."""
        if not self.weights:
            return {}
        places = capacities(list(self.weights.values()), len(self.limiters) * each)
        return dict(zip(self.weights, places, strict=False))

    def by_limiter(self, held: dict[Hashable, list[Any]]) -> dict[Hashable, list[Hashable]]:
        """The servers of each limiter in its order, from the limiters of each server."""
        own: dict[Hashable, list[Any]] = {one: [] for one in self.limiters}  # (place in its ranks, server)
        for server, heap in held.items():
            for _, one, at in heap:
                own[one].append((at, server))
        return {one: [server for _, server in sorted(them)] for one, them in own.items()}

    def wider(self, limiter: Hashable, each: int, more: int) -> list[Hashable]:
        """A limiter's servers where its load needs `more` than `each`.

        Its own first, then such as have the most room left under their bound, by its own draws (the others
        cannot know, and keep theirs).
        """
        matched = self.match(each)
        own, held = matched[limiter], dict.fromkeys(self.weights, 0)
        for them in matched.values():
            for server in them:
                held[server] += 1
        places = dict(
            zip(
                self.weights,
                capacities(list(self.weights.values()), len(self.limiters) * min(each, len(held))),
                strict=False,
            )
        )
        mine = set(own)
        rest = [server for server in self.weights if server not in mine]
        rest.sort(
            key=lambda server: (
                -log(self.drawn(limiter, server)) / (places[server] - held[server] + 1),
                server,
            )
        )
        return (own + rest)[: max(more, each)]

    def order(self, limiter: Hashable, each: int) -> list[Hashable]:
        """All servers as this limiter should take them: its own first, then the others by its ranking."""
        own = self.match(each)[limiter]
        mine = set(own)
        return own + [server for _, server in self.ranks[limiter] if server not in mine]
