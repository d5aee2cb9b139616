"""The process lab.

1 to 32 processes of `brookhub run` on loopback, each link relayed, faults by script, judged.

`ProcessFleet(experiment, folder).play()` -> Outcome. Each limiter has an address of its own (lanes.py), dials
every server, the counter and discovery over its own relays and, with membership on, its peers over a UDP
mesh. Ends only the processes it started, by their ids. Docs: docs/process-lab.md. Times in s (monotonic).
"""

from __future__ import annotations

import json
import random
import resource
import signal
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from time import monotonic, sleep
from typing import Callable, Sequence

from ..config.models import Experiment
from ..emulator import Result
from ..emulator.world import ServerModel
from ..fakes import FakeCounter, FakeDiscovery, ModelServer, Timers, host
from ..fault_injection import Relays
from ..model import ServerState
from .address_pool import Lane
from .errors import ExperimentError
from .invariant_checker import Outage, Verdict, judge
from .limiter_process import Limiter
from .load import Load
from .process_faults import ProcessFaults
from .start_files import CELLS, start_file, zone

MOST, LEAST = 32, 1  # processes: what 8 cores start and carry beside a light load; 16 beside a heavy one
READY_IN = 20.0  # s for a limiter to answer PING


@dataclass
class Outcome:
    """A run on processes.

    The emulator's result row, the judge's verdict, this machine's noise (s), the most tries that the whole
    fleet sent one cold server in a second.
    """

    result: Result
    verdict: Verdict
    noise: dict

    def metrics(self) -> dict:
        """All figures under their names, for JSON."""
        return self.result.metrics() | {
            "excused": self.verdict.excused,
            "noise": self.noise,
            "cold_sends_most": max(self.verdict.cold.values(), default=0),
        }


