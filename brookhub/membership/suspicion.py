"""Suspicions and their timeout, shortened by independent confirmations (Lifeguard section IV-B)."""

from __future__ import annotations

from math import inf, log, log10

CONFIRMATIONS = 3  # further accusers that bring a suspicion's timeout down to the minimum
MIN_TIMEOUT_INTERVALS = 3.0  # probe intervals of the shortest timeout in a fleet of up to 316 members
MIN_TIMEOUT_INTERVALS_PER_DECADE = (
    1.2  # probe intervals of the shortest timeout for each factor of ten members
)
# Longest timeout over the shortest: time for a lost refutation to be repeated
MAX_TIMEOUT_FACTOR = 4.0
UNCONFIRMABLE_TIMEOUT_FACTOR = 2.0  # the same where no third member could confirm
MIN_FLEET_SIZE = 10  # smaller fleets have the timeout of this one


class Suspicion:
    """A running suspicion of one member.

    Attributes:
        started_at: seconds on the local clock.
        last_ping_at: when the suspect was last pinged because of it; -inf for never.
    """

    def __init__(self, accuser: str, now: float) -> None:
        self.started_at = now
        self.last_ping_at = -inf
        self._accusers = {accuser: None}  # in the order of their reports

    @property
    def first_accuser(self) -> str:
        """The member that reported it first."""
        return next(iter(self._accusers))

    def confirm(self, accuser: str) -> bool:
        """Add an accuser; whether it is new and still shortens the timeout."""
        if accuser in self._accusers or len(self._accusers) > CONFIRMATIONS:
            return False
        self._accusers[accuser] = None
        return True

    def timeout(self, present: int, probe_interval: float, lifeguard: bool) -> float:
        """Seconds from `started_at` until the suspect counts as dead.

        `present`: number of peers that are alive or suspect. Plain SWIM always uses the minimum. With
        Lifeguard it falls from MAX_TIMEOUT_FACTOR times the minimum logarithmically with each confirmation.
        """
        minimum = minimum_timeout(present, probe_interval)
        if not lifeguard:
            return minimum
        possible_confirmations = min(CONFIRMATIONS, present - 1)  # the suspect itself does not confirm
        if possible_confirmations < 1:
            return UNCONFIRMABLE_TIMEOUT_FACTOR * minimum
        maximum = MAX_TIMEOUT_FACTOR * minimum
        confirmed = log(len(self._accusers)) / log(possible_confirmations + 1)
        return max(minimum, maximum - (maximum - minimum) * confirmed)


def minimum_timeout(present: int, probe_interval: float) -> float:
    """Seconds of the shortest suspicion in a fleet with so many present peers."""
    decades = log10(max(MIN_FLEET_SIZE, present + 1))
    return max(MIN_TIMEOUT_INTERVALS, MIN_TIMEOUT_INTERVALS_PER_DECADE * decades) * probe_interval
