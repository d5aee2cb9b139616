"""Tests of routing without sockets: recording streams replace connections, and the clock is simulated."""

import random
import socket
import threading
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest

from brookhub.model import Customer, Outcome, Request, ServerState
from brookhub.protocol import request_codec, resp, server_list
from brookhub.routing.client_connection import ClientConnection
from brookhub.routing.clients import Clients
from brookhub.routing.connections import Reconnector, ReconnectSettings
from brookhub.routing.counter import CounterClient
from brookhub.routing.discovery import DiscoveryClient
from brookhub.routing.port import SocketGatewayPort
from brookhub.routing.request_decoder import PING
from brookhub.site import Plan, Route
from brookhub.transport.connection_slots import ConnectionSlots
from brookhub.transport.sockets import Listener
from brookhub.transport.stream import Stream
from gateway_harness import DEFAULT_SETTINGS
from routing_harness import (
    LIMITS,
    UPSTREAM_SETTINGS,
    RecordingStream,
    advance,
    clients_of_one_route,
    command_words,
    connect,
    make_server,
    outcomes,
    run_event,
    start_attempts,
)


def make_request(port, timeout_s=2.0):
    words = command_words(1)
    request = Request(1, Customer(7, Plan("wide")), Route("look", 1.0, 2.0), port.now + timeout_s)
    request.parsed, request.pending, request.responses = request_codec.ParsedRequest(words), object(), []
    request.response = SimpleNamespace(
        complete=lambda *parts: (request.responses.append(b"".join(parts)), setattr(request, "pending", None))
    )
    request.client_has_left = lambda: False
    return request


VALUE = b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"


def receive(port, connection, data):
    connection.stream.unread = data
    run_event(port, port.upstreams.on_readable, connection)


def test_attempt_carries_its_time_left_and_its_connection_is_reused(port):
    server, first, second = make_server(port), make_request(port), make_request(port)
    (attempt,) = start_attempts(port, (first, server))
    port.now += 0.5
    stream = connect(port, port.dialled[0])
    assert b"d=1500" in stream.enqueued[0] and stream.may_be_fully_written()
    receive(port, port.dialled[0], VALUE)
    assert first.responses == [b"$1\r\nv\r\n"] and port.gateway.ended_attempts == [
        (attempt, Outcome.OK, True)
    ]
    advance(port, 0.01)
    start_attempts(port, (second, server))
    assert len(port.dialled) == 1 and len(stream.enqueued) == 2


def test_partly_written_request_counts_as_not_executed_and_a_written_one_as_possibly_executed(port):
    server = make_server(port)
    start_attempts(port, (make_request(port), server), (make_request(port), server))
    partly_written, fully_written = port.dialled
    connect(port, fully_written)
    partly_written.stream = RecordingStream()
    run_event(port, port.upstreams.on_connected, partly_written)
    partly_written.stream.bytes_maybe_written = 3
    partly_written.stream.abort("reset")  # The reading thread aborts the stream first.
    for connection in (partly_written, fully_written):
        run_event(port, port.upstreams.on_disconnected, connection)
    assert outcomes(port) == [Outcome.CONNECT_FAILED, Outcome.RESET]


def test_attempt_is_not_sent_when_its_request_ended_or_its_server_drained_meanwhile(port):
    server, ended, drained = make_server(port), make_request(port), make_request(port)
    start_attempts(port, (ended, server), (drained, server))
    ended.pending = None
    first_stream = connect(port, port.dialled[0])
    server.state = ServerState.DRAINING
    second_stream = connect(port, port.dialled[1])
    assert outcomes(port) == [Outcome.NOT_SENT] * 2 and first_stream.enqueued == second_stream.enqueued == []


@pytest.mark.parametrize("extra_bytes", [VALUE, b"\r\n", b"noise", b"-ERR", b"+"])
@pytest.mark.parametrize("arrives_late", [False, True])
def test_bytes_behind_an_answer_never_reach_the_next_attempt(port, extra_bytes, arrives_late):
    server, first, second = make_server(port), make_request(port), make_request(port)
    start_attempts(port, (first, server))
    connection, stream = port.dialled[0], connect(port, port.dialled[0])
    receive(port, connection, VALUE if arrives_late else VALUE + extra_bytes)
    assert outcomes(port) == [Outcome.OK] and first.responses == [b"$1\r\nv\r\n"]
    advance(port, 0.01)
    stream.unread = extra_bytes if arrives_late else b""  # Received, but not yet read by its thread.
    start_attempts(port, (second, server))
    assert stream.close_reason == "protocol-error" and len(port.dialled) == 2 and len(stream.enqueued) == 1


