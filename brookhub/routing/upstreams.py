"""Connections to upstream servers, kept open between attempts. Each carries one attempt at a time."""

from __future__ import annotations

from dataclasses import dataclass, field
from time import monotonic
from typing import cast
from weakref import ref

from ..model import Attempt, Outcome, Server, ServerState
from ..protocol import resp
from ..protocol.errors import MalformedError
from ..protocol.request_codec import ServerResponse
from ..transport.close_reason import CloseReason
from ..transport.sockets import connect
from ..transport.stream import Stream
from ..transport.threads import start_thread
from .client_request import ClientRequest
from .connections import ConnectionLog, read_until_closed
from .port import SocketGatewayPort

# Multiple of the latest second response's delay after which a connection is reused: others may be later.
SETTLE_MARGIN = 2.0
RETIRE_CHECKS = 8  # Number of checks for idle connections during one `idle_timeout`.


@dataclass(frozen=True)
class UpstreamSettings:
    """Limits of the connections to servers. Times in seconds."""

    connect_timeout: float
    idle_timeout: float  # Time after which an idle connection is closed.
    # Minimum time after a response in which bytes that do not belong to it may still arrive.
    settle_time: float
    max_settle_time: float  # Bytes that arrive later are no second response.
    max_connections: int
    max_value_bytes: int  # Maximum size of the value in one response.
    max_partial_bytes: int  # Maximum total size of all partly received values.


@dataclass(eq=False)
class ConnectionPool:
    """Idle connections to one server, the longest idle first. Guarded by the event loop's lock."""

    address: tuple[str, int]
    server_started_at: float = 0.0  # Start of the server's process, as known when the pool was created.
    idle: dict[UpstreamConnection, None] = field(default_factory=dict)


class UpstreamConnection:
    """One connection to a server, with the thread that connects and reads it.

    The event loop's lock guards all fields except `stream`, which the thread sets before it reports that the
    connection is up. That thread owns the socket and closes it.
    """

    def __init__(
        self, connections: UpstreamConnections, pool: ConnectionPool, server: Server, attempt: Attempt
    ) -> None:
        self.connections = connections
        self.pool = pool
        self.server = server
        self.attempt: Attempt | None = attempt
        self.deadline = 0.0  # Deadline of the current attempt; monotonic time in seconds.
        self.is_request_queued = False  # Bytes of the current attempt may have been passed to the stream.
        self.stream: Stream | None = None
        self.close_reason: CloseReason | None = None  # Set if this side closed the connection.
        self.idle_since = 0.0
        self.response_count = 0
        self.reader = resp.RespReader(connections.settings.max_value_bytes)
        # Memory of the partly received response, as counted in `UpstreamConnections.partial_bytes`.
        self.partial_bytes = 0

    def run(self) -> None:
        """Connect, then read until the connection is closed. Runs in a thread of its own."""
        started_at = monotonic()
        try:
            reason = self._connect_and_read()
            self._log_closed(self.close_reason or reason, monotonic() - started_at)
        finally:  # Last: until here the thread and the buffers exist.
            self.connections.port.run(monotonic(), self.connections.on_closed, self)

    def _connect_and_read(self) -> CloseReason:
        """Connect, and read until the connection is closed; return why it was closed."""
        connections = self.connections
        port = connections.port
        try:
            sock = connect(self.pool.address, connections.settings.connect_timeout)
        except OSError:
            port.run(monotonic(), connections.on_disconnected, self)
            return CloseReason.CONNECT_FAILED
        stream = Stream(sock, resp.BUFFER_BYTES)
        self.stream = stream
        port.run(monotonic(), connections.on_connected, self)

        def wait_for_bytes() -> bool:
            return stream.wait_for_bytes(self.reader.bytes_wanted() - len(stream.inbound))

        def on_readable(now: float) -> bool:
            # The event reads the bytes, so that only the holder of the lock reads from the socket.
            port.run(now, connections.on_readable, self)
            return self.close_reason is not None

        # The stream is aborted before the attempt ends, so that unwritten bytes are never sent afterwards.
        stream.abort(read_until_closed(wait_for_bytes, on_readable, port.report_error))
        port.run(monotonic(), connections.on_disconnected, self)
        stream.close()
        return stream.close_reason or CloseReason.CLOSED

    def close(self, reason: CloseReason) -> None:
        """Close the connection; the reason of the first call is kept. Called without the lock."""
        self.close_reason = self.close_reason or reason
        if self.stream:
            self.stream.abort(reason)

    def _log_closed(self, reason: CloseReason, seconds: float) -> None:
        self.connections.log_closed("server", reason, self.server, seconds, self.response_count)


