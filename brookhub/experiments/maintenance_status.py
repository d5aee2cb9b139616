"""The progress of a maintenance plan, read from limiters' logs."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from .limiter_process import LogLine

# Events on a machine, by their beginning, and the step that they lead to
STEPS = {
    "permitted": "leaving",
    "back": "filling",
    "brought back": "waits",
    "withdrawn": "waits",
    "safe to": "safe to work on",
    "done": "done",
}
PREFIXES = ("safe to", "done")  # of events that go on with the machine's name


def maintenance_lines(path: Path) -> Iterator[LogLine]:
    """The lines of a log that are about maintenance."""
    for text in path.read_text(errors="replace").splitlines():
        with suppress(ValueError):
            line = json.loads(text)
            if isinstance(line, dict) and line.get("what") == "maintenance":
                yield line


def step_of(event: str) -> str | None:
    """The step of a machine that an event leads to; None for events that change none."""
    prefix = next((prefix for prefix in PREFIXES if event.startswith(prefix)), event)
    return STEPS.get(prefix)


def plan_name(line: LogLine) -> str:
    """A plan as people read it."""
    return f"version {line.get('version')}, digest {line.get('digest')}"


@dataclass
class MachineStep:
    """The step that a machine is in, and since when (time stamp)."""

    step: str
    since: str


@dataclass
class PlanStatus:
    """The progress of a plan, from the log lines so far, which are to be given in the order of their time."""

    machines: dict[str, MachineStep] = field(default_factory=dict)
    plan: str = ""
    leader: str = ""
    halt_reason: str = ""
    refused: list[str] = field(default_factory=list)

    def add(self, line: LogLine) -> None:
        """Apply a log line."""
        event = line.get("event", "")
        if event == "steward":
            self.leader = line.get("steward", "")
        elif event == "plan taken":
            self.plan = plan_name(line)
        elif event == "plan refused":
            self.refused.append(f"{plan_name(line)} (held: {line.get('held')})")
        elif event == "plan halted":
            self.halt_reason = line.get("why", "")
        elif event == "plan goes on":
            self.halt_reason = ""
        else:
            self.add_step(line.get("machine", ""), event, line.get("timestamp", ""))

    def add_step(self, machine: str, event: str, timestamp: str) -> None:
        """Apply an event on a machine (empty: on none)."""
        step = step_of(event)
        if machine and step:
            self.machines[machine] = MachineStep(step, timestamp)

    def text(self) -> str:
        """A line per machine, then the plan, the leader, the reason of a halt and refused plans."""
        lines = [f"{name}  {at.step}  since {at.since}" for name, at in self.machines.items()]
        lines.append(f"plan: {self.plan or 'none taken'}")
        lines.append(f"steward: {self.leader or 'none seen'}")
        if self.halt_reason:
            lines.append(f"halted: {self.halt_reason}")
        lines += [f"refused: {plan}" for plan in dict.fromkeys(self.refused)]
        return "\n".join(lines)


def read_status(logs: Iterable[Path]) -> str:
    """The progress of a plan as text, from limiters' logs."""
    lines = [line for log in logs for line in maintenance_lines(log)]
    status = PlanStatus()
    for line in sorted(lines, key=lambda line: str(line.get("timestamp", ""))):
        status.add(line)
    return status.text()
