"""Membership of a fleet in simulated time: the real core of each member on modelled links.

`PeerNetwork` carries datagrams with delay, loss, duplicates and partitions. `MemberCluster` runs a number of
members and records which member declared which other dead, and when. Times are in simulated seconds, sizes in
bytes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..membership import (
    ABSENT_STATES,
    Heartbeats,
    MalformedMessageError,
    Membership,
    MembershipSettings,
    MemberState,
    decode,
)
from .engine import Engine

HEADER_BYTES = 28  # UDP and IPv4 headers of a datagram.
# Delay in seconds of a datagram between two machines of a site: MIN_DELAY plus a random part of up to
# DELAY_SPREAD.
MIN_DELAY, DELAY_SPREAD = 0.0005, 0.001
REORDERED_DELAY = 0.02  # Additional delay in seconds of a reordered datagram.
# Seconds from the end of a suspension to the reading of the waiting datagrams, so that timers run first.
DATAGRAMS_AFTER_RESUMING = 0.0001
FLEET = "emulated"


def member_name(index: int) -> str:
    """Return the member name of the limiter at position `index` of the fleet."""
    return f"n{index}"


class PeerNetwork:
    """Network that carries datagrams between members, which are addressed by name.

    `loss`, `duplicated` and `reordered` are shares of the datagrams. `is_blocked(a, b)` is true if datagrams
    from a to b are dropped. The random generator is seeded with `seed` alone, so that two runs with the same
    seed have the same links.
    """

    def __init__(self, engine: Engine, seed: int) -> None:
        self.engine = engine
        self.rng = Random(f"net/{seed}")
        self.members: dict[str, EmulatedMember] = {}
        self.loss = 0.0
        self.duplicated = 0.0
        self.reordered = 0.0
        self.is_blocked: Callable[[str, str], bool] | None = None

    def set_noise(self, share: float) -> None:
        """Drop, duplicate and reorder datagrams, each with the probability `share`."""
        self.loss = share
        self.duplicated = share
        self.reordered = share

    def heal(self) -> None:
        """End all loss, duplication, reordering and partitions."""
        self.set_noise(0.0)
        self.is_blocked = None

    def send(self, source: str, peer: str, data: bytes) -> None:
        """Send a datagram, which may be lost, blocked or duplicated."""
        if self.loss and self.rng.random() < self.loss:
            return
        if self.is_blocked and self.is_blocked(source, peer):
            return
        is_duplicated = self.duplicated and self.rng.random() < self.duplicated
        for _ in range(2 if is_duplicated else 1):
            self.engine.call_later(self._draw_delay(), lambda: self._deliver(source, peer, data))

    def _draw_delay(self) -> float:
        """Return a random delay of a datagram in seconds."""
        delay = MIN_DELAY + DELAY_SPREAD * self.rng.random()
        if self.reordered and self.rng.random() < self.reordered:
            delay += REORDERED_DELAY
        return delay

    def _deliver(self, source: str, peer: str, data: bytes) -> None:
        """Deliver a datagram to its receiver if that is still running."""
        member = self.members.get(peer)
        if member:
            member.on_datagram(source, data)


class EmulatedMember:
    """One member: the MembershipPort of its `core`, which its owner sets before the start.

    While it is suspended, timers and datagrams wait. On resuming, the timers that are due run before the
    datagrams are read, as in an event loop that checks its timers before its sockets. The handlers are called
    with the core's reports.
    """

    core: Membership | Heartbeats

    def __init__(self, network: PeerNetwork, name: str) -> None:
        self.network = network
        self.engine = network.engine
        self.name = name
        self.is_alive = True
        self.suspended_until = 0.0
        self.fleet_size_handler: Callable[[int, int, int], None] = lambda live, rank, possible: None
        self.member_state_handler: Callable[[str, MemberState], None] = lambda member, state: None
        self.payload_handler: Callable[[str, int, bytes], None] = lambda peer, topic, data: None
        network.members[name] = self

    @property
    def now(self) -> float:
        """Simulated time in seconds."""
        return self.engine.now

    wall_time = now

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` once after `seconds` or, if suspended at that time, on resuming."""
        self.engine.call_later(seconds, lambda: self._call_when_running(callback))

    def _call_when_running(self, callback: Callable[[], None], delay: float = 0.0) -> None:
        """Call `callback` now, or `delay` seconds after a suspension, unless the member has been killed."""
        if not self.is_alive:
            return
        if self.engine.now < self.suspended_until:
            resumed_at = self.suspended_until + delay
            self.engine.call_at(resumed_at, lambda: self._call_when_running(callback))
        else:
            callback()

    def send(self, peer: str, data: bytes) -> None:
        """Send a datagram to a peer."""
        self.network.send(self.name, peer, data)

    def on_datagram(self, source: str, data: bytes) -> None:
        """Handle a datagram, after the suspension if the member is suspended."""

        def handle() -> None:
            try:
                self.core.on_message(source, decode(data, FLEET))
            except MalformedMessageError as error:
                self.core.statistics.dropped[error.reason] += 1

        self._call_when_running(handle, DATAGRAMS_AFTER_RESUMING)

    def on_membership_changed(self, live: int, rank: int, possible: int) -> None:
        """Handle a change of the fleet's size or of this member's rank."""
        self.fleet_size_handler(live, rank, possible)

    def on_member_state_changed(self, member: str, state: MemberState) -> None:
        """Handle a change of another member's state."""
        self.member_state_handler(member, state)

    def on_payload_received(self, peer: str, topic: int, data: bytes) -> None:
        """Handle a payload that a peer sent for another component."""
        self.payload_handler(peer, topic, data)

    def kill(self) -> None:
        """End the member and disconnect it from the network."""
        self.is_alive = False
        self.network.members.pop(self.name, None)


