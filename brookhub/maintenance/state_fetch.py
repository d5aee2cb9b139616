"""How a voter that restarted without state gets it back: it abstains, fetches, and then votes again.

As in Viewstamped Replication Revisited (Liskov and Cowling 2012). Times in seconds.
"""

from __future__ import annotations

from .messages import FetchReply, FetchRequest
from .settings import voter_lease_s
from .voter import RegisterHost, RegisterSettings, Voter, is_majority


class StateFetch:
    """Fetches the state of the other voters as long as the voter abstains.

    It abstains for a lease, so that whatever it voted for before is void, and then until a majority of voters
    that have state answered; or until all answered and no permission to start work can be left.
    """

    def __init__(self, settings: RegisterSettings, voter: Voter, host: RegisterHost, now: float) -> None:
        self.settings = settings
        self.voter = voter
        self.host = host
        self.started_at = now
        self.round = 0
        self.requested_at = now - settings.lease_s
        self.replies: dict[str, FetchReply] = {}  # of this round

    def tick(self, now: float) -> None:
        """Start the next round of requests, when it is time."""
        voter = self.voter
        if not voter.abstains or not voter.has_vote():
            return
        old_votes_void = now >= self.started_at + voter_lease_s(self.settings.lease_s)
        if not old_votes_void or now < self.requested_at + self.settings.lease_s / 3:
            return
        self.round += 1
        self.requested_at = now
        self.replies = {}
        for name in dict.fromkeys(voter.other_voters() + self.host.listed_peers()):
            self.host.send_register_message(name, FetchRequest(self.round))
        self._vote_if_complete(now)

    def on_reply(self, peer: str, message: FetchReply, now: float) -> None:
        """A limiter answered with its state."""
        if self.voter.abstains and message.number == self.round:
            self.replies[peer] = message
            self._vote_if_complete(now)

    def _vote_if_complete(self, now: float) -> None:
        """Vote again once the replies suffice."""
        voter = self.voter
        voters_before = voter.voters()
        newest = max(self.replies.values(), key=lambda reply: reply.revision, default=None)
        if newest is not None:
            voter.learn(newest.revision, newest.value)
        with_state = [name for name, reply in self.replies.items() if not reply.abstains]
        majority_has_state = is_majority(with_state, voters_before) and is_majority(
            with_state, voter.voters()
        )
        if not majority_has_state and not self._all_forgot(now):
            return
        voter.abstains = False
        promised = [reply.promised for reply in self.replies.values()]
        voter.promised = max([voter.promised, voter.revision.ballot, *promised])
        if any(reply.lease_granted for reply in self.replies.values()):
            voter.grant_lease(now)

    def _all_forgot(self, now: float) -> bool:
        """Whether all voters answered, and any forgotten permission to start work has run out."""
        all_replied = all(name in self.replies for name in self.voter.other_voters())
        return all_replied and now >= self.started_at + voter_lease_s(self.settings.permission_s)
