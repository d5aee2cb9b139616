"""Tests of responses that wait: for earlier ones on their connection, or for a client that does not read."""

import socket
from dataclasses import replace

import pytest

from brookhub.fakes import FakeServer, read_value
from brookhub.protocol import request_codec, resp
from brookhub.routing.client_connection import ClientConnection
from brookhub.routing.client_request import RESPONSE_OBJECT_BYTES
from brookhub.routing.clients import Clients
from brookhub.routing.port import SocketGatewayPort
from brookhub.site import Plan, Route
from brookhub.transport.stream import Stream
from gateway_harness import DEFAULT_SETTINGS
from gateway_program import Client, api_call
from routing_harness import LIMITS, RecordingGateway, RecordingStream, command_words, run_event
from waiting import until

VALUE = b"v" * 3000
COMMANDS = 32
VALUE_BYTES = 60_000


class OpenRequests:
    """Clients whose requests stay open until `answer`, on connections with recording streams."""

    def __init__(self, **limits) -> None:
        self.errors = []
        self.port = SocketGatewayPort(self.errors.append, 0.0)
        self.port.gateway = RecordingGateway()
        self.requests = {}
        self.port.gateway.on_request = lambda request: self.requests.__setitem__(request.id, request)
        self.port.gateway.on_client_disconnected = self.port.fail_request
        settings = replace(
            DEFAULT_SETTINGS, routes=(Route("look", 1.0, 9.0),), plans=(Plan("wide"),), gateways=1
        )
        limits = replace(LIMITS, max_open_requests=99, **limits)
        self.clients = Clients(self.port, lambda *_: None, settings, lambda: True, limits)
        self.clients.start = lambda connection: None

    def connect(self, *request_ids):
        connection = ClientConnection(self.clients, None)
        connection.stream = RecordingStream()
        run_event(self.port, self.clients.admit, connection)
        parsed = [request_codec.ParsedRequest(command_words(number)) for number in request_ids]
        run_event(self.port, connection.on_commands, parsed, None)
        return connection

    def answer(self, *request_ids, value=VALUE):
        for number in request_ids:
            response = self.requests[number].response
            run_event(self.port, response.complete, *request_codec.encode_served(value))

    def block(self, connection, seconds=0.0):
        """Let a connection's client have read nothing for `seconds`."""
        connection.stream.is_full = True
        connection.stream.blocked_since = self.port.now - seconds
        run_event(self.port, connection.on_blocked)

    def check_after(self, seconds):
        run_event(self.port, self.clients.close_stale_connections, after=seconds)


@pytest.fixture
def open_requests():
    """Provide a function that creates `OpenRequests`; assert at the end that there was no internal error."""
    created = []

    def create(**limits):
        created.append(OpenRequests(**limits))
        return created[-1]

    yield create
    assert all(requests.errors == [] for requests in created)


def test_responses_that_wait_for_an_earlier_one_do_not_close_their_connection(open_requests):
    requests = open_requests(max_unread_bytes=99_999)
    connection = requests.connect(*range(12))
    requests.answer(*range(1, 12))  # More than `max_unread_bytes_per_client`, and none can be read yet.
    connection.stream.is_full = True
    requests.answer(0)
    requests.check_after(0.1)
    assert connection.stream.close_reason is None
    connection.stream.is_full = False
    connection._on_drained()
    assert connection.stream.enqueued == list(request_codec.encode_served(VALUE)) * 12
    assert requests.clients.usage.response_bytes == 0


def test_client_is_disconnected_when_it_reads_nothing_for_the_timeout(open_requests):
    requests = open_requests(max_unread_bytes=999_999)
    over_limit, under_limit, reading = (
        requests.connect(*range(6)),
        requests.connect(*range(10, 12)),
        requests.connect(*range(20, 26)),
    )
    for connection in (over_limit, under_limit, reading):
        requests.block(connection)
    requests.answer(*range(6), *range(10, 12), *range(20, 26))
    requests.check_after(1.9)
    assert over_limit.stream.close_reason is None
    reading.stream.blocked_since = requests.port.now  # Its client has just read some bytes.
    requests.check_after(0.2)
    reasons = [connection.stream.close_reason for connection in (over_limit, under_limit, reading)]
    assert reasons == ["slow-reader", None, None]
    waiting_bytes = 8 * (len(request_codec.encode_served(VALUE)[0]) + RESPONSE_OBJECT_BYTES)
    assert requests.clients.usage.response_bytes == waiting_bytes + 3 * resp.BUFFER_BYTES
    run_event(requests.port, over_limit.on_closed)
    assert requests.clients.usage.response_bytes == waiting_bytes + 2 * resp.BUFFER_BYTES


