"""What is thought of one server: outlier ejection, backoff, expected delay."""

from ..interface import Outcome
from .constants import BACKOFF, BACKOFF_MOST, EJECTED_FOR, FAILING, PATIENCE


def is_sound(view):
    return view.successes.rate >= FAILING and not view.turned_away


def is_open(view, now):
    """Whether a place is free. One that fails gets an attempt at a time, after a rest; one that is stuck, none."""
    if now < view.ejected_until or any(
        now - one.sent > PATIENCE * one.call.route.target for one in view.attempts
    ):
        return False
    return len(view.attempts) < (int(view.places) if is_sound(view) else 1)


def expected_delay(view, now, typical):
    """Seconds that an answer takes, or that the oldest attempt has waited."""
    waited = now - view.attempts[0].sent if view.attempts else 0.0
    return max(view.delays.read_with_prior(now, typical), waited, 0.001)


def record_end(view, outcome, took, now):
    """Book how an attempt ended there, with nothing else to blame than the server or the way to it."""
    good, away = outcome is Outcome.OK, outcome in (Outcome.FULL, Outcome.UNCONNECTED)
    view.turned_away = view.turned_away + 1 if away else 0
    if outcome is not Outcome.FULL:
        view.successes.add(good, times=2 if outcome is Outcome.UNCONNECTED else 1)
    if good:
        view.delays.add(now, took)


def eject(view, good, now, random):
    """Leave it alone for a while after a failure."""
    view.last_end_at = now
    view.ejected_until = now if good else now + EJECTED_FOR * (1 - view.successes.rate / FAILING)
    if view.turned_away:  # all gateways meet it: by chance they don't come back together
        backoff = min(BACKOFF_MOST, BACKOFF * 2 ** min(view.turned_away - 1, 9))
        view.ejected_until = max(view.ejected_until, now + backoff * (0.5 + random.uniform()))
