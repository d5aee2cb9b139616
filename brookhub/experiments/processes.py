"""A fleet of 1 to 32 limiter processes on loopback, with scripted faults and checks of the invariants.

`ProcessFleet(experiment, folder).run()` returns an Outcome. Each limiter has its own IP address
(address_pool.py). It reaches every server, the counter, discovery and, if membership is enabled, its peers
over relays that only it uses. The fleet ends only processes that it started, by their ids. Times are seconds
on the monotonic clock. Docs: docs/process-lab.md.
"""

from __future__ import annotations

import random
import resource
import signal
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from time import monotonic, sleep
from types import TracebackType

from ..config.models import Experiment
from ..emulator import Result
from ..fakes import FakeCounter, FakeDiscovery, ModelServer, ServerAttempt
from ..fault_injection import DirectionName, Relays, TcpLink, UdpMesh
from .address_pool import AddressRange
from .errors import ExperimentError
from .fleet_files import FleetFiles, FleetLinks
from .invariant_checker import Outage, RunRecords, ServerPlace, check_invariants
from .limiter_process import Limiter
from .load import Load
from .outcome import Noise, Outcome, count_requests, measure_overshoot
from .process_faults import ProcessFaults
from .upstreams import Upstreams

MIN_LIMITERS = 1
MAX_LIMITERS = 32  # A machine with 8 cores runs 32 limiters under a light load, 16 under a heavy one.
READY_TIMEOUT = 20.0  # Maximum seconds until a started limiter answers PING.
MIN_OPEN_FILES = 8192
FAULT_POLL_INTERVAL = 0.05  # Maximum seconds between two checks for due faults.
UNREACHABLE_AFTERMATH = 1.0  # Seconds after a cut or stall until a server learns of a cancellation.

Progress = Callable[[float], None]  # Takes the share of the work that is done, 0 to 1.


def no_progress(done: float) -> None:
    """Do nothing. The default for callers that do not show the progress."""


@dataclass(frozen=True)
class LinkCut:
    """A time in which a link from a limiter to a server carried no data.

    Attributes:
        limiter: IP address of the limiter.
        server: Id of the server.
        since: Start of the cut in seconds on the monotonic clock.
        until: End of the cut in seconds on the monotonic clock.
    """

    limiter: str
    server: int
    since: float
    until: float


@dataclass(frozen=True)
class FleetEvent:
    """An event of the run, described for operators."""

    time: float
    text: str


