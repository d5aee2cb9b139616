"""Membership's driver: one UDP socket, a thread that reads it, timers and sends by the port.

What is malformed, of another fleet, oversized or from an unlisted address is dropped and counted before the
lock is taken.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from time import monotonic, time

from xxhash import xxh3_64_intdigest

from ..coordination import (
    REPORT_TOPIC,
    EpochLeases,
    FleetCoordinator,
    GossipReportTransport,
    InvalidReportsError,
    OutlierDetector,
    SubsetAssignment,
    decode_reports,
)
from ..membership import (
    MAX_DATAGRAM_BYTES,
    DropReason,
    MalformedMessageError,
    Membership,
    MembershipSettings,
    MemberState,
    decode,
)
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
        self.core = Membership(
            self, MembershipSettings(spec.fleet, spec.name, seed, spec.period_s), self.by_name
        )
        self.dropped: dict[str, int] = {}
        self.dropped_told: dict[str, int] = {}
        self.saying, self.said_at = False, -SAYS
        self.numbers = (0, 0, 0)
        self.ahead = (
            time() - monotonic()
        )  # s by which wall time is ahead of `now`; measured again with each log line
        self.leases = EpochLeases(xxh3_64_intdigest(spec.fleet), spec.name)  # one key for the whole fleet
        self.on_topic: dict[int, object] = {}  # what other parts take of the peers' words
        self.detector: OutlierDetector | None = None
        if spec.signals:
            self.detector = OutlierDetector(self, GossipReportTransport(self.core), self.leases)
        self.assignment: SubsetAssignment | None = None
        if spec.subsets:
            self.assignment = SubsetAssignment(self.leases.key, spec.name, self.by_name, self.core.live_names)
        if self.detector or self.assignment:
            port.gateway.use_coordination(FleetCoordinator(self.detector, self.assignment))
        if self.detector:
            self.ejected_servers: list[int] = []
            self.log_ejections()

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
        self.core.update_peers(self.by_name)
        if self.assignment:
            self.assignment.set_peers(self.by_name)

    def read(self) -> None:
        """The thread: whatever arrives, to the end of the program."""
        while True:
            try:
                data, source = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                return
            peer = self.by_address.get(source)
            if peer is None:
                self.drop("unlisted")
                continue
            try:
                message = decode(data, self.fleet)
            except MalformedMessageError as bad:
                self.drop(bad.reason)
                continue
            self.port.run(monotonic(), self.core.on_message, peer, message)

    def drop(self, reason: str) -> None:
        """Count a datagram that is not taken."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    # the membership's port

    @property
    def now(self) -> float:
        """Seconds on this limiter's clock."""
        return self.port.now

    @property
    def wall_time(self) -> float:
        """Seconds on the clock that all limiters share, to within a small part of a lease's epoch."""
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

    def on_membership_changed(self, live: int, rank: int, possible: int) -> None:
        """Pass the fleet's counts on to the decisions and to recovery."""
        self.numbers = (live, rank, possible)
        self.port.gateway.on_membership_changed(live, rank, possible)
        if self.port.recovery:
            self.port.recovery.set_fleet_size(possible)
        self.soon()

    def on_member_state_changed(self, member: str, state: MemberState) -> None:
        """Handle a member that came or went."""
        self.leases.set_present(self.core.present)
        self.soon()

    def on_payload_received(self, peer: str, topic: int, data: bytes) -> None:
        """Pass a payload to its component; drop what is malformed or has a topic that is off here."""
        if topic in self.on_topic:
            return self.on_topic[topic](peer, data)
        if topic != REPORT_TOPIC or not self.detector:
            return
        try:
            self.detector.on_reports(peer, decode_reports(data))
        except InvalidReportsError:
            self.drop(DropReason.MALFORMED)

    def log_ejections(self) -> None:
        """Log which servers the fleet has ejected, where that changed."""
        self.ahead = time() - monotonic()
        ejected = self.detector.ejected_servers()
        if ejected != self.ejected_servers:
            self.ejected_servers = ejected
            sent, distrusted = self.detector.sent_count, self.detector.distrusted_count
            self.port.todo.append(
                (
                    lambda: self.log.info(
                        "upstreams ejected",
                        servers=ejected[:NAMED],
                        more=max(0, len(ejected) - NAMED),
                        reports_sent=sent,
                        reports_distrusted=distrusted,
                    ),
                )
            )
        self.later(SAYS, self.log_ejections)

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
            f"{name} {one.state.name.lower()}"
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
                reason: count
                for reason in (DropReason.WRONG_SOURCE, DropReason.UNLISTED_MEMBER)
                if (count := self.core.statistics.dropped[reason])
            },
        }
        if counts != self.dropped_told:
            self.dropped_told = counts
            self.port.todo.append((lambda: self.log.warning("peer datagrams dropped", **counts),))
        self.later(SAYS_DROPPED, self.say_dropped)

    def leave(self) -> None:
        """The program ends as planned: the others are told."""
        self.core.leave()
