"""Maintenance's driver.

A plan from the operator's file, words over membership, servers held back, events in the log.
"""

from __future__ import annotations

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

TICK = 0.25  # s between looks: far below a lease
LATELY = 10.0  # s over which served calls and their times are told


class Keeper:
    """The maintenance of one limiter on sockets.

    `peers`: routing.peers.Peers, whose membership carries the words; `discovery` tells of the servers. All
    methods run under the port's lock. A maintenance.MaintenancePort.
    """

    def __init__(self, port, log, peers, discovery, settings: Settings):
        self.port, self.out, self.peers, self.discovery = port, log, peers, discovery
        self.core = Maintenance(self, peers.core.name, settings)
        self.seconds: list[
            tuple[int, float, float, float]
        ] = []  # a second's calls: asked, served, s they took
        peers.on_topic[TOPIC] = self.heard

    def start(self) -> None:
        """Begin to beat."""
        self.core.tick()
        self.port.later(TICK, self.start)

    def give(self, plan: Plan) -> str:
        """Submit a plan; the reason where it is rejected, else an empty text."""
        try:
            self.core.submit_plan(plan)
        except PlanRejectedError as error:
            return str(error)
        return ""

    def heard(self, peer: str, data: bytes) -> None:
        """A peer's message came."""
        try:
            message = unpack(data)
        except UnreadableError:
            return self.peers.drop(DropReason.MALFORMED)
        self.core.received(peer, message)

    def count(self, request, took: float, served: bool) -> None:
        """One API call had its final answer."""
        second = int(self.port.now)
        if not self.seconds or self.seconds[-1][0] != second:
            self.seconds = [one for one in self.seconds if one[0] > second - LATELY] + [
                (second, 0.0, 0.0, 0.0)
            ]
        at, asked, well, spent = self.seconds[-1]
        self.seconds[-1] = (at, asked + 1, well + served, spent + took * served)

    # the port of maintenance

    def now(self) -> float:
        """Seconds on this limiter's clock."""
        return max(self.port.now, monotonic())

    def present_peers(self) -> list[str]:
        """The peers that are there, by name."""
        return sorted(self.peers.core.present)

    def listed_peers(self) -> list[str]:
        """All other limiters of the fleet, by name."""
        return self.peers.core.names

    def send(self, peer: str, message: Message) -> None:
        """Send a message to a peer."""
        if peer in self.peers.core.members:
            self.peers.core.send_payload(TOPIC, pack(message), [peer])

    def machine_is_up(self, machine: Machine) -> bool:
        """Whether its limiter is there and discovery lists all its servers as ready, held back or not."""
        here = (
            not machine.limiter
            or machine.limiter == self.core.name
            or machine.limiter in self.peers.core.present
        )
        return here and all(self.discovery.lists(name) for name in machine.servers)

    def withhold_traffic(self, machines: tuple[str, ...]) -> None:
        """Send nothing to the servers of these machines, whatever the list says."""
        plan = self.core.adopted.plan
        withheld = [machine for machine in map(plan.machine, machines) if machine]
        self.discovery.hold({server for machine in withheld for server in machine.servers})

    def machine_is_idle(self, machine: Machine) -> bool:
        """Whether nothing of this limiter is out at the machine's servers.

        A limiter on it ends as planned (SIGTERM) when work begins: its clients' connections end between calls
        then, and the others take its parts.
        """
        out = {one.server.id for one in self.port.servers.out}
        return not any(self.discovery.ident(name) in out for name in machine.servers)

    def recent_traffic(self) -> TrafficSample:
        """Requests, served ones, and seconds that the served ones took in all, over the last while."""
        fresh = [one for one in self.seconds if one[0] > self.port.now - LATELY]
        return TrafficSample(*(sum(one[place] for one in fresh) for place in (1, 2, 3)))

    def zone_load(self) -> dict[str, float]:
        """Tries out by zone name, as a picture of the load: all limiters take the leader's."""
        found: dict[str, float] = {}
        for one in self.port.servers.out:
            zone = (
                self.discovery.zones[one.server.zone] if one.server.zone < len(self.discovery.zones) else ""
            )
            found[zone] = found.get(zone, 0.0) + 1.0
        return found

    def log(self, event: str, **facts) -> None:
        """Log an event of the plan."""
        self.port.todo.append((lambda: self.out.info(event, **{"what": "maintenance", **facts}),))
