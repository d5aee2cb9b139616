"""Measurements of membership on processes of the program over loopback, under a light load.

Times are taken from the log lines of all limiters, and traffic from the relays' counts.
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

CONVERGED_AFTER = 4.0  # Seconds after the start at which all members know each other.
SETTLED_AFTER = 2.0  # Seconds between two measurements.
DOWN_TIME = 1.0  # Seconds between the end of a limiter's process and its restart.
REACHED_WITHIN = 15.0  # Maximum seconds to wait for a state. If it is not reached, its figure is None.
POLL_INTERVAL = 0.1  # Seconds between two reads of the logs.
DATAGRAM_HEADERS = 28  # Bytes of the IP and UDP headers of a datagram.
PACKET_FAULTS = 0.1  # Share of packets that are lost, duplicated and reordered, each.
KILLED_INDEX = 3  # Index of the limiter that is killed.


@dataclass(frozen=True)
class Durations:
    """Durations in seconds of the idle phase, the split and the packet faults."""

    quiet: float = 10.0
    split: float = 8.0
    loss: float = 30.0


def experiment(seed: int, limiters: int) -> Experiment:
    """Return an experiment on a fleet with membership under a light load."""
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
    """Return a limiter's log lines about the members that it knows."""
    return [line for line in limiter.lines() if line["event"] == "fleet"]


def logged_at(line: LogLine) -> float:
    """Return the Unix time in seconds at which a line was logged."""
    return datetime.fromisoformat(line["timestamp"].replace("Z", "+00:00")).timestamp()


def first_logged(limiter: Limiter, condition: Callable[[LogLine], bool], began: float) -> float | None:
    """Return the Unix time at which a limiter first logged a matching line after `began`, None if never."""
    times = (logged_at(line) for line in fleet_lines(limiter) if condition(line))
    return min((logged for logged in times if logged >= began), default=None)


def time_until_all_logged(
    limiters: Sequence[Limiter], condition: Callable[[LogLine], bool], began: float
) -> float | None:
    """Return the seconds from `began`, a Unix time, until every limiter has logged a matching line.

    Waits up to REACHED_WITHIN seconds and returns None if a limiter has not logged one by then.
    """
    deadline = monotonic() + REACHED_WITHIN
    while monotonic() < deadline:
        times = [first_logged(limiter, condition, began) for limiter in limiters]
        reached = [logged for logged in times if logged is not None]
        if len(reached) == len(limiters):
            return max(reached) - began
        sleep(POLL_INTERVAL)
    return None


class MembershipRun:
    """Measurements on one fleet, run one after another. Each one returns its figures by name."""

    def __init__(self, fleet: ProcessFleet, durations: Durations) -> None:
        self.fleet = fleet
        self.durations = durations
        self.count = len(fleet.limiters)

    def all_present(self, line: LogLine) -> bool:
        """Return whether a log line reports that all limiters are present."""
        return bool(line["present"] == self.count)

    def sent_totals(self) -> tuple[int, int]:
        """Return the numbers of datagrams and bytes that all members have sent so far."""
        directions = self.fleet.mesh.directions.values()
        return sum(each.packets for each in directions), sum(each.bytes for each in directions)

    def measure_idle(self) -> Row:
        """Measure the datagrams and bytes per second that a member sends while nothing changes."""
        datagrams_before, bytes_before = self.sent_totals()
        sleep(self.durations.quiet)
        datagrams_after, bytes_after = self.sent_totals()
        datagrams = datagrams_after - datagrams_before
        size = bytes_after - bytes_before + DATAGRAM_HEADERS * datagrams
        return {
            "datagrams_per_s": datagrams / self.count / self.durations.quiet,
            "bytes_per_s": size / self.count / self.durations.quiet,
        }

    def measure_death(self) -> Row:
        """Measure the times until all others know of a limiter's death and of its return."""
        killed = self.fleet.limiters[KILLED_INDEX]
        others = [limiter for limiter in self.fleet.limiters if limiter is not killed]
        dead = f"{killed.name} dead"
        killed.kill()
        known = time_until_all_logged(others, lambda line: dead in line["absent"], time())
        killed.end()
        sleep(DOWN_TIME)
        killed.start()
        started = time()
        self.fleet.wait_ready(killed)
        return {"all_s": known, "back_s": time_until_all_logged(others, self.all_present, started)}

    def measure_split(self) -> Row:
        """Measure the time until all limiters agree after a split into halves has been healed."""
        self.fleet.split(self.fleet.limiters[: self.count // 2])
        sleep(self.durations.split)
        self.fleet.heal()
        return {"agree_s": time_until_all_logged(self.fleet.limiters, self.all_present, time())}

    def count_false_deaths(self) -> Row:
        """Count false reports of deaths while packets are lost, duplicated and reordered."""
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


def measure_on_processes(
    folder: Path, seed: int, limiters: int = 8, durations: Durations = Durations()
) -> Row:
    """Run all measurements and return a row of figures.

    Times are in seconds, and None if the state was not reached within REACHED_WITHIN.
    """
    row: Row = {"what": "processes", "members": limiters, "protocol": "lifeguard", "seed": seed}
    with ProcessFleet(experiment(seed, limiters), folder, seed) as fleet:
        fleet.start()
        run = MembershipRun(fleet, durations)
        sleep(CONVERGED_AFTER)
        row |= run.measure_idle()
        row |= run.measure_death()
        sleep(SETTLED_AFTER)
        row |= run.measure_split()
        sleep(SETTLED_AFTER)
        row |= run.count_false_deaths()
    return row
