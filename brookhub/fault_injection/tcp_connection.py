"""A relayed TCP connection: two sockets and a stream of chunks in each direction.

All code in this module runs in the relays' thread.
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

READ_BYTES = 64 * 1024  # Maximum bytes per read.
MAX_BUFFERED_BYTES = 256 * 1024  # Buffer limit per direction of a connection; at the limit, reading pauses.
LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER with 0 s, with which close sends RST.


@dataclass(frozen=True)
class Chunk:
    """Bytes in transit, which are forwarded at `due`, in seconds on the monotonic clock.

    `resets_connection`: the connection is reset after the bytes.
    """

    due: float
    data: bytes
    resets_connection: bool


class Stream:
    """The bytes that cross a connection in one direction, in their order."""

    def __init__(self, direction: Direction, source: socket.socket, sink: socket.socket) -> None:
        self.direction = direction
        self.source = source
        self.sink = sink
        self.chunks: deque[Chunk] = deque()
        self.buffered_bytes = 0  # Total size of `chunks`.
        self.source_ended = False  # The source sends no more bytes.
        self.is_sink_shut_down = False  # The sink has been shut down for writing.

    def receive(self, data: bytes) -> None:
        """Buffer bytes from the source; empty bytes mean that it sends no more."""
        if not data:
            self.source_ended = True
            return
        transit = self.direction.schedule_chunk(len(data), monotonic())
        self.chunks.append(Chunk(transit.due, data, transit.resets_connection))
        self.buffered_bytes += len(data)

    def is_due(self, now: float) -> bool:
        """Return whether a chunk can be forwarded now."""
        return bool(self.chunks) and not self.direction.conditions.cut and self.chunks[0].due <= now

    def next_due(self, now: float) -> float | None:
        """Return when the next chunk is due, in seconds on the monotonic clock.

        Returns None if there is no chunk, if it is due already, or during a cut.
        """
        if not self.chunks or self.direction.conditions.cut or self.chunks[0].due <= now:
            return None
        return self.chunks[0].due

    def forward(self, now: float) -> bool:
        """Send due chunks until the sink accepts no more; return whether to reset the connection now."""
        while self.is_due(now):
            chunk = self.chunks.popleft()
            sent = self.send(chunk.data)
            self.buffered_bytes -= sent
            if sent < len(chunk.data):
                self.chunks.appendleft(Chunk(chunk.due, chunk.data[sent:], chunk.resets_connection))
                return False
            if chunk.resets_connection:
                return True
        return False

    def send(self, data: bytes) -> int:
        """Send bytes to the sink; return the number of bytes that it accepted."""
        try:
            return self.sink.send(data)
        except BlockingIOError:
            return 0

    def shut_down_sink(self) -> None:
        """Shut the sink down for writing if the source has ended and all bytes are forwarded."""
        is_complete = self.source_ended and not self.chunks
        if is_complete and not self.is_sink_shut_down and not self.direction.conditions.cut:
            self.is_sink_shut_down = True
            self.sink.shutdown(socket.SHUT_WR)


@dataclass(frozen=True)
class Route:
    """The endpoint that a link connects to, its source address (None: any) and its two directions."""

    target: Endpoint
    source: str | None
    forward: Direction
    back: Direction


class RelayedConnection:
    """An accepted connection, the connection to the target, and a stream in each direction.

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
        self.is_connected = False  # The connection to the target is established.
        self.accepted = accepted
        self.outgoing = socket.socket()
        self.streams = (
            Stream(route.forward, self.accepted, self.outgoing),
            Stream(route.back, self.outgoing, self.accepted),
        )
        self.masks = {self.accepted: 0, self.outgoing: 0}  # The events that the loop watches on each socket.
        for end in (self.accepted, self.outgoing):
            end.setblocking(False)
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connect(route)

    def connect(self, route: Route) -> None:
        """Begin to connect to the target; reset the connection if that fails at once."""
        if route.source:
            self.outgoing.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.outgoing.bind((route.source, 0))
        error = self.outgoing.connect_ex(route.target)
        if error in (0, errno.EINPROGRESS):
            self.update_watches()
        else:
            self.reset()

    def update_watches(self) -> None:
        """Watch sockets for reading if there is buffer space, and for writing if due bytes are unsent."""
        now = monotonic()
        for stream, opposite in zip(self.streams, reversed(self.streams), strict=True):
            mask = 0
            if self.is_connected and not stream.source_ended and stream.buffered_bytes < MAX_BUFFERED_BYTES:
                mask |= selectors.EVENT_READ
            is_connecting = stream.source is self.outgoing and not self.is_connected
            if opposite.is_due(now) or is_connecting:
                mask |= selectors.EVENT_WRITE
            if mask != self.masks[stream.source]:
                self.set_mask(stream, mask)

    def set_mask(self, stream: Stream, mask: int) -> None:
        """Change the events that the loop watches on a stream's source."""
        previous = self.masks[stream.source]
        self.masks[stream.source] = mask
        if not previous:
            self.loop.watch(stream.source, mask, lambda ready: self.on_ready(stream, ready))
        elif not mask:
            self.loop.unwatch(stream.source)
        else:
            self.loop.change_watch(stream.source, mask, lambda ready: self.on_ready(stream, ready))

    def on_ready(self, stream: Stream, mask: int) -> None:
        """Handle events of a stream's source: it is connected, readable or writable."""
        if self.is_closed:
            return
        try:
            if not self.is_connected and stream.source is self.outgoing:
                if self.outgoing.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    self.reset()
                    return
                self.is_connected = True
            if mask & selectors.EVENT_READ:
                stream.receive(stream.source.recv(READ_BYTES))
            self.forward_due()
        except BlockingIOError:
            pass
        except OSError:
            self.on_reset(stream)

    def on_reset(self, stream: Stream) -> None:
        """Handle a reset of a stream's source. During a cut the other end must not notice and stays open."""
        if not any(each.direction.conditions.cut for each in self.streams):
            self.reset()
            return
        stream.source_ended = True
        stream.chunks.clear()
        with contextlib.suppress(OSError, KeyError, ValueError):
            self.update_watches()

    def forward_due(self) -> None:
        """Forward due chunks in both directions, and schedule a call for the next chunk."""
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
                    self.loop.call_at(due, self.forward_due)
                if self.is_connected:
                    stream.shut_down_sink()
            if all(stream.is_sink_shut_down for stream in self.streams):
                self.close()
            else:
                self.update_watches()
        except OSError:
            self.reset()

    def reset(self) -> None:
        """Reset the connection at both ends. Can be called repeatedly."""
        if self.is_closed:
            return
        for end in (self.accepted, self.outgoing):
            with contextlib.suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.close()

    def close(self) -> None:
        """Close both sockets."""
        self.is_closed = True
        for end in (self.accepted, self.outgoing):
            with contextlib.suppress(OSError):
                self.loop.unwatch(end)
            end.close()
        self.on_close(self)