class ProcessFleet:
    """Everything one run needs; a context manager that ends all it started.

    `source_folders`: where each limiter's process finds the package, in the order of their numbers (None: as
    this process does); all as this process does where it is empty.
    """

    def __init__(
        self,
        experiment: Experiment,
        folder: Path,
        seed: int | None = None,
        source_folders: Sequence[Path | None] = (),
    ):
        fleet = experiment.fleet
        if not LEAST <= fleet.limiters <= MOST:
            raise ExperimentError(f"{fleet.limiters} limiters: the process lab plays {LEAST} to {MOST}")
        source_folders = source_folders or [None] * fleet.limiters
        if len(source_folders) != fleet.limiters:
            raise ExperimentError(f"{len(source_folders)} source folders for {fleet.limiters} limiters")
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (hard if hard != resource.RLIM_INFINITY else max(soft, 8192), hard)
        )
        self.experiment, self.folder = experiment, Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.seed = experiment.seed if seed is None else seed
        self.rng = random.Random(f"lab/{self.seed}")
        self.lane = Lane()
        self.timers, self.relays, self.seen = Timers(), Relays(self.seed), []
        self.outages: list[Outage] = []
        self.cuts: list[tuple[str, int, float, float]] = []  # (limiter's address, server, since, until)
        self.events: list[tuple[float, str]] = []
        self.threads: list[threading.Thread] = []
        self.errors: list[BaseException] = []
        self.load: Load | None = None
        self.faults = ProcessFaults(self)
        now = monotonic()
        self.servers: dict[int, ModelServer] = {}
        self.next_server = 0
        for _ in range(fleet.servers.count):
            self.add_server(now - fleet.servers.warm_after_s - 1.0)
        self.counter = FakeCounter(delay=fleet.counter.delay_s)
        self.discovery = FakeDiscovery([], dial=self.dial_of)
        self.limiters = [
            Limiter(index, self.lane.address(index), self.folder, self.write_config, source_folder)
            for index, source_folder in enumerate(source_folders)
        ]
        self.links: dict[tuple[str, int], object] = {}  # (limiter's address, server) -> TcpLink
        self.counter_links = {
            one.address: self.relays.tcp(f"counter/{one.index}", self.counter.endpoint, one.address)
            for one in self.limiters
        }
        self.discovery_links = {
            one.address: self.relays.tcp(f"discovery/{one.index}", self.discovery.endpoint, one.address)
            for one in self.limiters
        }
        for ident in self.servers:
            self.link_server(ident)
        self.discovery.hosts = [self.entry(one) for one in self.servers.values()]
        self.mesh = (
            self.relays.udp_mesh({f"n{one.index}": one.udp for one in self.limiters})
            if fleet.membership.on
            else None
        )

    def __enter__(self) -> "ProcessFleet":
        return self

    def __exit__(self, *_) -> None:
        self.close()

    # building

    def add_server(self, started_at: float, place: int | None = None) -> ModelServer:
        """A server in a place of its own, or in that of another one."""
        spec, ident = self.experiment.fleet.servers, self.next_server
        zones, place = self.experiment.fleet.zones, self.next_server if place is None else place
        model = ServerModel.of(spec, ident, place % zones, (place // zones) % CELLS, started_at)
        self.next_server += 1
        server = ModelServer(model, self.timers, random.Random(f"server/{self.seed}/{ident}"), self.seen)
        self.servers[ident] = server
        return server

    def link_server(self, ident: int) -> None:
        """A relay from each limiter to a server."""
        for one in self.limiters:
            self.links[one.address, ident] = self.relays.tcp(
                f"n{one.index}/s{ident}", self.servers[ident].endpoint, one.address
            )

    def dial_of(self, limiter: str, name: str) -> str:
        """Where a limiter reaches a server."""
        return self.links[limiter, int(name[2:])].address

    def entry(self, server: ModelServer, health: str = "Ready") -> dict:
        """A server as discovery tells it."""
        model = server.model
        cold = monotonic() - model.started_at < model.warm_after
        born = int((time.time() - (monotonic() - model.started_at)) * 1000) if cold else 0
        return host(f"s-{model.id}", "", health, born, zone(model.zone), model.cell)

    def write_config(self, one: Limiter) -> None:
        """Write the start file of a limiter, and the operator's files that it names."""
        membership = None
        if self.mesh:
            path = self.folder / f"n{one.index}.membership.toml"
            path.write_text(self.peers_file(one))
            membership = str(path)
        told = start_file(
            self.experiment,
            one.index,
            random.Random(f"{self.seed}/{one.index}/{one.starts}").getrandbits(62),
            "%s:%d" % one.at,
            self.discovery_links[one.address].address,
            self.counter_links[one.address].address,
            membership,
            str(self.plan_path(one)) if membership else None,
            self.recovery_file(one),
        )
        one.config.write_text(json.dumps(told))

    def recovery_file(self, one: Limiter) -> str | None:
        """The operator's file on the counter's recovery; a ledger on disk outlives the limiter's restarts."""
        spec = self.experiment.fleet.counter
        if not spec.recovery:
            return None
        path, ledger = self.folder / f"n{one.index}.recovery.toml", self.folder / f"n{one.index}.ledger"
        path.write_text(f"beat_s = {spec.beat_s}\n" + f'ledger = "{ledger}"\n' * spec.ledgers_last)
        return str(path)

    def plan_path(self, one: Limiter) -> Path:
        """Where a limiter looks for a plan of work; nothing is there until somebody gives it one."""
        return self.folder / f"n{one.index}.plan.toml"

    def give_plan(self, one: Limiter, text: str) -> None:
        """As an operator does: the file, then SIGHUP."""
        self.plan_path(one).write_text(text)
        one.hit(signal.SIGHUP)

    def peers_file(self, one: Limiter) -> str:
        """The operator's membership file of a limiter.

        Its own address, and each peer's as this one reaches it.
        """
        spec = self.experiment.fleet.membership
        lines = [
            'fleet = "lab"',
            f'name = "n{one.index}"',
            'listen = "%s:%d"' % one.udp,
            f"period_s = {spec.period_s}",
            f"signals = {str(spec.signals).lower()}",
            f"subsets = {str(spec.subsets).lower()}",
        ]
        for other in self.limiters:
            if other is not one:
                lines += [
                    "[[peers]]",
                    f'name = "n{other.index}"',
                    f'address = "{self.mesh.address(f"n{one.index}", f"n{other.index}")}"',
                ]
        return "\n".join(lines) + "\n"

    def start(self) -> None:
        """Start every limiter and wait until all answer PING.

        Raises ExperimentError with the log of one that does not.
        """
        for one in self.limiters:
            one.start()
        for one in self.limiters:
            self.wait_ready(one)

    def wait_ready(self, one: Limiter) -> None:
        """Wait until a limiter answers; raises ExperimentError."""
        end = monotonic() + READY_IN
        while not one.ready():
            if monotonic() > end or not one.alive():
                raise ExperimentError(f"n{one.index} did not start: {one.log_path.read_text()[-800:]}")
            sleep(0.05)

    # faults

    def note(self, text: str) -> None:
        """Note an event of the run."""
        self.events.append((monotonic(), text))

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Do something later in a thread of its own (it may wait for a process to end)."""

        def job() -> None:
            sleep(seconds)
            try:
                callback()
            except BaseException as met:  # told at the end of the run: a fault that was not cleared voids it
                self.errors.append(met)

        thread = threading.Thread(target=job, daemon=True)
        self.threads.append(thread)
        thread.start()

    def kill(self, one: Limiter, back_after: float | None = None, number: int = signal.SIGKILL) -> None:
        """End a limiter's process; start it anew at its address `back_after` s after it is gone."""
        outage = Outage(one.index, monotonic(), float("inf"))
        if (
            number == signal.SIGKILL
        ):  # after SIGTERM all that was taken has to be answered: no outage excuses it
            self.outages.append(outage)
        one.end(number)
        self.note(f"n{one.index} ended by signal {int(number)}")
        if back_after is not None:
            sleep(back_after)
            one.start()
            self.wait_ready(one)
            outage.until = monotonic()
            self.note(f"n{one.index} started again")

    def stall(self, one: Limiter, seconds: float) -> None:
        """SIGSTOP for so long, then SIGCONT."""
        outage = Outage(one.index, monotonic(), monotonic() + seconds, stalled=True)
        self.outages.append(outage)
        one.hit(signal.SIGSTOP)
        self.note(f"n{one.index} stopped")
        sleep(seconds)
        one.hit(signal.SIGCONT)
        outage.until = monotonic()
        self.note(f"n{one.index} woken")

    def split(self, side: list[Limiter], on: bool) -> None:
        """Two sides of limiters hear nothing of each other, or all again."""
        names = {f"n{one.index}" for one in side}
        self.mesh.split(names) if on else self.mesh.clear()
        self.note(f"split {'made' if on else 'healed'}: {sorted(names)}")

    def cut(self, one: Limiter, servers: list[int], way: str, seconds: float) -> None:
        """Links of a limiter to servers carry nothing for so long (s)."""
        for ident in servers:
            self.links[one.address, ident].set(way, cut=True)
            self.cuts.append((one.address, ident, monotonic(), monotonic() + seconds))
        sleep(seconds)
        for ident in servers:
            self.links[one.address, ident].clear()

    def dead(self, ident: int) -> None:
        """A server's machine refuses from now on, also through the relays."""
        self.servers[ident].die()
        for one in self.limiters:
            self.links[one.address, ident].set(refuse=True)

    def returned(self, idents: list[int]) -> None:
        """Servers are back, and cold."""
        now = monotonic()
        for ident in idents:
            self.servers[ident].revive(now)
            self.servers[ident].model.state, self.servers[ident].model.drained_at = ServerState.READY, None
            for one in self.limiters:
                self.links[one.address, ident].clear()
        self.discovery.hosts = [
            self.entry(one) for one in self.servers.values() if one.model.state is ServerState.READY
        ]
        self.discovery.push(*[self.entry(self.servers[ident]) for ident in idents])

    def drain(self, idents: list[int]) -> None:
        """Servers begin to drain."""
        for ident in idents:
            model = self.servers[ident].model
            model.state, model.drained_at = ServerState.DRAINING, monotonic()
        self.discovery.hosts = [
            self.entry(one) for one in self.servers.values() if one.model.state is ServerState.READY
        ]
        self.discovery.push(*[self.entry(self.servers[ident], "Terminating") for ident in idents])

    def gone(self, idents: list[int], replace: bool) -> None:
        """Servers are gone, and others take their places where that is asked."""
        fresh = []
        for ident in idents:
            self.servers[ident].model.state = ServerState.GONE
            self.dead(ident)
            if replace:
                fresh.append(self.add_server(monotonic(), place=ident).model.id)
                self.link_server(fresh[-1])
        self.discovery.hosts = [
            self.entry(one) for one in self.servers.values() if one.model.state is ServerState.READY
        ]
        self.discovery.push(
            *[self.entry(self.servers[ident], "Gone") for ident in idents],
            *[self.entry(self.servers[ident]) for ident in fresh],
        )

    # the run

    def play(self, progress: Callable[[float], None] = lambda done: None) -> Outcome:
        """Start all, play the arrivals and the faults, judge.

        `progress` hears the share that is done (0 to 1).
        """
        self.start()
        load = self.load = Load(self.experiment, [one.at for one in self.limiters], self.seed)
        began, seconds = monotonic(), self.experiment.duration_s
        player = threading.Thread(target=load.run, args=(seconds,), daemon=True)
        player.start()
        todo = sorted(self.experiment.faults, key=lambda one: one.at_s)
        while player.is_alive():
            now = monotonic() - began
            while todo and todo[0].at_s <= now:
                self.faults.play(todo.pop(0))
            progress(min(1.0, now / seconds))
            player.join(0.05 if not todo else max(0.0, min(0.05, todo[0].at_s - now)))
        for thread in self.threads:
            thread.join(READY_IN)
        if self.errors:
            raise ExperimentError(f"a fault could not be played or cleared: {self.errors[0]}")
        return self.outcome(load, began)

    def hurt(self, limiter: str, ident: int, at: float) -> bool:
        """Whether a limiter's way to a server was cut, or it stood still, then."""
        return any(
            who == limiter and server == ident and since <= at <= until + 1.0
            for who, server, since, until in self.cuts
        ) or any(
            outage.stalled
            and self.limiters[outage.limiter].address == limiter
            and outage.since <= at <= outage.until + 1.0
            for outage in self.outages
        )

    def outcome(self, load: Load, began: float) -> Outcome:
        """Sum up and judge a run."""
        zones = {ident: (one.model.zone, one.model.cell) for ident, one in self.servers.items()}
        falls = sum(one.model.falls for one in self.servers.values())
        verdict = judge(self.experiment, load.asked, self.seen, self.outages, falls, zones, began, self.hurt)
        result, counted = Result(), began + self.experiment.settle_s
        for one in load.asked:
            if one.sent < counted:
                continue
            result.calls += 1
            how = one.answers[0][1] if one.answers else ""
            if how == "proxied":
                result.proxied += 1
                result.latency.record_value(max(1, int((one.answers[0][0] - one.sent) * 1e6)))
            elif how == "rate-limited":
                result.rate_limited += 1
            elif how == "errored":
                result.errored += 1
            elif one.end == "left":
                result.left += 1
            else:
                result.lost += 1
        result.tries, result.counter_calls, result.cold_falls = (
            len(self.seen),
            self.counter.request_count,
            falls,
        )
        result.broken, result.first_break = verdict.counts(), verdict.first()
        result.wall_s = monotonic() - began
        overs = []
        for customer, (plan_number, _) in enumerate(load.customers):
            plan = self.experiment.fleet.plans[plan_number]
            if plan.rate:
                allowed = plan.burst + plan.rate * self.experiment.duration_s
                overs.append(max(0.0, verdict.use.get(customer, 0.0) / allowed - 1.0))
            if plan.ceiling_rate:
                allowed = plan.ceiling_burst + plan.ceiling_rate * self.experiment.duration_s
                over = max(0.0, verdict.use.get(customer, 0.0) / allowed - 1.0)
                result.ceiling_overshoot = max(result.ceiling_overshoot, over)
        result.quota_overshoot = sum(overs) / len(overs) if overs else 0.0
        result.worst_overshoot = max(overs, default=0.0)
        noise = {"arrivals_late_s": round(load.late, 4), "timers_late_s": round(self.timers.max_delay, 4)}
        return Outcome(result, verdict, noise)

    def close(self) -> None:
        """End all that was started."""
        for one in self.limiters:
            one.end()
        self.relays.close()
        for one in (self.counter, self.discovery, *self.servers.values()):
            one.close()
        self.timers.close()
        self.lane.close()