@pytest.mark.parametrize("delay,settle_time", [(0.001, 0.003), (0.012, 0.024), (0.04, 0.05), (0.2, 0.003)])
def test_settle_time_grows_with_the_delays_of_second_responses(port, delay, settle_time):
    # Guards against second responses some milliseconds late that are taken for those to other requests.
    server = make_server(port)
    for step in range(2):
        start_attempts(port, (make_request(port), server))
        connect(port, port.dialled[step])
        receive(port, port.dialled[step], VALUE)
        if not step:
            port.now += delay
            receive(port, port.dialled[0], VALUE)
            assert port.dialled[0].stream.close_reason == "protocol-error"
    port.now += settle_time - 0.0005
    start_attempts(port, (make_request(port), server))
    assert len(port.dialled) == 3
    port.now += 0.001
    start_attempts(port, (make_request(port), server))
    assert len(port.dialled) == 3


def test_connection_is_not_reused_before_its_settle_time(port):
    server = make_server(port)
    start_attempts(port, (make_request(port), server))
    stream = connect(port, port.dialled[0])
    receive(port, port.dialled[0], VALUE)
    start_attempts(port, (make_request(port), server))
    assert len(port.dialled) == 2 and stream.close_reason is None
    advance(port, 0.01)
    start_attempts(port, (make_request(port), server))
    assert len(port.dialled) == 2 and len(stream.enqueued) == 2


@pytest.mark.parametrize(
    "malformed",
    [
        b"\x82\xfe noise\r\n",
        b"*1000000000\r\n",
        b"$3000000000\r\n" + b"x" * 5000,
        b"*3\r\n$-7\r\n",
        b"*3\r\n*3\r\n*3\r\n",
        b":5\r\n",
        b"x" * 2000,
        b"*3\r\n$1\r\nvv\r\n$-1\r\n",
        b"$1\r\nv\r\n",
    ],
)
def test_malformed_answer_fails_its_attempt_and_closes_its_connection(port, malformed):
    server = make_server(port)
    for pieces in ([malformed], [malformed[index : index + 1] for index in range(len(malformed))]):
        request = make_request(port)
        start_attempts(port, (request, server))
        connection = port.dialled[-1]
        stream = connect(port, connection)
        for piece in pieces:
            receive(port, connection, piece)
        assert (
            outcomes(port)[-1] is Outcome.ERROR
            and stream.close_reason in ("protocol-error", "oversized")
            and request.responses == []
        )
        assert len(stream.inbound) <= resp.BUFFER_BYTES and connection not in port.upstreams.idle


def test_partly_received_response_is_charged_until_its_connection_has_ended(port):
    server = make_server(port)
    attempts = start_attempts(port, (make_request(port), server), (make_request(port), server))
    for connection in port.dialled:
        connect(port, connection)
        receive(port, connection, b"*3\r\n$60000\r\n" + b"x" * 30_000)
    assert port.upstreams.partial_bytes >= 2 * 30_000
    receive(port, port.dialled[0], b"x" * 30_000 + b"\r\n$-1\r\n$-1\r\n")
    one_response = port.upstreams.partial_bytes
    assert 30_000 <= one_response < 2 * 68 * 1024
    run_event(port, port.cancel_attempt, attempts[1])
    assert port.upstreams.partial_bytes == one_response  # Its thread has not ended yet.
    run_event(port, port.upstreams.on_closed, port.dialled[1])
    assert port.upstreams.partial_bytes == 0


def test_cancelled_attempt_closes_its_connection_before_the_next_is_dialled(port):
    server, other_server, request = make_server(port), make_server(port, 2), make_request(port)
    (attempt,) = start_attempts(port, (request, server))
    stream, events = connect(port, port.dialled[0]), []
    stream.abort = lambda reason: events.append("closed")

    def cancel_and_retry():
        port.cancel_attempt(attempt)
        port.call_soon(lambda: port.start_attempt(request, other_server, 0.0))

    port.upstreams.start = lambda connection: events.append("dialled")
    run_event(port, cancel_and_retry)
    assert events == ["closed", "dialled"] and outcomes(port) == [Outcome.CANCELLED]
    receive(port, port.dialled[0], VALUE)
    assert request.responses == [] and len(port.gateway.ended_attempts) == 1


def test_attempt_without_an_answer_times_out_once(port):
    server, request = make_server(port), make_request(port, timeout_s=0.5)
    start_attempts(port, (request, server))
    stream = connect(port, port.dialled[0])
    advance(port, 1.0)
    assert outcomes(port) == [Outcome.TIMEOUT] and stream.close_reason == "cancelled"


