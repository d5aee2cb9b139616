"""A fleet's membership in simulated time: the real core of each member over modelled links.

`PeerNet` carries datagrams with delay, loss, doubles, cuts; `Crew(...)` runs N members and notes who held
whom for dead and when. Times in s (simulated), sizes in bytes; UDP and IP headers are counted as HEADER bytes
a datagram.
"""

from __future__ import annotations

from random import Random
from typing import Callable

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

HEADER = 28  # bytes of UDP and IPv4 heads
# Seconds that a datagram takes between two machines of a site: the least, and chance on top
DELAY, SPREAD = 0.0005, 0.001
AFTER_TIMERS = 0.0001  # s after waking at which the datagrams that waited are read
FLEET = "emulated"


class PeerNet:
    """Datagrams between members by name.

    `loss`, `doubled`, `reordered`: shares; `apart(a, b)`: whether a reaches b not.
    """

    def __init__(self, engine: Engine, seed: int):
        self.engine, self.rng, self.seats = engine, Random(f"net/{seed}"), {}
        self.loss = self.doubled = self.reordered = 0.0
        self.apart: Callable[[str, str], bool] | None = None

    def send(self, source: str, peer: str, data: bytes) -> None:
        """Carry a datagram, as far as the links allow."""
        chance = self.rng.random
        if self.loss and chance() < self.loss or self.apart and self.apart(source, peer):
            return
        for _ in range(2 if self.doubled and chance() < self.doubled else 1):
            wait = DELAY + SPREAD * chance() + (0.02 if self.reordered and chance() < self.reordered else 0.0)
            self.engine.after(wait, lambda: self.arrive(source, peer, data))

    def arrive(self, source: str, peer: str, data: bytes) -> None:
        """A datagram is there."""
        seat = self.seats.get(peer)
        if seat:
            seat.arrive(source, data)


class PeerSeat:
    """One member's place: its MembershipPort.

    While stalled, timers and datagrams wait until it wakes; then the timers that are due come first and the
    datagrams after them, as where a loop looks at its timers before its sockets.
    """

    def __init__(
        self,
        net: PeerNet,
        name: str,
        told=lambda live, rank, sure: None,
        changed=lambda member, state: None,
        said=lambda peer, topic, data: None,
    ):
        self.net, self.engine, self.name, self.core = net, net.engine, name, None
        self.on_told, self.on_changed, self.on_said = told, changed, said
        self.alive, self.wakes = True, 0.0
        net.seats[name] = self

    @property
    def now(self) -> float:
        """Simulated seconds."""
        return self.engine.now

    wall_time = now

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back after so many seconds, once it is awake."""
        self.engine.after(seconds, lambda: self.when_awake(callback))

    def when_awake(self, callback: Callable[[], None], waits: float = 0.0) -> None:
        """Call back now, or once it is awake and its turn has come."""
        if not self.alive:
            return
        if self.engine.now < self.wakes:
            self.engine.at(self.wakes + waits, lambda: self.when_awake(callback))
        else:
            callback()

    def send(self, peer: str, data: bytes) -> None:
        """Send a datagram to a peer."""
        self.net.send(self.name, peer, data)

    def arrive(self, source: str, data: bytes) -> None:
        """A datagram arrives."""

        def take() -> None:
            try:
                self.core.on_message(source, decode(data, FLEET))
            except MalformedMessageError as bad:
                self.core.statistics.dropped[bad.reason] += 1

        self.when_awake(take, AFTER_TIMERS)

    def on_membership_changed(self, live: int, rank: int, possible: int) -> None:
        """Handle changed counts of the fleet."""
        self.on_told(live, rank, possible)

    def on_member_state_changed(self, member: str, state: MemberState) -> None:
        """Handle another state of a member."""
        self.on_changed(member, state)

    def on_payload_received(self, peer: str, topic: int, data: bytes) -> None:
        """Handle another component's payload."""
        self.on_said(peer, topic, data)

    def kill(self) -> None:
        """End it."""
        self.alive = False
        self.net.seats.pop(self.name, None)


class Crew:
    """N members, `protocol` lifeguard, swim or heartbeat; `warm`: all know each other from the start.

    `deaths`: member -> {observer: s}, since it was last cleared; `false` counts declarations of members that
    ran then (not killed, not stalled in the last `excuse` s), one for each member and FALSE_AGAIN s.
    """

    FALSE_AGAIN = 10.0  # s in which one member's wrong deaths at many observers count as one

    def __init__(
        self, count: int, seed: int = 1, protocol: str = "lifeguard", period: float = 0.25, warm: bool = True
    ):
        self.engine, self.protocol, self.period, self.seed = Engine(), protocol, period, seed
        self.net = PeerNet(self.engine, seed)
        self.rng = Random(f"crew/{seed}")
        self.names = [f"n{index}" for index in range(count)]
        self.seats: dict[str, PeerSeat] = {}
        self.deaths: dict[str, dict[str, float]] = {}
        self.false = self.stalled_deaths = self.observed = 0
        self.wrongs: dict[str, float] = {}
        self.stalls: dict[str, float] = {}
        for name in self.names:
            self.launch(name, warm)

    def launch(self, name: str, warm: bool = False) -> PeerSeat:
        """A member that begins; `warm`: knowing all others."""
        seat = PeerSeat(self.net, name, changed=lambda member, state: self.changed(name, member, state))
        peers = [other for other in self.names if other != name]
        settings = MembershipSettings(FLEET, name, self.seed, self.period, self.protocol == "lifeguard")
        if self.protocol == "heartbeat":
            seat.core = Heartbeats(seat, settings, peers)
        else:
            seat.core = Membership(seat, settings, peers)
        if warm:
            seat.core.assume_all_alive()
        seat.core.start()
        self.seats[name] = seat
        return seat

    def changed(self, observer: str, member: str, state: MemberState) -> None:
        """Note what a member thinks of another now."""
        now = self.engine.now
        if state in (MemberState.DEAD, MemberState.LEFT):
            self.deaths.setdefault(member, {})[observer] = now
        if state != MemberState.DEAD:
            return
        seat = self.seats.get(member)
        if seat and seat.alive:
            if now < self.stalls.get(member, -1.0):
                self.stalled_deaths += 1
            else:
                self.observed += 1
                if now - self.wrongs.get(member, -self.FALSE_AGAIN) >= self.FALSE_AGAIN:
                    self.false += 1
                    self.wrongs[member] = now

    def stall(self, name: str, seconds: float, excuse: float = 2.0) -> None:
        """Stop a member for so long; deaths of it until `excuse` s after it woke are not called false."""
        seat = self.seats[name]
        seat.wakes = self.engine.now + seconds
        self.stalls[name] = seat.wakes + excuse

    def run(self, seconds: float) -> None:
        """Play for so many seconds."""
        self.engine.run(self.engine.now + seconds)

    def agree(self) -> bool:
        """Whether each living member holds exactly the living ones for present."""
        living = {name for name, seat in self.seats.items() if seat.alive}
        return all(seat.core.present == living - {name} for name, seat in self.seats.items() if seat.alive)

    def sent(self) -> tuple[int, int]:
        """(datagrams, bytes with headers) that all living members sent so far."""
        statistics = [seat.core.statistics for seat in self.seats.values() if seat.alive]
        datagrams = sum(member.datagrams_sent for member in statistics)
        return datagrams, sum(member.bytes_sent for member in statistics) + HEADER * datagrams

    def absent_at(self, observer: str) -> list[str]:
        """Whom a member holds for gone."""
        return [name for name, one in self.seats[observer].core.members.items() if one.state in ABSENT_STATES]
