"""The process lab.

Several processes of the program on loopback, faults between them, and a judge that catches.

Each run here takes a few seconds; long ones are `brookhub experiments processes` (docs/process-lab.md).
"""

import contextlib
import os
import random
import socket
import threading
import time

import pytest

from brookhub.emulator.server_model import ServerMode, ServerModel, ServerSettings
from brookhub.experiments.address_pool import RANGE_COUNT, AddressRange
from brookhub.experiments.client_request import Answer, AnswerKind, ClientRequest, RequestEnd
from brookhub.experiments.errors import ExperimentError
from brookhub.experiments.invariant_checker import Outage, RunRecords, ServerPlace, check_invariants
from brookhub.experiments.load import Load
from brookhub.experiments.processes import ProcessFleet
from brookhub.fakes import AttemptEnd, FakeListener, ModelServer, ServerAttempt, Timers, read_value
from brookhub.fakes.model_server import ConnectedAttempt
from brookhub.model import ServerState
from brookhub.protocol import resp
from process_fleet import experiment
from waiting import until

# Two labs at a time are what this machine carries; each has addresses of its own
pytestmark = pytest.mark.xdist_group("second process lab")


class Rogue(FakeListener):
    """A limiter that serves each call right but in one way. Talks to the servers itself."""

    def __init__(self, wrong, servers) -> None:
        self.wrong, self.servers, self.calls = wrong, servers, 0
        super().__init__()

    def ask(self, server, words):
        with socket.create_connection(server.endpoint, 2.0) as sock, sock.makefile("rb") as lines:
            sock.sendall(resp.encode_command(*words))
            return read_value(lines)

    def serve(self, conn, lines):
        while True:
            words = read_value(lines)
            self.calls += 1
            if self.wrong == "lost" and self.calls in (5, 6):  # the client asks once more on a new connection
                return
            self.ask(self.servers[0], words)
            if self.wrong == "two effects" and words[0] == b"CALL.POST":
                self.ask(self.servers[1], words)
            if self.wrong == "after the grace":
                self.servers[0].model.state = ServerState.DRAINING
                self.servers[0].model.drained_at = self.servers[0].model.drained_at or time.monotonic()
            if self.wrong == "late":
                time.sleep(1.6)
            conn.sendall(b"$2\r\nok\r\n" * (2 if self.wrong == "twice" else 1))


@pytest.mark.parametrize(
    "wrong, rule, text",
    [
        (None, None, ""),
        ("twice", 1, "answered 2 times"),
        ("lost", 1, "lost by n0"),
        ("late", 1, "after its client timeout"),
        ("after the grace", 3, "drained"),
        ("two effects", 2, "may have run it"),
    ],
)
def test_invariant_checker_reports_each_violation_of_a_limiter_and_nothing_else(wrong, rule, text):
    timers, seen = Timers(), []
    servers = [
        ModelServer(
            ServerModel(n, 0, 0, ServerSettings(50, 0, 0.002, 1.0, 0.0, 3.0, 1.0)),
            timers,
            random.Random(n),
            seen,
        )
        for n in range(2)
    ]
    rogue = Rogue(wrong, servers)
    spec = experiment(limiters=1, duration=1.0, rate=40, load={"give_up_share": 0.0})
    spec = (
        spec
        if wrong != "after the grace"
        else spec.model_copy(
            update={"fleet": spec.fleet.model_copy(update={"grace_s": 0.1, "list_delay_s": 0.05})}
        )
    )
    load = Load(spec, [rogue.endpoint], seed=1)
    began = time.monotonic()
    load.run(1.0)
    found = check_invariants(
        spec, RunRecords(load.requests, seen, [], 0, {0: ServerPlace(0, 0), 1: ServerPlace(1, 0)}, began)
    )
    assert load.requests and set(found.counts()) == ({rule} if rule else set())
    assert text in (found.first() or "")
    for one in (rogue, *servers):
        one.close()
    timers.close()


