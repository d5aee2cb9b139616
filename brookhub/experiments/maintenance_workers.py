"""Simulated operators, who follow the limiters' logs, take machines out of service and return them."""

from __future__ import annotations

import signal
import threading
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from time import monotonic, sleep

from .limiter_process import Limiter, LogLine
from .processes import ProcessFleet

SAFE_TO_WORK = "machine safe to work on"  # Event in the limiters' logs.
POLL_INTERVAL = 0.05  # Seconds between two reads of the logs.

# Components of each machine by its name: ids of servers and names of limiters, such as n4.
Machines = Mapping[str, Sequence[int | str]]
Hook = Callable[[Limiter, LogLine], None]  # Called with a limiter and a line of its log.


@dataclass(eq=False)
class MachineOutage:
    """A time in which a machine is out of service.

    Attributes:
        machine: Name of the machine.
        began: Start in seconds on the monotonic clock.
        ended: End in seconds on the monotonic clock, 0 while the machine is out.
    """

    machine: str
    began: float
    ended: float = 0.0


class Workers:
    """Simulated operators, who work on a machine as soon as a limiter logs that this is safe.

    The machine's servers drain and stop after `grace_s` seconds. They return `work_s` seconds later with a
    slow start. The machine's limiters are shut down and started again. The owner has to call `stop`, which
    raises an error that occurred in the threads.

    Attributes:
        fleet: The fleet that the machines belong to.
        machines: Components of each machine by its name.
        work_s: Seconds of work on a machine.
        grace_s: Seconds from the start of a server's drain to its end.
        outs: Every time that a machine was out, from the log line of SAFE_TO_WORK to its return.
        hooks: Functions by event; callers may add some. Each is called with every log line of its event, from
            any limiter.
        errors: Exceptions raised in the threads.
    """

    def __init__(self, fleet: ProcessFleet, machines: Machines, work_s: float, grace_s: float) -> None:
        self.fleet = fleet
        self.machines = machines
        self.work_s = work_s
        self.grace_s = grace_s
        self.outs: list[MachineOutage] = []
        self.hooks: dict[str, Hook] = {}
        self.errors: list[BaseException] = []
        self.lines_read = [0] * len(fleet.limiters)
        self.is_stopped = threading.Event()
        self.thread = threading.Thread(target=self.follow, daemon=True)
        self.thread.start()

    def follow(self) -> None:
        """Handle new lines of all logs until `stop` is called. Runs in a thread of its own."""
        while not self.is_stopped.is_set():
            for index, limiter in enumerate(self.fleet.limiters):
                lines = limiter.lines()
                for line in lines[self.lines_read[index] :]:
                    self.on_line(limiter, line)
                self.lines_read[index] = len(lines)
            sleep(POLL_INTERVAL)

    def on_line(self, limiter: Limiter, line: LogLine) -> None:
        """Call the hook for a log line, and start the work on a machine that is safe to work on."""
        event = line.get("event", "")
        hook = self.hooks.get(event)
        if hook:
            hook(limiter, line)
        machine = line.get("machine", "")
        is_out = any(out.machine == machine and not out.ended for out in self.outs)
        if event == SAFE_TO_WORK and not is_out:
            out = MachineOutage(machine, monotonic())
            self.outs.append(out)
            threading.Thread(target=self.work, args=(out,), daemon=True).start()

    def work(self, out: MachineOutage) -> None:
        """Work on a machine; if this raises an exception, record it. Runs in a thread of its own."""
        try:
            self.service_machine(out)
        except BaseException as error:  # `stop` raises the first one.
            self.errors.append(error)

    def service_machine(self, out: MachineOutage) -> None:
        """Drain a machine's servers, stop all its components, work on it, and return it to service."""
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
        """Return the maximum number of machines that were out at the same time."""
        return max([0, *(self.count_out(out.began) for out in self.outs)])

    def count_out(self, time: float) -> int:
        """Return the number of machines that were out at a time in seconds on the monotonic clock."""
        return sum(out.began <= time and (not out.ended or time < out.ended) for out in self.outs)

    def stop(self) -> None:
        """Stop following the logs. Raises the first exception that was raised during the work."""
        self.is_stopped.set()
        self.thread.join(5.0)
        if self.errors:
            raise self.errors[0]
