"""The watch on discovery: a thread that dials, reads lists and changes, and dials again."""

from __future__ import annotations

from time import monotonic
from typing import Callable

from ..model import ServerState
from ..protocol import hosts, http
from ..protocol.documents import DocumentReader
from ..registry import RegistryEntry, ServerRegistry
from ..transport.sockets import time_limits
from ..transport.stream import Stream
from .connections import Reconnector, read_to_end, spawn_surely


class Watch:
    """The watch at one address, and the thread that dials it, reads it and dials again."""

    def __init__(self, discovery: Discovery, reconnector: Reconnector):
        self.discovery, self.reconnector, self.stream = discovery, reconnector, None

    def run(self) -> None:
        """Dial and read until the watch is left. Runs in a thread of its own."""
        self.reconnector.run(self.serve)

    def serve(self, sock) -> tuple[str, int]:
        """Read one watch to its end; why it ended and how many lines it brought."""
        port, reader, documents = self.discovery.port, http.StreamReader(), DocumentReader()
        stream = Stream(sock, 2 * http.LONGEST_HEAD)
        lines = 0

        def took(at: float) -> bool:
            nonlocal lines
            for line in reader.feed(stream.inbound):
                lines += 1
                self.reconnector.heard_at = at
                self.tell(at, documents.feed(line))
            return reader.ended

        time_limits(sock, reading=self.discovery.silent_after)
        port.run(monotonic(), self.up, stream)
        stream.flush()
        reason = read_to_end(stream.read, took, port.faults)
        if reason == "closed" and (
            rest := reader.end()
        ):  # an answer of no stated length, whose last line has no end
            self.tell(monotonic(), documents.feed(rest))
        stream.end(reason)
        stream.close()
        self.reconnector.asked = reader.asked
        return stream.reason, lines

    def tell(self, at: float, document: bytes | None) -> None:
        """Have one list, or one change to it, taken in; nothing while it is not whole."""
        if document is not None:
            self.discovery.port.run(at, self.heard, hosts.parse(document))

    # under the port's lock

    def up(self, stream: Stream) -> None:
        """The connection is up: ask for changes since the last known version."""
        self.stream = stream
        stream.put(
            http.request(
                "%s:%d" % self.reconnector.address, f"/v1/servers?stream=1&index={self.discovery.version}"
            )
        )
        if self.reconnector.over.is_set():
            self.leave()

    def heard(self, news: hosts.News) -> None:
        """A line came."""
        if not self.reconnector.over.is_set():
            self.discovery.heard(news)

    def leave(self) -> None:
        """Another address is watched from now on."""
        self.reconnector.over.set()
        if self.stream:
            self.discovery.port.todo.append((self.stream.end, "moved"))


class Discovery:
    """What is known of the servers, and where news of them are watched."""

    def __init__(
        self,
        port,
        reconnector: Callable[[tuple], Reconnector],
        zones: list[str],
        kinds: list[str],
        clock_ahead: float,
        silent_after: float,
    ):
        self.port, self.reconnector, self.clock_ahead = port, reconnector, clock_ahead
        self.zones, self.kinds, self.silent_after = list(zones), list(kinds), silent_after
        self.roster, self.version, self.begun, self.watch = ServerRegistry(), 0, False, None
        # Servers by name that a plan keeps off; else they are used as the list says
        self.held: set[str] = set()
        self.ready: dict[str, bool] = {}  # what the list says of a server, by name: ready or not
        self.places, self.where = {}, {}  # who is at an address, and the address of each, by its id

    # under the port's lock

    def move(self, address: tuple[str, int]) -> None:
        """Watch there from now on.

        Its versions may be of another count: the first news of it counts in any case.
        """
        if self.watch:
            if self.watch.reconnector.address == address:
                return
            self.watch.leave()
            self.version = 0
        self.watch = Watch(self, self.reconnector(address))
        self.port.todo.append((spawn_surely, self.port, "discovery", self.watch.run))

    def heard(self, news: hosts.News) -> None:
        """Take in a list, whole or what changed since the last one."""
        if not news.whole and news.version <= self.version and self.version:
            return  # told before
        self.version = news.version
        self.ready = {} if news.whole else self.ready
        self.ready.update((host.name, host.state is ServerState.READY) for host in news.hosts)
        told = self.roster.update([self.entry(host) for host in news.hosts], news.whole)
        addresses = {host.ident(): host.address for host in news.hosts}
        told += self.displaced(told, addresses)
        for server in told:
            address = addresses.get(server.id)
            if address:
                self.port.servers.listed(server, address)
            else:
                self.port.servers.leave(server)
        self.port.gateway.on_servers_updated(told)

    def lists(self, name: str) -> bool:
        """Whether the list says that a server is there and ready, whatever a plan says."""
        return self.ready.get(name, False)

    def ident(self, name: str) -> int:
        """The number by which a server is known here."""
        return hosts.ident(name)

    def hold(self, names: set[str]) -> None:
        """Keep off these servers, as if the list said that they drain.

        Those not named any more are used as it says.
        """
        told = []
        for name in sorted(self.held ^ names):
            server = self.roster.servers.get(hosts.ident(name))
            if server is not None and self.ready.get(name):
                server.state = ServerState.DRAINING if name in names else ServerState.READY
                told.append(server)
                if name in names:
                    self.port.servers.leave(server)
        self.held = set(names)
        if told:
            self.port.gateway.on_servers_updated(told)

    def displaced(self, told: list, addresses: dict) -> list:
        """Those whose address a server has that started later.

        They are gone, though nobody has said so yet.
        """
        gone = []
        for server in told:
            if server.state is ServerState.GONE:
                self.vacate(server)
        for server in told:
            address = addresses.get(server.id)
            if server.state is not ServerState.READY or self.where.get(server.id) == address:
                continue
            self.vacate(server)
            held = self.places.get(address)
            older = held if not held or held.started_at <= server.started_at else server
            if older:
                self.vacate(older)
                gone.append(self.roster.remove(older))
            if older is not server:
                self.where[server.id], self.places[address] = address, server
        return [server for server in gone if server not in told]

    def vacate(self, server) -> None:
        """A server is gone: its connections are left."""
        self.places.pop(self.where.pop(server.id, None), None)

    def entry(self, host: hosts.Host) -> RegistryEntry:
        """An entry of the list as the roster takes it."""
        born = host.born - self.clock_ahead if host.born else 0.0
        state = (
            ServerState.DRAINING if host.name in self.held and host.state is ServerState.READY else host.state
        )
        return RegistryEntry(
            host.ident(),
            place(self.zones, host.zone),
            place(self.kinds, host.kind),
            host.cell,
            state,
            host.weight,
            born,
        )

    def fit(self) -> bool:
        """Whether there has been a server to send to: a gateway whose servers are all away still answers."""
        self.begun = self.begun or any(
            server.state is ServerState.READY for server in self.roster.servers.values()
        )
        return self.begun


def place(names: list[str], name: str) -> int:
    """Its number; one that the settings do not name gets the next."""
    if name not in names:
        names.append(name)
    return names.index(name)