@dataclass(frozen=True)
class Traffic:
    """Datagrams that members sent, and their bytes with headers."""

    datagrams: int
    bytes: int


NO_TRAFFIC = Traffic(0, 0)


class MemberCluster:
    """Cluster of `count` members that runs by itself, without limiters.

    `protocol` is lifeguard, swim or heartbeat. If `warm`, all members know each other from the start.
    `deaths` maps a member to the times (s) at which observers declared it dead, since it was last cleared.
    `false_deaths` counts declared deaths of members that were running (not killed, not suspended shortly
    before), at most one for each member in FALSE_DEATH_WINDOW. `observed_false_deaths` counts them once for
    each observer. `suspended_deaths` counts declared deaths of members during or shortly after a suspension.
    """

    # Seconds within which several false deaths of one member count as one.
    FALSE_DEATH_WINDOW = 10.0

    def __init__(
        self, count: int, seed: int = 1, protocol: str = "lifeguard", period: float = 0.25, warm: bool = True
    ) -> None:
        self.engine = Engine()
        self.protocol = protocol
        self.period = period
        self.seed = seed
        self.network = PeerNetwork(self.engine, seed)
        self.rng = Random(f"crew/{seed}")
        self.names = [member_name(index) for index in range(count)]
        self.members: dict[str, EmulatedMember] = {}
        self.deaths: dict[str, dict[str, float]] = {}
        self.false_deaths = 0
        self.observed_false_deaths = 0
        self.suspended_deaths = 0
        self._false_death_at: dict[str, float] = {}
        # Times (s) until which declared deaths of suspended members do not count as false.
        self._grace_ends_at: dict[str, float] = {}
        for name in self.names:
            self.launch(name, warm)

    def launch(self, name: str, warm: bool = False) -> EmulatedMember:
        """Start a member and return it. If `warm`, it knows all others."""
        member = EmulatedMember(self.network, name)
        member.member_state_handler = lambda other, state: self._record_state(name, other, state)
        peers = [other for other in self.names if other != name]
        settings = MembershipSettings(FLEET, name, self.seed, self.period, self.protocol == "lifeguard")
        if self.protocol == "heartbeat":
            member.core = Heartbeats(member, settings, peers)
        else:
            member.core = Membership(member, settings, peers)
        if warm:
            member.core.assume_all_alive()
        member.core.start()
        self.members[name] = member
        return member

    def _record_state(self, observer: str, name: str, state: MemberState) -> None:
        """Record the new state of a member as an observer sees it."""
        now = self.engine.now
        if state in (MemberState.DEAD, MemberState.LEFT):
            self.deaths.setdefault(name, {})[observer] = now
        member = self.members.get(name)
        if state != MemberState.DEAD or not member or not member.is_alive:
            return
        if now < self._grace_ends_at.get(name, -1.0):
            self.suspended_deaths += 1
            return
        self.observed_false_deaths += 1
        if now - self._false_death_at.get(name, -self.FALSE_DEATH_WINDOW) >= self.FALSE_DEATH_WINDOW:
            self.false_deaths += 1
            self._false_death_at[name] = now

    def suspend(self, name: str, seconds: float, grace: float = 2.0) -> None:
        """Suspend a member for `seconds`.

        If it is declared dead until `grace` seconds after that, this does not count as a false death.
        """
        member = self.members[name]
        member.suspended_until = self.engine.now + seconds
        self._grace_ends_at[name] = member.suspended_until + grace

    def run(self, seconds: float) -> None:
        """Run the cluster for `seconds` of simulated time."""
        self.engine.run(self.engine.now + seconds)

    def running_members(self) -> list[EmulatedMember]:
        """Return the members that have not been killed."""
        return [member for member in self.members.values() if member.is_alive]

    def has_converged(self) -> bool:
        """Return whether each running member sees exactly the other running members as present."""
        running = self.running_members()
        names = {member.name for member in running}
        return all(member.core.present == names - {member.name} for member in running)

    def traffic(self) -> Traffic:
        """Return the traffic that all running members have sent so far."""
        statistics = [member.core.statistics for member in self.running_members()]
        datagrams = sum(member.datagrams_sent for member in statistics)
        payload_bytes = sum(member.bytes_sent for member in statistics)
        return Traffic(datagrams, payload_bytes + HEADER_BYTES * datagrams)

    def absent_at(self, observer: str) -> list[str]:
        """Return the members that an observer sees as absent."""
        members = self.members[observer].core.members
        return [name for name, member in members.items() if member.state in ABSENT_STATES]