def test_connections_are_limited_and_the_longest_idle_is_evicted(port):
    server, other_server = make_server(port), make_server(port, 2)
    start_attempts(port, *[(make_request(port), server)] * 3)
    streams = [connect(port, connection) for connection in port.dialled]
    start_attempts(port, (make_request(port), other_server))
    assert outcomes(port) == [Outcome.CONNECT_FAILED]  # None is free: nothing was sent.
    for connection in port.dialled:
        receive(port, connection, VALUE)
    start_attempts(port, (make_request(port), other_server))
    assert streams[0].close_reason == "evicted" and len(port.dialled) == 4
    advance(port, 0.0)
    run_event(port, port.upstreams.retire_idle, after=6.0)
    assert streams[1].close_reason == streams[2].close_reason == "idle-timeout" and not port.upstreams.idle


class RandomAttempts:
    """Random events of requests, connections and servers on a port, and the invariants after each."""

    ANSWERS = (VALUE, b"-BUSY\r\n", b"-ERR failed\r\n", b"$-1\r\n", b"?\r\n", VALUE[:9], VALUE * 2)
    MAX_OPEN_REQUESTS = 6

    def __init__(self, port, seed):
        self.port = port
        self.random = random.Random(seed)
        self.servers = [make_server(port, number) for number in range(4)]
        self.open_requests = []
        self.all_requests = []

    def step(self):
        """Run an event of a random kind, advance the clock, and let servers close some idle connections."""
        events = (
            self.start_request,
            self.start_request,
            self.finish_dial,
            self.receive_answer,
            self.end_attempt,
            self.change_server,
            self.do_nothing,
        )
        events[self.random.randrange(len(events))]()
        advance(self.port, self.random.choice([0.0, 0.01, 0.1]))
        closed = [connection for connection in self.port.upstreams.idle if self.random.random() < 0.05]
        for connection in closed:
            run_event(self.port, self.port.upstreams.on_disconnected, connection)
        self.open_requests = [
            request for request in self.open_requests if request.pending and self.port.now < request.deadline
        ]

    def start_request(self):
        if len(self.open_requests) >= self.MAX_OPEN_REQUESTS:
            return
        request = make_request(self.port, self.random.choice([0.2, 2.0]))
        self.open_requests.append(request)
        self.all_requests.append(request)
        ready = [server for server in self.servers if server.state is ServerState.READY]
        if ready:
            start_attempts(self.port, (request, self.random.choice(ready)))

    def finish_dial(self):
        if not self.port.dialled:
            return
        connection = self.port.dialled.pop(self.random.choice([0, -1, -1]))
        if self.random.random() < 0.2:
            run_event(self.port, self.port.upstreams.on_disconnected, connection)
        else:
            connect(self.port, connection)

    def receive_answer(self):
        if not self.port.upstreams.in_flight:
            return
        connection = self.random.choice(list(self.port.upstreams.in_flight.values()))
        if connection.stream:
            receive(self.port, connection, self.random.choice(self.ANSWERS))

    def end_attempt(self):
        """Reset the connection of an attempt, or cancel the attempt while it is dialled."""
        if not self.port.upstreams.in_flight:
            return
        attempt, connection = self.random.choice(list(self.port.upstreams.in_flight.items()))
        if connection.stream:
            connection.stream.abort("reset")
            run_event(self.port, self.port.upstreams.on_disconnected, connection)
        else:
            run_event(self.port, self.port.cancel_attempt, attempt)

    def change_server(self):
        server = self.random.choice(self.servers)
        server.state = self.random.choice([ServerState.READY, ServerState.DRAINING])
        self.port.upstreams.update_address(server, ("127.0.0.1", 1))

    def do_nothing(self):
        """Only let time pass."""

    def check_invariants(self):
        """Check that attempts end once, connections carry at most one, and requests have one answer."""
        upstreams = self.port.upstreams
        ended = [attempt for attempt, _, _ in self.port.gateway.ended_attempts]
        assert len(ended) == len(set(map(id, ended)))
        assert all(
            connection.attempt is attempt and attempt.outcome is None
            for attempt, connection in upstreams.in_flight.items()
        )
        assert all(
            connection.attempt is None and not connection.close_reason for connection in upstreams.idle
        )
        assert all(len(request.responses) <= 1 for request in self.all_requests)
        assert all(connection in connection.pool.idle for connection in upstreams.idle)


