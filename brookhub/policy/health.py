"""What is thought of one server: outlier ejection, backoff, expected delay."""

from ..model import Outcome
from .constants import BACKOFF, BACKOFF_MOST, EJECTED_FOR, FAILING, PATIENCE


def is_sound(view):
    return view.successes.rate >= FAILING and not view.consecutive_rejections


def is_open(view, now):  # one that fails gets an attempt at a time, after a rest; a stuck one, none
    stuck = any(now - one.sent_at > PATIENCE * one.request.route.latency_target for one in view.in_flight)
    places = int(view.max_concurrency) if is_sound(view) else 1
    return now >= view.ejected_until and not stuck and len(view.in_flight) < places


def expected_delay(view, now, typical):
    waited = now - view.in_flight[0].sent_at if view.in_flight else 0.0
    return max(view.latencies.read_with_prior(now, typical), waited, 0.001)


def record_end(view, outcome, took, now, random):  # after a failure it is left alone for a while
    good, away = outcome is Outcome.OK, outcome in (Outcome.BUSY, Outcome.CONNECT_FAILED)
    view.consecutive_rejections = view.consecutive_rejections + 1 if away else 0
    if outcome is not Outcome.BUSY:
        view.successes.add(good, times=2 if outcome is Outcome.CONNECT_FAILED else 1)
    view.last_result_at = now
    view.ejected_until = now if good else now + EJECTED_FOR * (1 - view.successes.rate / FAILING)
    if away:  # all gateways meet it: by chance they don't come back together
        backoff = min(BACKOFF_MOST, BACKOFF * 2 ** min(view.consecutive_rejections - 1, 9)) * (
            0.5 + random.uniform()
        )
        view.ejected_until = max(view.ejected_until, now + backoff)
    if good:
        view.latencies.add(now, took)
