"""A fleet whose limiters run the code of two versions, with checks that concern every limiter."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic, sleep

from brookhub.experiments.limiter_process import Limiter
from brookhub.experiments.processes import ProcessFleet

from .limiter_logs import LOG_EVENTS, lines_of
from .report import Report
from .settings import LIMITERS, POLL_INTERVAL_S


def until(condition: Callable[[], bool], seconds: float) -> bool:
    """Wait until a condition holds and return whether it did within `seconds`."""
    deadline = monotonic() + seconds
    while not condition():
        if monotonic() > deadline:
            return False
        sleep(POLL_INTERVAL_S)
    return True


def knows_all(limiter: Limiter) -> bool:
    """Return whether a limiter lists all others, by its last log line about the fleet since its start."""
    lines = lines_of(limiter, LOG_EVENTS.serving + LOG_EVENTS.fleet)
    return bool(lines) and lines[-1].get("present") == LIMITERS


@dataclass
class MixedFleet:
    """Limiter processes of both versions, and the report of the checks that are made on them.

    Attributes:
        processes: Limiter processes with their servers, counter, discovery, relays and load.
        this_folder: Folder of the code of this checkout.
        other_folder: Folder of the code of the other version.
        report: Results of the checks.
    """

    processes: ProcessFleet
    this_folder: Path
    other_folder: Path
    report: Report = field(default_factory=Report)

    @property
    def limiters(self) -> list[Limiter]:
        """Limiters of both versions, in the order of their indices."""
        return self.processes.limiters

    def version(self, limiter: Limiter) -> str:
        """Return "this" or "other", the version whose code a limiter runs."""
        return "this" if limiter.source_folder == self.this_folder else "other"

    def describe(self, limiters: list[Limiter]) -> str:
        """Return the names and versions of limiters as text."""
        return ", ".join(f"n{limiter.index} ({self.version(limiter)})" for limiter in limiters) or "none"

    def check(self, name: str, passed: bool, detail: str) -> None:
        """Record and print the result of a check."""
        self.report.check(name, passed, detail)

    def check_all(self, name: str, condition: Callable[[Limiter], bool], seconds: float) -> None:
        """Check that a condition holds for every limiter within `seconds`."""
        began = monotonic()
        until(lambda: all(map(condition, self.limiters)), seconds)
        missing = [limiter for limiter in self.limiters if not condition(limiter)]
        took = f"all {LIMITERS} after {monotonic() - began:.1f} s"
        self.check(name, not missing, f"not by {self.describe(missing)}" if missing else took)
