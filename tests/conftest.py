"""Fixtures that several test files use, and the handling of known failures.

`KNOWN-RED.txt` in the root folder lists up to three tests that fail because of a real fault. Each line has
the form `test | cause | issue`, where `test` is pytest's node id. These tests run like all others. A failure
of a listed test is printed, but does not fail the run. A listed test that passes again is printed as well.
Any other failure fails the run as usual.
"""

from dataclasses import dataclass
from pathlib import Path

import pytest

from brookhub.experiments.processes import ProcessFleet
from brookhub.routing import counter as counter_module
from brookhub.routing import discovery as discovery_module
from brookhub.routing import upstreams as upstreams_module
from brookhub.routing.port import SocketGatewayPort
from brookhub.routing.upstreams import UpstreamConnections
from gateway_program import Program
from process_fleet import experiment, run_script_under_load
from routing_harness import UPSTREAM_SETTINGS, RecordingGateway

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3


@dataclass(frozen=True)
class KnownFailure:
    """A test that is known to fail, the cause, and the issue in which it is to be fixed."""

    test: str
    cause: str
    issue: str


def read_known_failures(text: str) -> dict[str, KnownFailure]:
    """Return the known failures by node id of their tests.

    Raises:
        pytest.UsageError: A line does not have the expected form, or the list is too long.
    """
    known = {}
    for line in filter(None, map(str.strip, text.splitlines())):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"KNOWN-RED.txt: expected test | cause | issue, found: {line}")
        known[parts[0]] = KnownFailure(*parts)
    if len(known) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(
            f"KNOWN-RED.txt: expected at most {MAX_KNOWN_FAILURES} tests, found {len(known)}"
        )
    return known


def known_failures() -> dict[str, KnownFailure]:
    return read_known_failures(KNOWN_FAILURES_FILE.read_text()) if KNOWN_FAILURES_FILE.exists() else {}


def pytest_collection_modifyitems(items):
    known = known_failures()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid].cause, strict=False))


def pytest_terminal_summary(terminalreporter):
    known = known_failures()
    for outcome, message in (
        ("xfailed", "fails as known"),
        ("xpassed", "passes again: take it off the list"),
    ):
        for report in terminalreporter.stats.get(outcome, ()):
            if failure := known.get(report.nodeid):
                terminalreporter.write_line(
                    f"KNOWN-RED {failure.test}: {message} ({failure.cause}; {failure.issue})"
                )


@pytest.fixture
def started(tmp_path):
    """Return a function that starts programs; assert at the end that they had no unexpected faults."""
    programs = []

    def start(folder=tmp_path, **options):
        folder.mkdir(exist_ok=True)
        program = Program(folder, **options)
        programs.append(program)
        return program

    yield start
    for program in programs:
        exit_code = program.process.poll()
        program.close()
        assert program.logged_errors() == [] and exit_code in (None, 0)


@pytest.fixture
def lab(tmp_path):
    """Return a function that runs a script concurrently with the load on a fleet of limiter processes.

    The fleet has five limiters unless `limiters` is given. The function returns the outcome of the run.
    """
    fleets = []

    def run(script, duration, limiters=5, servers=6, **options):
        spec = experiment(limiters=limiters, servers=servers, duration=duration, membership=True, **options)
        fleet = ProcessFleet(spec, tmp_path, seed=1)
        fleets.append(fleet)
        return run_script_under_load(fleet, script)

    yield run
    for fleet in fleets:
        fleet.close()


@pytest.fixture
def port(monkeypatch):
    """Provide a port that dials no server: `dialled` has its connections, which the test establishes."""
    errors, dialled = [], []
    monkeypatch.setattr(upstreams_module, "start_thread", lambda work: dialled.append(work.__self__) or True)
    for module in (counter_module, discovery_module):
        monkeypatch.setattr(module, "start_thread_with_retry", lambda port, work: None)
    new_port = SocketGatewayPort(errors.append, 0.0)
    new_port.gateway, new_port.dialled = RecordingGateway(), dialled
    new_port.upstreams = UpstreamConnections(new_port, lambda *_: None, UPSTREAM_SETTINGS)
    new_port.start = new_port.now
    yield new_port
    assert errors == []
