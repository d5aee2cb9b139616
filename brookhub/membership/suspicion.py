"""Suspicions of members, with timeouts that independent confirmations shorten (Lifeguard section IV-B)."""

from __future__ import annotations

from math import inf, log, log10

CONFIRMATIONS = 3  # Additional accusers that shorten a suspicion's timeout to the minimum.
MIN_TIMEOUT_INTERVALS = 3.0  # Minimum timeout in probe intervals, for fleets of up to 316 members.
# Minimum timeout in probe intervals per factor of ten in the number of members, for larger fleets.
MIN_TIMEOUT_INTERVALS_PER_DECADE = 1.2
# Ratio of the maximum to the minimum timeout: leaves time to repeat a refutation that was lost.
MAX_TIMEOUT_FACTOR = 4.0
# Ratio of the timeout to the minimum if no third member is present to confirm the suspicion.
UNCONFIRMABLE_TIMEOUT_FACTOR = 2.0
MIN_FLEET_SIZE = 10  # Smaller fleets use the timeout of a fleet of this size.


class Suspicion:
    """A running suspicion of one member.

    Attributes:
        started_at: start in seconds on the local clock.
        last_ping_at: time of the last ping of the suspect because of this suspicion, in seconds on the
            local clock; -inf before the first.
    """

    def __init__(self, accuser: str, now: float) -> None:
        self.started_at = now
        self.last_ping_at = -inf
        self._accusers = {accuser: None}  # In the order of their reports.

    @property
    def first_accuser(self) -> str:
        """Name of the member that reported the suspicion first."""
        return next(iter(self._accusers))

    def confirm(self, accuser: str) -> bool:
        """Add an accuser; return whether it is new and shortens the timeout further."""
        if accuser in self._accusers or len(self._accusers) > CONFIRMATIONS:
            return False
        self._accusers[accuser] = None
        return True

    def timeout(self, present_count: int, probe_interval: float, lifeguard: bool) -> float:
        """Return the seconds from `started_at` after which the suspect counts as dead.

        `present_count`: number of peers that are alive or suspect. Plain SWIM always uses the minimum. With
        Lifeguard, the timeout falls logarithmically with each confirmation, from MAX_TIMEOUT_FACTOR times the
        minimum down to the minimum.
        """
        minimum = minimum_timeout(present_count, probe_interval)
        if not lifeguard:
            return minimum
        possible_confirmations = min(CONFIRMATIONS, present_count - 1)  # The suspect itself does not confirm.
        if possible_confirmations < 1:
            return UNCONFIRMABLE_TIMEOUT_FACTOR * minimum
        maximum = MAX_TIMEOUT_FACTOR * minimum
        confirmed_share = log(len(self._accusers)) / log(possible_confirmations + 1)
        return max(minimum, maximum - (maximum - minimum) * confirmed_share)


def minimum_timeout(present_count: int, probe_interval: float) -> float:
    """Return the minimum timeout of a suspicion in seconds, in a fleet with `present_count` present peers."""
    decades = log10(max(MIN_FLEET_SIZE, present_count + 1))
    return max(MIN_TIMEOUT_INTERVALS, MIN_TIMEOUT_INTERVALS_PER_DECADE * decades) * probe_interval
