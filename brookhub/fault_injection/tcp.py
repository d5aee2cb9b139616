"""Relays of TCP: each connection is accepted, dialled on, and passed chunk by chunk as its ways allow."""

from __future__ import annotations

import contextlib
import errno
import selectors
import socket
from collections import deque
from dataclasses import dataclass
from time import monotonic
from typing import TYPE_CHECKING

from .conditions import Way
from .ports import reserve

if TYPE_CHECKING:
    from .relay import Relays

CHUNK = 64 * 1024  # bytes read at once
HELD = 256 * 1024  # bytes held for one direction of a connection before its sender is left waiting
BACKLOG = 512  # connections that the system holds until they are accepted
FILLERS = 4  # dials of our own that fill the queue of a listener under a cut: further ones then never come up
RESET = b"\x01\0\0\0\0\0\0\0"  # SO_LINGER on, 0 s: close sends RST


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
        self.reserved = socket.socket()  # holds the port while dials are refused
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
        """Both directions as they should be, and open."""

        def work() -> None:
            for one in self.ways("both"):
                one.clear()
            self.renew(False)

        self.relays.call(work)

    def reset_all(self) -> None:
        """Reset every open connection at both ends, now."""
        self.relays.call(lambda: [pair.reset() for pair in list(self.pairs)])

    def ways(self, way: str) -> list[Way]:
        """The directions that a word names."""
        return {"forward": [self.forward], "back": [self.back], "both": [self.forward, self.back]}[way]

    # in the relays' thread

    def listen(self, at: tuple[str, int], backlog: int = BACKLOG) -> socket.socket:
        """A socket that listens at an address."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(at)
        sock.listen(backlog)
        sock.setblocking(False)
        return sock

    def accepting(self) -> None:
        """Accept from now on."""
        self.relays.selector.register(self.listener, selectors.EVENT_READ, lambda mask: self.accept())

    def renew(self, refusing: bool) -> None:
        """Bring the listener in line.

        Open, refusing (closed), or jammed, where dials never come up (a cut).
        """
        if refusing != self.refusing:
            self.refusing = refusing
            if refusing:
                self.refuse()
            else:
                self.listener = self.listen(self.at)
                self.reserved.close()
                self.accepting()
        if not refusing:
            self.follow_cut()
        for pair in list(self.pairs):
            pair.pump()

    def refuse(self) -> None:
        """Close the listener: dials are refused."""
        self.unjam()
        with contextlib.suppress(KeyError, ValueError):
            self.relays.selector.unregister(self.listener)
        self.listener.close()
        self.reserved = reserve(self.at)

    def follow_cut(self) -> None:
        """Jam an open listener under a cut, and open it after it."""
        cut = self.forward.now.cut or self.back.now.cut
        if cut and not self.fillers:
            self.jam()
        elif not cut and self.fillers:
            self.unjam()
            self.listener.listen(BACKLOG)
            self.accepting()

    def jam(self) -> None:
        """Fill the listener's queue, so that dials never come up."""
        self.relays.selector.unregister(self.listener)
        self.listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.at)
            self.fillers.append(filler)

    def unjam(self) -> None:
        """Close what fills the queue."""
        for filler in self.fillers:
            filler.close()
        self.fillers = []

    def accept(self) -> None:
        """Relay each connection that waits."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, OSError):
                return
            self.pairs.add(Pair(self, sock))

    def shut(self) -> None:
        """Reset all connections and stop listening."""
        self.unjam()
        for pair in list(self.pairs):
            pair.reset()
        with contextlib.suppress(KeyError, ValueError):
            self.relays.selector.unregister(self.listener)
        self.listener.close()
        self.reserved.close()


@dataclass(frozen=True)
class Chunk:
    """Bytes on their way: when they are due (s), and whether the connection is reset after them."""

    due: float
    data: bytes
    reset: bool


class Half:
    """What goes one way on one connection: held chunks, in order."""

    def __init__(self, way: Way, source: socket.socket, sink: socket.socket):
        self.way, self.source, self.sink = way, source, sink
        self.held: deque[Chunk] = deque()
        self.size, self.ended, self.said_end = 0, False, False

    def take(self, data: bytes) -> None:
        """Bytes came from the source; none: it sends no more."""
        if not data:
            self.ended = True
            return
        due, reset = self.way.chunk(len(data), monotonic())
        self.held.append(Chunk(due, data, reset))
        self.size += len(data)

    def due(self, now: float) -> bool:
        """Whether something is to be passed on now."""
        return bool(self.held) and not self.way.now.cut and self.held[0].due <= now

    def pass_on(self, now: float) -> bool:
        """Pass on what is due as far as the sink takes it; whether the connection is to be reset now."""
        while self.due(now):
            chunk = self.held.popleft()
            sent = self.send(chunk.data)
            self.size -= sent
            if sent < len(chunk.data):
                self.held.appendleft(Chunk(chunk.due, chunk.data[sent:], chunk.reset))
                return False
            if chunk.reset:
                return True
        return False

    def send(self, data: bytes) -> int:
        """How many bytes the sink took."""
        try:
            return self.sink.send(data)
        except BlockingIOError:
            return 0

    def pass_end(self) -> None:
        """Tell the sink that nothing more comes, once all is passed on."""
        if self.ended and not self.held and not self.said_end and not self.way.now.cut:
            self.said_end = True
            self.sink.shutdown(socket.SHUT_WR)


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
        for half, other in zip(self.halves, reversed(self.halves), strict=True):
            mask = 0
            if self.up and not half.ended and half.size < HELD:
                mask |= selectors.EVENT_READ
            if other.due(now) or (half.source is self.dialled and not self.up):
                mask |= selectors.EVENT_WRITE
            if mask != self.masks[half.source]:
                self.set_mask(half, mask)

    def set_mask(self, half: Half, mask: int) -> None:
        """Have the selector look for this on the half's source from now on."""
        selector, sock, had = self.relays.selector, half.source, self.masks[half.source]
        self.masks[sock] = mask
        if not had:
            selector.register(sock, mask, lambda got: self.ready(half, got))
        elif not mask:
            selector.unregister(sock)
        else:
            selector.modify(sock, mask, lambda got: self.ready(half, got))

    def ready(self, half: Half, mask: int) -> None:
        """A socket can be read or written, or its dial came up."""
        if self.over:
            return
        try:
            if not self.up and half.source is self.dialled:
                if self.dialled.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    return self.reset()
                self.up = True
            if mask & selectors.EVENT_READ:
                half.take(half.source.recv(CHUNK))
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
                if self.up and half.pass_on(now):
                    return self.reset()
                if half.held and not half.way.now.cut and half.held[0].due > now:
                    self.relays.at(half.held[0].due, self.pump)
                if self.up:
                    half.pass_end()
            if all(half.said_end for half in self.halves):
                return self.finish()
            self.watch()
        except OSError:
            self.reset()

    def reset(self) -> None:
        """Reset the connection at both ends."""
        if not self.over:
            for sock in (self.accepted, self.dialled):
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.finish()

    def finish(self) -> None:
        """Close both sockets."""
        self.over = True
        self.link.pairs.discard(self)
        for sock in (self.accepted, self.dialled):
            with contextlib.suppress(KeyError, ValueError, OSError):
                self.relays.selector.unregister(sock)
            sock.close()
