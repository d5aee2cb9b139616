"""One limiter's part of the servers by the fleet's matching, and all that the decisions ask of the fleet.

Each zone has a matching of its own, so that all limiters have the same number of servers near them: by one
matching for all, those with few in their zone sent too much to these (4.3 times the mean at one server, 40
limiters; 2.9 by the stretch).

Limiters are numbered by their names among those that the operator lists, so that a number stays with a name
while others come and go; the matching is of those that are present, and all that hold the same ones for
present match alike without talking. Two sides of a split match apart: a server is then used by its part of
each side, and each limiter's load is spread as before.
"""

from __future__ import annotations

from itertools import chain, zip_longest
from math import floor, log
from typing import Any, Callable, Hashable, Iterable

from ..model import Outcome
from .ejections import SharedEjections
from .subsets import Subsets, size

# Limiters times servers: 0.15 s of work at a first list, a few ms for each change; beyond it the stretch
# stays
MOST_PAIRS = 20_000
# The size of a part goes by the number of limiters in such steps, rounded down: where one limiter less made
# every part larger by one, its end moved 4.3 times its own pairs (40 limiters, 60 servers)
STEP = 1.25


class Parts:
    """`key`: the fleet's, the same at all; `me` and `others`: names that the operator lists; `here()`.

    Those of the others that count as there (membership.Membership.live_names), asked each time the decisions
    draw their part.
    """

    def __init__(self, key: int, me: str, others: Iterable[str], here: Callable[[], Iterable[str]]):
        self.key, self.me, self.here = key, me, here
        self.servers: dict[Hashable, tuple[Hashable, float]] = {}
        self.relist(others)

    def relist(self, others: Iterable[str]) -> None:
        """Other names are listed: numbers are given anew."""
        self.numbers = {name: number for number, name in enumerate(sorted({self.me, *others}))}
        self.present = [self.numbers[self.me]]
        self.zones: dict[Hashable, Subsets] = {}
        self.drawn: list[Hashable] | None = None
        self.match()

    def fits(self) -> bool:
        """Whether there are few enough names and servers for a matching."""
        return 0 < len(self.numbers) * len(self.servers) <= MOST_PAIRS

    def listed(self, servers: dict[Hashable, tuple[Hashable, float]]) -> None:
        """The servers that there are, each with its zone and its weight (above 0; else it counts as 1)."""
        servers = {
            server: (zone, weight if weight > 0 else 1.0) for server, (zone, weight) in servers.items()
        }
        if servers != self.servers:
            self.servers = servers
            self.match()

    def match(self) -> None:
        """Bring each zone's matching up to date with the list."""
        self.drawn = None
        of: dict[Any, dict[Hashable, float]] = {}  # by zone; zones are numbers or names, not both
        for server, (zone, weight) in self.servers.items() if self.fits() else ():
            of.setdefault(zone, {})[server] = weight
        self.zones = {zone: self.zones.get(zone) or Subsets(self.present, self.key) for zone in sorted(of)}
        for zone, subsets in self.zones.items():
            subsets.listed(of[zone])

    def look(self) -> bool:
        """Take those that are there now for the matching; whether there is one.

        Names that are not listed have no part.
        """
        if not self.fits():
            return False
        here = sorted({self.numbers[name] for name in (self.me, *self.here()) if name in self.numbers})
        if here != self.present:
            gone, new = sorted({*self.present} - {*here}), sorted({*here} - {*self.present})
            self.present, self.drawn = here, None
            for subsets in self.zones.values():
                for number in gone:
                    subsets.leave(number)
                for number in new:
                    subsets.join(number)
        return True

    def sizes(self) -> dict[Hashable, int]:
        """How many servers of each zone a limiter uses at least, the same at all that see the same fleet."""
        steady = max(1, floor(STEP ** floor(log(len(self.present), STEP) + 1e-9)))
        each = size(steady, len(self.servers))
        return {
            zone: max(1, round(each * len(subsets.weights) / len(self.servers)))
            for zone, subsets in self.zones.items()
        }

    def least(self) -> int:
        """How many servers a limiter uses at least; 0 where there are too many."""
        return sum(self.sizes().values()) if self.look() else 0

    def order(self) -> list[Hashable] | None:
        """All servers as this limiter takes them, its own part first, zone by zone in turn.

        None where there are too many.
        """
        if not self.look():
            return None
        if self.drawn is None:
            own, rest = [], []
            for zone, many in self.sizes().items():
                subsets = self.zones[zone]
                them = subsets.wider(self.numbers[self.me], many, len(subsets.weights))
                own.append(them[:many])
                rest.append(them[many:])
            self.drawn = [
                server
                for lists in (own, rest)
                for turn in zip_longest(*lists)
                for server in turn
                if server is not None
            ]
        return self.drawn


class Shared:
    """What the decisions ask of the fleet: `ejections` and `parts`, each or neither.

    Without ejections nothing is ejected and nothing is this one's turn; without parts the servers are taken
    as a stretch of their ring.
    """

    def __init__(self, ejections: SharedEjections | None = None, parts: Parts | None = None):
        self.ejections, self.parts = ejections, parts

    def on_servers_updated(self, servers: dict[int, Any]) -> None:
        """The servers that there are, by id (model.Server)."""
        if self.ejections:
            self.ejections.listed({ident: server.started_at for ident, server in servers.items()})
        if self.parts:
            self.parts.listed({ident: (server.zone, server.weight) for ident, server in servers.items()})

    def is_ejected(self, server: int) -> bool:
        """Whether the fleet leaves it out now."""
        return self.ejections is not None and self.ejections.is_ejected(server)

    def may_probe(self, server: int) -> bool:
        """Whether it is this limiter's turn to try one that is left out."""
        return self.ejections is not None and self.ejections.may_probe(server)

    def attempt_started(self, server: int) -> None:
        """An attempt goes to it."""
        if self.ejections:
            self.ejections.attempt_started(server)

    def attempt_ended(self, server: int, outcome: Outcome) -> None:
        """How an attempt ended there."""
        if self.ejections:
            self.ejections.attempt_ended(server, outcome)

    @property
    def min_servers(self) -> int:
        """How many servers this limiter uses at least."""
        return self.parts.least() if self.parts else 0

    def rank_servers(self, views: list[Any], start: int) -> Iterable[Any]:
        """The decisions' records of the servers, sorted by `.server.id`, in the order to take them in."""
        order = self.parts.order() if self.parts else None
        if not order:
            return chain(views[start:], views[:start])
        known = {view.server.id: view for view in views}
        return [known[server] for server in order if server in known]
