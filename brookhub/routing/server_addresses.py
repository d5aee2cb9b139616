"""Which server has which address."""

from __future__ import annotations

from ..model import Server

Address = tuple[str, int]


class ServerAddresses:
    """The addresses of the servers in use, each held by one server: the one that started last.

    Guarded by the event loop's lock.
    """

    def __init__(self) -> None:
        self._by_server: dict[int, Address] = {}  # by server id
        self._servers: dict[Address, Server] = {}

    def __len__(self) -> int:
        return len(self._by_server)

    def get(self, server: Server) -> Address | None:
        """The address that a server holds."""
        return self._by_server.get(server.id)

    def release(self, server: Server) -> None:
        """A server is gone or moves: its address is free."""
        address = self._by_server.pop(server.id, None)
        if address is not None:
            self._servers.pop(address, None)

    def claim(self, server: Server, address: Address) -> Server | None:
        """Give a server an address; returns the server that lost it, which may be the given one itself."""
        self.release(server)
        holder = self._servers.get(address)
        if holder and holder.started_at > server.started_at:
            return server
        if holder:
            self.release(holder)
        self._by_server[server.id] = address
        self._servers[address] = server
        return holder