@pytest.mark.parametrize("killed, breaks", [(True, False), (False, True)])
def test_request_sent_again_after_its_limiter_was_killed_is_checked_for_each_sending(killed, breaks):
    """Seen once in a restart of all limiters.

    The client's own repeat was held against the limiters as a second effect.
    """
    spec = experiment()
    call = ClientRequest(
        1,
        0,
        1,
        2,
        10.0,
        11.0,
        answers=[Answer(10.5, AnswerKind.SERVED)],
        end=RequestEnd.ANSWERED,
        resent_at=10.3,
        previous_limiter=0,
    )
    seen = [
        ServerAttempt(
            at,
            server,
            "127.0.10.1",
            1,
            0,
            "once",
            b"",
            False,
            None,
            executed=True,
            end=AttemptEnd.ANSWERED,
            ended_at=at + 0.02,
        )
        for at, server in ((10.1, 3), (10.4, 4))
    ]
    outages = [Outage(0, 10.2, 11.5)] if killed else []
    found = check_invariants(
        spec, RunRecords([call], seen, outages, 0, {3: ServerPlace(0, 0), 4: ServerPlace(1, 0)}, 0.0)
    )
    assert bool(found.counts()) == breaks, found.first()


# processes of the program


def play(tmp_path, spec, seed=1):
    with ProcessFleet(spec, tmp_path, seed) as lab:
        outcome = lab.play()
        outcome.attempts = lab.attempts
        pids = [one.process.pid for one in lab.limiters]
        faults = [line for one in lab.limiters for line in one.lines() if line["event"] == "internal error"]
    assert not faults, faults[0]
    assert all(not os.path.exists(f"/proc/{pid}") for pid in pids)  # all that it started has ended
    return outcome


def test_four_processes_break_no_rule_with_kills_stalls_and_link_faults(tmp_path):
    outcome = play(
        tmp_path,
        experiment(
            duration=6.0,
            faults=[
                {"at_s": 0.5, "action": "restart_limiters", "share": 0.25},
                {"at_s": 1.0, "action": "cut_links", "share": 0.2, "for_s": 1.0, "way": "back"},
                {"at_s": 2.5, "action": "reset_links", "share": 0.1, "for_s": 0.5},
                {"at_s": 3.0, "action": "replace_servers", "share": 0.3, "for_s": 1.0},
                {"at_s": 3.5, "action": "stall_limiters", "share": 0.25, "for_s": 1.0},
                {"at_s": 4.0, "action": "counter_down", "for_s": 0.5},
                {"at_s": 4.6, "action": "lose_answers", "share": 0.1, "for_s": 1.0},
            ],
        ),
    )
    result = outcome.result
    assert not result.violations, result.first_violation
    assert result.requests > 150 and result.served > 0.8 * (result.requests - outcome.checks.excused)
    assert any(
        one.end == "lost" for one in outcome.attempts
    )  # answers that never came, for work that was done


def test_graceful_shutdown_of_limiters_in_turn_loses_no_request(tmp_path):
    outcome = play(
        tmp_path,
        experiment(
            limiters=3,
            duration=4.0,
            faults=[
                {"at_s": 0.5, "action": "term_limiters", "share": 0.3},
                {"at_s": 2.0, "action": "term_limiters", "share": 0.3},
            ],
        ),
    )
    assert not outcome.result.violations, outcome.result.first_violation
    assert outcome.result.lost == 0 and outcome.checks.excused == 0


def test_experiment_that_cannot_run_raises_one_line(tmp_path):
    with pytest.raises(ExperimentError, match="33 limiters: the process lab plays 1 to 32"):
        ProcessFleet(experiment(limiters=33), tmp_path)
    with (
        ProcessFleet(experiment(limiters=1), tmp_path) as lab,
        pytest.raises(ExperimentError, match="no membership, so no peer links"),
    ):
        lab.faults.play(experiment(faults=[{"at_s": 0, "action": "split_limiters"}]).faults[0])


