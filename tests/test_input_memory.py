"""Tests of the memory for partly received commands: charged before it is used, bounded for all clients."""

import contextlib
import re
import threading
import tomllib
from pathlib import Path

import pytest

from brookhub.protocol import resp
from brookhub.routing.command_input import FREE_BYTES, CommandInput
from brookhub.routing.input_memory import InputMemory
from brookhub.routing.request_decoder import RequestDecoder
from brookhub.transport.ring_buffer import RingBuffer
from gateway_harness import DEFAULT_SETTINGS
from gateway_program import Client, api_call, command
from waiting import until

DEPLOY_FILE = Path(__file__).parent.parent / "deploy" / "balancer.toml"
BAD_CLIENTS = 250
HALF = 60_000  # Bytes that a bad client sends of a command.
MEMORY_MB = 48
CONNECTION_KIB = 32  # Memory of a connection beside its buffers, with a margin.


def test_memory_is_reserved_up_to_its_limit_and_waited_for():
    memory = InputMemory(100)
    assert memory.reserve(60, 0) and not memory.reserve(50, 0.01) and memory.reserve(40, 0)
    threading.Timer(0.05, memory.release, [60]).start()
    assert memory.reserve(50, 5) and memory.reserved_bytes == 90


def command_input(max_bytes=10**6):
    memory, buffer = InputMemory(max_bytes), RingBuffer(resp.BUFFER_BYTES)
    return CommandInput(buffer, RequestDecoder(DEFAULT_SETTINGS), memory), buffer, memory


def receive(commands_of, buffer, data):
    """Receive bytes as a connection does, and check what is reserved; return the number of commands."""
    complete = []
    while data:
        with buffer.writable_view() as view:
            length = min(len(view), len(data))
            view[:length] = data[:length]
        buffer.commit_write(length)
        data = data[length:]
        assert commands_of.decode(complete, 1.0) is None
        missing = commands_of.missing_bytes()
        assert commands_of.reserve(missing, 0)
        held = len(buffer.storage) + commands_of._reader.parsed_bytes()
        assert held <= commands_of.reserved_bytes + FREE_BYTES
    return len(complete)


@pytest.mark.parametrize("size", [10, 3000, 65_000])
def test_reserved_memory_covers_a_partly_received_command_and_is_released_with_it(size):
    commands_of, buffer, memory = command_input()
    data = command(b"CALL.POST", b"%016x" % 7, b"%016x" % 1, b"c=x", b"b" * size)
    assert receive(commands_of, buffer, data[:-2]) == 0
    assert commands_of.command_began_at == 1.0
    assert (memory.reserved_bytes == 0) == (size < 2000)
    assert receive(commands_of, buffer, data[-2:]) == 1
    assert memory.reserved_bytes == 0 and commands_of.command_began_at is None


def test_arguments_that_were_already_parsed_are_charged_as_well():
    commands_of, buffer, memory = command_input()
    data = command(b"CALL.POST", b"%016x" % 7, b"%016x" % 1, b"c=" + b"x" * 60_000, b"body")
    assert receive(commands_of, buffer, data[: -len(b"$4\r\nbody\r\n")]) == 0
    assert len(buffer) == 0 and memory.reserved_bytes >= 60_000
    commands_of.close()
    assert memory.reserved_bytes == 0


@pytest.fixture
def deployed_environment(monkeypatch):
    """Set the environment variables of the deploy file, on which the use of memory depends."""
    run_line = tomllib.loads(DEPLOY_FILE.read_text())["run"]
    for name, value in re.findall(r"(\w+)=(\S+)", run_line):
        monkeypatch.setenv(name, value)


@pytest.mark.usefixtures("deployed_environment")
def test_bad_clients_with_half_a_command_leave_memory_to_others(started):
    program = started(limits={"memory_mb": MEMORY_MB, "sockets": 512})
    before = program.status("RssAnon")
    half = api_call(1, route="once", body=b"x" * 64 * 1024)[:HALF]
    with contextlib.ExitStack() as stack:
        bad = [stack.enter_context(program.dial()) for _ in range(BAD_CLIENTS)]
        for connection in bad:
            connection.sendall(half)
        with Client(program) as usual:
            usual.sock.settimeout(5)
            assert usual.ask(api_call(2, route="once", body=b"y" * 50_000)) == b"ok"
        assert until(lambda: ("client", "memory-limit") in program.closed_connections())
        peak = program.status("VmHWM") - program.status("RssFile")
    allowed = before + BAD_CLIENTS * CONNECTION_KIB + MEMORY_MB * 1024 // 10 + 2048
    assert peak < allowed
