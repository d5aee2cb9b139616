"""The relays of an experiment or a test, which share one event loop."""

from __future__ import annotations

from .event_loop import EventLoop
from .ports import Endpoint
from .tcp import TcpLink
from .udp import UdpMesh

ANY_LOOPBACK_PORT: Endpoint = ("127.0.0.1", 0)


class Relays:
    """Factory of relays, which owns their thread and sockets until `close`.

    All random choices derive from `seed`.
    """

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.loop = EventLoop()
        self.links: list[TcpLink] = []
        self.meshes: list[UdpMesh] = []

    def tcp(
        self, name: str, target: Endpoint, source: str | None = None, listen: Endpoint = ANY_LOOPBACK_PORT
    ) -> TcpLink:
        """Create a relay to `target` that connects from the address `source`.

        The target can identify the link by its source address.
        """
        link = TcpLink(self.loop, f"{self.seed}/{name}", target, source, listen)
        self.links.append(link)
        return link

    def udp_mesh(self, members: dict[str, Endpoint]) -> UdpMesh:
        """Create links between all pairs of members.

        `members` maps each name to the endpoint that the member's process is bound to.
        """
        mesh = UdpMesh(self.loop, f"{self.seed}/udp", members)
        self.meshes.append(mesh)
        return mesh

    def close(self) -> None:
        """End the thread and close all sockets. Can be called repeatedly."""
        self.loop.stop(self.close_sockets)

    def close_sockets(self) -> None:
        """Close the sockets of all links. Runs in the loop's thread."""
        for link in self.links:
            link.close()
        for mesh in self.meshes:
            mesh.close()
