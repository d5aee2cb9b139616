"""Tests of outlier ejection by the fleet: which reports count, which servers are ejected, who probes them."""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest

from brookhub.coordination import (
    CounterReportTransport,
    EpochLeases,
    InvalidReportsError,
    OutlierDetector,
    Report,
    UnsharedClock,
    decode_reports,
    encode_reports,
)
from brookhub.coordination.clocks import TICK_SECONDS
from brookhub.coordination.ejection_table import (
    MAX_EJECTED_SHARE,
    MAX_EJECTION_SECONDS,
    PROBE_AFTER_SHARE,
    PROBE_TIMEOUT_SECONDS,
)
from brookhub.coordination.epoch_leases import RESUME_GRACE_SECONDS
from brookhub.coordination.failure_evidence import (
    MAX_FAILING_SHARE,
    MIN_PLAUSIBLE_FAILURES,
    SLOW_WINDOW_SECONDS,
)
from brookhub.coordination.outlier_detector import probe_resource
from brookhub.coordination.report_transport import BACKOFF_SECONDS, MAX_COUNTER_CALLS_PER_SECOND
from brookhub.coordination.reports import MAX_REPORTS_PER_DATAGRAM, REPORT_TTL_SECONDS, Health
from brookhub.model import Outcome

FAILED, OK, TOO_SLOW = Outcome.ERROR, Outcome.OK, Outcome.CANCELLED
SERVERS = 24
NETWORK_DELAY = 0.001  # In seconds.


class Timer(NamedTuple):
    due_at: float
    order: int
    limiter: str
    callback: Callable[[], Any]


class SimulatedFleet:
    """Detectors of several limiters on one simulated clock.

    `is_cut(source, target)` returns whether reports of `source` do not reach `target`; `paused` contains the
    limiters whose process is paused.
    """

    def __init__(self, count: int = 8, servers: int = SERVERS) -> None:
        self.now = 100.0
        self.timers: list[Timer] = []
        self.timer_count = 0
        self.paused: set[str] = set()
        self.heal()
        self.detectors: dict[str, OutlierDetector] = {}
        names = [f"n{number}" for number in range(count)]
        for name in names:
            port = SimulatedLimiter(self, name)
            leases = EpochLeases(1, name)
            leases.set_present(names)
            self.detectors[name] = OutlierDetector(port, port, leases)
            self.detectors[name].set_servers(started_long_ago(servers))

    def heal(self) -> None:
        """Restore all links, so that all reports arrive."""
        self.is_cut = lambda source, target: False

    def add_timer(self, limiter: str, seconds: float, callback: Callable[[], Any]) -> None:
        self.timer_count += 1
        self.timers.append(Timer(self.now + seconds, self.timer_count, limiter, callback))

    def run(self, seconds: float) -> None:
        """Run the simulation for `seconds`; timers of paused limiters wait until these resume."""
        end = self.now + seconds
        while timer := self.next_timer(end):
            self.timers.remove(timer)
            self.now = max(self.now, timer.due_at)
            timer.callback()
        self.now = end

    def next_timer(self, end: float) -> Timer | None:
        due = (timer for timer in self.timers if timer.due_at <= end and timer.limiter not in self.paused)
        return min(due, default=None)

    def lease_holder(self, server: int, wall_time: float | None = None) -> str:
        """Return the limiter that probes a server, now or at `wall_time`."""
        time = self.now if wall_time is None else wall_time
        return self.detectors["n0"].leases.holders(probe_resource(server), time)[0]

    def limiters_ejecting(self, server: int) -> set[str]:
        """Return the limiters at which a server is ejected."""
        return {name for name, detector in self.detectors.items() if detector.is_ejected(server)}

    def fail(self, server: int, *limiters: str) -> None:
        """End an attempt of each of these limiters at a server with a failure."""
        for name in limiters:
            self.detectors[name].attempt_ended(server, FAILED)

    def eject(self, server: int) -> None:
        """Fail attempts of two witnesses at a server, and deliver their reports."""
        self.fail(server, "n1", "n2")
        self.run(0.1)

    def probe(self, server: int, limiter: str, outcome: Outcome) -> None:
        """Start and end an attempt of a limiter at a server."""
        self.detectors[limiter].attempt_started(server)
        self.detectors[limiter].attempt_ended(server, outcome)


