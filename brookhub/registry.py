"""Registries that map ids to servers and customers, used by all adapters: sockets, simulator, emulator."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from weakref import WeakValueDictionary

from .model import Customer, Server, ServerState
from .site import Plan


@dataclass(frozen=True, slots=True)
class RegistryEntry:
    """A server in a server list. The state GONE means that the server was removed."""

    server_id: int
    zone: int
    kind: int
    cell: int
    state: ServerState
    weight: float
    started_at: float  # Seconds on the gateway's clock; 0 if the server started long ago.


class ServerRegistry:
    """The servers of the server list, by id.

    A removed server is deleted from the registry. Remaining references to its object see the state GONE.
    """

    def __init__(self) -> None:
        self.servers: dict[int, Server] = {}

    def update(self, entries: Iterable[RegistryEntry], complete: bool) -> list[Server]:
        """Apply a server list and return the affected servers.

        If `complete`, the entries are the whole list: known servers that are not in it are removed, and they
        are the last ones returned.
        """
        updated = [self._apply(entry) for entry in entries]
        if complete:
            listed = {server.id for server in updated}
            missing = [server for server in self.servers.values() if server.id not in listed]
            updated += [self.remove(server) for server in missing]
        return updated

    def _apply(self, entry: RegistryEntry) -> Server:
        """Apply one entry and return its server."""
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
        """Delete a server, set its state to GONE and return it."""
        server.state = ServerState.GONE
        self.servers.pop(server.id, None)
        return server


class CustomerRegistry:
    """The customers that have a request or an account, by id.

    The registry keeps weak references only, so that all other customers are garbage-collected.
    """

    def __init__(self) -> None:
        self._customers: WeakValueDictionary[int, Customer] = WeakValueDictionary()

    def find(self, customer_id: int, plan: Plan) -> Customer:
        """Return the customer with this id, creating it with `plan` if it is unknown."""
        customer = self._customers.get(customer_id)
        if customer is None:
            customer = Customer(customer_id, plan)
            self._customers[customer_id] = customer
        return customer
