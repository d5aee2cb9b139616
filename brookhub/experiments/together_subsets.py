"""Measurement of the subsets of servers that limiters use, in the emulator: balance, churn after changes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..emulator import Fleet
from ..emulator.servers import AttemptOwner
from ..model import Attempt
from .jobs import Job, Row
from .together_run import base_experiment, run

# Times in seconds of the run.
SERVER_REPLACED_AT = 8.0
SERVER_SETTLED_AT = 16.0  # When the subsets after the server's replacement are read.
LIMITER_KILLED_AT = 18.0
LIMITER_SETTLED_AT = 26.0  # When the subsets after the limiter's end are read.
BEFORE_CHANGE = 0.1  # Subsets are read this many seconds before each change.
TIME_AFTER = 1.0  # Seconds that the run continues after the last reading.
REPLACEMENT = {"at_s": SERVER_REPLACED_AT, "action": "replace_servers", "share": 0.001, "for_s": 0.5}


@dataclass(frozen=True)
class Pair:
    """A limiter and a server of its subset."""

    limiter: int
    server: int


@dataclass(frozen=True)
class Churn:
    """The pairs of limiters and servers before and after a change of the fleet."""

    before: set[Pair]
    after: set[Pair]

    def changed(self) -> int:
        """Return the number of pairs that were added or removed."""
        return len(self.before ^ self.after)

    def changed_members(self, member: Callable[[Pair], int]) -> set[int]:
        """Return the limiters or servers that were added or removed; `member` selects one from a pair."""
        return {member(pair) for pair in self.before} ^ {member(pair) for pair in self.after}

    def by_limiter(self) -> float:
        """Return the changed pairs divided by the minimum: the pairs of the added and removed limiters."""
        changed_limiters = self.changed_members(lambda pair: pair.limiter)
        min_changes = sum(pair.limiter in changed_limiters for pair in self.before | self.after)
        return self.changed() / max(1, min_changes)

    def by_server(self) -> float:
        """Return the changed pairs divided by the minimum, which follows from the added and removed servers.

        Each pair of a removed server has to be replaced. A pair of the added server replaces it, and both
        pairs are in the minimum already. If no server was added, a pair of another server replaces it, which
        doubles the changes.
        """
        changed_servers = self.changed_members(lambda pair: pair.server)
        min_changes = sum(pair.server in changed_servers for pair in self.before | self.after)
        if len(changed_servers) <= 1:
            min_changes *= 2
        return self.changed() / max(1, min_changes)


class SubsetObserver:
    """Observer that reads the subsets before and after each change and counts the attempts at each server."""

    def __init__(self, fleet: Fleet) -> None:
        self.snapshots: list[set[Pair]] = []
        self.used: set[Pair] = set()
        self.attempts: dict[int, int] = {}  # By server id.
        self._fleet = fleet

    def start(self) -> None:
        """Schedule the reading of the subsets, and start counting attempts."""
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
    """Measure the subsets of a fleet in which one server is replaced and one limiter is killed.

    `held` is the largest number of limiters per server divided by the mean. `sends` is the largest number of
    attempts per server divided by the mean. `pairs` is the number of pairs of a limiter and a server with at
    least one attempt. `server` and `limiter` are the changed pairs after the replacement of the server and
    after the end of the limiter, each divided by the minimum.
    """
    observers: list[SubsetObserver] = []

    def prepare(fleet: Fleet) -> None:
        observer = SubsetObserver(fleet)
        observer.start()
        observers.append(observer)
        fleet.engine.call_at(LIMITER_KILLED_AT, fleet.limiters[job["limiters"] // 2].kill)

    finished = run(_subset_experiment(job), job["seed"], prepare)
    return finished.figures | _subset_figures(observers[0])


def _subset_experiment(job: Job) -> dict[str, object]:
    """Return the content of the experiment file of a job."""
    raw = base_experiment(job["limiters"], "none")
    raw["fleet"]["servers"]["count"] = job["servers"]
    raw["fleet"]["membership"]["subsets"] = job["way"] == "matching"
    raw["load"]["scale"] = job["scale"]
    raw["duration_s"] = LIMITER_SETTLED_AT + TIME_AFTER
    raw["faults"] = [REPLACEMENT]
    return raw


def _subset_figures(observer: SubsetObserver) -> Row:
    """Return the balance and the churn of an observed run."""
    before_replacement, after_replacement, before_kill, after_kill = observer.snapshots
    servers = sorted({pair.server for pair in before_replacement})
    limiters_by_server = [sum(pair.server == server for pair in before_replacement) for server in servers]
    return {
        "held": _largest_over_mean(limiters_by_server),
        "sends": _largest_over_mean([observer.attempts.get(server, 0) for server in servers]),
        "pairs": len(observer.used),
        "server": Churn(before_replacement, after_replacement).by_server(),
        "limiter": Churn(before_kill, after_kill).by_limiter(),
    }


def _largest_over_mean(counts: list[int]) -> float:
    return max(counts) / (sum(counts) / len(counts))
