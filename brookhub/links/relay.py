"""The relays' one thread: a selector over all their sockets, and a heap of what is due later."""

from __future__ import annotations

import contextlib
import errno
import selectors
import socket
import threading
from collections import deque
from heapq import heappop, heappush
from time import monotonic
from typing import Callable

from .conditions import Way

CHUNK = 64 * 1024  # bytes read at once
HELD = 256 * 1024  # bytes held for one direction of a connection before its sender is left waiting
BACKLOG = 512  # connections that the system holds until they are accepted
FILLERS = 4  # dials of our own that fill the queue of a listener under a cut: further ones then never come up
RESET = b"\x01\0\0\0\0\0\0\0"  # SO_LINGER on, 0 s: close sends RST


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
    ) -> "TcpLink":
        """A relay to `target`; it dials from the address `source`, so the target sees whose link it is."""
        link = TcpLink(self, name, target, source, listen)
        self.links.append(link)
        return link

    def udp_mesh(self, members: dict[str, tuple[str, int]]) -> "UdpMesh":
        """Links between all pairs of members (name -> the address its process is bound to)."""
        mesh = UdpMesh(self, members)
        self.meshes.append(mesh)
        return mesh

    # the thread

    def run(self) -> None:
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
        self.order += 1
        heappush(self.heap, (when, self.order, callback))

    def woken(self) -> None:
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


class TcpLink:
    """A relay for TCP. Directions: `forward` from who dials it to the target, `back` the other way."""

    def __init__(
        self, relays: Relays, name: str, target: tuple[str, int], source: str | None, listen: tuple[str, int]
    ):
        self.relays, self.name, self.target, self.source = relays, name, target, source
        self.forward, self.back = Way(f"{relays.seed}/{name}/forward"), Way(f"{relays.seed}/{name}/back")
        self.pairs: set[Pair] = set()
        self.fillers: list[socket.socket] = []
        self.refusing = False
        self.listener = self.listen(listen)
        self.at = self.listener.getsockname()
        self.address = "%s:%d" % self.at
        relays.call(self.accepting)

    def set(self, way: str = "both", refuse: bool | None = None, **changes) -> None:
        """Change a direction (`forward`, `back`, `both`); `refuse` turns new connections away for both."""

        def work() -> None:
            for one in self.ways(way):
                one.set(**changes)
            self.renew(self.refusing if refuse is None else refuse)

        for _one in self.ways(way):  # a wrong word is told to the caller, not to the relays' thread
            Way(0).set(**changes)
        self.relays.call(work)

    def clear(self) -> None:
        def work() -> None:
            for one in self.ways("both"):
                one.clear()
            self.renew(False)

        self.relays.call(work)

    def reset_all(self) -> None:
        """Reset every open connection at both ends, now."""
        self.relays.call(lambda: [pair.reset() for pair in list(self.pairs)])

    def ways(self, way: str) -> list[Way]:
        return {"forward": [self.forward], "back": [self.back], "both": [self.forward, self.back]}[way]

    # in the relays' thread

    def listen(self, at: tuple[str, int], backlog: int = BACKLOG) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(at)
        sock.listen(backlog)
        sock.setblocking(False)
        return sock

    def accepting(self) -> None:
        self.relays.selector.register(self.listener, selectors.EVENT_READ, lambda mask: self.accept())

    def renew(self, refusing: bool) -> None:
        """Bring the listener in line.

        Open, refusing (closed), or jammed, where dials never come up (a cut).
        """
        cut = self.forward.now.cut or self.back.now.cut
        if refusing != self.refusing:
            self.refusing = refusing
            if refusing:
                self.unjam()
                with contextlib.suppress(KeyError, ValueError):
                    self.relays.selector.unregister(self.listener)
                self.listener.close()
            else:
                self.listener = self.listen(self.at)
                self.accepting()
        if not refusing:
            if cut and not self.fillers:
                self.jam()
            elif not cut and self.fillers:
                self.unjam()
                self.listener.listen(BACKLOG)
                self.accepting()
        for pair in list(self.pairs):
            pair.pump()

    def jam(self) -> None:
        self.relays.selector.unregister(self.listener)
        self.listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.at)
            self.fillers.append(filler)

    def unjam(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers = []

    def accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, OSError):
                return
            self.pairs.add(Pair(self, sock))

    def shut(self) -> None:
        self.unjam()
        for pair in list(self.pairs):
            pair.reset()
        with contextlib.suppress(KeyError, ValueError):
            self.relays.selector.unregister(self.listener)
        self.listener.close()


class Half:
    """What goes one way on one connection: held chunks with the times they are due."""

    def __init__(self, way: Way, source: socket.socket, sink: socket.socket):
        self.way, self.source, self.sink = way, source, sink
        self.held: deque[tuple[float, bytes, bool]] = deque()
        self.size, self.ended, self.said_end = 0, False, False