def test_attempts_keep_their_invariants_in_a_random_run(port):
    port.upstreams.settings = replace(UPSTREAM_SETTINGS, max_connections=1500)
    run = RandomAttempts(port, seed=4)
    for _ in range(1500):
        run.step()
        run.check_invariants()
    assert len(port.gateway.ended_attempts) > 100 and set(outcomes(port)) >= set(Outcome) - {
        Outcome.CANCELLED,
        Outcome.DEFERRED,  # Only calls to the counter have this outcome.
    }


def test_internal_error_fails_its_request_and_not_those_behind_it(port):
    errors, port.report_error = [], lambda error: errors.append(str(error))
    clients = clients_of_one_route(port)
    client = ClientConnection(clients, None)
    client.stream = RecordingStream()

    def on_request(request):
        if request.id == 1:
            raise ArithmeticError("injected")
        port.reject_request(request, 0.0)

    port.gateway.on_request = on_request
    requests = [request_codec.ParsedRequest(command_words(request_id)) for request_id in range(3)]
    run_event(port, client.on_commands, requests, None)
    assert client.stream.enqueued == [b"-BUSY\r\n", b"-ERR failed\r\n", b"-BUSY\r\n"]
    assert errors == ["injected"] and client in clients.table.idle
    assert len(clients.request_ids.open) == clients.usage.request_bytes == 0


def test_request_of_a_client_that_disconnects_releases_its_counted_memory(port):
    # Guards against subtracting the undelivered failure response without having added it: the limit on unread
    # responses then grew by its 13 bytes with every request whose client had left.
    clients = clients_of_one_route(port)
    port.gateway.on_request = lambda request: None
    port.gateway.on_client_disconnected = port.fail_request
    clients.start = lambda client: None
    client = ClientConnection(clients, None)
    client.stream = RecordingStream()
    run_event(port, clients.admit, client)
    run_event(port, client.on_commands, [request_codec.ParsedRequest(command_words(1))], None)
    assert clients.usage.request_bytes > 0
    run_event(port, client.on_closed)
    assert (clients.usage.request_bytes, clients.usage.response_bytes) == (0, 0)
    assert not clients.request_ids.open and not clients.connections


def reconnector(address):
    return Reconnector(
        "peer", address, ReconnectSettings(0.5, 0.05, 1.0), lambda: 0.5, lambda *_: None, lambda error: None
    )


def test_client_with_unread_bytes_is_not_closed_as_idle_and_idle_clients_stay_open_during_shutdown(port):
    limits = replace(LIMITS, max_connections=3, spare_connections=9)
    clients = Clients(port, lambda *_: None, DEFAULT_SETTINGS, lambda: True, limits)
    clients.start = lambda client: None

    def connect(sends_command):
        client = ClientConnection(clients, None)
        client.stream = RecordingStream()
        run_event(port, clients.admit, client)
        if sends_command:
            run_event(port, client.on_commands, [PING], None)
        return client

    first, second, third = connect(True), connect(True), connect(True)
    first.stream.unread = b"*4"  # Its thread has not read it yet.
    connect(False)
    assert [client.stream.close_reason for client in (first, second, third)] == [None, "evicted", None]
    run_event(port, clients.begin_shutdown)
    late = connect(False)  # The one before it, which has sent nothing, is evicted.
    assert third.stream.close_reason is None and late.stream.close_reason is None
    with_unread = connect(False)
    with_unread.stream.unread = b"*4"
    advance(port, 3.0)  # Longer than the timeout of a first request.
    run_event(port, clients.close_stale_connections)
    assert with_unread.stream.close_reason is None
    run_event(port, clients.drain)
    assert third.stream.close_reason == "draining" and first.stream.close_reason is None
    first.stream.unread = b""
    run_event(port, first.on_commands, [PING], None)
    assert first.stream.close_reason == "draining" and first.stream.enqueued[-1] == resp.PONG


def test_idle_client_whose_response_is_not_written_yet_is_not_evicted_or_closed(port):
    limits = replace(LIMITS, max_connections=2, spare_connections=9)
    clients = Clients(port, lambda *_: None, DEFAULT_SETTINGS, lambda: True, limits)
    clients.start = lambda client: None

    def connect(is_written):
        client = ClientConnection(clients, None)
        client.stream = RecordingStream()
        if not is_written:
            client.stream.flush = lambda: None  # The flush is deferred until the lock is released.
        run_event(port, clients.admit, client)
        run_event(port, client.on_commands, [PING], None)
        return client

    unwritten, written = connect(False), connect(True)
    connect(True)  # Evicts another connection.
    assert (unwritten.stream.close_reason, written.stream.close_reason) == (None, "evicted")
    run_event(port, clients.close_stale_connections)
    advance(port, 5.0)
    assert unwritten.stream.close_reason is None
    unwritten.stream.bytes_written = unwritten.stream.bytes_queued
    advance(port, 5.0)
    assert unwritten.stream.close_reason == "idle-timeout"


