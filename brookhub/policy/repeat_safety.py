"""Rules on repeating a request after attempts that may have been executed."""

from __future__ import annotations

from math import inf

from ..model import Attempt, PendingRequest, Request, Server, ServerState
from ..site import DeduplicationScope, Idempotency, Route
from .constants import HAS_ENDED, NEVER_RAN, WRITE_DELAY_MARGIN_S


def attempts_that_may_have_run(pending: PendingRequest) -> list[Attempt]:
    """Return the request's attempts that a server may have executed, oldest first."""
    return [attempt for attempt in pending.request.attempts if attempt.outcome not in NEVER_RAN]


def may_repeat_at(server: Server, route: Route, may_have_run: list[Attempt], now: float) -> bool:
    """Return whether a further attempt of a request may be sent to a server now (see `repeat_deadline`)."""
    return now < repeat_deadline(server, route, may_have_run)


def repeat_deadline(server: Server, route: Route, may_have_run: list[Attempt]) -> float:
    """Return the time in seconds before which a further attempt has to be written to a server.

    It is -inf if the server must not get the request at all. `may_have_run`: other attempts of the request
    that may have been executed, oldest first. A request with an idempotency key may only be repeated within
    its deduplication scope and window, in which its last byte has to reach the server.
    """
    if not may_have_run or route.idempotency is Idempotency.IDEMPOTENT:
        return inf
    if route.idempotency is Idempotency.NON_IDEMPOTENT:
        return -inf
    first = may_have_run[0]
    is_limited = route.deduplication_scope is not DeduplicationScope.ALL
    if is_limited and any(attempt.sent_at >= attempt.server.replaced_at for attempt in may_have_run):
        return -inf  # It may have reached the server that has the address now, in another scope.
    if not is_in_deduplication_scope(server, first.server, route.deduplication_scope):
        return -inf
    return first.sent_at + route.deduplication_window - WRITE_DELAY_MARGIN_S


def is_in_deduplication_scope(server: Server, first: Server, scope: DeduplicationScope) -> bool:
    """Return whether a server drops repeats of a request that was sent to the server `first` before."""
    if scope is DeduplicationScope.ALL:
        return True
    if scope is DeduplicationScope.ZONE:
        return server.zone == first.zone
    return server.cell == first.cell


def write_deadline(attempt: Attempt) -> float:
    """Return the time in seconds before which a chosen attempt has to be written to its server.

    It is -inf if the attempt must not be written any more. The server was chosen when the attempt began; the
    write may come much later, as a connection may have to be established first. By then the request may be
    answered, the server may be draining, and the deduplication window may be over.
    """
    request = attempt.request
    if request.pending is None or attempt.outcome is not None:
        return -inf
    if attempt.server.state is not ServerState.READY:
        return -inf
    others = [other for other in request.attempts if other is not attempt and other.outcome not in NEVER_RAN]
    return min(request.deadline, repeat_deadline(attempt.server, request.route, others))


def may_run_until(request: Request) -> float:
    """Return the time in seconds until which an attempt of a finished request may run at its server.

    It is -inf if no attempt may, or if the effect may happen twice. Until then the same request, sent again
    by its client, must not be accepted. A server starts no work after the deadline that it was told; the work
    that it has started by then is assumed to take no longer than the latency target.
    """
    if request.route.idempotency is Idempotency.IDEMPOTENT:
        return -inf
    if all(attempt.outcome in HAS_ENDED for attempt in request.attempts):
        return -inf
    return request.deadline + request.route.latency_target


def is_safe_anywhere(route: Route) -> bool:
    """Return whether a client may repeat a request of this route at any gateway and server.

    This holds regardless of attempts that may have been executed.
    """
    if route.idempotency is Idempotency.IDEMPOTENT:
        return True
    return route.idempotency is Idempotency.KEYED and route.deduplication_scope is DeduplicationScope.ALL
