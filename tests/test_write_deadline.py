"""Tests of the check right before an attempt is written, which may be long after its server was chosen."""

from math import inf
from types import SimpleNamespace

import pytest

from brookhub.model import Attempt, Customer, Outcome, Request, Server, ServerState
from brookhub.policy.repeat_safety import write_deadline
from brookhub.protocol import request_codec
from brookhub.site import DeduplicationScope, Idempotency, Plan, Route
from routing_harness import advance, command_words, connect, make_server, outcomes, run_event, start_attempts

WINDOW = 2.0
CLIENT_TIMEOUT = 8.0
MARGIN = 0.15  # The process may be held up for this many seconds between reading its clock and writing.


def make_request(now, idempotency=Idempotency.KEYED, scope=DeduplicationScope.ALL):
    route = Route(
        "submit",
        2.5,
        CLIENT_TIMEOUT,
        idempotency=idempotency,
        deduplication_scope=scope,
        deduplication_window=WINDOW,
    )
    request = Request(1, Customer(7, Plan("wide")), route, now + CLIENT_TIMEOUT)
    request.parsed = request_codec.ParsedRequest(command_words(1))
    request.pending = object()
    request.client_has_left = lambda: False
    return request


def add_attempt(request, sent_at, server, outcome=None):
    attempt = Attempt(request, server, len(request.attempts), sent_at, outcome)
    request.attempts.append(attempt)
    return attempt


def test_write_deadline_of_the_only_attempt_is_the_requests_deadline():
    request = make_request(100.0)
    assert write_deadline(add_attempt(request, 100.0, Server(1))) == 100.0 + CLIENT_TIMEOUT


def test_write_deadline_of_a_keyed_repeat_is_the_end_of_the_window_less_the_margin():
    request = make_request(100.0)
    add_attempt(request, 100.0, Server(1), Outcome.CONNECT_FAILED)  # It never ran.
    add_attempt(request, 100.5, Server(1), Outcome.CANCELLED)
    add_attempt(request, 101.0, Server(1), Outcome.RESET)
    repeat = add_attempt(request, 101.2, Server(2))
    assert write_deadline(repeat) == pytest.approx(100.5 + WINDOW - MARGIN)


@pytest.mark.parametrize(
    "idempotency,scope,may_write",
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, True),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, False),
        (Idempotency.KEYED, DeduplicationScope.ALL, True),
        (Idempotency.KEYED, DeduplicationScope.ZONE, False),
        (Idempotency.KEYED, DeduplicationScope.CELL, False),
    ],
)
def test_repeat_is_written_only_where_its_effect_cannot_happen_twice(idempotency, scope, may_write):
    request = make_request(100.0, idempotency, scope)
    add_attempt(request, 100.0, Server(1, zone=0, cell=0), Outcome.TIMEOUT)
    repeat = add_attempt(request, 101.0, Server(2, zone=1, cell=1))
    assert (write_deadline(repeat) > 101.0) is may_write


def test_attempt_that_ended_or_whose_request_or_server_is_done_is_not_written():
    request, server = make_request(100.0), Server(1)
    attempt = add_attempt(request, 100.0, server)
    server.state = ServerState.DRAINING
    assert write_deadline(attempt) == -inf
    server.state = ServerState.READY
    attempt.outcome = Outcome.CANCELLED
    assert write_deadline(attempt) == -inf
    attempt.outcome = request.pending = None
    assert write_deadline(attempt) == -inf


def repeat_on_a_new_connection(port):
    """Cancel a request's first attempt after 1 s and start another; return its connection."""
    request = make_request(port.now)
    (first,) = start_attempts(port, (request, make_server(port)))
    connect(port, port.dialled[0])
    advance(port, 1.0)
    run_event(port, port.cancel_attempt, first)
    start_attempts(port, (request, make_server(port, 2)))
    return port.dialled[1]


@pytest.mark.parametrize("delay,is_written", [(0.8, True), (0.9, False), (1.5, False)])
def test_repeat_on_a_connection_that_comes_up_late_is_written_only_within_the_window(port, delay, is_written):
    connection = repeat_on_a_new_connection(port)
    advance(port, delay)
    stream = connect(port, connection)
    assert len(stream.enqueued) == int(is_written)
    assert outcomes(port) == [Outcome.CANCELLED, *([] if is_written else [Outcome.NOT_SENT])]
    assert (connection in port.upstreams.idle) is not is_written  # The connection itself is sound.


def test_repeat_that_is_partly_written_at_the_end_of_the_window_is_never_completed(port):
    connection = repeat_on_a_new_connection(port)
    stream = connect(port, connection)
    stream.bytes_maybe_written = stream.bytes_queued - 1
    advance(port, WINDOW - MARGIN - 1.0 - 0.01)
    assert stream.close_reason is None
    advance(port, 0.02)
    assert stream.close_reason == "cancelled"
    run_event(port, port.upstreams.on_disconnected, connection)
    assert outcomes(port) == [Outcome.CANCELLED, Outcome.CONNECT_FAILED]


def test_attempt_whose_deadline_passed_while_its_timer_was_late_is_not_written(port):
    request = make_request(port.now)
    start_attempts(port, (request, make_server(port)))
    port.now += CLIENT_TIMEOUT + 0.1  # The timer thread has not run.
    assert connect(port, port.dialled[0]).enqueued == []
    assert outcomes(port) == [Outcome.NOT_SENT]


def test_attempt_is_not_written_to_an_address_that_its_server_has_left(port):
    server, request = make_server(port), make_request(port.now)
    start_attempts(port, (request, server))
    run_event(port, port.upstreams.update_address, server, ("127.0.0.1", 99))
    stream = connect(port, port.dialled[0])
    assert stream.enqueued == [] and stream.close_reason == "server-draining"
    assert outcomes(port) == [Outcome.NOT_SENT] and not port.upstreams.idle


def test_connection_whose_server_moved_during_its_attempt_is_closed_after_the_answer(port):
    server, request = make_server(port), make_request(port.now)
    request.response = SimpleNamespace(complete=lambda *parts: None)
    start_attempts(port, (request, server))
    stream = connect(port, port.dialled[0])
    run_event(port, port.upstreams.update_address, server, ("127.0.0.1", 99))
    stream.unread = b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"
    run_event(port, port.upstreams.on_readable, port.dialled[0])
    assert outcomes(port) == [Outcome.OK]
    assert stream.close_reason == "server-draining" and not port.upstreams.idle