def connected_counter(port, connections=2):
    counter = CounterClient(port, reconnector, 0.08, connections, 1.0)
    run_event(port, counter.set_address, ("127.0.0.1", 1))
    for connection in counter.newest:
        run_event(port, connection.on_connected, RecordingStream())
    return counter


def count(port, counter, name=1):
    """Start a counter call; its outcome, total and duration are appended to the returned list later."""
    results = []
    run_event(
        port,
        counter.count,
        name,
        1.0,
        4.0,
        lambda outcome, total, duration: results.append((outcome, total, round(duration, 3))),
    )
    return results


def test_counter_calls_finish_once_and_in_order_despite_late_answers(port):
    counter = connected_counter(port)
    first, second = count(port, counter), count(port, counter)
    connection = counter.active[1]
    run_event(port, connection.on_replies, connection.stream, [b"5"], after=0.01)
    assert first == [(Outcome.OK, 5.0, 0.01)] and second == []
    advance(port, 0.1)
    assert second == [(Outcome.TIMEOUT, 0.0, 0.08)]
    third = count(port, counter)
    run_event(port, connection.on_replies, connection.stream, [b"6", resp.ErrorReply(b"BUSY")])
    assert len(second) == 1 and [outcome for outcome, *_ in third] == [Outcome.BUSY]


def test_counter_call_is_in_doubt_only_if_fully_written(port):
    counter = connected_counter(port, 1)
    stream = counter.active[0].stream
    written = count(port, counter)
    stream.flush = lambda: None
    unwritten = count(port, counter)
    stream.abort("reset")
    run_event(port, counter.active[0].on_disconnected, stream)
    assert written[0][0] is Outcome.TIMEOUT and unwritten[0][0] is Outcome.CONNECT_FAILED
    assert count(port, counter)[0][0] is Outcome.CONNECT_FAILED  # Not connected: nothing is added.
    advance(port, 1.0)
    assert len(written) == len(unwritten) == 1


def test_slow_counter_connection_is_kept_and_an_unresponsive_one_closed(port):
    counter = connected_counter(port, 1)
    connection = counter.active[0]
    stream = connection.stream
    for _ in range(8):  # Late replies show that the counter is alive.
        count(port, counter)
        run_event(port, connection.on_replies, stream, [b"1"], after=0.4)
        run_event(port, connection.send_heartbeat)
    assert stream.close_reason is None
    count(port, counter)
    run_event(port, connection.send_heartbeat, after=0.9)
    assert stream.close_reason is None
    run_event(port, connection.send_heartbeat, after=0.2)
    assert stream.close_reason == "read-timeout"


def test_idle_counter_connection_gets_heartbeats_and_a_malformed_answer_closes_it(port):
    counter = connected_counter(port, 1)
    connection = counter.active[0]
    run_event(port, connection.send_heartbeat)
    assert connection.stream.enqueued == [b"*1\r\n$4\r\nPING\r\n"]
    run_event(port, connection.on_replies, connection.stream, [resp.SimpleString(b"PONG")])
    assert connection.stream.close_reason is None and not connection.pending
    results = count(port, counter)
    run_event(port, connection.on_replies, connection.stream, [b"many"])
    assert results[0][0] is Outcome.TIMEOUT and connection.stream.close_reason == "protocol-error"


def test_retired_counter_connection_answers_pending_calls(port):
    counter = connected_counter(port, 1)
    old_connection, first_call = counter.active[0], count(port, counter)
    run_event(port, counter.set_address, ("127.0.0.1", 2))
    new_connection, second_call = counter.newest[0], count(port, counter)
    stream = old_connection.stream
    # The new connection is not established yet, so both calls use the old one.
    assert len(stream.enqueued) == 2 and not old_connection.reconnector.stopped.is_set()
    run_event(port, new_connection.on_connected, RecordingStream())
    third_call = count(port, counter)
    assert (
        len(stream.enqueued) == 2 and len(new_connection.stream.enqueued) == 1 and stream.close_reason is None
    )
    run_event(port, old_connection.on_replies, stream, [b"1", b"2"])
    run_event(port, new_connection.on_replies, new_connection.stream, [b"3"])
    assert [results[0][1] for results in (first_call, second_call, third_call)] == [1.0, 2.0, 3.0]
    assert (
        stream.close_reason == "address-changed"
        and old_connection.reconnector.stopped.is_set()
        and not new_connection.reconnector.stopped.is_set()
    )


