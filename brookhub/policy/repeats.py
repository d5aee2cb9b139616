"""Whether a request may be sent again after attempts that may have run."""

from ..site import DeduplicationScope, Idempotency
from .constants import NEVER_RAN


def attempts_that_may_have_run(pending):
    return [one for one in pending.request.attempts if one.outcome not in NEVER_RAN]


def may_repeat_at(server, route, ran, now):
    """Whether a server may get it after attempts that may have run: keyed ones stay in group and window."""
    if not ran or route.idempotency is Idempotency.IDEMPOTENT:
        return True
    if route.idempotency is Idempotency.NON_IDEMPOTENT or now >= ran[0].sent_at + route.deduplication_window:
        return False
    group, first = route.deduplication_scope, ran[0].server
    return group is DeduplicationScope.ALL or getattr(server, group.name.lower()) == getattr(
        first, group.name.lower()
    )