def started_long_ago(servers: int) -> dict[int, float]:
    return dict.fromkeys(range(servers), 0.0)


class SimulatedLimiter:
    """Clock and report transport of one limiter of a SimulatedFleet."""

    def __init__(self, fleet: SimulatedFleet, name: str) -> None:
        self.fleet = fleet
        self.name = name

    @property
    def now(self) -> float:
        return self.fleet.now

    wall_time = now

    def call_later(self, seconds: float, callback: Callable[[], Any]) -> None:
        self.fleet.add_timer(self.name, seconds, callback)

    def send(self, reports: list[Report]) -> None:
        for payload in encode_reports(reports):
            for peer, detector in self.fleet.detectors.items():
                if peer != self.name and not self.fleet.is_cut(self.name, peer):
                    self.deliver(peer, detector, payload)

    def deliver(self, peer: str, detector: OutlierDetector, payload: bytes) -> None:
        self.fleet.add_timer(
            peer, NETWORK_DELAY, lambda: detector.on_reports(self.name, decode_reports(payload))
        )


# quorum, and how long reports count


def test_server_is_ejected_by_two_witnesses_within_the_ttl_and_used_again_afterwards():
    fleet = SimulatedFleet()
    fleet.fail(5, "n1")
    fleet.run(0.1)
    assert not fleet.limiters_ejecting(5)
    fleet.fail(5, "n2")
    fleet.run(0.1)
    assert fleet.limiters_ejecting(5) == set(fleet.detectors)
    fleet.run(REPORT_TTL_SECONDS)
    assert not fleet.limiters_ejecting(5)  # No limiter probed it, so the ejection expired.
    fleet.fail(6, "n1")
    fleet.run(REPORT_TTL_SECONDS + 0.1)
    fleet.fail(6, "n2")  # The first report has expired.
    fleet.run(0.1)
    assert not fleet.limiters_ejecting(6)


@pytest.mark.parametrize("slow_elsewhere", [False, True])
def test_too_slow_attempts_eject_a_server_only_if_they_are_uncommon_at_the_other_servers(slow_elsewhere):
    """Guards against ejections of healthy servers with scattered service times.

    In a fleet of eight processes, one of them was ejected at nearly any time.
    """
    fleet, rng = SimulatedFleet(), random.Random(3)
    for _ in range(200):
        for detector in fleet.detectors.values():
            server = rng.randrange(6, SERVERS)
            detector.attempt_ended(server, TOO_SLOW if slow_elsewhere and rng.random() < 0.08 else OK)
        fleet.run(0.05)
        assert not any(fleet.limiters_ejecting(server) for server in range(SERVERS))
    for name in ("n1", "n2"):  # The server does not answer.
        fleet.detectors[name].attempt_ended(5, TOO_SLOW)
    fleet.run(0.1)
    assert fleet.limiters_ejecting(5) == (set() if slow_elsewhere else set(fleet.detectors))
    fleet.run(SLOW_WINDOW_SECONDS)
    for name in ("n1", "n2"):  # Slow attempts are no longer common.
        fleet.detectors[name].attempt_ended(5, TOO_SLOW)
    fleet.run(0.1)
    assert fleet.limiters_ejecting(5) == set(fleet.detectors)


def test_slow_attempts_after_the_start_eject_no_server_before_their_share_is_known():
    """Guards against an ejection of a healthy server in the first seconds of a fleet.

    Three limiters had five slow attempts at one server before any of them had seen slow attempts elsewhere.
    """
    fleet = SimulatedFleet()
    for name in ("n1", "n2", "n3"):
        for number in range(100):  # One of them is slow, where 8% are slow in the long run.
            outcome = TOO_SLOW if number == 50 else OK
            fleet.detectors[name].attempt_ended(6 + number % (SERVERS - 6), outcome)
        fleet.detectors[name].attempt_ended(5, TOO_SLOW)
    fleet.run(0.1)
    assert not fleet.limiters_ejecting(5)
    for name in ("n1", "n2"):  # An error is evidence at any time.
        fleet.detectors[name].attempt_ended(5, FAILED)
    fleet.run(0.1)
    assert fleet.limiters_ejecting(5) == set(fleet.detectors)


