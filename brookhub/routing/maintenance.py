"""Driver of maintenance on sockets: sends its messages over membership and writes its events to the log.

It reads the state of the traffic and the servers from the other parts of the program.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from time import monotonic

from ..maintenance import (
    TOPIC,
    Machine,
    Maintenance,
    Message,
    Plan,
    PlanRejectedError,
    Settings,
    TrafficSample,
    UnreadableError,
    pack,
    unpack,
)
from ..membership import DropReason
from ..model import Request
from .discovery import DiscoveryClient
from .log import EventLogger
from .peers import Peers
from .port import SocketGatewayPort

TICK_INTERVAL = 0.25  # Seconds between two ticks; far below the duration of a lease.
TRAFFIC_WINDOW = 10.0  # Seconds over which requests and their durations are reported.


@dataclass
class SecondOfTraffic:
    """Totals of the requests that ended in one second of the clock."""

    second: int
    requests: float = 0.0
    served: float = 0.0
    served_duration: float = 0.0  # Sum over the served requests, in seconds.


class TrafficWindow:
    """Requests that ended within the last TRAFFIC_WINDOW seconds. Guarded by the event loop's lock."""

    def __init__(self) -> None:
        self._seconds: deque[SecondOfTraffic] = deque()  # The oldest first.

    def record_request(self, now: float, duration: float, served: bool) -> None:
        """Record a request that ended at `now`, `duration` seconds after it began."""
        second = int(now)
        if not self._seconds or self._seconds[-1].second != second:
            while self._seconds and self._seconds[0].second <= second - TRAFFIC_WINDOW:
                self._seconds.popleft()
            self._seconds.append(SecondOfTraffic(second))
        current = self._seconds[-1]
        current.requests += 1
        if served:
            current.served += 1
            current.served_duration += duration

    def totals(self, now: float) -> TrafficSample:
        """Return the requests, the served requests and the sum of the served durations over the window."""
        recent = [entry for entry in self._seconds if entry.second > now - TRAFFIC_WINDOW]
        return TrafficSample(
            sum(entry.requests for entry in recent),
            sum(entry.served for entry in recent),
            sum(entry.served_duration for entry in recent),
        )


class MaintenanceDriver:
    """Driver of one limiter's maintenance on sockets. Implements `maintenance.MaintenancePort`.

    All methods are called under the event loop's lock, which guards all fields.
    """

    def __init__(
        self,
        port: SocketGatewayPort,
        logger: EventLogger,
        peers: Peers,
        discovery: DiscoveryClient,
        settings: Settings,
    ) -> None:
        """Create a driver that is not running yet.

        The membership of `peers` carries the messages; `discovery` withholds traffic from servers.
        """
        self.port = port
        self.logger = logger
        self.peers = peers
        self.discovery = discovery
        self.traffic = TrafficWindow()
        self.core = Maintenance(self, peers.core.name, settings)
        peers.payload_handlers[TOPIC] = self.on_payload

    def start(self) -> None:
        """Run the periodic work of the core. Reschedules itself by a timer."""
        self.core.tick()
        self.port.call_later(TICK_INTERVAL, self.start)

    def submit_plan(self, plan: Plan) -> str:
        """Submit a plan; return why it was rejected, or an empty string."""
        try:
            self.core.submit_plan(plan)
        except PlanRejectedError as error:
            return str(error)
        return ""

    def on_payload(self, peer: str, data: bytes) -> None:
        """Handle a peer's message; drop a malformed one."""
        try:
            message = unpack(data)
        except UnreadableError:
            return self.peers.count_dropped_datagram(DropReason.MALFORMED)
        self.core.on_message(peer, message)
        return None

    def on_request_finished(self, request: Request, duration: float, served: bool) -> None:
        """Record a request that got its final answer after `duration` seconds (`port.RequestObserver`)."""
        self.traffic.record_request(self.port.now, duration, served)

    # maintenance.MaintenancePort

    def now(self) -> float:
        """Return the time of this limiter's monotonic clock, in seconds."""
        return max(self.port.now, monotonic())

    def present_peers(self) -> list[str]:
        """Return the sorted names of the peers that are present."""
        return sorted(self.peers.core.present)

    def listed_peers(self) -> list[str]:
        """Return the names of all other limiters of the fleet."""
        return self.peers.core.names

    def send(self, peer: str, message: Message) -> None:
        """Send a message to a peer."""
        if peer in self.peers.core.members:
            self.peers.core.send_payload(TOPIC, pack(message), [peer])

    def machine_is_up(self, machine: Machine) -> bool:
        """Return whether a machine's limiter is present and discovery lists all its servers as ready.

        Servers that are withheld count as they are listed.
        """
        is_limiter_present = (
            not machine.limiter
            or machine.limiter == self.core.name
            or machine.limiter in self.peers.core.present
        )
        return is_limiter_present and all(self.discovery.is_listed_ready(name) for name in machine.servers)

    def withhold_traffic(self, machines: tuple[str, ...]) -> None:
        """Send no requests to the servers of these machines, whatever their listed state."""
        adopted = self.core.adopted
        assert adopted is not None  # Only an adopted plan defines machines.
        withheld = [machine for machine in map(adopted.plan.machine, machines) if machine]
        self.discovery.set_withheld_servers({server for machine in withheld for server in machine.servers})

    def machine_is_idle(self, machine: Machine) -> bool:
        """Return whether this limiter has no attempt in flight at the machine's servers.

        A limiter on the machine needs no check: it is shut down (SIGTERM) when work begins. It then closes
        its clients' connections between requests, and the other limiters take over its shares.
        """
        in_flight = {attempt.server.id for attempt in self.port.upstreams.in_flight}
        return not any(self.discovery.server_id(name) in in_flight for name in machine.servers)

    def recent_traffic(self) -> TrafficSample:
        """Return the requests, the served requests and the sum of their durations, over the window."""
        return self.traffic.totals(self.port.now)

    def zone_load(self) -> dict[str, float]:
        """Return the attempts in flight by zone name.

        They measure the load of a zone; all limiters use the leader's figures.
        """
        zones = self.discovery.zones
        load: dict[str, float] = {}
        for attempt in self.port.upstreams.in_flight:
            number = attempt.server.zone
            zone = zones[number] if number < len(zones) else ""
            load[zone] = load.get(zone, 0.0) + 1.0
        return load

    def log(self, event: str, **facts: object) -> None:
        """Log an event of the plan once the lock is released."""
        fields = {"what": "maintenance", **facts}
        self.port.defer(lambda: self.logger.info(event, **fields))
