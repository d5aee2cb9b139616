"""Progress of a maintenance plan, read from the logs of limiters."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from .limiter_process import LogLine

# Step that `brookhub maintenance status` prints for a machine, by the last event logged for it.
EVENT_STEPS = {
    "machine drain started": "leaving",
    "machine safe to work on": "safe to work on",
    "machine back in service": "filling",
    "machine work completed": "done",
    "machine drain cancelled": "waits",
    "machine release expired": "waits",
}
# Event names of version 0.11 and earlier, with the present ones. Logs are kept across upgrades, and a fleet
# may run both versions.
EVENTS_OF_0_11 = {
    "plan taken": "plan adopted",
    "plan refused": "plan rejected",
    "plan goes on": "plan resumed",
    "steward": "leadership acquired",
    "steward no more": "leadership lost",
    "permitted": "machine drain started",
    "back": "machine back in service",
    "brought back": "machine drain cancelled",
    "withdrawn": "machine release expired",
    "work takes long": "machine work overdue",
}
# Event names of those versions that were followed by the name of the machine.
EVENT_PREFIXES_OF_0_11 = {
    "safe to work on ": "machine safe to work on",
    "done with ": "machine work completed",
}
# Field names of those versions, with the present ones.
FIELDS_OF_0_11 = {"steward": "leader", "why": "reason", "held": "current_digest"}


def with_current_names(line: LogLine) -> LogLine:
    """Return a maintenance log line of any version with the event and field names of this version."""
    event = line.get("event", "")
    for prefix, current in EVENT_PREFIXES_OF_0_11.items():
        if event.startswith(prefix):
            event = current
    renamed = {FIELDS_OF_0_11.get(name, name): value for name, value in line.items()}
    return renamed | {"event": EVENTS_OF_0_11.get(event, event)}


def maintenance_lines(path: Path) -> Iterator[LogLine]:
    """Yield the lines of a log that are about maintenance, with the names of this version."""
    for text in path.read_text(errors="replace").splitlines():
        with suppress(ValueError):
            line = json.loads(text)
            if isinstance(line, dict) and line.get("what") == "maintenance":
                yield with_current_names(line)


def describe_plan(line: LogLine) -> str:
    """Return the version and digest of a plan as text for operators."""
    return f"version {line.get('version')}, digest {line.get('digest')}"


@dataclass
class MachineStep:
    """The current step of a machine and the timestamp of its start."""

    step: str
    since: str


@dataclass
class PlanStatus:
    """The progress of a plan according to the log lines added so far, in the order of their timestamps."""

    machines: dict[str, MachineStep] = field(default_factory=dict)
    plan: str = ""
    leader: str = ""
    halt_reason: str = ""
    refused: list[str] = field(default_factory=list)

    def add(self, line: LogLine) -> None:
        """Update the progress with a log line."""
        event = line.get("event", "")
        if event == "leadership acquired":
            self.leader = line.get("leader", "")
        elif event == "plan adopted":
            self.plan = describe_plan(line)
        elif event == "plan rejected":
            self.refused.append(f"{describe_plan(line)} (held: {line.get('current_digest')})")
        elif event == "plan halted":
            self.halt_reason = line.get("reason", "")
        elif event == "plan resumed":
            self.halt_reason = ""
        else:
            self.add_step(line.get("machine", ""), event, line.get("timestamp", ""))

    def add_step(self, machine: str, event: str, timestamp: str) -> None:
        """Set the step of a machine after an event. `machine` is empty for events that concern no machine."""
        step = EVENT_STEPS.get(event)
        if machine and step:
            self.machines[machine] = MachineStep(step, timestamp)

    def text(self) -> str:
        """Return a line per machine, then the plan, the leader, the reason of a halt and rejected plans."""
        lines = [f"{name}  {at.step}  since {at.since}" for name, at in self.machines.items()]
        lines.append(f"plan: {self.plan or 'none taken'}")
        lines.append(f"steward: {self.leader or 'none seen'}")
        if self.halt_reason:
            lines.append(f"halted: {self.halt_reason}")
        lines += [f"refused: {plan}" for plan in dict.fromkeys(self.refused)]
        return "\n".join(lines)


def read_status(logs: Iterable[Path]) -> str:
    """Return the progress of a plan as text, according to the logs of limiters."""
    lines = [line for log in logs for line in maintenance_lines(log)]
    status = PlanStatus()
    for line in sorted(lines, key=lambda line: str(line.get("timestamp", ""))):
        status.add(line)
    return status.text()
