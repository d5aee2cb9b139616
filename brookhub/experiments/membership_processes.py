"""Measures membership on processes of the program over loopback, under a light load.

Times are taken from the log lines of all limiters, cost from the relays' counts.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from time import monotonic, sleep, time

from ..config.models import Experiment
from .jobs import Row
from .limiter_process import Limiter, LogLine
from .processes import ProcessFleet

CONVERGED_AFTER = 4.0  # s after the start
SETTLED_AFTER = 2.0  # s between two measurements
DOWN_TIME = 1.0  # s between the end of a limiter's process and its start
REACHED_WITHIN = 15.0  # s, after which a figure is None
POLL_INTERVAL = 0.1  # s
DATAGRAM_HEADERS = 28  # bytes of the IP and UDP headers
PACKET_FAULTS = 0.1  # share of packets that are lost, duplicated and reordered
VICTIM = 3  # index of the limiter that is killed


@dataclass(frozen=True)
class Durations:
    """How long (s) the fleet is quiet, split, and under packet faults."""

    quiet: float = 10.0
    split: float = 8.0
    loss: float = 30.0


def experiment(seed: int, limiters: int) -> Experiment:
    """A fleet with membership under a light load."""
    return Experiment.model_validate(
        {
            "name": "membership",
            "duration_s": 600.0,
            "seed": seed,
            "fleet": {
                "limiters": limiters,
                "membership": {"on": True},
                "servers": {"count": 6},
                "routes": [{"name": "look", "target_s": 0.5, "client_timeout_s": 2.0}],
                "plans": [{"name": "wide", "rate": 200, "burst": 400, "customers": 4, "calls_per_s": 10}],
            },
        }
    )


def fleet_lines(limiter: Limiter) -> list[LogLine]:
    """A limiter's log lines on the members that it sees."""
    return [line for line in limiter.lines() if line["event"] == "fleet"]


def logged_at(line: LogLine) -> float:
    """When a line was logged (s, Unix time)."""
    return datetime.fromisoformat(line["timestamp"].replace("Z", "+00:00")).timestamp()


def first_logged(limiter: Limiter, condition: Callable[[LogLine], bool], began: float) -> float | None:
    """When a limiter first logged a line after `began` (s, Unix time) that meets a condition."""
    times = (logged_at(line) for line in fleet_lines(limiter) if condition(line))
    return min((logged for logged in times if logged >= began), default=None)


def time_until_all_logged(
    limiters: Sequence[Limiter], condition: Callable[[LogLine], bool], began: float
) -> float | None:
    """S from `began` (Unix time) until the last limiter first logged a line that meets a condition."""
    deadline = monotonic() + REACHED_WITHIN
    while monotonic() < deadline:
        times = [first_logged(limiter, condition, began) for limiter in limiters]
        reached = [logged for logged in times if logged is not None]
        if len(reached) == len(limiters):
            return max(reached) - began
        sleep(POLL_INTERVAL)
    return None


class MembershipRun:
    """The measurements on one fleet, one after another; each returns its figures by name."""

    def __init__(self, fleet: ProcessFleet, durations: Durations) -> None:
        self.fleet = fleet
        self.durations = durations
        self.count = len(fleet.limiters)

    def all_present(self, line: LogLine) -> bool:
        """Whether a log line says that all limiters are present."""
        return bool(line["present"] == self.count)

    def sent(self) -> tuple[int, int]:
        """The datagrams and bytes that all members sent so far."""
        directions = self.fleet.mesh.directions.values()
        return sum(each.packets for each in directions), sum(each.bytes for each in directions)

    def quiet(self) -> Row:
        """What a member sends per second while nothing happens."""
        datagrams_before, bytes_before = self.sent()
        sleep(self.durations.quiet)
        datagrams_after, bytes_after = self.sent()
        datagrams = datagrams_after - datagrams_before
        size = bytes_after - bytes_before + DATAGRAM_HEADERS * datagrams
        return {
            "datagrams_per_s": datagrams / self.count / self.durations.quiet,
            "bytes_per_s": size / self.count / self.durations.quiet,
        }

    def death(self) -> Row:
        """When a limiter's death is known to all, and when its return is."""
        victim = self.fleet.limiters[VICTIM]
        others = [limiter for limiter in self.fleet.limiters if limiter is not victim]
        dead = f"{victim.name} dead"
        victim.kill()
        known = time_until_all_logged(others, lambda line: dead in line["absent"], time())
        victim.end()
        sleep(DOWN_TIME)
        victim.start()
        started = time()
        self.fleet.wait_ready(victim)
        return {"all_s": known, "back_s": time_until_all_logged(others, self.all_present, started)}

    def split(self) -> Row:
        """When all agree after a split into halves."""
        self.fleet.split(self.fleet.limiters[: self.count // 2])
        sleep(self.durations.split)
        self.fleet.heal()
        return {"agree_s": time_until_all_logged(self.fleet.limiters, self.all_present, time())}

    def packet_faults(self) -> Row:
        """False deaths while packets are lost, duplicated and reordered."""
        self.fleet.mesh.set_all(loss=PACKET_FAULTS, duplicate=PACKET_FAULTS, reorder=PACKET_FAULTS)
        began = time()
        sleep(self.durations.loss)
        false_deaths = sum(
            any(" dead" in text for text in line["absent"])
            for limiter in self.fleet.limiters
            for line in fleet_lines(limiter)
            if logged_at(line) > began
        )
        return {"false": false_deaths, "seconds": self.durations.loss}


def on_processes(folder: Path, seed: int, limiters: int = 8, durations: Durations = Durations()) -> Row:
    """One row of figures; times in s, None where the state was not reached within REACHED_WITHIN."""
    row: Row = {"what": "processes", "members": limiters, "protocol": "lifeguard", "seed": seed}
    with ProcessFleet(experiment(seed, limiters), folder, seed) as fleet:
        fleet.start()
        run = MembershipRun(fleet, durations)
        sleep(CONVERGED_AFTER)
        row |= run.quiet()
        row |= run.death()
        sleep(SETTLED_AFTER)
        row |= run.split()
        sleep(SETTLED_AFTER)
        row |= run.packet_faults()
    return row
