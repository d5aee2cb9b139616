"""Assignment of addresses to servers."""

from __future__ import annotations

from math import inf
from weakref import WeakValueDictionary

from ..model import Server

Address = tuple[str, int]


class ServerAddresses:
    """Addresses of the servers in use. Each address is held by one server: the one that started last.

    Guarded by the event loop's lock.
    """

    def __init__(self) -> None:
        self._address_by_server_id: dict[int, Address] = {}
        self._server_by_address: dict[Address, Server] = {}
        # Also after it has released the address, as long as an attempt or another part refers to it.
        self._last_server_by_address: WeakValueDictionary[Address, Server] = WeakValueDictionary()

    def __len__(self) -> int:
        return len(self._address_by_server_id)

    def get(self, server: Server) -> Address | None:
        """Return the address that a server holds, or None."""
        return self._address_by_server_id.get(server.id)

    def release(self, server: Server) -> None:
        """Release the address of a server that is gone or moves to another address."""
        address = self._address_by_server_id.pop(server.id, None)
        if address is not None:
            self._server_by_address.pop(address, None)

    def claim(self, server: Server, address: Address) -> Server | None:
        """Assign an address to a server; return the server that lost it, if any.

        The loser is the given server itself if the current holder started later. Earlier holders are marked
        as replaced since the start of this one.
        """
        self.release(server)
        holder = self._server_by_address.get(address)
        if holder and holder.started_at > server.started_at:
            return server
        if holder:
            self.release(holder)
        last = self._last_server_by_address.get(address)
        if last and last is not server and last.id not in self._address_by_server_id:
            last.replaced_at = server.started_at
        self._last_server_by_address[address] = server
        server.replaced_at = inf
        self._address_by_server_id[server.id] = address
        self._server_by_address[address] = server
        return holder