def raise_open_files_limit() -> None:
    """Raise this process's limit of open files, which the processes that it starts inherit.

    The new limit is the hard limit. If that is infinite, it is at least MIN_OPEN_FILES.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = max(soft, MIN_OPEN_FILES) if hard == resource.RLIM_INFINITY else hard
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


class ProcessFleet:
    """A fleet of limiter processes with its servers, counter, discovery, relays and load, for one run.

    A context manager that ends everything that it started. `source_folders` has, for each limiter in the
    order of their indices, the folder from which its process imports the package. If a folder is None, or the
    sequence is empty, the package is imported as in this process. Raises ExperimentError if the experiment
    cannot be run.
    """

    def __init__(
        self,
        experiment: Experiment,
        folder: Path,
        seed: int | None = None,
        source_folders: Sequence[Path | None] = (),
    ) -> None:
        spec = experiment.fleet
        if not MIN_LIMITERS <= spec.limiters <= MAX_LIMITERS:
            raise ExperimentError(
                f"experiment: expected {MIN_LIMITERS} to {MAX_LIMITERS} limiters, got {spec.limiters}"
            )
        source_folders = source_folders or [None] * spec.limiters
        if len(source_folders) != spec.limiters:
            raise ExperimentError(
                f"source folders: expected one for each of {spec.limiters} limiters, "
                f"got {len(source_folders)}"
            )
        raise_open_files_limit()
        folder = Path(folder)
        folder.mkdir(parents=True, exist_ok=True)
        self.experiment = experiment
        self.seed = experiment.seed if seed is None else seed
        self.rng = random.Random(f"lab/{self.seed}")
        self.outages: list[Outage] = []
        self.cuts: list[LinkCut] = []
        self.events: list[FleetEvent] = []
        self.threads: list[threading.Thread] = []  # Threads of scheduled actions.
        self.errors: list[BaseException] = []  # Exceptions raised in those threads.
        self.load: Load | None = None
        self.faults = ProcessFaults(self)
        self.files = FleetFiles(experiment, folder, self.seed)
        self.addresses = AddressRange()
        self.relays = Relays(self.seed)
        self.upstreams = Upstreams(spec, self.seed, self.relays)
        self.counter = FakeCounter(delay=spec.counter.delay_s)
        self.limiters = [
            Limiter(index, self.addresses.address(index), folder, self.write_files, source_folder)
            for index, source_folder in enumerate(source_folders)
        ]
        self.fleet_links = self.connect_limiters()

    def connect_limiters(self) -> FleetLinks:
        """Create the links of all limiters to servers, counter, discovery and peers."""
        self.upstreams.connect(self.limiters)
        counter = self.counter.endpoint
        discovery = self.upstreams.discovery.endpoint
        members = {limiter.name: limiter.udp_endpoint for limiter in self.limiters}
        return FleetLinks(
            counter={
                limiter.address: self.relays.tcp(f"counter/{limiter.index}", counter, limiter.address)
                for limiter in self.limiters
            },
            discovery={
                limiter.address: self.relays.tcp(f"discovery/{limiter.index}", discovery, limiter.address)
                for limiter in self.limiters
            },
            mesh=self.relays.udp_mesh(members) if self.experiment.fleet.membership.on else None,
        )

    def __enter__(self) -> ProcessFleet:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """End all processes, relays and fakes that were started."""
        for limiter in self.limiters:
            limiter.end()
        self.relays.close()
        self.counter.close()
        self.upstreams.close()
        self.addresses.close()

    # Parts of the fleet

    @property
    def servers(self) -> dict[int, ModelServer]:
        """Upstream servers by id."""
        return self.upstreams.servers

    @property
    def links(self) -> dict[tuple[str, int], TcpLink]:
        """Links to servers, by the limiter's IP address and the server's id."""
        return self.upstreams.links

    @property
    def discovery(self) -> FakeDiscovery:
        """Fake of discovery, which lists the servers to the limiters."""
        return self.upstreams.discovery

    @property
    def attempts(self) -> list[ServerAttempt]:
        """Attempts that arrived at any server, in the order of their arrival."""
        return self.upstreams.attempts

    @property
    def mesh(self) -> UdpMesh:
        """Links between the members. Raises ExperimentError if membership is disabled."""
        if self.fleet_links.mesh is None:
            raise ExperimentError("peer links are needed, but the experiment's fleet has no membership")
        return self.fleet_links.mesh

    # Limiters

    def write_files(self, limiter: Limiter) -> None:
        """Write the files that a limiter reads when it starts."""
        self.files.write(limiter, self.limiters, self.fleet_links)

    def plan_path(self, limiter: Limiter) -> Path:
        """Return the path of a limiter's maintenance plan; the file may be missing."""
        return self.files.plan_path(limiter)

    def give_plan(self, limiter: Limiter, text: str) -> None:
        """Submit a plan to a limiter as an operator does: write the file, then send SIGHUP."""
        self.files.give_plan(limiter, text)

    def start(self) -> None:
        """Start all limiters and wait until each answers PING. Raises ExperimentError if one does not."""
        for limiter in self.limiters:
            limiter.start()
        for limiter in self.limiters:
            self.wait_ready(limiter)

    def wait_ready(self, limiter: Limiter) -> None:
        """Wait until a limiter answers PING.

        Raises ExperimentError, with the end of its log, if it does not answer in time or its process ends.
        """
        deadline = monotonic() + READY_TIMEOUT
        while not limiter.is_ready():
            if monotonic() > deadline or not limiter.is_alive():
                log = limiter.log_path.read_text()[-800:]
                raise ExperimentError(
                    f"{limiter.name} ended or did not answer PING within {READY_TIMEOUT} s; "
                    f"its log ends with: {log}"
                )
            sleep(0.05)

    # Faults

    def record_event(self, text: str) -> None:
        """Record an event of the run."""
        self.events.append(FleetEvent(monotonic(), text))

    def schedule(self, seconds: float, action: Callable[[], object]) -> None:
        """Run an action after `seconds`, in a thread of its own because it may wait for a process to end.

        If the action raises an exception, the method `run` raises an error at its end, because the results
        are invalid if a fault was not cleared.
        """

        def run() -> None:
            sleep(seconds)
            try:
                action()
            except BaseException as error:
                self.errors.append(error)

        thread = threading.Thread(target=run, daemon=True)
        self.threads.append(thread)
        thread.start()

    def kill(
        self, limiter: Limiter, restart_after: float | None = None, number: int = signal.SIGKILL
    ) -> None:
        """End a limiter by a signal; start it again after `restart_after` seconds unless that is None."""
        outage = Outage(limiter.index, monotonic(), float("inf"))
        if number == signal.SIGKILL:  # A graceful shutdown must answer all requests, so none is excused.
            self.outages.append(outage)
        limiter.end(number)
        self.record_event(f"{limiter.name} ended by signal {int(number)}")
        if restart_after is None:
            return
        sleep(restart_after)
        limiter.start()
        self.wait_ready(limiter)
        outage.until = monotonic()
        self.record_event(f"{limiter.name} started again")

    def stall(self, limiter: Limiter, seconds: float) -> None:
        """Stop a limiter with SIGSTOP and continue it with SIGCONT after `seconds`."""
        outage = Outage(limiter.index, monotonic(), monotonic() + seconds, stalled=True)
        self.outages.append(outage)
        limiter.send_signal(signal.SIGSTOP)
        self.record_event(f"{limiter.name} stopped")
        sleep(seconds)
        limiter.send_signal(signal.SIGCONT)
        outage.until = monotonic()
        self.record_event(f"{limiter.name} continued")

    def split(self, side: Sequence[Limiter]) -> None:
        """Cut the peer links between the given limiters and all others."""
        names = {limiter.name for limiter in side}
        self.mesh.split(names)
        self.record_event(f"split: {sorted(names)}")

    def heal(self) -> None:
        """Remove all faults of the peer links."""
        self.mesh.clear()
        self.record_event("split healed")

    def cut(self, limiter: Limiter, servers: Sequence[int], direction: DirectionName, seconds: float) -> None:
        """Cut a limiter's links to servers in a direction for `seconds`."""
        links = [self.links[limiter.address, server] for server in servers]
        for server, link in zip(servers, links, strict=True):
            link.set(direction, cut=True)
            self.cuts.append(LinkCut(limiter.address, server, monotonic(), monotonic() + seconds))
        sleep(seconds)
        for link in links:
            link.clear()

    # The run

    def run(self, progress: Progress = no_progress, script: Callable[[], None] | None = None) -> Outcome:
        """Start all limiters, run the load and the faults, and check the invariants.

        `script` runs in a thread concurrently with the load, which ends when the script does. Raises
        ExperimentError if a fault cannot be injected or cleared, and any exception that the script raises.
        """
        self.start()
        load = Load(self.experiment, [limiter.endpoint for limiter in self.limiters], self.seed)
        self.load = load
        script_errors: list[BaseException] = []
        if script is not None:
            self.run_script(script, load, script_errors)
        began = monotonic()
        self.run_load(load, began, progress)
        for thread in self.threads:
            thread.join(READY_TIMEOUT)
        if script_errors:
            raise script_errors[0]
        if self.errors:
            raise ExperimentError(f"a fault could not be injected or cleared: {self.errors[0]}")
        return self.build_outcome(load, began)

    @staticmethod
    def run_script(script: Callable[[], None], load: Load, errors: list[BaseException]) -> None:
        """Run a script in a thread of its own, then stop the load."""

        def run() -> None:
            try:
                script()
            except BaseException as error:  # `run` raises it after the load has ended.
                errors.append(error)
            finally:
                load.stop.set()

        threading.Thread(target=run, daemon=True).start()

    def run_load(self, load: Load, began: float, progress: Progress) -> None:
        """Run the load and inject the faults at their times. Returns when every request has ended."""
        duration = self.experiment.duration_s
        load_thread = threading.Thread(target=load.run, args=(duration,), daemon=True)
        load_thread.start()
        faults = sorted(self.experiment.faults, key=lambda fault: fault.at_s)
        while load_thread.is_alive():
            elapsed = monotonic() - began
            while faults and faults[0].at_s <= elapsed:
                self.faults.inject(faults.pop(0))
            progress(min(1.0, elapsed / duration))
            wait = FAULT_POLL_INTERVAL
            if faults:
                wait = max(0.0, min(wait, faults[0].at_s - elapsed))
            load_thread.join(wait)

    def is_unreachable(self, limiter: str, server: int, time: float) -> bool:
        """Return whether a limiter's link to a server was cut at a time, or the limiter was stopped.

        Includes UNREACHABLE_AFTERMATH seconds after the cut or the stop.
        """
        was_cut = any(
            cut.limiter == limiter
            and cut.server == server
            and cut.since <= time <= cut.until + UNREACHABLE_AFTERMATH
            for cut in self.cuts
        )
        return was_cut or any(
            outage.stalled
            and self.limiters[outage.limiter].address == limiter
            and outage.since <= time <= outage.until + UNREACHABLE_AFTERMATH
            for outage in self.outages
        )

    def build_outcome(self, load: Load, began: float) -> Outcome:
        """Check the records of a run that started at `began`, and return its outcome."""
        models = [server.model for server in self.servers.values()]
        collapses = sum(model.collapses for model in models)
        records = RunRecords(
            requests=load.requests,
            attempts=self.attempts,
            outages=self.outages,
            collapses=collapses,
            places={model.id: ServerPlace(model.zone, model.cell) for model in models},
            began=began,
            is_unreachable=self.is_unreachable,
        )
        checks = check_invariants(self.experiment, records)
        result = Result()
        counted_from = began + self.experiment.settle_s
        count_requests(result, [request for request in load.requests if request.sent_at >= counted_from])
        result.attempts = len(self.attempts)
        result.counter_calls = self.counter.request_count
        result.collapses = collapses
        result.violations = checks.counts()
        result.first_violation = checks.first()
        result.wall_s = monotonic() - began
        measure_overshoot(result, self.experiment, load, checks)
        noise = Noise(load.max_arrival_delay, self.upstreams.timers.max_delay)
        return Outcome(result, checks, noise)
