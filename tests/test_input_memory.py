"""Tests of the memory for partly received commands: charged before it is used, bounded for all clients."""

import contextlib
import re
import threading
import tomllib
from pathlib import Path

import pytest

from brookhub.fakes import FakeServer, read_value
from brookhub.protocol import request_codec, resp
from brookhub.protocol.errors import InvalidRequestError
from brookhub.routing.command_input import FREE_BYTES, CommandInput
from brookhub.routing.input_memory import InputMemory, MemoryWaiter
from brookhub.routing.request_decoder import RequestDecoder
from brookhub.transport.ring_buffer import RingBuffer
from gateway_harness import DEFAULT_SETTINGS
from gateway_program import Client, api_call, command
from waiting import until

DEPLOY_FILE = Path(__file__).parent.parent / "deploy" / "balancer.toml"
BAD_CLIENTS = 250
FIELD_CLIENTS = 330
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


def test_memory_of_a_whole_argument_is_reserved_before_its_bytes_are_received():
    # Guards against many connections that hold memory for a part of their commands each, so that none of them
    # gets the rest and all are closed in turn.
    commands_of, _, memory = command_input()
    assert receive(commands_of, commands_of._buffer, b"*2\r\n$4\r\nPING\r\n$60000\r\n" + b"x" * 4000) == 0
    assert memory.reserved_bytes >= 60_000


def test_memory_is_granted_in_the_order_of_the_waits():
    memory, granted = InputMemory(100), []

    def wait_for(size):
        if memory.reserve(size, 5):
            granted.append(size)

    assert memory.reserve(100, 0)
    threads = []
    for count, size in enumerate((80, 30, 20), start=1):
        threads.append(threading.Thread(target=wait_for, args=(size,)))
        threads[-1].start()
        assert until(lambda count=count: len(memory._waiting) == count)
    memory.release(50)  # Enough for those behind the first, which is not passed over.
    assert not memory.reserve(10, 0) and granted == []
    memory.release(50)
    assert until(lambda: granted == [80])
    memory.release(80)
    for thread in threads:
        thread.join(5)
    assert sorted(granted) == [20, 30, 80] and memory.reserved_bytes == 50


def test_connection_that_is_closed_does_not_wait_for_memory():
    memory, waiter, results = InputMemory(100), MemoryWaiter(), []
    assert memory.reserve(100, 0)
    thread = threading.Thread(target=lambda: results.append(memory.reserve(50, 30, waiter)))
    thread.start()
    assert until(lambda: memory._waiting)
    memory.cancel(waiter)
    thread.join(5)
    assert results == [False] and not memory._waiting
    assert not memory.reserve(50, 30, waiter)  # It begins no further wait.


def test_wait_that_ends_without_memory_lets_those_behind_it_have_theirs():
    memory, results = InputMemory(100), []
    assert memory.reserve(60, 0)
    first = threading.Thread(target=lambda: results.append(memory.reserve(90, 0.3)))
    first.start()
    assert until(lambda: memory._waiting)
    assert memory.reserve(30, 5)
    first.join(5)
    assert results == [False] and memory.reserved_bytes == 90


def api_call_with_fields(number, fields):
    extra = "".join(f",z{index:x}=1" for index in range(fields))
    return api_call(number, customer=number, extra_fields=extra)


@pytest.mark.parametrize("fields,is_accepted", [(32 - 6, True), (32 - 5, False)])
def test_request_has_a_maximum_number_of_fields(fields, is_accepted):
    buffer = RingBuffer(resp.BUFFER_BYTES)
    buffer.append(api_call_with_fields(1, fields))
    (words,) = resp.RespReader().feed(buffer)
    if is_accepted:
        assert request_codec.ParsedRequest(words).request_id == 1
    else:
        with pytest.raises(InvalidRequestError):
            request_codec.ParsedRequest(words)


@pytest.mark.usefixtures("deployed_environment")
def test_requests_with_thousands_of_fields_do_not_take_the_process_over_its_memory(started):
    # Guards against requests whose fields take ten times the memory of their text, which alone was counted.
    program = started(servers=[FakeServer([1.0] * 400) for _ in range(3)], limits={"memory_mb": 64})
    with contextlib.ExitStack() as stack:
        clients = [stack.enter_context(Client(program)) for _ in range(FIELD_CLIENTS)]
        for number, client in enumerate(clients):
            client.sock.sendall(api_call_with_fields(number, 7000))
        for client in clients:
            assert read_value(client.lines)
    assert program.status("VmHWM") < 64 * 1024
