"""Fixtures that several test files use."""

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

pytest_plugins = ["known_failures"]


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
