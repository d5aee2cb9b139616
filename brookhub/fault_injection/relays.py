"""All relays of an experiment or test, on one event loop."""

from __future__ import annotations

from .event_loop import EventLoop
from .ports import Endpoint
from .tcp import TcpLink
from .udp import UdpMesh

ANY_LOOPBACK_PORT: Endpoint = ("127.0.0.1", 0)


class Relays:
    """Creates relays and owns their thread and sockets until `close`. `seed` decides all random choices."""

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.loop = EventLoop()
        self.links: list[TcpLink] = []
        self.meshes: list[UdpMesh] = []

    def tcp(
        self, name: str, target: Endpoint, source: str | None = None, listen: Endpoint = ANY_LOOPBACK_PORT
    ) -> TcpLink:
        """A relay to `target`, connecting from the address `source`, which identifies the link there."""
        link = TcpLink(self.loop, f"{self.seed}/{name}", target, source, listen)
        self.links.append(link)
        return link

    def udp_mesh(self, members: dict[str, Endpoint]) -> UdpMesh:
        """Links between all pairs of members (name -> the endpoint that its process is bound to)."""
        mesh = UdpMesh(self.loop, f"{self.seed}/udp", members)
        self.meshes.append(mesh)
        return mesh

    def close(self) -> None:
        """End the thread and close every socket. May be called again."""
        self.loop.stop(self.close_sockets)

    def close_sockets(self) -> None:
        """Close the sockets of all links. Runs in the loop's thread."""
        for link in self.links:
            link.close()
        for mesh in self.meshes:
            mesh.close()
