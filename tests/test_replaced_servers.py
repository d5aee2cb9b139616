"""Tests of servers whose address a new process has taken: neither is taken for the other."""

import time
from math import inf

import pytest
from test_client_departure import make_request

from brookhub.fakes import FakeServer, host
from brookhub.model import Attempt, Customer, Outcome, Request, Server, ServerState
from brookhub.policy.repeat_safety import repeat_deadline
from brookhub.routing.server_addresses import ServerAddresses
from brookhub.site import DeduplicationScope, Idempotency, Plan, Route
from gateway_program import Client, command
from routing_harness import clients_of_one_route, connect, make_server, outcomes, run_event, start_attempts
from waiting import until

ADDRESS = ("127.0.0.1", 1)
KEYED_CLASS = {
    "name": "pay",
    "slo_s": 1.0,
    "hard_limit_s": 4.0,
    "semantics": "idempotency_key",
    "key_scope": "zone",
    "window_s": 8.0,
}


def keyed_attempt(server, sent_at, scope):
    route = Route(
        "pay",
        1.0,
        4.0,
        idempotency=Idempotency.KEYED,
        deduplication_scope=scope,
        deduplication_window=8.0,
    )
    request = Request(1, Customer(7, Plan("wide")), route, sent_at + 4.0)
    return Attempt(request, server, 0, sent_at, Outcome.TIMEOUT)


@pytest.mark.parametrize(
    "sent_at,scope,may_repeat",
    [
        (99.0, DeduplicationScope.ZONE, True),
        (100.0, DeduplicationScope.ZONE, False),
        (101.0, DeduplicationScope.CELL, False),
        (101.0, DeduplicationScope.ALL, True),
    ],
)
def test_keyed_attempt_that_may_have_reached_a_replacement_is_not_repeated_in_its_scope(
    sent_at, scope, may_repeat
):
    server = Server(1, zone=0, replaced_at=100.0)
    attempt = keyed_attempt(server, sent_at, scope)
    deadline = repeat_deadline(Server(2, zone=0), attempt.request.route, [attempt])
    assert (deadline > sent_at) is may_repeat


def test_earlier_holder_of_an_address_is_marked_as_replaced_also_after_it_was_removed():
    addresses, old, new = ServerAddresses(), Server(1), Server(2, started_at=50.0)
    addresses.claim(old, ADDRESS)
    addresses.release(old)
    addresses.claim(new, ADDRESS)
    assert (old.replaced_at, new.replaced_at) == (50.0, inf)


def test_server_that_has_moved_is_not_replaced_by_the_next_holder_of_its_old_address():
    addresses, moved, new = ServerAddresses(), Server(1), Server(2, started_at=50.0)
    addresses.claim(moved, ADDRESS)
    addresses.claim(moved, ("127.0.0.1", 2))
    addresses.claim(new, ADDRESS)
    assert moved.replaced_at == inf


def test_connections_to_the_earlier_process_of_a_restarted_server_are_not_used(port):
    # Guards against writing to connections of a process that has gone, known by id and address alone.
    clients = clients_of_one_route(port)
    server = make_server(port)
    start_attempts(port, (make_request(clients, port), server), (make_request(clients, port), server))
    idle, connecting = port.dialled
    stream = connect(port, idle)
    stream.unread = b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"
    run_event(port, port.upstreams.on_readable, idle)
    assert idle in port.upstreams.idle
    server.started_at = 60.0
    run_event(port, port.upstreams.update_address, server, ("127.0.0.1", 1))
    assert stream.close_reason == "server-draining" and not port.upstreams.idle
    assert connect(port, connecting).enqueued == []
    assert outcomes(port) == [Outcome.OK, Outcome.NOT_SENT] and server.state is ServerState.READY


def test_request_that_reached_a_new_process_at_an_old_address_is_not_repeated_in_the_old_zone(
    started,
):
    # Guards against a repeat outside of the zone whose servers drop it: the new process is in another zone.
    new_process, other = FakeServer(["silent"] * 9), FakeServer()
    program = started(servers=[new_process], settings={"classes": [KEYED_CLASS]})
    born_ms = int((time.time() - 0.5) * 1000)
    fields = b"c=pay,t=wide,d=3000,k=5c0f6e1a,units=1,spread=1,first=0"
    try:
        with Client(program) as client:
            client.sock.sendall(command(b"CALL.POST", b"%016x" % 7, b"%016x" % 1, fields, b"x"))
            assert until(lambda: new_process.requests)  # Sent to the server that discovery still lists.
            program.discovery.push(
                host("s-9", new_process.address, born_ms=born_ms, zone="b"), host("s-1", other.address)
            )
            assert client.lines.readline() == b"-ERR failed\r\n"
        assert other.requests == []
    finally:
        other.close()
