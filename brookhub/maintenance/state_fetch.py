"""The recovery of a voter that restarted without state: it abstains, fetches the state, and votes again.

Source: Viewstamped Replication Revisited (Liskov and Cowling 2012). Times are in seconds.
"""

from __future__ import annotations

from .messages import FetchReply, FetchRequest
from .settings import voter_lease_s
from .voter import RegisterHost, RegisterSettings, Voter, is_majority


class StateFetch:
    """The fetch of the other voters' state while this limiter's voter abstains.

    The voter first abstains for a lease, after which its votes from before the restart have expired. It then
    abstains until a majority of the voters has replied with state, or until all voters have replied and any
    permission to start work has expired.
    """

    def __init__(self, settings: RegisterSettings, voter: Voter, host: RegisterHost, now: float) -> None:
        self.settings = settings
        self.voter = voter
        self.host = host
        self.started_at = now
        self.round = 0
        self.requested_at = now - settings.lease_s
        self.replies: dict[str, FetchReply] = {}  # By limiter: its reply in this round.

    def tick(self, now: float) -> None:
        """Start the next round of requests if it is due."""
        voter = self.voter
        if not voter.abstains or not voter.has_vote():
            return
        old_votes_expired = now >= self.started_at + voter_lease_s(self.settings.lease_s)
        if not old_votes_expired or now < self.requested_at + self.settings.lease_s / 3:
            return
        self.round += 1
        self.requested_at = now
        self.replies = {}
        for name in dict.fromkeys(voter.other_voters() + self.host.listed_peers()):
            self.host.send_register_message(name, FetchRequest(self.round))
        self._vote_if_complete(now)

    def on_reply(self, peer: str, message: FetchReply, now: float) -> None:
        """Record a limiter's reply if it belongs to the current round."""
        if self.voter.abstains and message.number == self.round:
            self.replies[peer] = message
            self._vote_if_complete(now)

    def _vote_if_complete(self, now: float) -> None:
        """Let the voter vote again once the replies suffice."""
        voter = self.voter
        voters_before = voter.voters()
        newest = max(self.replies.values(), key=lambda reply: reply.revision, default=None)
        if newest is not None:
            voter.learn(newest.revision, newest.value)
        with_state = [name for name, reply in self.replies.items() if not reply.abstains]
        majority_has_state = is_majority(with_state, voters_before) and is_majority(
            with_state, voter.voters()
        )
        if not majority_has_state and not self._no_permission_left(now):
            return
        voter.abstains = False
        promised = [reply.promised for reply in self.replies.values()]
        voter.promised = max([voter.promised, voter.revision.ballot, *promised])
        if any(reply.lease_granted for reply in self.replies.values()):
            voter.grant_lease(now)

    def _no_permission_left(self, now: float) -> bool:
        """Return whether all voters replied and any forgotten permission to start work has expired."""
        all_replied = all(name in self.replies for name in self.voter.other_voters())
        return all_replied and now >= self.started_at + voter_lease_s(self.settings.permission_s)