def test_newest_counter_connection_takes_over_after_further_address_changes_and_disconnects(port):
    counter = connected_counter(port, 1)
    first = counter.active[0]
    run_event(port, counter.set_address, ("127.0.0.1", 2))
    second = counter.newest[0]
    run_event(port, counter.set_address, ("127.0.0.1", 3))
    newest = counter.newest[0]
    assert second.reconnector.stopped.is_set() and counter.active[0] is first
    run_event(port, second.on_connected, RecordingStream())  # Its connection is established too late.
    assert second.stream.close_reason == "address-changed" and counter.active[0] is first
    lost_call = count(port, counter)
    run_event(port, first.on_disconnected, first.stream)
    assert (
        counter.active[0] is newest
        and first.reconnector.stopped.is_set()
        and lost_call[0][0] is Outcome.TIMEOUT
    )
    run_event(port, counter.set_address, ("127.0.0.1", 3))
    assert counter.newest[0] is newest  # The address is unchanged.
    run_event(port, newest.on_connected, RecordingStream())
    unanswered_call = count(port, counter)
    run_event(port, counter.set_address, ("127.0.0.1", 4))
    run_event(port, counter.newest[0].on_connected, RecordingStream())
    stream = newest.stream
    advance(port, 1.1)
    # The old connection is closed although its counter has not answered the pending call.
    assert stream.close_reason == "address-changed" and unanswered_call[0][0] is Outcome.TIMEOUT


def test_watch_at_a_new_address_starts_from_version_zero_and_the_old_one_is_ignored(port):
    discovery = DiscoveryClient(port, reconnector, ["a", "b"], [], 0.0, 4.5)
    run_event(port, discovery.set_address, ("127.0.0.1", 1))
    old_watch, stream = discovery.watch, RecordingStream()
    run_event(port, old_watch.on_connected, stream)
    run_event(port, old_watch.on_update, update(50, True, ("x", "Ready", 0)))
    run_event(port, discovery.set_address, ("127.0.0.1", 1))
    assert discovery.watch is old_watch and stream.close_reason is None
    run_event(port, discovery.set_address, ("127.0.0.1", 2))
    assert stream.close_reason == "address-changed" and old_watch.reconnector.stopped.is_set()
    run_event(port, old_watch.on_update, update(51, True))
    assert discovery.has_had_server() and len(port.gateway.server_updates) == 1
    new_stream = RecordingStream()
    run_event(port, discovery.watch.on_connected, new_stream)
    assert b"index=0 " in new_stream.enqueued[0]
    # The new address has version numbers of its own
    run_event(port, discovery.watch.on_update, update(3, False, ("x", "Terminating", 0)))
    assert port.gateway.server_updates[-1][0][1] is ServerState.DRAINING


def test_counter_call_fails_when_the_buffer_is_full(port):
    counter = connected_counter(port, 1)
    counter.active[0].stream.is_full = True
    assert count(port, counter)[0][0] is Outcome.CONNECT_FAILED


def update(version, is_complete, *servers):
    """Return an update of the server list; each server is a tuple of name, health and start time in ms."""
    return server_list.ServerListUpdate.from_json(
        {
            "seq": version,
            "whole": is_complete,
            "hosts": [
                {
                    "host": name,
                    "dial": f"127.0.0.1:{index + 1}",
                    "site": "b",
                    "health": health,
                    "born_ms": started_at_ms,
                }
                for index, (name, health, started_at_ms) in enumerate(servers)
            ],
        }
    )


def test_server_list_updates_reach_the_decisions_in_order_and_once(port):
    discovery = DiscoveryClient(port, reconnector, ["a", "b"], [], 1000.0, 4.5)
    port.upstreams.close_idle = lambda server: None
    assert not discovery.has_had_server()
    run_event(port, discovery.on_update, update(5, True, ("x", "Ready", 0), ("y", "Ready", 1500000)))
    first_server, second_server = discovery.registry.servers.values()
    assert discovery.has_had_server() and (
        first_server.zone,
        first_server.started_at,
        second_server.started_at,
    ) == (1, 0.0, 500.0)
    run_event(port, discovery.on_update, update(6, False, ("x", "Terminating", 0)))
    # Discovery sends the same version again after a reconnect.
    run_event(port, discovery.on_update, update(6, False, ("x", "Ready", 0)))
    assert (
        first_server.state is ServerState.DRAINING
        and len(port.gateway.server_updates) == 2
        and discovery.version == 6
    )
    run_event(port, discovery.on_update, update(9, True, ("x", "Terminating", 0)))
    assert second_server.state is ServerState.GONE and discovery.has_had_server()


