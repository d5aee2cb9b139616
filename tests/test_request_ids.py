"""Tests of request ids: none is accepted again while an attempt under it may still run."""

import pytest

from brookhub.fakes import FakeServer
from brookhub.model import Attempt, Customer, Outcome, Request, Server
from brookhub.policy.repeat_safety import may_run_until
from brookhub.routing.request_ids import HELD_ID_BYTES, RequestIds
from brookhub.site import Idempotency, Plan, Route
from gateway_program import Client, api_call
from waiting import until

ERROR = b"-ERR the id is that of another open call"


def finished_request(idempotency, *outcomes):
    request = Request(1, Customer(7, Plan("wide")), Route("pay", 1.0, 4.0, idempotency=idempotency), 104.0)
    request.attempts = [
        Attempt(request, Server(index), index, 100.0, outcome) for index, outcome in enumerate(outcomes)
    ]
    return request


@pytest.mark.parametrize(
    "idempotency,outcomes,may_run",
    [
        (Idempotency.NON_IDEMPOTENT, [Outcome.CANCELLED], True),
        (Idempotency.NON_IDEMPOTENT, [None], True),
        (Idempotency.NON_IDEMPOTENT, [Outcome.TIMEOUT], True),
        (Idempotency.KEYED, [Outcome.RESET, Outcome.OK], True),
        (Idempotency.KEYED, [Outcome.OK], False),
        (Idempotency.NON_IDEMPOTENT, [Outcome.CONNECT_FAILED, Outcome.ERROR], False),
        (Idempotency.NON_IDEMPOTENT, [Outcome.NOT_SENT, Outcome.BUSY], False),
        (Idempotency.NON_IDEMPOTENT, [], False),
        (Idempotency.IDEMPOTENT, [Outcome.CANCELLED], False),
    ],
)
def test_attempt_may_run_unless_its_outcome_proves_that_it_has_ended(idempotency, outcomes, may_run):
    limit = may_run_until(finished_request(idempotency, *outcomes))
    assert (limit == 105.0) if may_run else (limit < 0)


def test_id_is_held_until_its_attempt_has_ended_and_then_released():
    ids = RequestIds()
    ids.open.add(1)
    ids.finish(1, 105.0, 101.0)
    assert ids.is_taken(1, 104.9) and not ids.is_taken(1, 105.0) and not ids.is_taken(2, 101.0)
    assert ids.held_bytes(104.9) == HELD_ID_BYTES and ids.held_bytes(105.0) == 0
    ids.finish(3, float("-inf"), 106.0)
    assert not ids.is_taken(3, 106.0) and ids.held_bytes(106.0) == 0


def test_request_sent_again_after_its_client_left_does_not_run_twice(started):
    # Guards against an id that is forgotten when its client leaves, while a server still runs its request.
    program = started(servers=[FakeServer([0.6] * 3)])
    with Client(program) as client:
        client.sock.sendall(api_call(1, route="once", body=b"x"))
        assert until(lambda: len(program.servers[0].requests) == 1)
    assert until(lambda: ("client", "client-closed") in program.closed_connections())
    with Client(program) as client:
        assert client.ask(api_call(1, route="once", body=b"x")) == ERROR
        assert client.ask(api_call(2, route="once", body=b"x")) == b"%016x" % 2
    assert [words[2] for words in program.servers[0].requests] == [b"%016x" % 1, b"%016x" % 2]