# probes by the lease holder


@pytest.mark.parametrize("delay", [0.24, 0.6, 2.0])
def test_failed_probe_prolongs_an_ejection_that_began_later_at_the_other_limiters(delay):
    """Guards against an ejection that ends after REPORT_TTL_SECONDS despite a failed probe.

    The probe's report was mistaken for a report of an attempt before the ejection. On processes this occurred
    in 1 of 23 runs, when a limiter was busy for longer than the tolerance of the comparison of times.
    """
    fleet = SimulatedFleet()
    fleet.eject(5)
    name = fleet.lease_holder(5, fleet.now + PROBE_AFTER_SHARE * REPORT_TTL_SECONDS)
    for other, detector in fleet.detectors.items():
        if other != name:
            ejection = detector.ejections.by_server[5]
            ejection.ejected_until += delay
            ejection.probe_at += delay
    fleet.run(PROBE_AFTER_SHARE * REPORT_TTL_SECONDS - 0.05)
    assert fleet.detectors[name].may_probe(5)
    fleet.probe(5, name, FAILED)
    fleet.run(REPORT_TTL_SECONDS)
    assert fleet.limiters_ejecting(5) == set(fleet.detectors)


def test_limiter_that_missed_the_first_reports_ejects_for_as_long_as_the_others_after_a_failed_probe():
    """Guards against an ejection that starts with the probe's report and lasts only REPORT_TTL_SECONDS.

    That is half as long as the ejection of the other limiters.
    """
    fleet = SimulatedFleet()
    fleet.is_cut = lambda source, target: "n0" in (source, target)
    fleet.fail(5, "n1", "n2")
    fleet.run(PROBE_AFTER_SHARE * REPORT_TTL_SECONDS + 0.1)
    assert fleet.limiters_ejecting(5) == set(fleet.detectors) - {"n0"}
    fleet.heal()
    fleet.fail(5, "n0")
    holder = next(
        name for name, detector in fleet.detectors.items() if name != "n0" and detector.may_probe(5)
    )
    fleet.probe(5, holder, FAILED)
    fleet.run(REPORT_TTL_SECONDS + 0.1)
    assert fleet.limiters_ejecting(5) == set(fleet.detectors)


def test_only_the_lease_holder_probes_and_a_failure_prolongs_the_ejection_and_a_success_ends_it():
    fleet = SimulatedFleet()
    fleet.eject(5)
    # Attempts that are still running end before the first probe.
    assert not any(detector.may_probe(5) for detector in fleet.detectors.values())
    fleet.run(REPORT_TTL_SECONDS / 2)
    holder = fleet.lease_holder(5)
    assert [name for name, detector in fleet.detectors.items() if detector.may_probe(5)] == [holder]
    assert fleet.limiters_ejecting(5) == set(fleet.detectors)
    fleet.detectors[holder].attempt_started(5)
    assert not fleet.detectors[holder].may_probe(5)  # Only one probe at a time.
    fleet.detectors[holder].attempt_ended(5, FAILED)
    fleet.run(REPORT_TTL_SECONDS)
    assert fleet.limiters_ejecting(5) == set(fleet.detectors)  # The ejection lasts longer than the first one.
    holder = fleet.lease_holder(5)
    assert fleet.detectors[holder].may_probe(5)
    fleet.probe(5, holder, OK)
    fleet.run(0.1)
    assert not fleet.limiters_ejecting(5)


def test_lease_of_an_absent_holder_moves_to_another_limiter_while_the_server_is_ejected():
    fleet = SimulatedFleet()
    fleet.fail(5, "n1", "n2")
    fleet.run(REPORT_TTL_SECONDS / 2 + 0.1)
    absent = fleet.lease_holder(5)
    survivors = {name: detector for name, detector in fleet.detectors.items() if name != absent}
    fleet.paused.add(absent)
    for detector in survivors.values():
        detector.leases.set_present(survivors)
    assert sum(detector.may_probe(5) for detector in survivors.values()) == 1


