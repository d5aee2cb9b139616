"""Membership's driver: one UDP socket, a thread that reads it, timers and sends by the port.

What is unreadable, foreign, oversized or from an unlisted address is dropped and counted before the lock is
taken.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from time import monotonic, time

from xxhash import xxh3_64_intdigest

from ..coordination import TOPIC, ByPeers, Parts, Shared, SharedEjections, Turns, UnusableError, unpack
from ..membership import LARGEST, WORDS, Membership, UnreadableError, decode
from ..transport.threads import spawn

BUFFER = 256 * 1024  # bytes that the system holds of datagrams not yet read: a burst after a split heals
# Seconds between two log lines of the fleet's state at the least, of what was dropped
SAYS, SAYS_DROPPED = 1.0, 5.0
NAMED = 8  # absent members named in a log line


def address(text: str) -> tuple[str, int]:
    """Host and port of a text of the form HOST:PORT."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Peers:
    """The membership of one limiter on sockets.

    `spec`: config.models.MembershipFile; raises OSError where its address can't be had. A
    membership.MembershipPort: its methods but `start` and `read` run under the port's lock.
    """

    def __init__(self, port, log, spec, seed: int):
        self.port, self.log, self.fleet = port, log, spec.fleet
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            self.sock.bind(address(spec.listen))
        except OSError:
            self.sock.close()
            raise
        self.by_name: dict[str, tuple[str, int]] = {}
        self.by_address: dict[tuple[str, int], str] = {}
        self.list(spec)
        self.core = Membership(self, spec.fleet, spec.name, self.by_name, seed, spec.period_s)
        self.dropped: dict[str, int] = {}
        self.dropped_told: dict[str, int] = {}
        self.saying, self.said_at = False, -SAYS
        self.numbers = (0, 0, 0)
        self.ahead = time() - monotonic()  # of the calendar; looked at again with each log line
        self.turns = Turns(xxh3_64_intdigest(spec.fleet), spec.name)  # one key for a fleet, the same at all
        self.on_topic: dict[int, object] = {}  # what other parts take of the peers' words
        self.ejections = SharedEjections(ByPeers(self, self.core), self.turns) if spec.signals else None
        self.parts = (
            Parts(self.turns.key, spec.name, self.by_name, self.core.counted) if spec.subsets else None
        )
        if self.ejections or self.parts:
            port.gateway.use_coordination(Shared(self.ejections, self.parts))
        if self.ejections:
            self.shunned: list[int] = []
            self.look()

    def list(self, spec) -> None:
        """Take in the peers of the operator's file."""
        self.by_name = {one.name: address(one.address) for one in spec.peers}
        self.by_address = {at: name for name, at in self.by_name.items()}

    def start(self) -> None:
        """Begin to read datagrams and to talk."""
        spawn("peers", self.read)
        self.port.run(monotonic(), self.core.start)
        self.port.run(monotonic(), self.later, SAYS_DROPPED, self.say_dropped)

    def relist(self, spec) -> None:
        """The file was read again: other peers from now on.

        Its own name and address hold until the next start.
        """
        self.list(spec)
        self.core.relist(self.by_name)
        if self.parts:
            self.parts.relist(self.by_name)

    def read(self) -> None:
        """The thread: whatever arrives, to the end of the program."""
        while True:
            try:
                data, source = self.sock.recvfrom(LARGEST + 1)
            except OSError:
                return
            peer = self.by_address.get(source)
            if peer is None:
                self.drop("unlisted")
                continue
            try:
                message = decode(data, self.fleet)
            except UnreadableError as bad:
                self.drop(bad.reason)
                continue
            self.port.run(monotonic(), self.core.received, peer, message)

    def drop(self, reason: str) -> None:
        """Count a datagram that is not taken."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    # the membership's port

    @property
    def now(self) -> float:
        """Seconds on this limiter's clock."""
        return self.port.now

    @property
    def calendar(self) -> float:
        """Seconds on the clock that all limiters share, to within a small part of a turn."""
        return self.port.now + self.ahead

    def later(self, seconds: float, callback) -> None:
        """Call back after so many seconds."""
        self.port.later(seconds, callback)

    def send(self, peer: str, data: bytes) -> None:
        """Send a datagram to a peer, once the lock is free."""
        at = self.by_name.get(peer)
        if at:
            self.port.todo.append((self.write, data, at))

    def write(self, data: bytes, at: tuple[str, int]) -> None:
        """Send a datagram. Without the lock."""
        with suppress(OSError):  # nobody there, or no room: the network loses datagrams, and this is one
            self.sock.sendto(data, socket.MSG_DONTWAIT, at)

    def told(self, live: int, rank: int, sure: int) -> None:
        """Membership tells how many are there."""
        self.numbers = (live, rank, sure)
        self.port.gateway.on_membership_changed(live, rank, sure)
        if self.port.recovery:
            self.port.recovery.set_fleet_size(sure)
        self.soon()

    def changed(self, member: str, state: int) -> None:
        """A member came or went."""
        self.turns.told(self.core.present)
        self.soon()

    def said(self, peer: str, topic: int, data: bytes) -> None:
        """Another part's word. What can't be read is counted; a topic that is off here is nobody's."""
        if topic in self.on_topic:
            return self.on_topic[topic](peer, data)
        if topic != TOPIC or not self.ejections:
            return
        try:
            self.ejections.received(peer, unpack(data))
        except UnusableError:
            self.drop("unreadable")

    def look(self) -> None:
        """Log which servers the fleet leaves alone, where that changed."""
        ejections, self.ahead = self.ejections, time() - monotonic()
        shunned = [server for server in ejections.ejections if ejections.is_ejected(server)]
        if shunned != self.shunned:
            self.shunned = shunned
            sent, disbelieved = ejections.sent, ejections.disbelieved
            self.port.todo.append(
                (
                    lambda: self.log.info(
                        "servers left alone",
                        servers=shunned[:NAMED],
                        more=max(0, len(shunned) - NAMED),
                        words=sent,
                        refused=disbelieved,
                    ),
                )
            )
        self.later(SAYS, self.look)

    # the log

    def soon(self) -> None:
        """Log the state of the fleet soon."""
        if not self.saying:
            self.saying = True  # the first change at once, what follows it within SAYS in one line
            self.later(max(0.0, self.said_at + SAYS - self.now), self.say)

    def say(self) -> None:
        """Log the state of the fleet."""
        self.saying, self.said_at = False, self.now
        absent = [
            f"{name} {WORDS[one.state]}"
            for name, one in sorted(self.core.members.items())
            if name not in self.core.present
        ]
        live, rank, sure = self.numbers
        self.port.todo.append(
            (
                lambda: self.log.info(
                    "fleet",
                    live=live,
                    rank=rank,
                    sure=sure,
                    present=1 + len(self.core.present),
                    absent=absent[:NAMED],
                    more=max(0, len(absent) - NAMED),
                ),
            )
        )

    def say_dropped(self) -> None:
        """Log what was dropped, where that changed."""
        counts = {
            **self.dropped,
            **{
                name: self.core.counts[name]
                for name in ("foreign", "unlisted-member")
                if self.core.counts[name]
            },
        }
        if counts != self.dropped_told:
            self.dropped_told = counts
            self.port.todo.append((lambda: self.log.warning("peer datagrams dropped", **counts),))
        self.later(SAYS_DROPPED, self.say_dropped)

    def leave(self) -> None:
        """The program ends as planned: the others are told."""
        self.core.leave()
