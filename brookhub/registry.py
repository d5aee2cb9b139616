"""What both adapters keep of the world at the door: the servers and customers that ids stand for."""

from __future__ import annotations

from typing import Any, Iterable
from weakref import WeakValueDictionary

from .model import Customer, Server, ServerState
from .site import Plan


class ServerRegistry:
    """The servers as the list tells them.

    One that is gone is forgotten; who still holds it sees its last state.
    """

    def __init__(self) -> None:
        self.servers: dict[int, Server] = {}

    def update(self, entries: Iterable[tuple[Any, ...]], whole: bool) -> list[Server]:
        """Take in entries (id, zone, kind, cell, state, weight, start).

        Those absent from a whole list are gone.
        """
        told = []
        for ident, zone, kind, cell, state, weight, since in entries:
            server = self.servers.get(ident)
            if server is None:
                server = self.servers[ident] = Server(ident)
            server.zone, server.kind, server.cell, server.weight = zone, kind, cell, weight
            server.state, server.started_at = state, since
            told.append(server)
            if state is ServerState.GONE:
                del self.servers[ident]
        if whole:
            listed = {server.id for server in told}
            told += [self.remove(server) for server in list(self.servers.values()) if server.id not in listed]
        return told

    def remove(self, server: Server) -> Server:
        """Forget a server; who still holds it sees that it is gone."""
        server.state = ServerState.GONE
        self.servers.pop(server.id, None)
        return server


class CustomerRegistry:
    """The customers that somebody still holds, by their ids."""

    def __init__(self) -> None:
        self.held: WeakValueDictionary[int, Customer] = WeakValueDictionary()

    def find(self, ident: int, plan: Plan) -> Customer:
        """The customer of an id, a new one where nobody holds it."""
        customer = self.held.get(ident)
        if customer is None:
            customer = self.held[ident] = Customer(ident, plan)
        return customer