# evidence for a server


def test_server_with_occasional_failures_is_not_ejected_while_it_answers_other_limiters():
    fleet = SimulatedFleet()
    for name in ("n1", "n2", "n3"):
        fleet.fail(5, name)
        fleet.run(0.1)
        fleet.detectors["n4"].attempt_ended(5, OK)
        fleet.run(0.1)
        assert not fleet.limiters_ejecting(5)


def test_restarted_server_is_used_at_once_by_limiters_that_know_of_its_restart():
    """Guards against ejections that outlast a restart.

    In an emulated fleet, the servers of a zone that had returned stayed ejected for up to 10 s more, which
    lowered the served share by 0.015.
    """
    fleet = SimulatedFleet()
    fleet.eject(5)
    assert fleet.limiters_ejecting(5) == set(fleet.detectors)
    restarted = {**started_long_ago(SERVERS), 5: 99.0}
    for name in ("n3", "n1"):
        fleet.detectors[name].set_servers(restarted)
    assert fleet.limiters_ejecting(5) == set(fleet.detectors) - {"n3", "n1"}
    fleet.detectors["n3"].set_servers({**restarted})  # The same servers again.
    fleet.fail(5, "n1")
    fleet.detectors["n2"].set_servers({server: 0.0 for server in range(SERVERS) if server != 5})
    # Reports about a server are discarded when it is removed from the list.
    assert not fleet.detectors["n2"].is_ejected(5)


# implausible reports of a limiter


def test_limiter_that_finds_too_many_servers_failing_sends_few_reports_and_its_reports_are_ignored():
    fleet = SimulatedFleet()
    for server in range(SERVERS):
        fleet.fail(server, "n1")
    fleet.run(0.1)
    assert fleet.detectors["n1"].sent_count <= max(MIN_PLAUSIBLE_FAILURES, MAX_FAILING_SHARE * SERVERS)
    fleet = SimulatedFleet()
    for server in range(SERVERS):  # n1 reports all servers; n2 reports one that does fail.
        for detector in list(fleet.detectors.values())[2:]:
            detector.on_reports("n1", [Report(server, Health.FAILING)])
    fleet.fail(3, "n2")
    fleet.run(0.1)
    assert not any(fleet.limiters_ejecting(server) for server in range(SERVERS))
    assert fleet.detectors["n3"].distrusted_count > 0
    fleet.fail(3, "n4")  # A second plausible witness.
    fleet.run(0.1)
    assert fleet.limiters_ejecting(3) >= set(fleet.detectors) - {"n1"}


def test_ejections_stay_within_the_maximum_share_of_the_servers_when_a_third_fails():
    fleet = SimulatedFleet()
    for server in range(8):  # Each limiter finds two of them failing.
        fleet.fail(server, f"n{server % 8}", f"n{(server + 1) % 8}")
    fleet.run(0.1)
    for detector in fleet.detectors.values():
        assert (
            sum(detector.is_ejected(server) for server in range(SERVERS)) == 7
        )  # Three in ten of 24 servers.


def test_resumed_limiter_sends_no_reports_and_no_probes_within_the_grace_time():
    fleet = SimulatedFleet()
    fleet.fail(5, "n2", "n3")
    fleet.run(0.1)
    name = fleet.lease_holder(5)
    resumed = fleet.detectors[name]
    fleet.paused.add(name)
    fleet.run(REPORT_TTL_SECONDS / 2 + 0.5)
    fleet.paused.clear()
    # This attempt timed out during the pause, and its end is handled before any timer.
    resumed.attempt_ended(7, FAILED)
    assert 7 not in resumed.ejections.by_server
    assert not resumed.may_probe(5)
    sent_before = resumed.sent_count
    fleet.run(RESUME_GRACE_SECONDS / 2)
    resumed.attempt_ended(8, FAILED)
    fleet.run(0.1)
    assert resumed.sent_count == sent_before
    assert 8 not in resumed.ejections.by_server
    fleet.run(RESUME_GRACE_SECONDS)
    resumed.attempt_ended(9, FAILED)
    fleet.run(0.1)
    assert resumed.sent_count == sent_before + 1