def test_withheld_servers_are_treated_as_draining_until_released(port):
    discovery = DiscoveryClient(port, reconnector, ["a", "b"], [], 0.0, 4.5)
    port.upstreams.close_idle = lambda server: None
    run_event(port, discovery.on_update, update(5, True, ("x", "Ready", 0), ("y", "Ready", 0)))
    first_server, second_server = (discovery.registry.servers[discovery.server_id(name)] for name in "xy")
    run_event(port, discovery.set_withheld_servers, {"x"})
    assert (first_server.state, second_server.state) == (
        ServerState.DRAINING,
        ServerState.READY,
    ) and port.gateway.server_updates[-1] == [(first_server.id, ServerState.DRAINING)]
    assert discovery.is_listed_ready("x")  # As listed by discovery.
    # Listed as ready again: it is still withheld
    run_event(port, discovery.on_update, update(6, False, ("x", "Ready", 0)))
    assert first_server.state is ServerState.DRAINING
    run_event(port, discovery.on_update, update(7, False, ("x", "Terminating", 0)))
    assert (
        not discovery.is_listed_ready("x")
        and discovery.is_listed_ready("y")
        and not discovery.is_listed_ready("z")
    )
    run_event(port, discovery.set_withheld_servers, set())
    assert first_server.state is ServerState.DRAINING  # Now because discovery lists it as terminating.
    run_event(port, discovery.on_update, update(8, False, ("x", "Ready", 9000)))
    assert first_server.state is ServerState.READY and first_server.started_at == 9.0
    run_event(port, discovery.set_withheld_servers, {"x"})
    run_event(port, discovery.set_withheld_servers, {"y"})
    assert (first_server.state, second_server.state) == (ServerState.READY, ServerState.DRAINING)


def test_server_at_a_reused_address_inherits_nothing_and_gone_servers_leave_no_state(port):
    discovery = DiscoveryClient(port, reconnector, ["a", "b"], [], 0.0, 4.5)
    run_event(port, discovery.on_update, update(1, True, ("old", "Ready", 0)))
    (old_server,) = discovery.registry.servers.values()
    start_attempts(port, (make_request(port), old_server))
    stream = connect(port, port.dialled[0])
    receive(port, port.dialled[0], VALUE)
    # The new server has the address of the old one.
    run_event(port, discovery.on_update, update(2, False, ("new", "Ready", 5000)))
    (new_server,) = discovery.registry.servers.values()
    assert (
        new_server is not old_server
        and old_server.state is ServerState.GONE
        and stream.close_reason == "server-draining"
    )
    assert port.gateway.server_updates[-1] == [
        (new_server.id, ServerState.READY),
        (old_server.id, ServerState.GONE),
    ]
    # Late updates of the old server change nothing for the new one
    run_event(port, discovery.on_update, update(3, False, ("old", "Terminating", 0)))
    run_event(port, discovery.on_update, update(4, False, ("old", "Gone", 0)))
    assert new_server.state is ServerState.READY and list(discovery.registry.servers.values()) == [new_server]
    for number in range(200):
        run_event(
            port, discovery.on_update, update(5 + 2 * number, False, (f"s-{number}", "Ready", 6000 + number))
        )
        run_event(
            port,
            discovery.on_update,
            update(6 + 2 * number, number % 2 == 0, (f"s-{number}", "Gone", 6000 + number)),
        )
    assert (
        not discovery.registry.servers
        and not port.upstreams.pools
        and not discovery.addresses._server_by_address
        and not discovery.addresses._address_by_server_id
    )


def test_timers_run_in_order_and_on_time_despite_errors():
    errors, runs = [], []
    port = SocketGatewayPort(errors.append, 0.001)
    threading.Thread(target=port.run_timers, daemon=True).start()
    rng = random.Random(2)

    def set_timers():
        for _ in range(3):
            due_at = port.now + rng.random() * 0.2
            port.call_later(due_at - port.now, lambda due_at=due_at: runs.append((due_at, port.now)))
        port.call_later(0.01, lambda: 1 / 0)

    for _ in range(60):
        port.run(time.monotonic(), set_timers)
        time.sleep(0.003)
    time.sleep(0.5)
    assert len(runs) == 180 and len(errors) == 60
    assert all(now >= due_at for due_at, now in runs) and sorted(now for _, now in runs) == [
        now for _, now in runs
    ]


