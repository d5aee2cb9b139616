"""The proposer (candidate or leader) of the replicated register. Times in seconds."""

from __future__ import annotations

from .messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    PlanProgress,
    Prepare,
    Promise,
    Reject,
    Report,
    Revision,
)
from .settings import voter_lease_s
from .voter import RegisterHost, RegisterSettings, Voter, is_majority


class Proposer:
    """One limiter's proposer: it campaigns for leadership and, as leader, replicates one value at a time.

    Invariants: `proposed` and `committed` are None unless `is_leader` is true. The leader's lease starts at
    the moment when it sent the request that a majority answered, so it ends before the leases that the voters
    granted.
    """

    def __init__(self, settings: RegisterSettings, voter: Voter, host: RegisterHost, now: float) -> None:
        self.settings = settings
        self.voter = voter
        self.host = host
        self.ballot = NO_BALLOT
        self.prepare_sent_at = now
        self.promises: dict[str, Promise] = {}
        self.is_leader = False
        self.leader_lease_end = now - 1.0
        self.serial = 0
        self.accept_sent_at = now
        self.acceptances: dict[str, Report] = {}
        # The value that was sent but is not yet held by a majority.
        self.proposed: PlanProgress | None = None
        # The newest value of this leadership that a majority holds.
        self.committed: PlanProgress | None = None

    # Campaigning

    def campaign(self, now: float) -> None:
        """Ask all voters to promise a new ballot to this limiter."""
        voter = self.voter
        if voter.abstains or not voter.has_vote():
            return
        self.ballot = Ballot(max(voter.promised.number, self.ballot.number) + 1, self.settings.name)
        self.prepare_sent_at = now
        self.promises = {}
        self._reset_leadership()
        if voter.may_promise(self.ballot, now):
            # The voter grants its own limiter no lease before the election, so that a failed campaign does
            # not block other candidates.
            voter.promised = self.ballot
            self.promises[self.settings.name] = Promise(self.ballot, voter.revision, voter.value)
        for name in voter.other_voters():
            self.host.send_register_message(name, Prepare(self.ballot))
        self.lead_if_elected(now)

    def on_promise(self, peer: str, message: Promise, now: float) -> None:
        """Record a voter's promise."""
        if message.ballot == self.ballot and not self.is_leader:
            self.promises[peer] = message
            self.lead_if_elected(now)

    def lead_if_elected(self, now: float) -> None:
        """Become the leader once enough voters promised.

        This takes a majority of the known voters and a majority of the voters in the newest promised value.
        """
        newest = max(self.promises.values(), key=lambda promise: promise.revision, default=None)
        if newest is None or now >= self.prepare_sent_at + self.settings.lease_s:
            return
        voter = self.voter
        if self.ballot != voter.promised:
            return
        if not is_majority(self.promises, voter.voters()):
            return
        if not is_majority(self.promises, voter.voters(newest.value)):
            return
        self._begin_leading()
        if self.settings.name in self.promises:
            own_lease_end = self.prepare_sent_at + voter_lease_s(self.settings.lease_s)
            voter.lease_end = max(voter.lease_end, own_lease_end)
        voter.learn(newest.revision, newest.value)
        # A value that only some voters hold has to be held by a majority before the next one is based on it.
        self.propose(voter.value, now)

    def _begin_leading(self) -> None:
        """Start to lead under the current ballot."""
        self.is_leader = True
        self.leader_lease_end = self.prepare_sent_at + self.settings.lease_s
        self.serial = 0

    # Losing leadership

    def on_reject(self, message: Reject) -> None:
        """Step down if a voter has promised a later ballot."""
        if message.promised > self.voter.promised and message.ballot == self.ballot:
            self.step_down()
            self.ballot = Ballot(max(self.ballot.number, message.promised.number), self.settings.name)

    def on_later_commit(self, revision: Revision) -> None:
        """Step down if a limiter reports a committed value of a later ballot.

        This happens if all voters have forgotten that ballot. The next campaign uses a higher number.
        """
        if self.is_leader and revision.ballot > self.ballot:
            self.step_down()
            self.ballot = Ballot(revision.number, self.settings.name)

    def check_lease(self, now: float) -> None:
        """Step down if the lease has expired."""
        if self.is_leader and now >= self.leader_lease_end:
            self.step_down()

    def step_down(self) -> None:
        """Stop leading."""
        self._reset_leadership()
        self.promises = {}
        self.acceptances = {}

    def _reset_leadership(self) -> None:
        """Reset the fields that are set only while this limiter leads."""
        self.is_leader = False
        self.proposed = None
        self.committed = None

    # Leading

    def may_act(self, now: float) -> bool:
        """Return whether the lease is running and a majority holds the value.

        Must be checked before each action, because the process may have been stopped since the last check.
        """
        if not self.is_leader or now >= self.leader_lease_end:
            return False
        return self.committed is not None and self.proposed is None

    def renewal_due(self, now: float) -> bool:
        """Return whether it is time to renew the lease or to send an unanswered proposal again."""
        return now >= self.accept_sent_at + self.settings.lease_s / 3

    def last_revision(self) -> Revision:
        """Return the revision of the last value that was sent."""
        return Revision(self.ballot.number, self.ballot.proposer, self.serial)

    def propose(self, value: PlanProgress, now: float) -> None:
        """Ask all voters to accept a value, which also renews the lease."""
        self.serial += 1
        self.proposed = value
        self.accept_sent_at = now
        self.acceptances = {}
        revision = self.last_revision()
        if self.voter.may_accept(revision, value):
            self.voter.accept(revision, value, now)
            self.acceptances[self.settings.name] = self.host.own_report()
        for name in self.voter.other_voters(value):
            self.host.send_register_message(name, Accept(revision, value))
        self._commit_if_accepted(now)

    def on_accepted(self, peer: str, message: Accepted, now: float) -> None:
        """Record a voter's report and acceptance."""
        if not self.is_leader or message.revision.ballot != self.ballot:
            return
        self.host.record_report(peer, message.report)
        if self.proposed is not None and message.revision.serial == self.serial:
            self.acceptances[peer] = message.report
            self._commit_if_accepted(now)

    def _commit_if_accepted(self, now: float) -> None:
        """Commit the proposed value once majorities of both the previous and the new voters accepted it."""
        # After a lease, an acceptance may come from a voter that has since restarted and forgotten it.
        if self.proposed is None or now >= self.accept_sent_at + self.settings.lease_s:
            return
        voters_before = self.voter.voters(self.committed)
        voters_after = self.voter.voters(self.proposed)
        if is_majority(self.acceptances, voters_before) and is_majority(self.acceptances, voters_after):
            self.committed = self.proposed
            self.proposed = None
            self.leader_lease_end = self.accept_sent_at + self.settings.lease_s
