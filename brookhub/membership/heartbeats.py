"""All-to-all heartbeats: a baseline for measurements, with the interface of `Membership`."""

from __future__ import annotations

from collections.abc import Iterable

from . import messages
from .messages import Message, MessageKind
from .port import MembershipPort
from .settings import MembershipSettings, Statistics
from .state import ABSENT_STATES, ALIVE, DEAD, Member, MemberState

MISSED_HEARTBEATS = 6  # Probe intervals without a heartbeat after which a member counts as dead.


class Heartbeats:
    """Heartbeat membership: sends a datagram to each peer every probe interval.

    A peer from which nothing was received for MISSED_HEARTBEATS intervals counts as dead.
    """

    def __init__(self, port: MembershipPort, settings: MembershipSettings, peers: Iterable[str]) -> None:
        self.settings = settings
        self.statistics = Statistics()
        self.names = sorted(set(peers) - {settings.name})
        self.members = {name: Member(name) for name in self.names}
        self.present: set[str] = set()
        self._port = port
        self._random = settings.random()
        self._stopped = False
        self._last_received_at: dict[str, float] = {}  # By peer, in seconds on the port's clock.

    def assume_all_alive(self) -> None:
        """Set every peer alive, as in an emulated fleet that is already running."""
        for member in self.members.values():
            member.state = ALIVE
            member.incarnation = 0
        self.present = set(self.names)
        self._last_received_at = dict.fromkeys(self.names, 0.0)

    def start(self) -> None:
        """Start sending heartbeats, at a random time within one probe interval."""
        self._port.call_later(self.settings.probe_interval * self._random.random(), self._run_round)

    def on_message(self, peer: str, message: Message) -> None:
        """Record that a peer sent a message; a peer that counted as dead or unknown is alive again."""
        if self._stopped or peer not in self.members:
            return
        self._last_received_at[peer] = self._port.now
        if self.members[peer].state in ABSENT_STATES:
            self._set_state(peer, ALIVE)

    def leave(self) -> None:
        """Stop sending without notice; the peers detect the missing heartbeats."""
        self._stopped = True

    def _run_round(self) -> None:
        """Send a heartbeat to all peers, and declare dead those whose heartbeats are overdue."""
        if self._stopped:
            return
        heartbeat = Message(self.settings.fleet, messages.VERSION, MessageKind.GOSSIP, self.settings.name)
        data = messages.encode(heartbeat)
        for name in self.names:
            self.statistics.datagrams_sent += 1
            self.statistics.bytes_sent += len(data)
            self._port.send(name, data)
        deadline = self._port.now - MISSED_HEARTBEATS * self.settings.probe_interval
        for name in [name for name in self.present if self._last_received_at[name] < deadline]:
            self._set_state(name, DEAD)
        self._port.call_later(self.settings.probe_interval, self._run_round)

    def _set_state(self, name: str, state: MemberState) -> None:
        """Set a member's state and notify the port."""
        self.members[name].state = state
        if state == ALIVE:
            self.present.add(name)
        else:
            self.present.discard(name)
        self._port.on_member_state_changed(name, state)
