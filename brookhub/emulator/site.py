"""Emulated site that runs a maintenance plan, with each limiter's real maintenance and simulated operators.

`Site(...)` runs by itself, without requests, which is fast enough for thousands of runs.
`Site(..., fleet=...)` runs on a whole emulated Fleet, in which the servers of machines that are out are down.
Times are in simulated seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

from ..maintenance import Machine, Message, Plan, Settings
from ..model import ServerState
from .engine import Engine
from .fleet import Fleet
from .peers import member_name
from .server_model import ServerMode
from .servers import EmulatedServer
from .site_limiter import TICK_INTERVAL, SiteLimiter
from .site_links import SiteLinks

LIST_DELAY = 0.2  # Seconds until the server list shows that a machine is draining, gone or back.
DRAIN_TIME = 1.0  # Seconds from the announcement of a machine's drain to its end.
PROMPT_START = 0.05  # Share of `start_within_s` after which most operators start work.
LATE_START_SHARE = 0.2  # Share of the operators who start work at a random time within `start_within_s`.
MAX_WORK_FACTOR = 1.25  # Work takes 0.75 to 1.25 times `work_time`.
TIMETABLE_MARGIN = 1.1  # Duration of a step of the timetable as a multiple of the maximum that it needs.


class Scheduling(str, Enum):
    """Way to decide when a machine is taken out of service. Experiments use the values as parameters."""

    AGREED = "agreed"  # The voters decide together, as the real maintenance does.
    TIMETABLE = "timetable"  # `max_out` machines at a time go out at fixed times, regardless of faults.
    ALONE = "alone"  # Each voter decides alone, by its own view of the server list.


@dataclass(frozen=True)
class SiteSettings:
    """Settings of a site and of the run of its plan."""

    limiters: int = 200
    seed: int = 1
    scheduling: Scheduling = Scheduling.AGREED
    work_time: float = 6.0  # Mean time in seconds of the work on a machine.
    lease: float = 3.0  # In seconds.
    begins_at: float = 5.0  # Start of the plan, in seconds.


class Site:
    """Site of machines, limiters that agree on which machine goes out, and simulated operators.

    `violations` holds descriptions of violated limits. `ended_at` is the time (s) at which the plan was done.
    `max_out` is the maximum number of machines that were out at once. `done` holds the machines whose work is
    finished.
    """

    def __init__(
        self, plan: Plan, settings: SiteSettings = SiteSettings(), fleet: Fleet | None = None
    ) -> None:
        self.plan = plan
        self.scheduling = settings.scheduling
        self.work_time = settings.work_time
        self.fleet = fleet
        self.engine = fleet.engine if fleet else Engine()
        self.rng = Random(f"site/{settings.seed}")
        self.settings = Settings(lease_s=settings.lease, request_timeout_s=3.0, announce_interval_s=0.5)
        self.is_up = {machine.name: True for machine in plan.machines}
        self.listed_up = dict(self.is_up)
        self.worked_on: set[str] = set()  # Machines that are down for work, not because of a failure.
        self.out_since: dict[str, float] = {}  # By machine: the time (s) since which work on it is allowed.
        self.done: set[str] = set()
        self.violations: list[str] = []
        self.ended_at: float | None = None
        self.max_out = 0
        self.limiters: dict[str, SiteLimiter] = {}
        self.links = SiteLinks(self.engine, self.rng, self.limiters)
        for index in range(settings.limiters):
            self.limiters[member_name(index)] = SiteLimiter(self, member_name(index))
        for limiter in self.limiters.values():
            limiter.start()
        self._schedule_begin(settings.begins_at)

    def _schedule_begin(self, begins_at: float) -> None:
        """Schedule the start of the plan at time `begins_at` (s) by the site's scheduling."""
        if self.scheduling is Scheduling.AGREED:
            self.engine.call_at(begins_at, self._submit_plan)
        elif self.scheduling is Scheduling.TIMETABLE:
            self.engine.call_at(begins_at, lambda: self._follow_timetable(0))
        else:
            for name in self.plan.voters:
                self.engine.call_at(begins_at + self.rng.random(), self._list_checks(name))

    def _submit_plan(self) -> None:
        """Submit the plan to a random limiter."""
        name = self.rng.choice(self.limiter_names())
        self.limiters[name].core.submit_plan(self.plan)

    # site_limiter.SiteServices

    def limiter_names(self) -> list[str]:
        """Return the names of all limiters."""
        return list(self.limiters)

    def visible_limiters(self, name: str) -> list[str]:
        """Return the other limiters that the membership of a limiter sees as present."""
        return self.links.visible_limiters(name)

    def send(self, source: str, peer: str, message: Message) -> None:
        """Send a message from one limiter to another over the modelled links."""
        self.links.send(source, peer, message)

    def withhold_traffic(self, name: str, machines: tuple[str, ...]) -> None:
        """Make a limiter of the fleet, if there is one, send no traffic to these machines."""
        if self.fleet:
            servers = [server for machine in machines for server in self._machine(machine).servers]
            self.fleet.withhold_servers(limiter_index(name), set(map(server_id, servers)))

    def is_idle(self, name: str, machine: Machine) -> bool:
        """Return whether a limiter has no attempt in flight at a machine; always true without a fleet."""
        if not self.fleet:
            return True
        servers = set(map(server_id, machine.servers))
        return not any(
            attempt.server.id in servers and attempt.outcome is None
            for request in self.fleet.limiters[limiter_index(name)].requests.values()
            for attempt in request.attempts
        )

    def on_event(self, name: str, event: str, fields: dict[str, Any]) -> None:
        """Handle an event that a limiter logs: start work on a machine that is reported as safe."""
        if event == "machine safe to work on":
            self.begin_work(fields["machine"])

    # machines

    def _machine(self, name: str) -> Machine:
        """Return the plan's machine `name`. Raises KeyError if there is none."""
        machine = self.plan.machine(name)
        if machine is None:
            raise KeyError(name)
        return machine

    def set_machine_up(self, machine: str, up: bool, drain_time: float = DRAIN_TIME) -> None:
        """Bring a machine up, or drain it for `drain_time` (s) and stop it. With 0 it stops at once."""

        def update_list() -> None:
            self.listed_up[machine] = up

        self.engine.call_later(LIST_DELAY, update_list)
        if self.fleet:
            names = self._machine(machine).servers
            models = [self.fleet.servers.models[server_id(name)] for name in names]
            self._set_servers_up(self.fleet, machine, models, up, drain_time)
        self.is_up[machine] = up

    def _set_servers_up(
        self, fleet: Fleet, machine: str, models: list[EmulatedServer], up: bool, drain_time: float
    ) -> None:
        """Bring the servers of a machine up, or drain and stop them, in the emulated fleet."""
        now = self.engine.now
        for model in models:
            if up:
                model.state = ServerState.READY
                model.drained_at = None
                model.restart(now)
            elif drain_time:
                model.state = ServerState.DRAINING
                model.drained_at = now
        fleet.discovery.publish(models)
        if up:
            return

        def stop() -> None:
            if not self.is_up[machine]:
                for model in models:
                    model.mode = ServerMode.DEAD

        self.engine.call_later(drain_time, stop)

    # simulated operators

    def begin_work(self, machine: str) -> None:
        """Start work on a machine, which was reported as safe to work on, within `start_within_s` seconds."""
        if machine in self.out_since:
            return
        self.out_since[machine] = self.engine.now
        self._check_machines_out()
        is_late = self.rng.random() < LATE_START_SHARE
        delay = self.plan.start_within_s * (self.rng.random() if is_late else PROMPT_START)
        self.engine.call_later(delay, lambda: self._work(machine))

    def _work(self, machine: str) -> None:
        """Take a machine down and schedule the end of the work on it."""
        self.worked_on.add(machine)
        self.set_machine_up(machine, False)
        duration = self.work_time * (0.75 + 0.5 * self.rng.random())
        self.engine.call_later(DRAIN_TIME + duration, lambda: self._finish_work(machine))

    def _finish_work(self, machine: str) -> None:
        """Bring a machine back up after the work on it."""
        self.out_since.pop(machine, None)
        self.worked_on.discard(machine)
        self.done.add(machine)
        self.set_machine_up(machine, True)
        are_all_done = len(self.done) == len(self.plan.machines)
        if are_all_done and self.ended_at is None and self.scheduling is not Scheduling.AGREED:
            self.ended_at = self.engine.now + self.plan.warm_up_s

    def _check_machines_out(self) -> None:
        """Check the plan's limits on the machines that are out at once."""
        out = [self._machine(name) for name in self.out_since]
        self.max_out = max(self.max_out, len(out))
        if len(out) > self.plan.max_out:
            self._report(f"{len(out)} out: {sorted(self.out_since)}")
        for machine in out:
            if sum(other.zone == machine.zone for other in out) > self.plan.max_out_per_zone:
                self._report(f"zone {machine.zone}: {sorted(self.out_since)}")

    def _report(self, violation: str) -> None:
        """Record a violation with the current time."""
        self.violations.append(f"{self.engine.now:.1f} s: {violation}")

    # scheduling without agreement, as baselines

    def _follow_timetable(self, first: int) -> None:
        """Take out the next `max_out` machines from index `first`, and schedule the following step.

        A step is longer than the maximum time of drain, start, work and warm-up.
        """
        plan = self.plan
        for machine in plan.machines[first : first + plan.max_out]:
            self.begin_work(machine.name)
        following = first + plan.max_out
        if following < len(plan.machines):
            step = DRAIN_TIME + MAX_WORK_FACTOR * self.work_time + plan.start_within_s + plan.warm_up_s
            self.engine.call_later(TIMETABLE_MARGIN * step, lambda: self._follow_timetable(following))

    def _list_checks(self, name: str) -> Callable[[], None]:
        """Return a voter's repeated check of the server list.

        Each check takes out the next machine if, by the list, the plan allows one more.
        """

        def check() -> None:
            listed_down = sum(not up for up in self.listed_up.values())
            left = [
                machine
                for machine in self.plan.machines
                if machine.name not in self.done and machine.name not in self.out_since
            ]
            if self.limiters[name].is_running() and listed_down < self.plan.max_out and left:
                self.begin_work(left[0].name)
            if left:
                self.engine.call_later(TICK_INTERVAL * (0.5 + self.rng.random()), check)

        return check

    # the run

    def run(self, until: float) -> Site:
        """Run until the plan is done or time `until` (s) is reached, and return the site."""
        while self.engine.now < until and self.ended_at is None:
            self.engine.run(self.engine.now + 1.0)
            if self.scheduling is Scheduling.AGREED:
                self._check_leaders()
        return self

    def _check_leaders(self) -> None:
        """Check that at most one voter acts as leader, and record the end of the plan."""
        voters = [self.limiters[name] for name in self.plan.voters]
        alive = [voter for voter in voters if voter.is_alive]
        acting = [voter.name for voter in alive if voter.acts_as_leader()]
        if len(acting) > 1:
            self._report(f"the permit in two hands: {acting}")
        if not self.out_since and any(voter.sees_plan_finished() for voter in alive):
            self.ended_at = self.engine.now


def limiter_index(name: str) -> int:
    """Return the index of the limiter `name` in the fleet."""
    return int(name.removeprefix("n"))


def server_id(name: str) -> int:
    """Return the id of the server `name` in the fleet."""
    return int(name.removeprefix("s-"))
