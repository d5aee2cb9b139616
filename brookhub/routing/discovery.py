"""The server list of discovery: a thread that dials it, watches it for changes, and dials again."""

from __future__ import annotations

import socket
from time import monotonic
from typing import Callable, Iterable

from ..model import Server, ServerState
from ..protocol import http, server_list
from ..protocol.json_documents import JsonObjectReader
from ..registry import ServerRegistry
from ..transport.close_reason import CloseReason
from ..transport.sockets import set_blocking_timeouts
from ..transport.stream import Stream
from .connections import Reconnector, read_until_closed, start_thread_with_retry
from .port import SocketGatewayPort
from .server_addresses import Address, ServerAddresses

RegistryEntry = tuple[int, int, int, int, ServerState, float, float]
"""Id, zone, kind, cell, state, weight and start (s, monotonic), as `ServerRegistry.update` takes them."""


class ServerListWatch:
    """The watch on discovery at one address, and the thread that dials it, reads it and dials again.

    Its thread owns the socket. The event loop's lock guards `stream`.
    """

    def __init__(self, discovery: DiscoveryClient, reconnector: Reconnector):
        self.discovery = discovery
        self.port = discovery.port
        self.reconnector = reconnector
        self.stream: Stream | None = None  # of the newest connection

    def run(self) -> None:
        """Dial and read until the watch is stopped. Runs in a thread of its own."""
        self.reconnector.run(self.serve)

    def serve(self, sock: socket.socket) -> tuple[CloseReason, int]:
        """Read one connection to its end; returns why it ended and how many lines it brought."""
        reader = http.HttpResponseReader()
        documents = JsonObjectReader()
        stream = Stream(sock, 2 * http.MAX_HEAD_LINE_BYTES)
        lines = 0

        def on_readable(now: float) -> bool:
            nonlocal lines
            for line in reader.feed(stream.inbound):
                lines += 1
                self.reconnector.last_received_at = now
                self._on_document(now, documents.feed(line))
            return reader.is_complete

        set_blocking_timeouts(sock, reading=self.discovery.read_timeout)
        self.port.run(monotonic(), self.on_connected, stream)
        stream.flush()
        reason = read_until_closed(stream.read, on_readable, self.port.report_error)
        if reason is CloseReason.CLOSED:
            rest = reader.on_eof()  # the last line of a body of no stated length needs no line end
            if rest:
                self._on_document(monotonic(), documents.feed(rest))
        stream.abort(reason)
        stream.close()
        self.reconnector.retry_after = reader.retry_after
        return stream.close_reason or CloseReason.CLOSED, lines

    def _on_document(self, now: float, document: bytes | None) -> None:
        """Have one update taken in; None while it is not complete. Raises MalformedError."""
        if document is not None:
            self.port.run(now, self.on_update, server_list.parse_update(document))

    # under the lock

    def on_connected(self, stream: Stream) -> None:
        """The connection is up: ask for the changes since the last known version."""
        self.stream = stream
        host = "%s:%d" % self.reconnector.address
        path = f"/v1/servers?stream=1&index={self.discovery.version}"
        stream.enqueue(http.encode_get(host, path))
        if self.reconnector.stopped.is_set():
            self.stop()

    def on_update(self, update: server_list.ServerListUpdate) -> None:
        """Discovery sent an update."""
        if not self.reconnector.stopped.is_set():
            self.discovery.on_update(update)

    def stop(self) -> None:
        """Stop watching: discovery has another address."""
        self.reconnector.stopped.set()
        if self.stream:
            self.port.defer(self.stream.abort, CloseReason.ADDRESS_CHANGED)


class DiscoveryClient:
    """The server list as last heard of discovery, without the servers that a maintenance plan holds back.

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
    ):
        """`zones`, `kinds`: their names, by number; names not among them are numbered as they appear.

        `clock_offset`: seconds by which discovery's clock is ahead of the monotonic one; `read_timeout`:
        seconds without a line after which a connection is closed.
        """
        self.port = port
        self.create_reconnector = create_reconnector
        self.zones = list(zones)
        self.kinds = list(kinds)
        self.clock_offset = clock_offset
        self.read_timeout = read_timeout
        self.version = 0  # of the list, 0 before the first
        self.watch: ServerListWatch | None = None
        self.registry = ServerRegistry()
        self.addresses = ServerAddresses()
        self.held_back: set[str] = set()  # names of servers that are treated as draining
        self._ready: dict[str, bool] = {}  # whether the list has a server as ready, by name
        self._had_ready_server = False

    def set_address(self, address: Address) -> None:
        """Watch discovery at an address from now on.

        Versions there may be counted anew, so the first update from it is taken in whatever its version.
        """
        if self.watch:
            if self.watch.reconnector.address == address:
                return
            self.watch.stop()
            self.version = 0
        self.watch = ServerListWatch(self, self.create_reconnector(address))
        self.port.defer(start_thread_with_retry, self.port, self.watch.run)

    def on_update(self, update: server_list.ServerListUpdate) -> None:
        """Take in a complete list, or the changes since the last update."""
        if not update.is_complete and update.version <= self.version and self.version:
            return  # sent again after a reconnect
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
        """Whether the list has a server as ready, held back or not."""
        return self._ready.get(name, False)

    def server_id(self, name: str) -> int:
        """The id of a server."""
        return server_list.server_id(name)

    def hold_back(self, names: set[str]) -> None:
        """Treat these servers as draining, whatever the list says, and all others as it says."""
        changed = []
        for name in sorted(self.held_back ^ names):
            server = self.registry.servers.get(server_list.server_id(name))
            if server is None or not self._ready.get(name):
                continue
            server.state = ServerState.DRAINING if name in names else ServerState.READY
            changed.append(server)
            if name in names:
                self.port.upstreams.close_idle(server)
        self.held_back = set(names)
        if changed:
            self.port.gateway.on_servers_updated(changed)

    def has_had_server(self) -> bool:
        """Whether there ever was a ready server: a gateway that lost all its servers still answers."""
        if not self._had_ready_server:
            states = [server.state for server in self.registry.servers.values()]
            self._had_ready_server = ServerState.READY in states
        return self._had_ready_server

    def _update_addresses(self, changed: list[Server], addresses: dict[int, Address]) -> list[Server]:
        """Update who has which address; returns the servers that are gone because another took theirs."""
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
        """A server of the list as the registry takes it."""
        state = entry.state
        if entry.name in self.held_back and state is ServerState.READY:
            state = ServerState.DRAINING
        return (
            entry.server_id(),
            index_of(self.zones, entry.zone),
            index_of(self.kinds, entry.kind),
            entry.cell,
            state,
            entry.weight,
            entry.started_at - self.clock_offset if entry.started_at else 0.0,
        )


def index_of(names: list[str], name: str) -> int:
    """The number of a name, which is added where it is not there yet."""
    if name not in names:
        names.append(name)
    return names.index(name)