def test_memory_of_all_responses_is_freed_by_the_client_that_is_blocked_longest(open_requests):
    requests = open_requests(max_unread_bytes=102_900, max_unread_bytes_per_client=99_999)
    first, second, waiting = requests.connect(1, 2), requests.connect(11, 12), requests.connect(21, 22)
    for connection, seconds in ((first, 0.5), (second, 0.9)):
        requests.block(connection, seconds)
    requests.answer(1, 2, 11, 12)
    assert (first.stream.close_reason, second.stream.close_reason) == (None, None)
    requests.answer(22)
    assert (first.stream.close_reason, second.stream.close_reason) == (None, "slow-reader")
    requests.answer(21)
    assert len(waiting.stream.enqueued) == 2


def test_response_that_exceeds_the_memory_while_no_client_is_slow_is_replaced_by_a_failure(open_requests):
    value = b"v" * 10_000
    requests = open_requests(max_unread_bytes=29_000)
    connection, other = requests.connect(*range(8)), requests.connect(20)
    requests.answer(*range(1, 8), value=value)
    requests.answer(20, value=value)  # It can be written at once, so it needs no memory.
    assert requests.clients.usage.response_bytes < 1.5 * 29_000
    requests.answer(0, value=value)
    served, failed = request_codec.encode_served(value)[0], request_codec.ENCODED_FAILURE
    assert other.stream.enqueued == [served] and connection.stream.close_reason is None
    assert connection.stream.enqueued == [served] * 5 + [failed] * 3


def test_buffer_of_a_client_that_does_not_read_counts_until_it_is_written_or_freed(open_requests):
    requests = open_requests(max_unread_bytes=999_999)
    first, second = requests.connect(1), requests.connect(11)
    for connection, number in ((first, 1), (second, 11)):
        connection.stream.flush = lambda: None  # The client does not read.
        requests.answer(number)
        requests.block(connection)
        requests.block(connection)  # Counted once.
    assert requests.clients.usage.response_bytes == 2 * resp.BUFFER_BYTES
    first.stream.blocked_since = None
    first._on_drained()
    assert requests.clients.usage.response_bytes == resp.BUFFER_BYTES
    run_event(requests.port, requests.clients.disconnect, second, "reset")
    assert requests.clients.usage.response_bytes == resp.BUFFER_BYTES  # Until its thread ends.
    run_event(requests.port, second.on_closed)
    assert requests.clients.usage.response_bytes == 0


def test_stream_knows_that_its_peer_stops_reading_also_after_it_has_read():
    ours, theirs = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    blocked_count = 0
    chunk = b"x" * resp.BUFFER_BYTES

    def on_blocked():
        nonlocal blocked_count
        blocked_count += 1

    # The writer thread goes on with what is queued when the queue is empty.
    stream = Stream(ours, resp.BUFFER_BYTES, lambda: stream.enqueue(chunk), on_blocked)
    with ours, theirs:
        stream.enqueue(chunk)
        stream.flush()
        assert stream.blocked_since is not None and blocked_count == 1
        received = 0
        while received < len(chunk):
            received += len(theirs.recv(1 << 16))
        assert until(lambda: blocked_count == 2 and stream.blocked_since is not None, 5)
        stream.abort("reset")


def test_client_that_sends_many_commands_at_once_gets_all_answers_in_order(started):
    value = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (VALUE_BYTES, b"x" * VALUE_BYTES)
    slow, quick = FakeServer([1.0]), [FakeServer([value] * COMMANDS) for _ in range(4)]
    slow.script += [value] * COMMANDS
    program = started(servers=[slow, *quick], limits={"memory_mb": 64, "sockets": 1024})
    with Client(program) as client:
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        client.sock.sendall(b"".join(api_call(number) for number in range(COMMANDS)))
        answers = [read_value(client.lines) for _ in range(COMMANDS)]
    lost = [answer for answer in answers if not answer]
    assert lost == [] and ("client", "slow-reader") not in program.closed_connections()
    assert sum(len(answer) == VALUE_BYTES for answer in answers) > COMMANDS // 2
