"""What is thought of one server: outlier ejection, backoff, expected delay."""

from ..model import Outcome
from .constants import BACKOFF, BACKOFF_MOST, EJECTED_FOR, FAILING, PATIENCE


def is_sound(view):
    return view.successes.rate >= FAILING and not view.turned_away


def is_open(view, now):  # one that fails gets an attempt at a time, after a rest; a stuck one, none
    stuck = any(now - one.sent > PATIENCE * one.call.route.target for one in view.attempts)
    places = int(view.places) if is_sound(view) else 1
    return now >= view.ejected_until and not stuck and len(view.attempts) < places


def expected_delay(view, now, typical):
    waited = now - view.attempts[0].sent if view.attempts else 0.0
    return max(view.delays.read_with_prior(now, typical), waited, 0.001)


def record_end(view, outcome, took, now, random):  # after a failure it is left alone for a while
    good, away = outcome is Outcome.OK, outcome in (Outcome.FULL, Outcome.UNCONNECTED)
    view.turned_away = view.turned_away + 1 if away else 0
    if outcome is not Outcome.FULL:
        view.successes.add(good, times=2 if outcome is Outcome.UNCONNECTED else 1)
    view.last_end_at = now
    view.ejected_until = now if good else now + EJECTED_FOR * (1 - view.successes.rate / FAILING)
    if away:  # all gateways meet it: by chance they don't come back together
        backoff = min(BACKOFF_MOST, BACKOFF * 2 ** min(view.turned_away - 1, 9)) * (0.5 + random.uniform())
        view.ejected_until = max(view.ejected_until, now + backoff)
    if good:
        view.delays.add(now, took)
