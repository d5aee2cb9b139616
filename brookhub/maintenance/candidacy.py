"""The timing of a voter's campaigns for leadership. Times in seconds."""

from __future__ import annotations

from xxhash import xxh3_64_intdigest

from .ports import PeerPort
from .register import Register
from .settings import Settings

ATTEMPT_NUMBERS = 64  # Number of distinct pseudo-random pauses of a voter before they repeat.
RANK_DELAY_LEASES = 1 / 4  # Additional delay of each rank, as a multiple of a lease.


class Candidacy:
    """The campaign timer of one voter. Without a leader, the voters campaign one after another by rank."""

    def __init__(self, port: PeerPort, register: Register, settings: Settings) -> None:
        self.port = port
        self.register = register
        self.settings = settings
        self.campaign_at = port.now() + self._rank_delay()
        self.attempts = 0  # Number of campaigns, modulo ATTEMPT_NUMBERS.

    def tick(self, now: float) -> None:
        """Campaign if a campaign is due, which requires that no other limiter holds an unexpired lease."""
        voter = self.register.voter
        promised_to_other = voter.promised.proposer not in ("", self.register.name)
        if now < voter.lease_end and promised_to_other:
            self.campaign_at = voter.lease_end + self._rank_delay()
        elif now >= self.campaign_at:
            self.campaign_at = now + self._retry_pause()
            self.register.proposer.campaign(now)

    def _retry_pause(self) -> float:
        """Return the pause in seconds before the next campaign.

        Voters that campaigned at the same moment must not do so again, so pauses differ by name and attempt.
        They are derived from a hash, so that a run can be replayed.
        """
        self.attempts = (self.attempts + 1) % ATTEMPT_NUMBERS
        jitter = xxh3_64_intdigest(f"{self.register.name}/{self.attempts}") / 2**64
        return self.settings.lease_s * (1 + jitter * len(self.register.voter.voters()) / 2)

    def _rank_delay(self) -> float:
        """Return the seconds for which this voter waits for voters of a higher rank to campaign."""
        return self._rank() * self.settings.lease_s * RANK_DELAY_LEASES

    def _rank(self) -> int:
        """Return this limiter's rank among the voters; voters that are present rank first."""
        voters = self.register.voter.voters()
        if self.register.name not in voters:
            return len(voters)
        present = {*self.port.present_peers(), self.register.name}
        ranking = sorted((voter not in present, voter) for voter in voters)
        return ranking.index((False, self.register.name))
