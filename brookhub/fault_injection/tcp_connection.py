"""One relayed TCP connection: two sockets, and a stream of chunks in each direction.

Everything here runs in the relays' thread.
"""

from __future__ import annotations

import contextlib
import errno
import selectors
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

from .direction import Direction
from .event_loop import EventLoop
from .ports import Endpoint

READ_SIZE = 64 * 1024  # bytes read at once
MAX_BUFFERED = 256 * 1024  # bytes buffered per direction of a connection; then its sender has to wait
LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER on, 0 s: close sends RST


@dataclass(frozen=True)
class Chunk:
    """Bytes in transit: when they are due (s, monotonic), and whether the connection is reset after them."""

    due: float
    data: bytes
    reset: bool


class Stream:
    """The bytes that cross a connection in one direction, in order."""

    def __init__(self, direction: Direction, source: socket.socket, sink: socket.socket) -> None:
        self.direction = direction
        self.source = source
        self.sink = sink
        self.chunks: deque[Chunk] = deque()
        self.buffered = 0  # bytes in `chunks`
        self.source_ended = False  # the source sends no more
        self.sink_shut = False  # the sink was told so

    def receive(self, data: bytes) -> None:
        """Buffer bytes from the source; no bytes mean that it sends no more."""
        if not data:
            self.source_ended = True
            return
        transit = self.direction.chunk(len(data), monotonic())
        self.chunks.append(Chunk(transit.due, data, transit.reset))
        self.buffered += len(data)

    def is_due(self, now: float) -> bool:
        """Whether a chunk can be forwarded now."""
        return bool(self.chunks) and not self.direction.conditions.cut and self.chunks[0].due <= now

    def next_due(self, now: float) -> float | None:
        """When the next chunk falls due (s, monotonic); None if there is none, or it is due, or cut off."""
        if not self.chunks or self.direction.conditions.cut or self.chunks[0].due <= now:
            return None
        return self.chunks[0].due

    def forward(self, now: float) -> bool:
        """Send what is due as far as the sink takes it; returns whether to reset the connection now."""
        while self.is_due(now):
            chunk = self.chunks.popleft()
            sent = self.send(chunk.data)
            self.buffered -= sent
            if sent < len(chunk.data):
                self.chunks.appendleft(Chunk(chunk.due, chunk.data[sent:], chunk.reset))
                return False
            if chunk.reset:
                return True
        return False

    def send(self, data: bytes) -> int:
        """Send to the sink; returns the number of bytes that it took."""
        try:
            return self.sink.send(data)
        except BlockingIOError:
            return 0

    def forward_end(self) -> None:
        """Shut the sink down for writing, once the source ended and everything is forwarded."""
        complete = self.source_ended and not self.chunks
        if complete and not self.sink_shut and not self.direction.conditions.cut:
            self.sink_shut = True
            self.sink.shutdown(socket.SHUT_WR)


@dataclass(frozen=True)
class Route:
    """Where a link connects to, from which address (None: any), and its two directions."""

    target: Endpoint
    source: str | None
    forward: Direction
    back: Direction


class RelayedConnection:
    """An accepted connection, the one dialled to the target, and a stream each way.

    `on_close` is called once, when both sockets are closed.
    """

    def __init__(
        self,
        loop: EventLoop,
        route: Route,
        accepted: socket.socket,
        on_close: Callable[[RelayedConnection], None],
    ) -> None:
        self.loop = loop
        self.on_close = on_close
        self.is_closed = False
        self.is_connected = False  # the target accepted
        self.accepted = accepted
        self.dialled = socket.socket()
        self.streams = (
            Stream(route.forward, self.accepted, self.dialled),
            Stream(route.back, self.dialled, self.accepted),
        )
        self.masks = {self.accepted: 0, self.dialled: 0}  # what the loop watches of each socket
        for end in (self.accepted, self.dialled):
            end.setblocking(False)
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.dial(route)

    def dial(self, route: Route) -> None:
        """Begin to connect to the target; resets the connection if that fails at once."""
        if route.source:
            self.dialled.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.dialled.bind((route.source, 0))
        error = self.dialled.connect_ex(route.target)
        if error in (0, errno.EINPROGRESS):
            self.update_watches()
        else:
            self.reset()

    def update_watches(self) -> None:
        """Read where there is space in the buffer; write where something due could not be sent."""
        now = monotonic()
        for stream, opposite in zip(self.streams, reversed(self.streams), strict=True):
            mask = 0
            if self.is_connected and not stream.source_ended and stream.buffered < MAX_BUFFERED:
                mask |= selectors.EVENT_READ
            is_connecting = stream.source is self.dialled and not self.is_connected
            if opposite.is_due(now) or is_connecting:
                mask |= selectors.EVENT_WRITE
            if mask != self.masks[stream.source]:
                self.set_mask(stream, mask)

    def set_mask(self, stream: Stream, mask: int) -> None:
        """Change what the loop watches of a stream's source."""
        previous = self.masks[stream.source]
        self.masks[stream.source] = mask
        if not previous:
            self.loop.watch(stream.source, mask, lambda ready: self.on_ready(stream, ready))
        elif not mask:
            self.loop.unwatch(stream.source)
        else:
            self.loop.change_watch(stream.source, mask, lambda ready: self.on_ready(stream, ready))

    def on_ready(self, stream: Stream, mask: int) -> None:
        """A stream's source can be read or written, or it is connected now."""
        if self.is_closed:
            return
        try:
            if not self.is_connected and stream.source is self.dialled:
                if self.dialled.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    self.reset()
                    return
                self.is_connected = True
            if mask & selectors.EVENT_READ:
                stream.receive(stream.source.recv(READ_SIZE))
            self.pump()
        except BlockingIOError:
            pass
        except OSError:
            self.on_reset(stream)

    def on_reset(self, stream: Stream) -> None:
        """The source of a stream was reset. Under a cut the other end must not notice: it stays open."""
        if not any(each.direction.conditions.cut for each in self.streams):
            self.reset()
            return
        stream.source_ended = True
        stream.chunks.clear()
        with contextlib.suppress(OSError, KeyError, ValueError):
            self.update_watches()

    def pump(self) -> None:
        """Forward what is due in both directions, and come back when the next chunk is."""
        if self.is_closed:
            return
        now = monotonic()
        try:
            for stream in self.streams:
                if self.is_connected and stream.forward(now):
                    self.reset()
                    return
                due = stream.next_due(now)
                if due is not None:
                    self.loop.call_at(due, self.pump)
                if self.is_connected:
                    stream.forward_end()
            if all(stream.sink_shut for stream in self.streams):
                self.close()
            else:
                self.update_watches()
        except OSError:
            self.reset()

    def reset(self) -> None:
        """Reset the connection at both ends. May be called again."""
        if self.is_closed:
            return
        for end in (self.accepted, self.dialled):
            with contextlib.suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.close()

    def close(self) -> None:
        """Close both sockets."""
        self.is_closed = True
        for end in (self.accepted, self.dialled):
            with contextlib.suppress(OSError):
                self.loop.unwatch(end)
            end.close()
        self.on_close(self)
