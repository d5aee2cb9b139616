"""Reading of the limiters' logs, whose events have other names in older versions of the program."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from brookhub.experiments.limiter_process import Limiter
from brookhub.experiments.maintenance_workers import Workers


@dataclass(frozen=True)
class LogEvents:
    """Names of each event in the logs of all versions that may run here, oldest version first."""

    serving: tuple[str, ...] = ("serving",)  # The first line after a start.
    fleet: tuple[str, ...] = ("fleet",)
    ejected_servers: tuple[str, ...] = ("servers left alone", "upstreams ejected")
    counter_known: tuple[str, ...] = ("counter known", "counter epoch joined")
    counter_changed: tuple[str, ...] = ("counter changed", "counter epoch changed")
    counter_sure: tuple[str, ...] = ("counter sure", "counter reconciled")
    ledger_read: tuple[str, ...] = ("ledger read", "ledger loaded")
    plan_taken: tuple[str, ...] = ("plan taken", "plan adopted")
    plan_refused: tuple[str, ...] = ("plan refused", "plan rejected")
    leads_plan: tuple[str, ...] = ("steward", "leadership acquired")
    # In versions up to 0.11 the next two are followed by the name of the machine
    safe_to_work: tuple[str, ...] = ("safe to work on ", "machine safe to work on")
    machine_done: tuple[str, ...] = ("done with ", "machine work completed")
    fault: tuple[str, ...] = ("fault", "internal error")


LOG_EVENTS = LogEvents()
# Fields of `ledger_read`, with their names in versions up to 0.11
LEDGER_FIELDS = {
    "entries": "names",
    "records": "records",
    "corrupt_records": "skipped",
    "truncated_bytes": "torn",
}
SAFE_TO_WORK = LOG_EVENTS.safe_to_work[-1]  # The name that `Workers` of this checkout expect.


def lines_of(limiter: Limiter, events: tuple[str, ...]) -> list[dict[str, Any]]:
    """Return a limiter's log lines of an event, since its first start."""
    return [line for line in limiter.lines() if line.get("event") in events]


def lines_starting_with(limiter: Limiter, prefixes: tuple[str, ...]) -> list[dict[str, Any]]:
    """Return a limiter's log lines whose event starts with one of the prefixes."""
    return [line for line in limiter.lines() if line.get("event", "").startswith(prefixes)]


def ledger_fields(line: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a `ledger_read` line of either version, None for each that is missing."""
    return {field: line.get(field, line.get(old)) for field, old in LEDGER_FIELDS.items()}


class MixedWorkers(Workers):
    """Simulated technicians who work on machines and follow the logs of both versions."""

    def on_line(self, limiter: Limiter, line: dict[str, Any]) -> None:
        """Handle a log line of either version, with the event name that this checkout uses."""
        event = line.get("event", "")
        if event.startswith(LOG_EVENTS.safe_to_work):
            line = line | {"event": SAFE_TO_WORK}
        super().on_line(limiter, line)
