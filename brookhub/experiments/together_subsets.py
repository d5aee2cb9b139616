"""Measures the limiters' subsets of the servers in the emulator: balance, and churn after changes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..emulator import Fleet
from ..emulator.servers import AttemptOwner
from ..model import Attempt
from .jobs import Job, Row
from .together_run import base_experiment, run

SERVER_REPLACED_AT = 8.0  # s
SERVER_SETTLED_AT = 16.0  # s
LIMITER_KILLED_AT = 18.0  # s
LIMITER_SETTLED_AT = 26.0  # s
BEFORE_CHANGE = 0.1  # s before a change, when subsets are read
TIME_AFTER = 1.0  # s that the run goes on
REPLACEMENT = {"at_s": SERVER_REPLACED_AT, "action": "replace_servers", "share": 0.001, "for_s": 0.5}


@dataclass(frozen=True)
class Pair:
    """A limiter and a server that it uses."""

    limiter: int
    server: int


@dataclass(frozen=True)
class Churn:
    """Pairs before and after a change of the fleet."""

    before: set[Pair]
    after: set[Pair]

    def changed(self) -> int:
        """Pairs that came or went."""
        return len(self.before ^ self.after)

    def moved(self, member: Callable[[Pair], int]) -> set[int]:
        """The limiters or servers that came or went."""
        return {member(pair) for pair in self.before} ^ {member(pair) for pair in self.after}

    def by_limiter(self) -> float:
        """Pairs that changed, over those of the limiters that came or went."""
        moved = self.moved(lambda pair: pair.limiter)
        least = sum(pair.limiter in moved for pair in self.before | self.after)
        return self.changed() / max(1, least)

    def by_server(self) -> float:
        """Pairs that changed, over those of the servers that came or went.

        Each pair of a server that goes has to be replaced: by a pair of the server that comes, or, where
        none comes, by a pair of another server, which makes twice the changes.
        """
        moved = self.moved(lambda pair: pair.server)
        least = sum(pair.server in moved for pair in self.before | self.after)
        if len(moved) <= 1:
            least *= 2
        return self.changed() / max(1, least)


class SubsetObserver:
    """Reads the subsets before and after each change, and counts the attempts of each server."""

    def __init__(self, fleet: Fleet) -> None:
        self.snapshots: list[set[Pair]] = []
        self.used: set[Pair] = set()
        self.attempts: dict[int, int] = {}  # by server id
        self._fleet = fleet

    def start(self) -> None:
        """Schedule the reading of subsets and observe attempts."""
        times = (
            SERVER_REPLACED_AT - BEFORE_CHANGE,
            SERVER_SETTLED_AT,
            LIMITER_KILLED_AT - BEFORE_CHANGE,
            LIMITER_SETTLED_AT,
        )
        for time in times:
            self._fleet.engine.call_at(time, self._read_subsets)
        self._fleet.servers.attempt_listeners.append(self._on_attempt)

    def _read_subsets(self) -> None:
        pairs = {
            Pair(limiter.index, view.server.id)
            for limiter in self._fleet.limiters
            if limiter.is_alive
            for view in limiter.gateway.subset.members
        }
        self.snapshots.append(pairs)

    def _on_attempt(self, attempt: Attempt, owner: AttemptOwner) -> None:
        server_id = attempt.server.id
        self.used.add(Pair(owner.index, server_id))
        self.attempts[server_id] = self.attempts.get(server_id, 0) + 1


def subsets(job: Job) -> Row:
    """One server is replaced and one limiter killed.

    `held`: limiters a server, largest over mean; `sends`: attempts a server, the same; `pairs`: of a limiter
    and a server that were used in all; `server`, `limiter`: pairs changed by that over the least possible.
    """
    observers: list[SubsetObserver] = []

    def prepare(fleet: Fleet) -> None:
        observer = SubsetObserver(fleet)
        observer.start()
        observers.append(observer)
        fleet.engine.call_at(LIMITER_KILLED_AT, fleet.limiters[job["limiters"] // 2].kill)

    played = run(_subset_experiment(job), job["seed"], prepare)
    return played.figures | _subset_figures(observers[0])


def _subset_experiment(job: Job) -> dict[str, object]:
    """The experiment of a job."""
    raw = base_experiment(job["limiters"], "none")
    raw["fleet"]["servers"]["count"] = job["servers"]
    raw["fleet"]["membership"]["subsets"] = job["way"] == "matching"
    raw["load"]["scale"] = job["scale"]
    raw["duration_s"] = LIMITER_SETTLED_AT + TIME_AFTER
    raw["faults"] = [REPLACEMENT]
    return raw


def _subset_figures(observer: SubsetObserver) -> Row:
    """Balance and churn of an observed run."""
    before, replaced, settled, killed = observer.snapshots
    servers = sorted({pair.server for pair in before})
    limiters_by_server = [sum(pair.server == server for pair in before) for server in servers]
    return {
        "held": _largest_over_mean(limiters_by_server),
        "sends": _largest_over_mean([observer.attempts.get(server, 0) for server in servers]),
        "pairs": len(observer.used),
        "server": Churn(before, replaced).by_server(),
        "limiter": Churn(settled, killed).by_limiter(),
    }


def _largest_over_mean(counts: list[int]) -> float:
    return max(counts) / (sum(counts) / len(counts))