def test_connections_in_the_backlog_are_accepted_when_the_listener_closes():
    accepted, listener = [], Listener(("127.0.0.1", 0))
    address = listener.sock.getsockname()
    threading.Thread(
        target=listener.accept_until_closed,
        args=(lambda sock: (time.sleep(0.02), accepted.append(sock)), ConnectionSlots(20)),
        daemon=True,
    ).start()
    clients = [socket.create_connection(address) for _ in range(10)]
    listener.close(1.0)
    assert len(accepted) >= 10 and listener.stopped.is_set()
    with pytest.raises(OSError):
        socket.create_connection(address)
    for sock in (*accepted, *clients):
        sock.close()


def test_enqueue_does_not_write_and_does_not_wait_for_the_peer():
    """Check that `Stream.enqueue` copies the data and returns even if the peer reads nothing."""

    class BlockedSocket:
        def send(self, data, flags):
            raise BlockingIOError

        def shutdown(self, how):
            pass

    stream = Stream(BlockedSocket(), 1000)
    assert stream.enqueue(b"x" * 1000) and not stream.enqueue(b"y") and not stream.may_be_fully_written()
    stream.flush()
    assert not stream.may_be_fully_written()
    stream.abort("over")
    assert stream.enqueue(b"") and not stream.may_be_fully_written()


def test_gateways_that_lose_discovery_together_reconnect_at_different_times():
    # Guards against synchronized retries: 28 restarted gateways requested the list at the same instants, once
    # per second, indefinitely. Discovery handles about seven calls per second, one after another, so its
    # queue always reached the limit of 2 s, and it rejected nearly all calls (700 of 740).
    from random import Random

    from brookhub.program.limits import discovery_reconnect_settings

    settings = replace(DEFAULT_SETTINGS, polls_server_list=True, gateways=40, server_list_max_age=10.0)
    reconnect_settings = discovery_reconnect_settings(settings)
    initial_backoff, max_backoff = reconnect_settings.initial_backoff, reconnect_settings.max_backoff
    served, _waits, calls_per_second, max_queue_wait = [], [], 1 / 0.15, 2.0
    randoms, retried = [Random(index).random for index in range(40)], []
    pending, free_at = [(0.0, index, initial_backoff) for index in range(40)], 0.0
    while pending and min(pending)[0] < 60.0:
        called_at, index, backoff = min(pending)
        pending.remove((called_at, index, backoff))
        free_at = max(free_at, called_at) + 1 / calls_per_second
        if free_at - called_at <= max_queue_wait:
            served.append(called_at)
        else:
            backoff = min(max_backoff, 2 * backoff)
            pending.append((called_at + max_queue_wait + backoff * (0.5 + randoms[index]()), index, backoff))
            retried.append(called_at)
    assert len(served) == 40 and max(served) < 15.0 and len(retried) < 60
    assert discovery_reconnect_settings(replace(settings, gateways=3)).initial_backoff < 0.5
    assert discovery_reconnect_settings(replace(settings, gateways=1000)).initial_backoff * 1.5 < 10.0, (
        "backoff exceeds the time in which the list has to be requested"
    )
    watch_settings = discovery_reconnect_settings(replace(settings, polls_server_list=False))
    assert (watch_settings.initial_backoff, watch_settings.max_backoff) == (0.05, 1.0)


def test_reconnect_waits_are_random_and_respect_retry_after():
    for retry_after, min_wait, max_wait in ((0.0, 0.05, 0.15), (7.0, 7.0, 14.0)):
        waits = [wait for seed in range(8) for wait in reconnect_waits(seed, retry_after)]
        assert len({round(wait, 6) for wait in waits}) == 8
        assert all(min_wait <= wait <= max_wait for wait in waits)


def reconnect_waits(seed, retry_after):
    """Return a list with the first wait of a reconnector whose connection ended with this Retry-After."""
    waits = []

    def log_closed(*_):
        reconnector.retry_after = retry_after

    def wait(seconds):
        waits.append(seconds)
        reconnector.stopped.set()

    reconnector = Reconnector(
        "peer",
        ("127.0.0.1", 1),
        ReconnectSettings(0.1, 0.05, 1.0),
        random.Random(seed).random,
        log_closed,
        lambda error: None,
    )
    reconnector.stopped.wait = wait
    reconnector.run(lambda sock: ("closed", 0))
    return waits
