"""The relays' one thread: a selector over all their sockets, and a heap of what is due later."""

from __future__ import annotations

import contextlib
import selectors
import socket
import threading
from collections import deque
from heapq import heappop, heappush
from time import monotonic
from typing import Callable

from .tcp import TcpLink
from .udp import UdpMesh


class Relays:
    """All relays of one lab or test. `close()` ends its thread and every socket. Times in s (monotonic)."""

    def __init__(self, seed: int = 1):
        self.seed, self.selector, self.heap, self.order = seed, selectors.DefaultSelector(), [], 0
        self.wake_in, self.wake_out = socket.socketpair()
        self.wake_in.setblocking(False)
        self.todo: deque[Callable[[], None]] = deque()
        self.selector.register(self.wake_in, selectors.EVENT_READ, lambda mask: self.woken())
        self.links: list[TcpLink] = []
        self.meshes: list[UdpMesh] = []
        self.over = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def tcp(
        self,
        name: str,
        target: tuple[str, int],
        source: str | None = None,
        listen: tuple[str, int] = ("127.0.0.1", 0),
    ) -> TcpLink:
        """A relay to `target`; it dials from the address `source`, so the target sees whose link it is."""
        link = TcpLink(self, name, target, source, listen)
        self.links.append(link)
        return link

    def udp_mesh(self, members: dict[str, tuple[str, int]]) -> UdpMesh:
        """Links between all pairs of members (name -> the address its process is bound to)."""
        mesh = UdpMesh(self, members)
        self.meshes.append(mesh)
        return mesh

    # the thread

    def run(self) -> None:
        """Serve all sockets and what is due, until `close`."""
        while not self.over:
            wait = max(0.0, self.heap[0][0] - monotonic()) if self.heap else None
            for key, mask in self.selector.select(wait):
                with contextlib.suppress(OSError, KeyError, ValueError):
                    key.data(mask)
            now = monotonic()
            while self.heap and self.heap[0][0] <= now:
                with contextlib.suppress(OSError, KeyError, ValueError):
                    heappop(self.heap)[2]()

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Call back at a moment (s, monotonic), in the thread."""
        self.order += 1
        heappush(self.heap, (when, self.order, callback))

    def woken(self) -> None:
        """Do what other threads asked for."""
        with contextlib.suppress(BlockingIOError):
            self.wake_in.recv(4096)
        while self.todo:
            self.todo.popleft()()

    def call(self, work: Callable[[], None]) -> None:
        """Have the thread do something, and wait until it is done.

        A fault is in force when its call returns.
        """
        if threading.current_thread() is self.thread:
            return work()
        done = threading.Event()

        def job() -> None:
            try:
                work()
            finally:
                done.set()

        self.todo.append(job)
        self.wake_out.send(b"x")
        done.wait(5.0)

    def close(self) -> None:
        """End the thread and every socket."""

        def end() -> None:
            self.over = True
            for link in self.links:
                link.shut()
            for mesh in self.meshes:
                mesh.shut()

        if not self.over:
            self.call(end)
            self.thread.join(5.0)
            for sock in (self.wake_in, self.wake_out):
                sock.close()
            self.selector.close()
