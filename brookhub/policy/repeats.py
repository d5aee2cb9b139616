"""Whether a request may be sent again after attempts that may have run."""

from ..model import Group, Repeat
from .constants import NEVER_RAN


def attempts_that_may_have_run(request):
    return [one for one in request.call.attempts if one.outcome not in NEVER_RAN]


def may_repeat_at(server, route, ran, now):
    """Whether a server may get it after attempts that may have run: keyed ones stay in group and window."""
    if not ran or route.repeat is Repeat.IDEMPOTENT:
        return True
    if route.repeat is Repeat.NON_IDEMPOTENT or now >= ran[0].sent + route.window:
        return False
    group, first = route.group, ran[0].server
    return group is Group.ALL or getattr(server, group.name.lower()) == getattr(first, group.name.lower())
