"""Client of discovery: a thread that connects, watches the server list for changes, and reconnects."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from time import monotonic

from ..model import Server, ServerState
from ..protocol import http, server_list
from ..protocol.json_documents import JsonObjectReader
from ..registry import RegistryEntry, ServerRegistry
from ..transport.close_reason import CloseReason
from ..transport.sockets import set_blocking_timeouts
from ..transport.stream import Stream
from .connections import Reconnector, read_until_closed, start_thread_with_retry
from .port import SocketGatewayPort
from .server_addresses import Address, ServerAddresses


class ServerListWatch:
    """Watch of the server list at one address, with the thread that connects, reads and reconnects.

    Its thread owns the socket. The event loop's lock guards `stream`.
    """

    def __init__(self, discovery: DiscoveryClient, reconnector: Reconnector) -> None:
        self.discovery = discovery
        self.port = discovery.port
        self.reconnector = reconnector
        self.stream: Stream | None = None  # Stream of the newest connection.

    def run(self) -> None:
        """Connect and read until the watch is stopped. Runs in a thread of its own."""
        self.reconnector.run(self.serve)

    def serve(self, sock: socket.socket) -> tuple[CloseReason, int]:
        """Read a connection until it is closed; return the reason and the number of lines received."""
        reader = http.HttpResponseReader()
        documents = JsonObjectReader()
        stream = Stream(sock, 2 * http.MAX_HEAD_LINE_BYTES)
        line_count = 0

        def on_readable(now: float) -> bool:
            nonlocal line_count
            for line in reader.feed(stream.inbound):
                line_count += 1
                self.reconnector.last_received_at = now
                self._on_document(now, documents.feed(line))
            return reader.is_complete

        set_blocking_timeouts(sock, reading=self.discovery.read_timeout)
        self.port.run(monotonic(), self.on_connected, stream)
        stream.flush()
        reason = read_until_closed(stream.read, on_readable, self.port.report_error)
        if reason is CloseReason.CLOSED:
            rest = reader.on_eof()  # The last line of a body without a stated length may lack a line end.
            if rest:
                self._on_document(monotonic(), documents.feed(rest))
        stream.abort(reason)
        stream.close()
        self.reconnector.retry_after = reader.retry_after
        return stream.close_reason or CloseReason.CLOSED, line_count

    def _on_document(self, now: float, document: bytes | None) -> None:
        """Apply the update in a JSON document; None: not complete yet. Raises MalformedError."""
        if document is not None:
            self.port.run(now, self.on_update, server_list.parse_update(document))

    # Events, under the event loop's lock

    def on_connected(self, stream: Stream) -> None:
        """Request the changes since the last known version on a new connection."""
        self.stream = stream
        host = server_list.format_address(self.reconnector.address)
        path = f"/v1/servers?stream=1&index={self.discovery.version}"
        stream.enqueue(http.encode_get(host, path))
        if self.reconnector.stopped.is_set():
            self.stop()

    def on_update(self, update: server_list.ServerListUpdate) -> None:
        """Pass an update on, unless the watch was stopped."""
        if not self.reconnector.stopped.is_set():
            self.discovery.on_update(update)

    def stop(self) -> None:
        """Stop watching, as discovery has another address."""
        self.reconnector.stopped.set()
        if self.stream:
            self.port.defer(self.stream.abort, CloseReason.ADDRESS_CHANGED)


class DiscoveryClient:
    """Server list as last received from discovery.

    Servers that a maintenance plan withholds are treated as draining.

    All methods are called under the event loop's lock, which guards all fields.
    """

    def __init__(
        self,
        port: SocketGatewayPort,
        create_reconnector: Callable[[Address], Reconnector],
        zones: Iterable[str],
        kinds: Iterable[str],
        clock_offset: float,
        read_timeout: float,
    ) -> None:
        """Create a client without an address and with an empty list.

        `zones` and `kinds` list the names in the order of their numbers; further names are numbered as they
        appear. `clock_offset`: seconds by which discovery's clock is ahead of the monotonic clock;
        `read_timeout`: seconds without a line after which a connection is closed.
        """
        self.port = port
        self.create_reconnector = create_reconnector
        self.zones = list(zones)
        self.kinds = list(kinds)
        self.clock_offset = clock_offset
        self.read_timeout = read_timeout
        self.version = 0  # Version of the list; 0 before the first one.
        self.watch: ServerListWatch | None = None
        self.registry = ServerRegistry()
        self.addresses = ServerAddresses()
        self.withheld: set[str] = set()  # Names of servers that are treated as draining.
        self._ready: dict[str, bool] = {}  # By name: whether the list reports the server as ready.
        self._had_ready_server = False

    def set_address(self, address: Address) -> None:
        """Watch discovery at an address from now on.

        A discovery at another address may count versions from the start, so its first update is applied
        whatever its version.
        """
        if self.watch:
            if self.watch.reconnector.address == address:
                return
            self.watch.stop()
            self.version = 0
        self.watch = ServerListWatch(self, self.create_reconnector(address))
        self.port.defer(start_thread_with_retry, self.port, self.watch.run)

    def on_update(self, update: server_list.ServerListUpdate) -> None:
        """Apply a complete list, or the changes since the last update."""
        if not update.is_complete and update.version <= self.version and self.version:
            return  # Sent again after a reconnect.
        self.version = update.version
        if update.is_complete:
            self._ready = {}
        self._ready.update((entry.name, entry.state is ServerState.READY) for entry in update.servers)
        entries = [self._registry_entry(entry) for entry in update.servers]
        addresses = {entry.server_id(): entry.address for entry in update.servers}
        changed = self.registry.update(entries, update.is_complete)
        changed += self._update_addresses(changed, addresses)
        for server in changed:
            address = addresses.get(server.id)
            if address:
                self.port.upstreams.update_address(server, address)
            else:
                self.port.upstreams.close_idle(server)
        self.port.gateway.on_servers_updated(changed)

    def is_listed_ready(self, name: str) -> bool:
        """Return whether the list reports a server as ready, even if it is withheld."""
        return self._ready.get(name, False)

    def server_id(self, name: str) -> int:
        """Return the id of a server, given its name."""
        return server_list.server_id(name)

    def set_withheld_servers(self, names: set[str]) -> None:
        """Treat these servers as draining whatever their listed state, and all others as listed."""
        changed = []
        for name in sorted(self.withheld ^ names):
            server = self.registry.servers.get(server_list.server_id(name))
            if server is None or not self._ready.get(name):
                continue
            server.state = ServerState.DRAINING if name in names else ServerState.READY
            changed.append(server)
            if name in names:
                self.port.upstreams.close_idle(server)
        self.withheld = set(names)
        if changed:
            self.port.gateway.on_servers_updated(changed)

    def has_had_server(self) -> bool:
        """Return whether any server was ever ready, because a gateway that lost all servers still answers."""
        if not self._had_ready_server:
            states = [server.state for server in self.registry.servers.values()]
            self._had_ready_server = ServerState.READY in states
        return self._had_ready_server

    def _update_addresses(self, changed: list[Server], addresses: dict[int, Address]) -> list[Server]:
        """Update the addresses in use; return servers removed because another one has their address."""
        displaced = []
        for server in changed:
            if server.state is ServerState.GONE:
                self.addresses.release(server)
        for server in changed:
            address = addresses.get(server.id)
            if server.state is not ServerState.READY or address == self.addresses.get(server):
                continue
            if address is None:
                self.addresses.release(server)
                continue
            loser = self.addresses.claim(server, address)
            if loser:
                displaced.append(self.registry.remove(loser))
        return [server for server in displaced if server not in changed]

    def _registry_entry(self, entry: server_list.ServerEntry) -> RegistryEntry:
        """Return the registry entry for a server of the list."""
        state = entry.state
        if entry.name in self.withheld and state is ServerState.READY:
            state = ServerState.DRAINING
        return RegistryEntry(
            entry.server_id(),
            find_or_add_index(self.zones, entry.zone),
            find_or_add_index(self.kinds, entry.kind),
            entry.cell,
            state,
            entry.weight,
            entry.started_at - self.clock_offset if entry.started_at else 0.0,
        )


def find_or_add_index(names: list[str], name: str) -> int:
    """Return the index of a name, after appending it if it is not in the list."""
    if name not in names:
        names.append(name)
    return names.index(name)