def test_model_server_keeps_capacity_queue_and_the_rule_of_warming_servers():
    timers, seen = Timers(), []
    model = ServerModel(1, 0, 0, ServerSettings(2, 1, 0.2, 0.5, 5.0, 3.0, 0.3), started_at=-100.0)
    server = ModelServer(model, timers, random.Random(1), seen)
    model.mode = ServerMode.SILENT

    def ask(n):
        sock = socket.create_connection(server.endpoint, 2.0)
        sock.sendall(resp.encode_command(b"CALL.GET", b"%016x" % 1, b"%016x" % n, b"c=look,t=wide,d=900"))
        return sock

    held = []
    for n in range(
        3
    ):  # one after another: each has a thread of its own, and the first two are to have the places
        held.append(ask(n))
        assert until(lambda: len(seen) == len(held))
    with ask(3) as fourth:  # two places, one in the queue, the next is turned away
        assert fourth.recv(100) == b"-BUSY\r\n"
    held[0].close()  # given up: its place comes free, who waits begins
    assert until(lambda: sum(one.executed for one in seen) == 3 and seen[0].end == "abandoned")
    for one in held:
        one.close()
    # cold: 5 calls/s of capacity at first, falls beyond 15 a second
    model.restart(time.monotonic())

    def push(n):
        with contextlib.suppress(OSError):  # once it fell it refuses
            ask(n).close()

    rush = [threading.Thread(target=push, args=(n,)) for n in range(10, 40)]
    for one in rush:
        one.start()
    assert until(lambda: model.collapses == 1)
    with pytest.raises(OSError):
        ask(50)
    assert until(lambda: server.listener.fileno() >= 0, 1.0)  # back after the model's time
    server.close()
    timers.close()


class BarrierConnection:
    """A connection whose answer is not through before those of all others wait as well."""

    def __init__(self, barrier):
        self.barrier = barrier

    def sendall(self, data):
        with contextlib.suppress(threading.BrokenBarrierError):
            self.barrier.wait(5.0)


def test_collapse_that_two_rejected_attempts_cause_together_is_counted_once():
    # Found by reading, after the test above had waited in vain for one collapse beside load: it was counted
    # twice where a second attempt was rejected between the first one's answer and its collapse.
    timers = Timers()
    settings = ServerSettings(
        1, 0, 60.0, 1.0, 100.0, 0.5, 60.0
    )  # the first attempt holds it; any more collapses it
    server = ModelServer(ServerModel(1, 0, 0, settings, time.monotonic()), timers, random.Random(1), [])
    server.model.mode = ServerMode.SILENT
    server.model.sent_while_warming.extend([time.monotonic()] * 40)
    server.active.add(attempt_on(None))  # it has no capacity left
    barrier = threading.Barrier(2)
    attempts = [attempt_on(BarrierConnection(barrier)) for _ in range(2)]
    threads = [threading.Thread(target=server.receive, args=(attempt,)) for attempt in attempts]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(10.0)
    assert server.model.collapses == 1
    server.close()
    timers.close()


def attempt_on(connection):
    return ConnectedAttempt(
        arrived_at=time.monotonic(),
        server=1,
        limiter="127.0.0.1",
        request=1,
        customer=1,
        route="look",
        idempotency_key=b"",
        warming_up=True,
        draining_for=None,
        connection=connection,
    )


def test_address_ranges_are_disjoint_and_released_on_close():
    first, second = AddressRange(), AddressRange()
    numbers = first.number, second.number
    assert numbers[0] != numbers[1] and first.address(0) != second.address(0)
    assert first.address(0) != first.address(1)
    second.close()
    for _ in range(RANGE_COUNT + 1):  # each is given back, or none would be left
        addresses = AddressRange()
        assert addresses.number != first.number
        addresses.close()
    first.close()
