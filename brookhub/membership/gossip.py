"""Gossip rounds, which spread queued updates to random members as long as any are queued."""

from __future__ import annotations

from collections.abc import Callable

from .broadcast_queue import BroadcastQueue
from .messages import MemberUpdate
from .sender import MessageSender
from .settings import MemberContext

# Seconds between rounds while updates are queued or members suspected; well below a suspicion's timeout.
GOSSIP_INTERVAL = 0.1
GOSSIP_NODES = 2  # Members that receive a packet in each round.
LEAVE_NODES = 8  # Members to which a planned shutdown is announced directly.


class Gossip:
    """Runs gossip rounds while updates are queued or members are suspected.

    `before_round` is called at the start of each round, to check the timeouts of suspicions.
    """

    def __init__(
        self,
        context: MemberContext,
        broadcasts: BroadcastQueue,
        sender: MessageSender,
        before_round: Callable[[], None],
    ) -> None:
        self._clock = context.clock
        self._random = context.random
        self._local = context.local
        self._members = context.members
        self._broadcasts = broadcasts
        self._sender = sender
        self._before_round = before_round
        self._round_scheduled = False

    def broadcast(self, update: MemberUpdate) -> None:
        """Queue an update, and start gossip rounds if none are running."""
        self._broadcasts.add(update)
        if self._round_scheduled or self._local.stopped:
            return
        self._round_scheduled = True
        self._clock.call_later(GOSSIP_INTERVAL * (0.5 + self._random.random()), self._run_round)

    def send_leave(self) -> None:
        """Send the queued updates, including the local member's leave, to LEAVE_NODES members at once."""
        for peer in self._members.sample(LEAVE_NODES, self._members.present):
            self._sender.send_gossip(peer)

    def _run_round(self) -> None:
        """Send queued updates to GOSSIP_NODES members, and schedule the next round if one is needed."""
        self._round_scheduled = False
        if self._local.stopped:
            return
        self._before_round()
        if self._broadcasts:
            for peer in self._members.sample(GOSSIP_NODES, self._members.present):
                self._sender.send_gossip(peer)
            if not self._members.present:
                # There are no receivers, and a member that joins later gets the full state.
                self._broadcasts.clear()
        # If `before_round` declared a member dead, it may have scheduled a round already; then both run.
        if self._broadcasts or self._members.suspicions:
            self._round_scheduled = True
            self._clock.call_later(GOSSIP_INTERVAL, self._run_round)