class UpstreamConnections:
    """All connections to servers. Implements `port.Upstreams`.

    All methods except `start` and `write_request` are called under the event loop's lock, which guards all
    fields.
    """

    def __init__(
        self, port: SocketGatewayPort, log_closed: ConnectionLog, settings: UpstreamSettings
    ) -> None:
        """Create the collection without connections.

        `log_closed` is called without the lock for each closed connection.
        """
        self.port = port
        self.log_closed = log_closed
        self.settings = settings
        self.pools: dict[int, ConnectionPool] = {}  # By server id: the pool of its connections.
        self.in_flight: dict[Attempt, UpstreamConnection] = {}
        self.idle: dict[UpstreamConnection, None] = {}  # Idle connections of all pools, longest idle first.
        self.open_connections = 0  # Number of connections whose threads have not ended yet.
        self.partial_bytes = 0  # Memory of the partly received responses on all connections.
        self.settle_time = settings.settle_time  # Grows with the delays of second responses.

    def update_address(self, server: Server, address: tuple[str, int]) -> None:
        """Apply a server's address and its changed state (`port.Upstreams`).

        Idle connections to a server that is draining, is gone, has a new address or was restarted at the same
        one are closed.
        """
        pool = self.pools.get(server.id)
        moved = pool is None or pool.address != address or server.started_at > pool.server_started_at
        if moved or server.state is not ServerState.READY:
            self.close_idle(server)
        if moved and server.state is not ServerState.GONE:
            self.pools[server.id] = ConnectionPool(address, server.started_at)

    def close_idle(self, server: Server) -> None:
        """Close the idle connections to a server (`port.Upstreams`)."""
        pool = self.pools.get(server.id)
        if pool:
            for connection in list(pool.idle):
                self._discard(connection, CloseReason.SERVER_DRAINING)
        if server.state is ServerState.GONE:
            self.pools.pop(server.id, None)

    def send(self, attempt: Attempt, deadline: float) -> None:
        """Send an attempt on an idle connection, or else on a new one (`port.Upstreams`)."""
        pool = self.pools[attempt.server.id]
        connection = self._take_idle(pool)
        if connection:
            self._assign_attempt(connection, attempt, deadline)
            self._write_attempt(connection, attempt)
            return
        if self.open_connections >= self.settings.max_connections:
            if not self.idle:
                self.port.call_soon(lambda: self.port.end_attempt(attempt, Outcome.CONNECT_FAILED))
                return
            self._discard(next(iter(self.idle)), CloseReason.EVICTED)
        connection = UpstreamConnection(self, pool, attempt.server, attempt)
        self._assign_attempt(connection, attempt, deadline)
        self.open_connections += 1
        self.port.defer(self.start, connection)

    def cancel(self, attempt: Attempt) -> None:
        """Close the connection of a cancelled attempt (`port.Upstreams`)."""
        connection = self.in_flight.get(attempt)
        if connection:
            self._discard(connection, CloseReason.CANCELLED)

    def retire_idle(self) -> None:
        """Close idle connections before their server would. Reschedules itself by a timer."""
        self.port.call_later(self.settings.idle_timeout / RETIRE_CHECKS, self.retire_idle)
        for connection in list(self.idle):
            if self.port.now - connection.idle_since < self.settings.idle_timeout:
                break
            self._discard(connection, CloseReason.IDLE_TIMEOUT)

    # Without the lock

    def start(self, connection: UpstreamConnection) -> None:
        """Start a connection's thread. Called without the lock."""
        if not start_thread(connection.run):
            self.port.run(monotonic(), self.on_disconnected, connection)
            self.log_closed("server", CloseReason.NO_THREAD, connection.server, 0.0, 0)
            self.port.run(monotonic(), self.on_closed, connection)

    def write_request(
        self, connection: UpstreamConnection, attempt: Attempt, request: ClientRequest, deadline: float
    ) -> None:
        """Write the request of an attempt, unless it must not be written any more.

        Called without the lock, some time after the attempt was assigned: its client may have left since, the
        attempt may have ended, or `deadline` (seconds, monotonic) may have passed.
        """
        stream = connection.stream
        parsed = request.parsed  # None if the request has its response.
        assert stream is not None
        now = self.port.current_time()
        is_current = connection.attempt is attempt and parsed is not None and now < deadline
        if not is_current or request.client_has_left():
            self.port.run(now, self.on_not_written, connection, attempt, request)
            return
        assert parsed is not None
        connection.is_request_queued = True
        stream.enqueue(parsed.encode_for_server(connection.deadline - now))
        stream.flush()

    # Events from a connection's thread, under the lock

    def on_connected(self, connection: UpstreamConnection) -> None:
        """Send the attempt of a new connection, unless the attempt ended or must not be sent any more."""
        stream = connection.stream
        attempt = connection.attempt
        assert stream is not None
        if connection.close_reason or attempt is None:  # Cancelled while connecting.
            stream.abort(connection.close_reason or CloseReason.CANCELLED)
        elif not self._is_current(connection):  # Its server drained, left or moved while it was connecting.
            self._discard(connection, CloseReason.SERVER_DRAINING)
            self.port.end_attempt(attempt, Outcome.NOT_SENT)
        elif self.port.now >= self._write_deadline(connection, attempt):
            self._release(connection, attempt)
            self.port.end_attempt(attempt, Outcome.NOT_SENT)
        else:
            self._write_attempt(connection, attempt)

    def on_readable(self, connection: UpstreamConnection) -> None:
        """Read received bytes: the response to the attempt, or else a protocol error."""
        stream = connection.stream
        attempt = connection.attempt
        assert stream is not None
        try:
            if connection.close_reason or not self._read_available(connection, stream):
                return
            if attempt is None:
                self._adapt_settle_time(self.port.now - connection.idle_since)
                self._discard(connection, CloseReason.PROTOCOL_ERROR)
                return
            # Only the first value is read: an attempt has one response.
            for value in connection.reader.feed(stream.inbound):
                self._count_partial(connection, 0)
                self._on_response(connection, stream, attempt, ServerResponse(value))
                return
            # A partly received value is counted with its full size, as the rest may arrive at any time.
            held_bytes = len(connection.reader.partial_value) + stream.inbound.next_storage_bytes()
            self._count_partial(connection, held_bytes + connection.reader.parsed_bytes())
            if self.partial_bytes > self.settings.max_partial_bytes:
                raise MalformedError(
                    f"partly received responses: {self.partial_bytes} bytes on all server connections, "
                    f"limit {self.settings.max_partial_bytes}",
                    CloseReason.OVERSIZED,
                )
        except MalformedError as error:
            self._discard(connection, error.reason)
            if attempt:
                self.port.end_attempt(attempt, Outcome.ERROR)
        except OSError:
            pass  # The connection broke; its thread also detects that and reports it.

    def on_not_written(
        self, connection: UpstreamConnection, attempt: Attempt, request: ClientRequest
    ) -> None:
        """End an attempt of which nothing was written, and its request if the client has left."""
        if connection.attempt is not attempt:
            return
        self._release(connection, attempt)
        if request.client_has_left():
            request.response.connection.on_left()
            self.port.gateway.on_client_disconnected(request)
        self.port.end_attempt(attempt, Outcome.NOT_SENT)

    def on_disconnected(self, connection: UpstreamConnection) -> None:
        """Handle a connection that the server closed, that broke, or that could not be established.

        An attempt whose request was fully written may have been executed.
        """
        attempt = connection.attempt
        stream = connection.stream
        fully_written = stream is not None and connection.is_request_queued and stream.may_be_fully_written()
        self._remove(connection)
        if attempt:
            self.port.end_attempt(attempt, Outcome.RESET if fully_written else Outcome.CONNECT_FAILED)

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Stop counting a connection whose thread is about to end, and the bytes that it has received."""
        self._count_partial(connection, 0)
        self.open_connections -= 1

    # Helpers, under the lock

    def _take_idle(self, pool: ConnectionPool) -> UpstreamConnection | None:
        """Take the most recently used connection out of a pool; return None if none is usable.

        It is the one that the server is least likely to close soon. A connection is not reused within
        `settle_time` of its last response, because further bytes may still arrive. If bytes have arrived
        since that response, the connection is closed.
        """
        for connection in reversed(list(pool.idle)):
            assert connection.stream is not None
            if not connection.stream.is_idle():
                self._discard(connection, CloseReason.PROTOCOL_ERROR)
            elif self.port.now - connection.idle_since >= self.settle_time:
                del self.idle[connection]
                del pool.idle[connection]
                return connection
        return None

    def _adapt_settle_time(self, delay: float) -> None:
        """Wait longer before connections are reused, after bytes that came `delay` seconds behind a response.

        Servers here send second responses that late, and one that arrives while the next attempt is in flight
        can't be told from its response.
        """
        settle_time = min(SETTLE_MARGIN * delay, self.settings.max_settle_time)
        if delay < self.settings.max_settle_time and settle_time > self.settle_time:
            self.settle_time = settle_time

    def _assign_attempt(self, connection: UpstreamConnection, attempt: Attempt, deadline: float) -> None:
        """Assign an attempt to a connection."""
        connection.attempt = attempt
        connection.deadline = deadline
        connection.is_request_queued = False
        self.in_flight[attempt] = connection

    def _write_deadline(self, connection: UpstreamConnection, attempt: Attempt) -> float:
        """Return the time before which the attempt that is assigned to a connection has to be written."""
        return min(connection.deadline, self.port.gateway.write_deadline(attempt))

    def _write_attempt(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Write the attempt that is assigned to a connection.

        If the server's side does not take all of it in time, the connection is closed before the last byte.
        """
        deadline = self._write_deadline(connection, attempt)
        if deadline < connection.deadline:  # At its own deadline the attempt times out in any case.
            attempt_reference = ref(attempt)
            self.port.call_later(
                deadline - self.port.now, lambda: self._stop_writing(connection, attempt_reference())
            )
        request = cast(ClientRequest, attempt.request)
        self.port.defer(self.write_request, connection, attempt, request, deadline)

    def _stop_writing(self, connection: UpstreamConnection, attempt: Attempt | None) -> None:
        """Close a connection whose attempt is not fully written at its write deadline.

        The attempt ends in `on_disconnected`: only then is it certain whether its last byte was written.
        """
        stream = connection.stream
        is_current = attempt is not None and connection.attempt is attempt
        if not is_current or not connection.is_request_queued or stream is None:
            return  # Ended, or not to be written any more.
        if not stream.may_be_fully_written():
            self.port.defer(connection.close, CloseReason.CANCELLED)

    def _read_available(self, connection: UpstreamConnection, stream: Stream) -> int:
        """Read available bytes directly into the buffer that needs them; return the number of bytes."""
        buffer = connection.reader.value_buffer()
        if not len(buffer):
            return stream.read_available(connection.reader.bytes_wanted())
        length = stream.read_available_into(buffer)
        connection.reader.received += length
        return length

    def _count_partial(self, connection: UpstreamConnection, size: int) -> None:
        """Count the memory of the partly received response on a connection."""
        self.partial_bytes += size - connection.partial_bytes
        connection.partial_bytes = size

    def _on_response(
        self, connection: UpstreamConnection, stream: Stream, attempt: Attempt, response: ServerResponse
    ) -> None:
        """End an attempt with its response.

        The connection is kept only if no bytes followed the response, as a later attempt would get them.
        """
        is_written = connection.is_request_queued and stream.may_be_fully_written()
        if not response.is_well_formed or len(stream.inbound) or not is_written:
            self._discard(connection, CloseReason.PROTOCOL_ERROR)
        else:
            self._release(connection, attempt)
        connection.response_count += 1
        if response.value is not None:
            outcome = Outcome.OK
        elif response.is_rejected:
            outcome = Outcome.BUSY
        else:
            outcome = Outcome.ERROR
        self.port.end_attempt(attempt, outcome, response)

    def _is_current(self, connection: UpstreamConnection) -> bool:
        """Return whether a connection's server is ready, and still at the address of the connection."""
        is_ready = connection.server.state is ServerState.READY
        return is_ready and self.pools.get(connection.server.id) is connection.pool

    def _release(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Return a connection to its pool, or close it if it is not current any more."""
        del self.in_flight[attempt]
        connection.attempt = None
        connection.idle_since = self.port.now
        if not self._is_current(connection):
            self._discard(connection, CloseReason.SERVER_DRAINING)
        else:
            self.idle[connection] = None
            connection.pool.idle[connection] = None

    def _discard(self, connection: UpstreamConnection, reason: CloseReason) -> None:
        """Remove a connection, and close it once the lock is released."""
        connection.close_reason = connection.close_reason or reason
        self._remove(connection)
        self.port.defer(connection.close, reason)

    def _remove(self, connection: UpstreamConnection) -> None:
        """Remove a connection from the pool and the attempts in flight, so that nothing is sent on it."""
        self.idle.pop(connection, None)
        connection.pool.idle.pop(connection, None)
        if connection.attempt:
            self.in_flight.pop(connection.attempt, None)
            connection.attempt = None
