"""Tests of clients that close their connections: nothing is sent to a server for them afterwards."""

import socket
import threading
import time

import pytest

from brookhub.fakes import FakeServer
from brookhub.model import Customer
from brookhub.protocol import request_codec, resp
from brookhub.routing.client_connection import ClientConnection
from brookhub.routing.client_request import ClientRequest, PendingResponse
from brookhub.site import Plan, Route
from brookhub.transport.stream import Stream
from gateway_program import api_call
from routing_harness import (
    RecordingStream,
    clients_of_one_route,
    command_words,
    connect,
    make_server,
    outcomes,
    run_event,
    start_attempts,
)
from waiting import until

CLIENTS = 10
REQUESTS_AT_ONCE = 400
LATEST_ATTEMPT_S = 0.15  # 0.1 s after the close, and 50 ms for the sockets.


@pytest.fixture
def connected_sockets():
    """Provide both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
    yield ours, theirs
    ours.close()
    theirs.close()


def test_close_of_a_peer_is_seen_although_bytes_that_it_sent_before_are_unread(connected_sockets):
    # Guards against forwarding requests of a client that has closed its connection: a peek returns its unread
    # bytes as if it were there.
    ours, theirs = connected_sockets
    stream = Stream(ours, resp.BUFFER_BYTES)
    theirs.sendall(api_call(1))
    assert not stream.is_closed_by_peer()
    theirs.close()
    assert until(stream.is_closed_by_peer, 5) and stream.has_unread_bytes()


def make_request(clients, port):
    connection = ClientConnection(clients, None)
    connection.stream = RecordingStream()
    return ClientRequest(
        1,
        Customer(7, Plan("wide")),
        Route("look", 1.0, 2.0),
        port.now + 2.0,
        parsed=request_codec.ParsedRequest(command_words(1)),
        response=PendingResponse(connection),
        pending=object(),
    )


def test_attempt_of_a_client_that_left_while_the_server_was_connecting_is_not_written(port):
    # Guards against an attempt for a client that left after the server was chosen, with its close unread.
    request, aborted = make_request(clients_of_one_route(port), port), []
    port.gateway.on_client_disconnected = aborted.append
    start_attempts(port, (request, make_server(port)))
    client = request.response.connection
    client.stream.is_peer_closed = True
    assert connect(port, port.dialled[0]).enqueued == []
    assert aborted == [request] and [outcome.name for outcome in outcomes(port)] == ["NOT_SENT"]
    assert client.stream.close_reason == "client-closed"
    assert port.dialled[0] in port.upstreams.idle  # The connection to the server is sound.


def test_attempt_of_a_client_that_left_between_the_event_and_its_deferred_write_is_not_written(port):
    # Guards against a check that comes before a wait: the write is deferred until the lock is released.
    request = make_request(clients_of_one_route(port), port)
    port.gateway.on_client_disconnected = lambda request: None
    server = make_server(port)
    start_attempts(port, (make_request(clients_of_one_route(port), port), server))
    stream = connect(port, port.dialled[0])
    stream.unread = b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"
    run_event(port, port.upstreams.on_readable, port.dialled[0])
    assert len(stream.enqueued) == 1
    port.now += 2 * port.upstreams.settings.settle_time

    def choose_then_leave():
        port.start_attempt(request, server, 0.0)
        request.response.connection.stream.is_peer_closed = True

    run_event(port, choose_then_leave)
    assert len(stream.enqueued) == 1 and len(port.dialled) == 1


def test_response_that_arrives_before_its_request_is_written_is_taken_for_no_answer(port):
    # Guards against taking a late second response for the answer to a request that is not written yet.
    clients = clients_of_one_route(port)
    server = make_server(port)
    start_attempts(port, (make_request(clients, port), server))
    stream = connect(port, port.dialled[0])
    stream.unread = b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"
    run_event(port, port.upstreams.on_readable, port.dialled[0])
    port.now += 2 * port.upstreams.settings.settle_time

    def choose_and_receive():
        port.start_attempt(make_request(clients, port), server, 0.0)
        stream.unread = b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"
        port.upstreams.on_readable(port.dialled[0])

    run_event(port, choose_and_receive)
    assert stream.close_reason == "protocol-error" and len(stream.enqueued) == 1


class ArrivalTimes(list):
    """A list of received commands that keeps the time at which each was appended instead."""

    def append(self, command):
        super().append(time.monotonic())


def test_no_attempt_begins_after_clients_with_many_unread_requests_have_left(started):
    # Guards against requests that are forwarded up to a second after their clients have closed.
    servers = [FakeServer([0.2] * 4 * CLIENTS * REQUESTS_AT_ONCE) for _ in range(3)]
    for server in servers:
        server.requests = ArrivalTimes()
    program = started(servers=servers)
    for number in range(4):
        connections = [program.dial() for _ in range(CLIENTS)]
        for client, connection in enumerate(connections):
            first = ((number * CLIENTS) + client) * REQUESTS_AT_ONCE
            data = b"".join(api_call(first + index, customer=index) for index in range(REQUESTS_AT_ONCE))
            threading.Thread(target=connection.sendall, args=(data,)).start()
        time.sleep(0.05)
        for connection in connections:
            connection.close()
        left_at = time.monotonic()
        time.sleep(1.2)
        late = [at for server in servers for at in server.requests if at > left_at + LATEST_ATTEMPT_S]
        assert late == []