class Pair:
    """One relayed connection: the socket accepted, the one dialled, a Half each way."""

    def __init__(self, link: TcpLink, accepted: socket.socket):
        self.link, self.relays, self.over, self.up = link, link.relays, False, False
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        dialled = socket.socket()
        dialled.setblocking(False)
        dialled.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.accepted, self.dialled = accepted, dialled
        self.halves = (Half(link.forward, accepted, dialled), Half(link.back, dialled, accepted))
        if link.source:
            dialled.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            dialled.bind((link.source, 0))
        failed = dialled.connect_ex(link.target)
        if failed not in (0, errno.EINPROGRESS):
            return self.reset()
        self.masks = {accepted: 0, dialled: 0}
        self.watch()

    def watch(self) -> None:
        """Read where there is room and the way is open to be read; write where something due could not go."""
        now = monotonic()
        for half in self.halves:
            reading = self.up and not half.ended and half.size < HELD
            other = self.halves[1] if half is self.halves[0] else self.halves[0]
            due = other.held and not other.way.now.cut and other.held[0][0] <= now
            mask = (selectors.EVENT_READ if reading else 0) | (
                selectors.EVENT_WRITE if due or (half.source is self.dialled and not self.up) else 0
            )
            sock, had = half.source, self.masks[half.source]
            if mask != had:
                self.masks[sock] = mask
                if not had:
                    self.relays.selector.register(sock, mask, lambda got, half=half: self.ready(half, got))
                elif not mask:
                    self.relays.selector.unregister(sock)
                else:
                    self.relays.selector.modify(sock, mask, lambda got, half=half: self.ready(half, got))

    def ready(self, half: Half, mask: int) -> None:
        if self.over:
            return
        try:
            if not self.up and half.source is self.dialled:
                failed = self.dialled.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if failed:
                    return self.reset()
                self.up = True
            if mask & selectors.EVENT_READ:
                data = half.source.recv(CHUNK)
                if data:
                    due, reset = half.way.chunk(len(data), monotonic())
                    half.held.append((due, data, reset))
                    half.size += len(data)
                else:
                    half.ended = True
            self.pump()
        except BlockingIOError:
            pass
        except OSError:
            self.broken(half)

    def broken(self, half: Half) -> None:
        """One end was reset. A cut way says nothing of it: the end that is left stays open and silent."""
        if any(one.way.now.cut for one in self.halves):
            for one in self.halves:
                if one.source is half.source:
                    one.ended = True
            half.held.clear()
            with contextlib.suppress(OSError, KeyError, ValueError):
                self.watch()
            return
        self.reset()

    def pump(self) -> None:
        """Pass on what is due, in order; look again when the next is."""
        if self.over:
            return
        now = monotonic()
        try:
            for half in self.halves:
                while self.up and half.held and not half.way.now.cut and half.held[0][0] <= now:
                    due, data, reset = half.held.popleft()
                    half.size -= len(data)
                    try:
                        sent = half.sink.send(data)
                    except BlockingIOError:
                        sent = 0
                    if sent < len(data):
                        half.held.appendleft((due, data[sent:], reset))
                        half.size += len(data) - sent
                        break
                    if reset:
                        return self.reset()
                if half.held and not half.way.now.cut and half.held[0][0] > now:
                    self.relays.at(half.held[0][0], self.pump)
                if self.up and half.ended and not half.held and not half.said_end and not half.way.now.cut:
                    half.said_end = True
                    half.sink.shutdown(socket.SHUT_WR)
            if all(half.said_end for half in self.halves):
                return self.finish()
            self.watch()
        except OSError:
            self.reset()

    def reset(self) -> None:
        if not self.over:
            for sock in (self.accepted, self.dialled):
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.finish()

    def finish(self) -> None:
        self.over = True
        self.link.pairs.discard(self)
        for sock in (self.accepted, self.dialled):
            with contextlib.suppress(KeyError, ValueError, OSError):
                self.relays.selector.unregister(sock)
            sock.close()


class UdpMesh:
    """UDP between all pairs of members.

    Member a reaches b at `address(a, b)`, and sees b's packets come from there; packets that do not come from
    the process bound to a's own address are dropped and counted (`strange`).
    """

    def __init__(self, relays: Relays, members: dict[str, tuple[str, int]]):
        self.relays, self.members, self.strange = relays, dict(members), 0
        self.ways = {(a, b): Way(f"{relays.seed}/udp/{a}/{b}") for a in members for b in members if a != b}
        self.sockets = {}
        for pair in self.ways:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
            self.sockets[pair] = sock
        relays.call(
            lambda: [
                relays.selector.register(sock, selectors.EVENT_READ, lambda mask, pair=pair: self.come(pair))
                for pair, sock in self.sockets.items()
            ]
        )

    def address(self, a: str, b: str) -> str:
        return "%s:%d" % self.sockets[a, b].getsockname()

    def set(self, a: str, b: str, **changes) -> None:
        """Change the direction from a to b; see Conditions."""
        self.ways[a, b].set(**changes)

    def split(self, side: set[str]) -> None:
        """Cut every pair of which one is in `side` and the other is not, both ways."""
        for (a, b), way in self.ways.items():
            if (a in side) != (b in side):
                way.set(cut=True)

    def every(self, **changes) -> None:
        for way in self.ways.values():
            way.set(**changes)

    def clear(self) -> None:
        for way in self.ways.values():
            way.clear()

    def come(self, pair: tuple[str, str]) -> None:
        a, b = pair
        while True:
            try:
                data, source = self.sockets[pair].recvfrom(65536)
            except BlockingIOError:
                return
            if source != self.members[a]:
                self.strange += 1
                continue
            now = monotonic()
            for due in self.ways[pair].packet(len(data), now):
                if due <= now:
                    self.pass_on(b, a, data)
                else:
                    self.relays.at(due, lambda data=data: self.pass_on(b, a, data))

    def pass_on(self, b: str, a: str, data: bytes) -> None:
        with contextlib.suppress(OSError):  # nobody is bound there: the packet is lost, as on a network
            self.sockets[b, a].sendto(data, self.members[b])

    def shut(self) -> None:
        for sock in self.sockets.values():
            with contextlib.suppress(KeyError, ValueError):
                self.relays.selector.unregister(sock)
            sock.close()
