"""Tests of the memory of requests and responses, which is that of their objects, not of their text alone."""

import contextlib
import gc
import threading
import time
from dataclasses import replace
from weakref import ref

import pytest

from brookhub.fakes import FakeServer, read_value
from brookhub.model import Outcome
from brookhub.protocol import request_codec, resp
from brookhub.routing.client_connection import ClientConnection
from brookhub.routing.client_request import REQUEST_OBJECT_BYTES, RESPONSE_OBJECT_BYTES
from brookhub.routing.request_decoder import PING
from gateway_harness import GatewayHarness
from gateway_program import Client, api_call, command
from routing_harness import RecordingStream, clients_of_one_route, command_words, run_event
from waiting import until

BUSY = b"-BUSY\r\n"
MEMORY_MB = 64
CLIENTS = 200
COMMANDS_AT_ONCE = 900


def parsed(request_id):
    return request_codec.ParsedRequest(command_words(request_id))


@pytest.fixture
def connection(port):
    """Provide a connection whose requests are collected in `requests`, in the order of their arrival."""
    clients = clients_of_one_route(port)
    clients.start = lambda connection: None
    clients.limits = replace(clients.limits, max_open_requests=99, max_unread_bytes=99_999)
    connection = ClientConnection(clients, None)
    connection.stream = RecordingStream()
    connection.requests = []
    port.gateway.on_request = connection.requests.append
    run_event(port, clients.admit, connection)
    return connection


def test_replies_that_wait_for_an_earlier_response_share_one_object(port, connection):
    # Guards against about 1 KB of memory for each of the commands that wait behind a request, counted as the
    # few bytes of their replies.
    usage = connection._owner.usage
    for _ in range(30):
        run_event(port, connection.on_commands, [PING] * 30, None)
    assert len(connection.stream.enqueued) == 900 and usage.response_bytes == 0
    run_event(port, connection.on_commands, [parsed(1)], None)
    for _ in range(30):
        run_event(port, connection.on_commands, [PING] * 30, None)
    assert len(connection.pending_responses) == 2
    assert usage.response_bytes == 900 * len(resp.PONG) + RESPONSE_OBJECT_BYTES
    run_event(port, connection.requests[0].response.complete, b"+value\r\n")
    assert connection.stream.enqueued[900:] == [b"+value\r\n", resp.PONG * 900]
    assert usage.response_bytes == usage.request_bytes == 0


def test_requests_that_are_answered_at_once_share_the_object_of_the_replies_beside_them(port, connection):
    clients = connection._owner
    run_event(port, connection.on_commands, [parsed(1)], None)
    clients.limits = replace(clients.limits, max_open_requests=1)
    for first in range(2, 92, 30):
        run_event(port, connection.on_commands, [PING, *map(parsed, range(first, first + 30))], None)
    assert len(connection.pending_responses) == 2
    run_event(port, connection.requests[0].response.complete, b"+value\r\n")
    assert connection.stream.enqueued == [b"+value\r\n", (resp.PONG + BUSY * 30) * 3]
    assert clients.usage.response_bytes == 0


def test_reply_behind_one_that_is_partly_written_is_written_after_it(port, connection):
    run_event(port, connection.on_commands, [parsed(1), PING], None)
    written = []

    def enqueue_part(data):
        taken = bytes(data[: 3 if len(written) % 2 else len(data)])
        written.append(taken)
        return len(taken)

    connection.stream.enqueue_part = enqueue_part
    run_event(port, connection.requests[0].response.complete, b"+value\r\n")
    assert b"".join(written) == b"+value\r\n" + resp.PONG[:3]
    run_event(port, connection.on_commands, [PING, PING], None)
    connection.stream.enqueue_part = lambda data: written.append(bytes(data)) or len(data)
    connection._on_drained()
    assert b"".join(written) == b"+value\r\n" + resp.PONG * 3 and not connection.pending_responses
    assert connection._owner.usage.response_bytes == 0


def test_open_requests_are_limited_by_the_memory_of_their_objects(port, connection):
    # Guards against 20,000 open requests that count as their words and take some kilobytes each.
    clients = connection._owner
    clients.limits = replace(clients.limits, max_unread_bytes=5 * (REQUEST_OBJECT_BYTES + 200))
    run_event(port, connection.on_commands, list(map(parsed, range(9))), None)
    assert len(connection.requests) == 5
    for request in connection.requests:
        run_event(port, request.response.complete, b"+value\r\n")
    assert connection.stream.enqueued[-1] == BUSY * 4 and clients.usage.request_bytes == 0


def test_timers_of_an_answered_request_do_not_keep_it_in_memory():
    # Guards against requests that stay in memory until their deadline, however soon they are answered.
    harness = GatewayHarness()
    request = harness.request(harness.customer())
    harness.advance(0.01)
    reference = ref(request)
    harness.end_attempt(harness.attempts[0], Outcome.OK)
    assert request in harness.answers and harness.timers
    del request
    harness.answers.clear()
    harness.attempts.clear()
    # The harness's own timer of the attempt's timeout keeps it; the policy's timers must not.
    harness.timers = [timer for timer in harness.timers if "start_attempt" not in timer[2].__qualname__]
    gc.collect()
    assert harness.timers and reference() is None


def test_connection_is_not_read_while_its_responses_wait_and_the_memory_for_all_is_used_up(port, connection):
    clients = connection._owner
    run_event(port, connection.on_commands, [parsed(1)], None)
    clients.usage.response_bytes += clients.limits.max_unread_bytes + 1
    waiting = threading.Thread(target=connection._wait_for_response_memory)
    waiting.start()
    time.sleep(0.2)
    assert waiting.is_alive()
    clients.usage.response_bytes = 0
    waiting.join(5)
    assert not waiting.is_alive()


def test_commands_that_wait_behind_a_request_do_not_take_the_process_over_its_memory(started):
    # Guards against a process that is killed for memory while hundreds of clients send commands at once.
    servers = [FakeServer([1.0] * CLIENTS) for _ in range(3)]
    program = started(servers=servers, limits={"memory_mb": MEMORY_MB, "sockets": 1024})
    with contextlib.ExitStack() as stack:
        clients = [stack.enter_context(Client(program)) for _ in range(CLIENTS)]
        for number, client in enumerate(clients):
            client.sock.sendall(api_call(number, customer=number) + command(b"PING") * COMMANDS_AT_ONCE)
        assert until(lambda: sum(len(server.requests) for server in servers) > 0)
        for client in clients:
            answer = read_value(client.lines)
            assert isinstance(answer, bytes)
            assert all(read_value(client.lines) == b"+PONG" for _ in range(COMMANDS_AT_ONCE))
        peak = program.status("VmHWM")
    assert peak < MEMORY_MB * 1024
