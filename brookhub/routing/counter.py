"""Client of the counter: a fixed number of connections with pipelined calls, replied to in order."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from time import monotonic

from ..model import Outcome
from ..ports import CounterCallback
from ..protocol import counter_codec, resp
from ..protocol.errors import MalformedError
from ..transport.close_reason import CloseReason
from ..transport.stream import Stream
from .connections import Reconnector, read_until_closed, start_thread_with_retry
from .port import SocketGatewayPort

Address = tuple[str, int]


class CounterCall:
    """One call to the counter.

    Its callback is called once. A reply after the timeout is ignored, but still consumes its call.
    """

    __slots__ = ("callback", "started_at", "end_offset")

    def __init__(self, callback: CounterCallback | None, started_at: float) -> None:
        self.callback = callback  # None for a heartbeat, and once it was called.
        self.started_at = started_at
        self.end_offset = 0  # Bytes queued on the connection up to the end of this call.

    def finish(self, now: float, outcome: Outcome, total: float = 0.0) -> None:
        """Call the callback unless it was called before."""
        callback = self.callback
        self.callback = None
        if callback:
            callback(outcome, total, now - self.started_at)


class CounterConnection:
    """One connection to the counter, with the thread that connects, reads and reconnects.

    Its thread owns the socket. The event loop's lock guards all fields.
    """

    def __init__(self, client: CounterClient, index: int, reconnector: Reconnector) -> None:
        self.client = client
        self.port = client.port
        self.index = index  # Position among the client's connections.
        self.reconnector = reconnector
        self.stream: Stream | None = None  # None while not connected.
        self.pending: deque[CounterCall] = deque()  # Calls without a reply, the oldest first.
        self.last_received_at = 0.0

    def run(self) -> None:
        """Connect and read until the connection is retired. Runs in a thread of its own."""
        self.reconnector.run(self.serve)

    def serve(self, sock: socket.socket) -> tuple[CloseReason, int]:
        """Read a connection until it is closed; return the reason and the number of replies received."""
        port = self.port
        reader = resp.RespReader()
        stream = Stream(sock, resp.BUFFER_BYTES)
        reply_count = 0

        def on_readable(now: float) -> None:
            nonlocal reply_count
            replies: list[resp.RespValue] = []
            try:
                replies.extend(reader.feed(stream.inbound))
            finally:  # Replies before malformed bytes are valid.
                reply_count += len(replies)
                port.run(now, self.on_replies, stream, replies)

        port.run(monotonic(), self.on_connected, stream)
        stream.abort(read_until_closed(stream.read, on_readable, port.report_error))
        port.run(monotonic(), self.on_disconnected, stream)
        stream.close()
        return stream.close_reason or CloseReason.CLOSED, reply_count

    # Events, under the event loop's lock

    def on_connected(self, stream: Stream) -> None:
        """Send calls on the new connection, or close it if this object was retired meanwhile."""
        self.stream = stream
        self.last_received_at = self.port.now
        if self.reconnector.stopped.is_set():
            self._close(stream, CloseReason.ADDRESS_CHANGED)
        else:
            self.client.activate(self)

    def retire(self) -> None:
        """Send no more calls and do not reconnect, as another connection takes over.

        Replies to calls already sent are still read, for `read_timeout` at most.
        """
        self.reconnector.stopped.set()
        self._close_if_drained()
        if self.stream:
            self.port.call_later(
                self.client.read_timeout, partial(self._close, self.stream, CloseReason.ADDRESS_CHANGED)
            )

    def on_disconnected(self, stream: Stream) -> None:
        """Finish the pending calls of a closed connection. A fully written call may have been executed."""
        self.stream = None
        pending = self.pending
        self.pending = deque()
        for call in pending:
            fully_written = call.end_offset <= stream.bytes_maybe_written
            call.finish(self.port.now, Outcome.TIMEOUT if fully_written else Outcome.CONNECT_FAILED)
        newest = self.client.newest[self.index]
        if newest is not None and newest is not self:  # This one does not reconnect.
            self.client.activate(newest)

    def send(self, call: CounterCall, command: bytes) -> bool:
        """Send a call after the earlier ones; return False if not connected or the buffer is full."""
        stream = self.stream
        if stream is None or stream.close_reason or not stream.enqueue(command):
            return False
        call.end_offset = stream.bytes_queued
        self.pending.append(call)
        self.port.defer(stream.flush)
        return True

    def on_replies(self, stream: Stream, replies: list[resp.RespValue]) -> None:
        """Finish the oldest pending calls with these replies, which are in the order of the calls."""
        self.last_received_at = self.port.now
        for reply in replies:
            if not self.pending or stream.close_reason:
                self._close(stream, CloseReason.PROTOCOL_ERROR)
                return
            self._on_reply(stream, self.pending.popleft(), reply)
        self._close_if_drained()

    def send_heartbeat(self) -> None:
        """Keep an idle connection open; close one whose counter did not reply within `read_timeout`."""
        now = self.port.now
        stream = self.stream
        if stream is None or stream.close_reason:
            return
        if not self.pending:
            self.send(CounterCall(None, now), counter_codec.PING)
        elif now - max(self.last_received_at, self.pending[0].started_at) > self.client.read_timeout:
            self._close(stream, CloseReason.READ_TIMEOUT)

    def _on_reply(self, stream: Stream, call: CounterCall, reply: resp.RespValue) -> None:
        """Finish a call with its reply."""
        if isinstance(reply, resp.SimpleString):
            if call.callback:  # This is a reply to a heartbeat, but the call is not a heartbeat.
                self._close(stream, CloseReason.PROTOCOL_ERROR)
                call.finish(self.last_received_at, Outcome.TIMEOUT)
            return
        try:
            total = counter_codec.decode_total(reply)
        except MalformedError:
            self._close(stream, CloseReason.PROTOCOL_ERROR)
            call.finish(self.last_received_at, Outcome.TIMEOUT)
            return
        if total is None:
            call.finish(self.last_received_at, Outcome.BUSY)
        else:
            call.finish(self.last_received_at, Outcome.OK, total)

    def _close_if_drained(self) -> None:
        """Close the connection if it was retired and no call is pending on it."""
        if self.reconnector.stopped.is_set() and self.stream and not self.pending:
            self._close(self.stream, CloseReason.ADDRESS_CHANGED)

    def _close(self, stream: Stream, reason: CloseReason) -> None:
        """Close a connection once the lock is released."""
        self.port.defer(stream.abort, reason)


class CounterClient:
    """Client of the shared counter, over a fixed number of connections. Implements `port.Counter`.

    All methods are called under the event loop's lock, which guards all fields. Times in seconds.
    """

    def __init__(
        self,
        port: SocketGatewayPort,
        create_reconnector: Callable[[Address], Reconnector],
        call_timeout: float,
        connections: int,
        read_timeout: float,
    ) -> None:
        """Create a client without an address.

        `call_timeout`: seconds after which a call has failed; `read_timeout`: seconds without any reply to
        pending calls after which a connection is closed.
        """
        self.port = port
        self.create_reconnector = create_reconnector
        self.call_timeout = call_timeout
        self.read_timeout = read_timeout
        self.address: Address | None = None
        # By index: the connection on which calls are sent, and the one to the newest address, which takes
        # over once it is up.
        self.active: list[CounterConnection | None] = [None] * connections
        self.newest: list[CounterConnection | None] = [None] * connections
        self.pending: deque[CounterCall] = deque()  # Calls that may time out, the oldest first.

    def set_address(self, address: Address) -> None:
        """Use the counter at an address. Each old connection is retired once its new one is up."""
        if address == self.address:
            return
        self.address = address
        for index, previous in enumerate(self.newest):
            active = self.active[index]
            if previous and previous is not active:
                previous.retire()
            connection = CounterConnection(self, index, self.create_reconnector(address))
            self.newest[index] = connection
            if active is None or active.stream is None:
                self.activate(connection)
            self.port.defer(start_thread_with_retry, self.port, connection.run)

    def activate(self, connection: CounterConnection) -> None:
        """Send calls on a connection from now on, and retire the one used before."""
        previous = self.active[connection.index]
        self.active[connection.index] = connection
        if previous and previous is not connection:
            previous.retire()

    def count(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add to a named count (`port.Counter`).

        All calls for a name use the same connection, so that its totals arrive in the order of the calls.
        """
        call = CounterCall(callback, self.port.now)
        connection = self.active[name % len(self.active)]
        if connection and connection.send(call, counter_codec.encode_add(name, amount, lifetime)):
            if not self.pending:
                self.port.call_later(self.call_timeout, self._expire_calls)
            self.pending.append(call)
        else:
            self.port.call_soon(lambda: call.finish(self.port.now, Outcome.CONNECT_FAILED))

    def send_heartbeats(self) -> None:
        """Send heartbeats on all connections. Reschedules itself by a timer."""
        self.port.call_later(self.read_timeout / 2, self.send_heartbeats)
        for connection in self.active:
            if connection:
                connection.send_heartbeat()

    def _expire_calls(self) -> None:
        """Finish calls that timed out. The timeout is the same for all calls, so one timer is enough."""
        now = self.port.now
        pending = self.pending
        while pending and (pending[0].callback is None or pending[0].started_at + self.call_timeout <= now):
            pending.popleft().finish(now, Outcome.TIMEOUT)
        if pending:
            self.port.call_later(pending[0].started_at + self.call_timeout - now, self._expire_calls)
