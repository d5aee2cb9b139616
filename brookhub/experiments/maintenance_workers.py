"""The people who work on machines: they follow the limiters' logs and take machines out and back."""

from __future__ import annotations

import signal
import threading
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from time import monotonic, sleep

from .limiter_process import Limiter, LogLine
from .processes import ProcessFleet

SAFE_TO_WORK = "machine safe to work on"  # event in the limiters' logs
POLL_INTERVAL = 0.05  # s

Machines = Mapping[str, Sequence[int | str]]  # by name: servers by id, limiters by name (n4)
Hook = Callable[[Limiter, LogLine], None]


@dataclass(eq=False)
class TakeOut:
    """A machine that is out since `began` (s, monotonic), until `ended` (0 while it is out)."""

    machine: str
    began: float
    ended: float = 0.0


class Workers:
    """Work on each machine as soon as a limiter logs that it is safe.

    Its servers drain, stop after `grace_s` and return `work_s` later, cold; its limiters are shut down and
    started again. `outs` holds every take-out, from "safe to work" to the return. `hooks` may be set: by an
    event, a function that is called with each limiter's log line of such an event. The owner
    ends the threads by `stop`, which raises what went wrong in them.
    """

    def __init__(self, fleet: ProcessFleet, machines: Machines, work_s: float, grace_s: float) -> None:
        self.fleet = fleet
        self.machines = machines
        self.work_s = work_s
        self.grace_s = grace_s
        self.outs: list[TakeOut] = []
        self.hooks: dict[str, Hook] = {}
        self.errors: list[BaseException] = []
        self.lines_read = [0] * len(fleet.limiters)
        self.is_stopped = threading.Event()
        self.thread = threading.Thread(target=self.follow, daemon=True)
        self.thread.start()

    def follow(self) -> None:
        """Read all logs as they grow. Runs in a thread of its own."""
        while not self.is_stopped.is_set():
            for index, limiter in enumerate(self.fleet.limiters):
                lines = limiter.lines()
                for line in lines[self.lines_read[index] :]:
                    self.on_line(limiter, line)
                self.lines_read[index] = len(lines)
            sleep(POLL_INTERVAL)

    def on_line(self, limiter: Limiter, line: LogLine) -> None:
        """Call the hook of a log line, and begin to work on a machine that is safe to work on."""
        event = line.get("event", "")
        hook = self.hooks.get(event)
        if hook:
            hook(limiter, line)
        machine = line.get("machine", "")
        is_out = any(out.machine == machine and not out.ended for out in self.outs)
        if event == SAFE_TO_WORK and not is_out:
            out = TakeOut(machine, monotonic())
            self.outs.append(out)
            threading.Thread(target=self.work, args=(out,), daemon=True).start()

    def work(self, out: TakeOut) -> None:
        """Work on a machine. Runs in a thread of its own."""
        try:
            self.take_out_and_back(out)
        except BaseException as error:  # raised by `stop`
            self.errors.append(error)

    def take_out_and_back(self, out: TakeOut) -> None:
        """Drain a machine's servers, shut everything on it down, work, and bring it back."""
        components = self.machines[out.machine]
        servers = [component for component in components if isinstance(component, int)]
        names = [component for component in components if isinstance(component, str)]
        limiters = [limiter for name in names for limiter in self.fleet.limiters if limiter.name == name]
        self.fleet.upstreams.drain(servers)
        sleep(self.grace_s)
        for server in servers:
            self.fleet.upstreams.crash(server)
        for limiter in limiters:
            self.fleet.kill(limiter, None, signal.SIGTERM)
        sleep(self.work_s)
        for limiter in limiters:
            limiter.start()
            self.fleet.wait_ready(limiter)
        out.ended = monotonic()
        self.fleet.upstreams.revive(servers)

    def max_out(self) -> int:
        """The maximum of machines that were out at a time."""
        return max([0, *(self.out_at(out.began) for out in self.outs)])

    def out_at(self, time: float) -> int:
        """The number of machines that were out at a time (s, monotonic)."""
        return sum(out.began <= time and (not out.ended or time < out.ended) for out in self.outs)

    def stop(self) -> None:
        """Stop following the logs; raises the first error of the work."""
        self.is_stopped.set()
        self.thread.join(5.0)
        if self.errors:
            raise self.errors[0]
