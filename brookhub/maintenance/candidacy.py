"""When a voter campaigns for leadership. Times in seconds."""

from __future__ import annotations

from xxhash import xxh3_64_intdigest

from .ports import PeerPort
from .register import Register
from .settings import Settings

ATTEMPT_NUMBERS = 64  # distinct pauses that are drawn for a voter before they repeat
RANK_DELAY_LEASES = 1 / 4  # leases by which each voter waits longer than the one of the rank before


class Candidacy:
    """Campaigns where nobody leads, voters one after another by rank."""

    def __init__(self, port: PeerPort, register: Register, settings: Settings) -> None:
        self.port = port
        self.register = register
        self.settings = settings
        self.campaign_at = port.now() + self._rank_delay()
        self.attempts = 0  # modulo ATTEMPT_NUMBERS

    def tick(self, now: float) -> None:
        """Campaign, when it is time: after the lease of a leader that is not renewed any more."""
        voter = self.register.voter
        other_leads = voter.promised.proposer not in ("", self.register.name)
        if now < voter.lease_end and other_leads:
            self.campaign_at = voter.lease_end + self._rank_delay()
        elif now >= self.campaign_at:
            self.campaign_at = now + self._retry_pause()
            self.register.proposer.campaign(now)

    def _retry_pause(self) -> float:
        """The pause before the next attempt.

        Voters that campaigned at the same moment must not do so again: pauses differ by name and attempt, and
        are the same each time a run is replayed.
        """
        self.attempts = (self.attempts + 1) % ATTEMPT_NUMBERS
        drawn = xxh3_64_intdigest(f"{self.register.name}/{self.attempts}") / 2**64
        return self.settings.lease_s * (1 + drawn * len(self.register.voter.voters()) / 2)

    def _rank_delay(self) -> float:
        """How long this voter waits for those of a higher rank."""
        return self._rank() * self.settings.lease_s * RANK_DELAY_LEASES

    def _rank(self) -> int:
        """This limiter's position among the voters, those that are present first."""
        voters = self.register.voter.voters()
        if self.register.name not in voters:
            return len(voters)
        present = {*self.port.present_peers(), self.register.name}
        ranking = sorted((voter not in present, voter) for voter in voters)
        return ranking.index((False, self.register.name))
