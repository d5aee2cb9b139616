"""The servers and customers that ids stand for, as both adapters keep them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from weakref import WeakValueDictionary

from .model import Customer, Server, ServerState
from .site import Plan


@dataclass(frozen=True, slots=True)
class RegistryEntry:
    """One server in a server list, or its removal where the state is GONE."""

    server_id: int
    zone: int
    kind: int
    cell: int
    state: ServerState
    weight: float
    started_at: float  # s on the gateway's clock; 0: long ago


class ServerRegistry:
    """The servers of the server list, by id.

    A server that is gone is forgotten; whoever still holds it sees the state GONE.
    """

    def __init__(self) -> None:
        self.servers: dict[int, Server] = {}

    def update(self, entries: Iterable[RegistryEntry], complete: bool) -> list[Server]:
        """Apply a server list and return the servers it is about.

        `complete`: the entries are the whole list, and known servers that it lacks are gone. They come last.
        """
        updated = [self._apply(entry) for entry in entries]
        if complete:
            listed = {server.id for server in updated}
            missing = [server for server in self.servers.values() if server.id not in listed]
            updated += [self.remove(server) for server in missing]
        return updated

    def _apply(self, entry: RegistryEntry) -> Server:
        """Apply one entry; its server."""
        server = self.servers.get(entry.server_id)
        if server is None:
            server = Server(entry.server_id)
            self.servers[entry.server_id] = server
        server.zone = entry.zone
        server.kind = entry.kind
        server.cell = entry.cell
        server.weight = entry.weight
        server.state = entry.state
        server.started_at = entry.started_at
        if entry.state is ServerState.GONE:
            del self.servers[entry.server_id]
        return server

    def remove(self, server: Server) -> Server:
        """Forget a server and set its state to GONE."""
        server.state = ServerState.GONE
        self.servers.pop(server.id, None)
        return server


class CustomerRegistry:
    """The customers with a request or an account, by id; others are forgotten (weak references)."""

    def __init__(self) -> None:
        self._customers: WeakValueDictionary[int, Customer] = WeakValueDictionary()

    def find(self, customer_id: int, plan: Plan) -> Customer:
        """The customer of an id; a new one where none is known."""
        customer = self._customers.get(customer_id)
        if customer is None:
            customer = Customer(customer_id, plan)
            self._customers[customer_id] = customer
        return customer
