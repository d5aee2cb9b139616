"""Tests of the graceful shutdown of connections on which clients go on sending."""

from dataclasses import replace
from itertools import pairwise

import pytest

from brookhub.protocol import request_codec, resp
from brookhub.routing.client_connection import ClientConnection
from brookhub.routing.request_decoder import PING
from gateway_program import api_call, command
from routing_harness import RecordingStream, clients_of_one_route, command_words, run_event

PINGS_BEYOND_ONE_EVENT = 40


def parsed(request_id):
    return request_codec.ParsedRequest(command_words(request_id))


@pytest.fixture
def clients(port):
    """Provide clients whose requests are collected in `clients.requests` and stay open."""
    new_clients = clients_of_one_route(port)
    new_clients.start = lambda connection: None
    new_clients.requests = []
    port.gateway.on_request = new_clients.requests.append
    port.gateway.on_client_disconnected = port.fail_request
    return new_clients


def idle_connection(clients, unread=b""):
    connection = ClientConnection(clients, None)
    connection.stream = RecordingStream()
    connection.input._buffer = connection.stream.inbound
    run_event(clients.loop, clients.admit, connection)
    run_event(clients.loop, connection.on_commands, [PING], None)
    connection.stream.unread = unread
    return connection


def test_connection_is_not_shut_down_between_two_commands_of_one_read(clients):
    # Guards against forwarding a request behind the answer with which its connection was shut down: it was
    # never answered, and ran again when its client sent it once more.
    connection = idle_connection(clients, unread=b"*")
    run_event(clients.loop, clients.drain)
    assert connection.stream.close_reason is None
    connection.stream.unread = b""
    run_event(clients.loop, connection.on_commands, [PING, parsed(1), PING], None)
    assert len(clients.requests) == 1 and connection.stream.close_reason is None
    run_event(clients.loop, clients.requests[0].response.complete, b"+value\r\n")
    assert connection.stream.enqueued == [resp.PONG, resp.PONG, b"+value\r\n", resp.PONG]
    assert connection.stream.close_reason == "draining"


def test_connection_with_commands_beyond_one_event_is_shut_down_after_the_last_one(clients):
    # Guards against a shutdown between the events of one read, and one while bytes are still unread.
    data = command(b"PING") * PINGS_BEYOND_ONE_EVENT + api_call(1)
    connection = idle_connection(clients, unread=data)
    run_event(clients.loop, clients.drain)
    run_event(clients.loop, connection.on_readable, clients.loop.now)
    assert connection.input.may_have_commands and connection.stream.close_reason is None
    connection.stream.unread = command(b"PING")
    run_event(clients.loop, connection.on_readable, clients.loop.now)
    (request,) = clients.requests
    run_event(clients.loop, request.response.complete, b"+value\r\n")
    assert connection.stream.close_reason is None  # The last command is still unread.
    run_event(clients.loop, connection.on_readable, clients.loop.now)
    assert connection.stream.close_reason == "draining"
    assert b"".join(connection.stream.enqueued).endswith(b"+value\r\n" + resp.PONG)


def test_connection_with_half_a_command_is_shut_down_once_it_is_read(clients):
    connection = idle_connection(clients, unread=api_call(1)[:30])
    run_event(clients.loop, clients.drain)
    assert connection.stream.close_reason is None
    run_event(clients.loop, connection.on_readable, clients.loop.now)
    assert connection.stream.close_reason == "draining" and clients.requests == []


def test_request_that_arrives_when_the_program_is_about_to_exit_is_not_forwarded(clients):
    # Guards against forwarding a request that can't be answered any more.
    connection = idle_connection(clients)
    run_event(clients.loop, connection.on_commands, [parsed(1)], None)
    run_event(clients.loop, clients.fail_open_requests)
    run_event(clients.loop, connection.on_commands, [parsed(2)], None)
    assert [request.id for request in clients.requests] == [1]
    assert connection.stream.enqueued[-1] == request_codec.ENCODED_FAILURE
    assert connection.stream.close_reason == "draining"


def test_each_event_that_fails_the_requests_of_a_client_is_short(clients):
    # Guards against an event whose length a client sets: all requests of a closed connection failed at once.
    failed = []
    clients.loop.gateway.on_client_disconnected = lambda request: failed.append(request.id)
    clients.limits = replace(clients.limits, max_open_requests=999, max_unread_bytes=999_999)
    connection = idle_connection(clients)
    for first in range(0, 100, 10):
        run_event(clients.loop, connection.on_commands, [parsed(first + n) for n in range(10)], None)
    run_event(clients.loop, connection.on_closed)
    counts = [len(failed)]
    while connection.pending_responses:
        run_event(clients.loop, connection.fail_next_requests)
        counts.append(len(failed))
    assert failed == list(range(100)) and max(b - a for a, b in pairwise(counts)) <= 32
    assert counts[0] <= 32 and not clients.request_ids.open and not clients.usage.request_bytes