class RandomFaults:
    """Fleet with random failing servers, partitions and pauses, and with requests to random servers."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.fleet = SimulatedFleet(servers=SERVERS)
        self.failing: set[int] = set()
        self.last_failure_at: dict[int, float] = {}  # Times by server.

    def change(self) -> None:
        """Start or end a random fault, or do nothing."""
        fleet = self.fleet
        event = self.random.random()
        if event < 0.03:
            self.failing = set(self.random.sample(range(SERVERS), self.random.choice([1, 2, 8, 20])))
        elif event < 0.05:
            side = set(self.random.sample(sorted(fleet.detectors), 4))
            fleet.is_cut = lambda source, target: (source in side) != (target in side)
        elif event < 0.07:
            fleet.heal()
        elif event < 0.09:
            fleet.paused = {self.random.choice(sorted(fleet.detectors))}
        elif event < 0.11:
            fleet.paused = set()

    def send_requests(self) -> None:
        """Send one request from each running limiter, if its detector allows this."""
        for name, detector in self.fleet.detectors.items():
            server = self.random.randrange(SERVERS)
            if name in self.fleet.paused:
                continue
            if detector.is_ejected(server) and not detector.may_probe(server):
                continue
            self.fleet.probe(server, name, FAILED if server in self.failing else OK)
            if server in self.failing:
                self.last_failure_at[server] = self.fleet.now

    def assert_bounded(self) -> None:
        """Assert that ejections are few enough and end in time, and that a server has at most one prober."""
        for detector in self.fleet.detectors.values():
            ejected = [server for server in range(SERVERS) if detector.is_ejected(server)]
            assert len(ejected) <= MAX_EJECTED_SHARE * SERVERS
            # Ejections end MAX_EJECTION_SECONDS after the last failed attempt of any limiter.
            for server in ejected:
                assert self.fleet.now <= self.last_failure_at[server] + MAX_EJECTION_SECONDS + 0.1
            assert not any(
                detector.may_probe(server) and not detector.is_ejected(server) for server in range(SERVERS)
            )
        for server in range(SERVERS):
            assert sum(detector.may_probe(server) for detector in self.fleet.detectors.values()) <= 1

    def end(self) -> None:
        """End all faults."""
        self.failing = set()
        self.fleet.paused = set()
        self.fleet.heal()


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_never_eject_more_than_the_maximum_share_nor_a_server_permanently(seed):
    faults = RandomFaults(seed)
    for _step in range(400):
        faults.change()
        faults.send_requests()
        faults.fleet.run(faults.random.random() * 0.2)
        faults.assert_bounded()
    faults.end()
    faults.fleet.run(2 * MAX_EJECTION_SECONDS)
    assert not any(faults.fleet.limiters_ejecting(server) for server in range(SERVERS))


@pytest.mark.parametrize("pause", [3.0, 6.0])
def test_resumed_limiter_keeps_its_ejections_and_sends_no_probe_whatever_event_is_handled_first(pause):
    """Guards against a request that is handled before the pause is detected.

    It was sent as the probe, or the ejection counted as ended.
    """
    fleet = SimulatedFleet()
    fleet.eject(5)
    name = fleet.lease_holder(5, fleet.now + pause)
    resumed = fleet.detectors[name]
    assert resumed.is_ejected(5)
    fleet.paused.add(name)
    fleet.run(pause)  # Beyond the times that it knows for the probe and the end of the ejection.
    assert resumed.is_ejected(5)
    assert not resumed.may_probe(5)
    fleet.paused.clear()
    fleet.run(0.9 * RESUME_GRACE_SECONDS)
    assert resumed.is_ejected(5)
    assert not resumed.may_probe(5)
    fleet.run(RESUME_GRACE_SECONDS)
    assert resumed.is_ejected(5)


# transports


def test_reports_fit_into_datagrams_and_any_other_payload_is_rejected():
    reports = [Report(2**62, Health.FAILING)] * 150
    payloads = encode_reports(reports)
    assert len(payloads) == 3
    assert all(len(payload) <= 1000 for payload in payloads)
    assert [report for payload in payloads for report in decode_reports(payload)] == reports
    encoded = encode_reports([Report(1, Health.FAILING), Report(2**40, Health.HEALTHY)])[0]
    for length in range(len(encoded)):
        with pytest.raises(InvalidReportsError):
            decode_reports(encoded[:length])
    rng = random.Random(1)
    for _ in range(2000):
        try:
            decoded = decode_reports(rng.randbytes(rng.randrange(40)))
        except InvalidReportsError:
            continue
        assert len(decoded) <= MAX_REPORTS_PER_DATAGRAM
        for server, health in decoded:
            assert 0 <= server <= 2**62
            assert health in (Health.FAILING, Health.HEALTHY)


class SimulatedCounter(SimulatedLimiter):
    """Connection of one limiter to the counter; `totals` are shared, answers take `duration` seconds."""

    def __init__(self, fleet, totals, duration=0.002, outcome=Outcome.OK) -> None:
        super().__init__(fleet, "n0")
        self.totals, self.duration, self.outcome = totals, duration, outcome
        self.calls = 0

    def add_to_counter(self, name, amount, lifetime, callback):
        self.calls += 1
        self.totals[name] = self.totals.get(name, 0.0) + amount
        self.call_later(self.duration, lambda: callback(self.outcome, self.totals[name], self.duration))


def counter_detector(port: SimulatedCounter, leases: EpochLeases, servers: int) -> OutlierDetector:
    """Return a detector that sends its reports to the counter."""
    transport = CounterReportTransport(port, key=7)
    detector = OutlierDetector(UnsharedClock(port), transport, leases)
    detector.set_servers(started_long_ago(servers))
    transport.listener = detector
    return detector


def test_counter_transport_ejects_at_the_second_witness_and_makes_no_calls_without_a_failure():
    fleet, totals = SimulatedFleet(count=3), {}
    ports = [SimulatedCounter(fleet, totals) for _ in range(3)]
    detectors = []
    for number, port in enumerate(ports):
        leases = EpochLeases(1, f"n{number}")
        leases.set_present(["n0", "n1", "n2"])
        detectors.append(counter_detector(port, leases, SERVERS))
    detectors[0].attempt_ended(5, FAILED)
    fleet.run(0.1)
    assert not detectors[0].is_ejected(5)
    detectors[1].attempt_ended(5, FAILED)
    fleet.run(0.1)
    assert detectors[1].is_ejected(5)
    assert not detectors[0].is_ejected(5)
    assert ports[2].calls == 0
    assert len(totals) == 1
    assert all(name >= 1 << 62 for name in totals)  # Distinct from the names of customers' counts.


@pytest.mark.parametrize("outcome, duration", [(Outcome.OK, 0.3), (Outcome.TIMEOUT, 0.2)])
def test_counter_transport_limits_its_calls_and_backs_off_after_a_late_or_missing_answer(outcome, duration):
    fleet = SimulatedFleet(count=1)
    port = SimulatedCounter(fleet, {}, duration, outcome)
    transport = CounterReportTransport(port, key=7)
    detector = OutlierDetector(UnsharedClock(port), transport, EpochLeases(1, "n0"))
    detector.set_servers(started_long_ago(240))
    transport.listener = detector
    transport.send([Report(server, Health.FAILING) for server in range(20)])
    assert port.calls == MAX_COUNTER_CALLS_PER_SECOND
    fleet.run(1.0)
    transport.send([Report(1, Health.FAILING)])
    assert port.calls == MAX_COUNTER_CALLS_PER_SECOND
    fleet.run(BACKOFF_SECONDS)
    transport.send([Report(1, Health.FAILING)])
    assert port.calls == MAX_COUNTER_CALLS_PER_SECOND + 1


def test_time_constants_are_in_the_order_that_the_protocol_requires():
    assert PROBE_TIMEOUT_SECONDS < REPORT_TTL_SECONDS < MAX_EJECTION_SECONDS
    assert TICK_SECONDS < RESUME_GRACE_SECONDS
