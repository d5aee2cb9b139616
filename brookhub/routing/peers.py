"""Membership on sockets: one UDP socket and the thread that reads it.

Timers and sends go through the port, which sends datagrams once the lock is released.

Datagrams that are malformed, of another fleet, oversized or from an unlisted address are dropped and counted
before the event loop's lock is taken.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
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
from ..transport.threads import start_thread
from .fleet_log import DroppedDatagramLog, EjectionLog, FleetLog
from .log import EventLogger
from .peer_settings import Address, PeerSettings
from .port import SocketGatewayPort

PayloadHandler = Callable[[str, bytes], None]
"""Handler of payloads. Called under the lock with the sender's name and the payload."""

# Buffer for datagrams not yet read: a burst arrives when a network partition heals.
RECEIVE_BUFFER_BYTES = 256 * 1024


class Peers:
    """Membership of one limiter on sockets. Implements `membership.MembershipPort`.

    Its thread owns the socket. All methods except `start`, `read_datagrams` and `count_dropped_datagram` are
    called under the event loop's lock, which guards all fields except those of `dropped`.
    """

    def __init__(
        self, port: SocketGatewayPort, logger: EventLogger, settings: PeerSettings, seed: int
    ) -> None:
        """Open the socket. Raises OSError if the listen address is not available."""
        self.port = port
        self.logger = logger
        self.fleet = settings.fleet
        self.sock = open_socket(settings.listen)
        self.addresses: dict[str, Address] = {}  # By name: the addresses of the peers.
        self.names: dict[Address, str] = {}
        self._set_peers(settings.peers)
        membership_settings = MembershipSettings(settings.fleet, settings.name, seed, settings.period)
        self.core = Membership(self, membership_settings, self.addresses)
        self.fleet_log = FleetLog(port, logger, self.core)
        self.dropped = DroppedDatagramLog(port, logger, self.core)
        # Seconds by which the wall clock is ahead of the monotonic one; measured at each check of ejections.
        self.clock_offset = time() - monotonic()
        # The key is the same for the whole fleet.
        self.leases = EpochLeases(xxh3_64_intdigest(settings.fleet), settings.name)
        self.payload_handlers: dict[int, PayloadHandler] = {}  # Handlers of other parts, by topic.
        self.detector: OutlierDetector | None = None
        if settings.shares_ejections:
            self.detector = OutlierDetector(self, GossipReportTransport(self.core), self.leases)
        self.assignment: SubsetAssignment | None = None
        if settings.uses_subsets:
            self.assignment = SubsetAssignment(
                self.leases.key, settings.name, self.addresses, self.core.live_names
            )
        if self.detector or self.assignment:
            port.gateway.use_coordination(FleetCoordinator(self.detector, self.assignment))
        if self.detector:
            self.ejection_log = EjectionLog(port, logger, self.detector)
            self._check_ejections()

    def start(self) -> None:
        """Start reading datagrams and sending. Called without the lock."""
        start_thread(self.read_datagrams)
        self.port.run(monotonic(), self.core.start)
        self.port.run(monotonic(), self.dropped.start)

    def update_peers(self, settings: PeerSettings) -> None:
        """Use the peers of reloaded settings.

        Changes of this limiter's own name and address take effect at the next start only.
        """
        self._set_peers(settings.peers)
        self.core.update_peers(self.addresses)
        if self.assignment:
            self.assignment.set_peers(self.addresses)

    def read_datagrams(self) -> None:
        """Read datagrams until the program ends. Runs in a thread of its own."""
        while True:
            try:
                data, source = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                return
            peer = self.names.get(source)
            if peer is None:
                self.count_dropped_datagram("unlisted")
                continue
            try:
                message = decode(data, self.fleet)
            except MalformedMessageError as error:
                self.count_dropped_datagram(error.reason)
                continue
            self.port.run(monotonic(), self.core.on_message, peer, message)

    def count_dropped_datagram(self, reason: str) -> None:
        """Count a dropped datagram. May be called by any thread."""
        self.dropped.count_datagram(reason)

    def leave(self) -> None:
        """Notify the other limiters that this one is shutting down."""
        self.core.leave()

    # membership.MembershipPort

    @property
    def now(self) -> float:
        """Time of this limiter's monotonic clock, in seconds."""
        return self.port.now

    @property
    def wall_time(self) -> float:
        """Wall-clock time in seconds.

        The limiters' wall clocks must agree to within a small part of a lease's epoch.
        """
        return self.port.now + self.clock_offset

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` once, `seconds` from now."""
        self.port.call_later(seconds, callback)

    def send(self, peer: str, data: bytes) -> None:
        """Send a datagram to a peer once the lock is released."""
        address = self.addresses.get(peer)
        if address:
            self.port.defer(self._send_datagram, data, address)

    def on_membership_changed(self, live: int, rank: int, possible: int) -> None:
        """Pass the fleet's counts to the policy, recovery and the log."""
        self.port.gateway.on_membership_changed(live, rank, possible)
        if self.port.recovery:
            self.port.recovery.set_fleet_size(possible)
        self.fleet_log.on_membership_changed(live, rank, possible)

    def on_member_state_changed(self, member: str, state: MemberState) -> None:
        """Update the leases and the log when a member's state changed."""
        self.leases.set_present(self.core.present)
        self.fleet_log.on_change()

    def on_payload_received(self, peer: str, topic: int, data: bytes) -> None:
        """Pass a payload to its handler; drop one that is malformed or whose topic is not in use here."""
        handler = self.payload_handlers.get(topic)
        if handler:
            return handler(peer, data)
        if topic != REPORT_TOPIC or not self.detector:
            return None
        try:
            self.detector.on_reports(peer, decode_reports(data))
        except InvalidReportsError:
            self.count_dropped_datagram(DropReason.MALFORMED)

    # Helpers, under the lock unless stated otherwise

    def _set_peers(self, addresses: dict[str, Address]) -> None:
        """Replace the addresses of the peers, given by name."""
        self.addresses = addresses
        self.names = {address: name for name, address in addresses.items()}

    def _check_ejections(self) -> None:
        """Log changed ejections and measure the clock offset again. Reschedules itself by a timer."""
        self.clock_offset = time() - monotonic()
        self.ejection_log.check()
        self.port.call_later(EjectionLog.INTERVAL, self._check_ejections)

    def _send_datagram(self, data: bytes, address: Address) -> None:
        """Send a datagram. Called without the lock."""
        with suppress(OSError):  # Equivalent to a loss in the network, which may occur at any time.
            self.sock.sendto(data, socket.MSG_DONTWAIT, address)


def open_socket(address: Address) -> socket.socket:
    """Open a UDP socket bound to an address. Raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock
