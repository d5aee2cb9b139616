"""All client connections: which are accepted, evicted and closed, and how many requests may be open."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from time import monotonic

from ..protocol import request_codec, resp
from ..protocol.request_codec import ParsedRequest
from ..registry import CustomerRegistry
from ..site import GatewaySettings
from ..transport.close_reason import CloseReason
from ..transport.connection_slots import ConnectionSlots
from ..transport.fair_lock import Flow
from ..transport.sockets import set_blocking_timeouts
from ..transport.threads import start_thread
from .client_connection import MAX_RESPONSE_DELAY, ClientConnection
from .client_request import REQUEST_OBJECT_BYTES, ClientRequest, PendingResponse
from .client_table import ClientTable, OrderedConnections
from .connections import ConnectionLog
from .input_memory import InputMemory
from .port import SocketGatewayPort
from .request_decoder import RequestDecoder
from .request_ids import RequestIds
from .suspension import SuspensionDetector

MAX_REQUESTS_FAILED_PER_EVENT = 32
CHECKS_PER_TIMEOUT = 8  # Number of checks for stale connections during one `first_request_timeout`.
# Multiple of `max_unread_bytes` above which clients that do not read their responses are disconnected, and
# further responses that cannot be written at once are replaced by failures.
MEMORY_OVERRUN = 1.5
# Seconds without progress after which a client may be disconnected to free memory: the kernel's buffers are
# full for a shorter time when a client that reads gets large responses.
MIN_BLOCKED_TIME = 0.25


@dataclass(frozen=True)
class ClientLimits:
    """Limits on the resources that clients may use. Times in seconds."""

    max_connections: int
    spare_connections: int  # Additional connections whose threads have not ended yet.
    max_open_requests: int
    max_unread_bytes_per_client: int  # Limit of the responses behind the one that a client does not read.
    max_unread_bytes: int  # Maximum size of all responses and open requests of all clients.
    max_input_bytes: int  # Maximum size of the partly received commands of all clients.
    write_timeout: float  # Maximum time for which a client may leave its responses unread.
    slow_reader_timeout: float  # Maximum time without progress above `max_unread_bytes_per_client`.
    linger_time: float  # Time between the graceful shutdown of a connection and its abort.
    first_request_timeout: float  # Maximum time from accept to the first complete command.
    idle_timeout: float  # Maximum time without an open request.


@dataclass
class ClientUsage:
    """Memory used by the requests of all clients. Guarded by the event loop's lock."""

    request_bytes: int = 0  # Total size of the open requests.
    response_bytes: int = 0  # Total size of the responses that are not yet passed to a stream.


class Clients:
    """All connections of clients. Implements `client_connection.ClientConnectionOwner`.

    All methods except `on_accepted`, `start`, `is_response_memory_used_up` and `_refuse` are called under the
    event loop's lock, which guards all fields; the settings, `decoder` and the callbacks never change, and
    `slots` and `input_memory` are thread-safe.
    """

    def __init__(
        self,
        port: SocketGatewayPort,
        log_closed: ConnectionLog,
        settings: GatewaySettings,
        is_ready: Callable[[], bool],
        limits: ClientLimits,
    ) -> None:
        """Create the collection without connections.

        `is_ready` returns whether this gateway can serve requests; `log_closed` is called without the lock.
        """
        self.loop = port
        self.log_closed = log_closed
        self.is_ready = is_ready
        self.limits = limits
        self.decoder = RequestDecoder(settings)
        self.table = ClientTable()
        self.usage = ClientUsage()
        self.request_ids = RequestIds()
        self.input_memory = InputMemory(limits.max_input_bytes)
        self.slots = ConnectionSlots(limits.max_connections + limits.spare_connections)
        self._customers = CustomerRegistry()
        self._accept_flow = Flow(is_urgent=True)
        self._check_interval = limits.first_request_timeout / CHECKS_PER_TIMEOUT
        self._suspension = SuspensionDetector(
            self._check_interval, first_check_by=port.now + limits.first_request_timeout
        )
        self._is_shutting_down = False  # Idle connections are neither evicted nor closed for their age.
        self._is_draining = False  # Each connection is closed once it has no open request.

    @property
    def connections(self) -> OrderedConnections:
        """All open connections, from the least to the most recently accepted."""
        return self.table.connections

    # Accepting and closing connections

    def on_accepted(self, sock: socket.socket) -> None:
        """Create a connection for an accepted socket, which holds one of the `slots`.

        Called by the listener's thread without the lock.
        """
        try:
            set_blocking_timeouts(sock, writing=self.limits.write_timeout)
        except OSError:
            sock.close()
            self.slots.release()
            return
        connection = ClientConnection(self, sock)
        self.loop.run_in_turn(self._accept_flow, self.admit, connection)

    def admit(self, connection: ClientConnection) -> None:
        """Admit a new connection; at the limit, evict another one for it or else refuse it."""
        if len(self.connections) >= self.limits.max_connections and not self._evict():
            self.loop.defer(self._refuse, connection)
            return
        self.check_suspension()
        if self.loop.now - self._suspension.last_ended_at < MAX_RESPONSE_DELAY:
            # The client may have connected and sent its request during the suspension.
            connection.suspension_delay = connection.stream.oldest_unread_age(self._suspension.last_duration)
        self.table.add_connection(connection, self.loop.now)
        self.loop.defer(self.start, connection)

    def _evict(self) -> bool:
        """Close a connection to admit a new one; return False if none may be closed."""
        evictable = self.table.find_evictable(self.loop.now, self._check_interval, self._is_shutting_down)
        if evictable is None:
            return False
        self.disconnect(evictable, CloseReason.EVICTED)
        return True

    def _refuse(self, connection: ClientConnection) -> None:
        """Close a connection that was not admitted. Called without the lock."""
        connection.stream.close()
        self.log_closed("client", CloseReason.CONNECTION_LIMIT, None, 0.0, 0)
        self.slots.release()

    def start(self, connection: ClientConnection) -> None:
        """Start the thread of a connection. Called without the lock."""
        if not start_thread(connection.run):
            connection.stream.close()
            self.loop.run(monotonic(), connection.on_closed)
            self.log_closed("client", CloseReason.NO_THREAD, None, 0.0, 0)
            self.slots.release()

    def disconnect(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Close a connection at once; its client is expected to send further commands on another one."""
        connection.is_closing = True
        self.usage.response_bytes -= connection.discard_responses()
        self.table.remove_connection(connection)
        self.loop.defer(connection.stream.abort, reason)
        self.loop.defer(connection.input.stop_waiting)

    def _shutdown_gracefully(self, connection: ClientConnection) -> None:
        """Close a connection without an open request; its client has `linger_time` to close it first."""
        connection.is_closing = True
        self.loop.defer(connection.stream.shutdown_gracefully, CloseReason.DRAINING)
        self.loop.call_later(
            self.limits.linger_time,
            lambda: self.loop.defer(connection.stream.abort, CloseReason.DRAINING),
        )

    def on_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection. The caller has its open requests finished afterwards."""
        self.table.remove_connection(connection)
        self._release_unwritten(connection)
        # Before the requests fail: responses to a closed connection are not counted, so they must not be
        # subtracted.
        self.usage.response_bytes -= connection.discard_responses()

    # Periodic checks

    def check_suspension(self) -> None:
        """Check whether this process was suspended; if so, set the `suspension_delay` of each connection.

        The delay is the time for which received bytes may have stayed unread. A request whose time ran out
        meanwhile is not handled, and its connection is closed. The time left of other requests is reduced by
        the delay (`ClientConnection.on_commands`).
        """
        if self._suspension.detect_suspension(self.loop.now):
            duration = self._suspension.last_duration
            for connection in self.table.connections:
                connection.suspension_delay = connection.stream.oldest_unread_age(duration)
            self.loop.defer(self.loop.log_suspension, duration)

    def close_stale_connections(self) -> None:
        """Close connections whose clients send or read too slowly, and idle ones. Reschedules itself."""
        self.check_suspension()
        self._suspension.record_check(self.loop.now)
        self.loop.call_later(self._check_interval, self.close_stale_connections)
        limits = self.limits
        self._close_older_than(
            limits.first_request_timeout, self.table.without_command, CloseReason.NO_REQUEST
        )
        if not self._is_shutting_down:
            self._close_older_than(limits.idle_timeout, self.table.idle, CloseReason.IDLE_TIMEOUT)
        for connection in list(self.table.write_blocked):
            if self._is_slow_reader(connection):
                self.disconnect(connection, CloseReason.SLOW_READER)

    def _close_older_than(self, timeout: float, connections: OrderedConnections, reason: CloseReason) -> None:
        now = self.loop.now
        while connections and now - next(iter(connections)).idle_since > timeout:
            connection = self.table.find_oldest(connections, now)
            if connection and now - connection.idle_since > timeout:
                self.disconnect(connection, reason)

    # Requests and responses

    def on_command(self, connection: ClientConnection) -> None:
        """Mark a connection as active: it is not evicted while it has an open request."""
        self.table.mark_active(connection)

    def handle_request(self, response: PendingResponse, parsed: ParsedRequest, delay: float) -> None:
        """Pass a request to the policy. It may have been unread for `delay` seconds."""
        if self.request_ids.is_taken(parsed.request_id, self.loop.now):
            response.complete(resp.encode_error("ERR the id is that of another open call"))
            return
        if parsed.time_left <= delay:
            response.complete(request_codec.encode_rejected(0.0))
            return
        if self._exceeds_request_limits(parsed):
            response.complete(request_codec.encode_rejected(0.0))
            return
        assert parsed.route_name is not None
        assert parsed.plan_name is not None
        route = self.decoder.routes[parsed.route_name]
        plan = self.decoder.plans[parsed.plan_name]
        request = ClientRequest(
            parsed.request_id,
            self._customers.find(parsed.customer_id, plan),
            route,
            self.loop.now + min(parsed.time_left, route.client_timeout) - delay,
            parsed.units,
            parsed.quota_holders,
            parsed.first_gateway,
            parsed.is_retry,
            parsed.is_write,
            parsed=parsed,
            response=response,
        )
        response.request = request
        self.request_ids.open.add(parsed.request_id)
        self.usage.request_bytes += parsed.size_bytes + REQUEST_OBJECT_BYTES
        self.loop.gateway.on_request(request)

    def _exceeds_request_limits(self, parsed: ParsedRequest) -> bool:
        if len(self.request_ids.open) >= self.limits.max_open_requests:
            return True
        used_bytes = self.usage.request_bytes + self.usage.response_bytes
        used_bytes += self.request_ids.held_bytes(self.loop.now)
        return used_bytes + parsed.size_bytes + REQUEST_OBJECT_BYTES > self.limits.max_unread_bytes

    def is_response_memory_used_up(self) -> bool:
        """Return whether no more responses should wait. Any thread may call this without the lock."""
        return self.usage.response_bytes > self.limits.max_unread_bytes

    def on_response_completed(self, response: PendingResponse, is_connected: bool) -> None:
        """Release a finished request's id and memory; its response takes memory until it is written."""
        request = response.request
        if request and request.parsed:
            may_run_until = self.loop.gateway.may_run_until(request)
            self.request_ids.finish(request.id, may_run_until, self.loop.now)
            self.usage.request_bytes -= request.parsed.size_bytes + REQUEST_OBJECT_BYTES
            request.parsed = None  # It is not sent any more, but the policy may keep the request.
        if is_connected:
            self.usage.response_bytes += response.size_bytes

    def on_response_grown(self, size: int) -> None:
        """Count `size` more bytes of a response that waits."""
        self.usage.response_bytes += size

    def on_response_written(self, response: PendingResponse) -> None:
        """Stop counting the memory of a response that was passed to its stream."""
        self.usage.response_bytes -= response.size_bytes

    def on_all_responses_written(self, connection: ClientConnection) -> None:
        """Mark a connection without an open request as idle, or close it if this gateway is draining."""
        if connection.is_closed or connection.is_closing or connection.input.may_have_commands:
            return
        if self._is_draining:
            self.on_input_handled(connection)
        else:
            self.table.mark_idle(connection, self.loop.now)

    def on_input_handled(self, connection: ClientConnection) -> None:
        """Close a connection without an open request if this gateway is draining.

        Not before all that has arrived on it is handled: a request that was read is answered.
        """
        if self._is_draining and not connection.is_closed and not connection.has_unhandled_input():
            self.table.mark_active(connection)
            self._shutdown_gracefully(connection)

    # Memory

    def on_input_memory_exhausted(self, connection: ClientConnection, size: int) -> None:
        """Close the connections whose commands have been partly received for longest, to free `size` bytes.

        Such a command is not accepted yet. Connections with open requests are not closed.
        """
        while size > 0:
            oldest = self.table.find_oldest_partial_command(other_than=connection)
            if oldest is None:
                break
            size -= oldest.input.reserved_bytes
            self.disconnect(oldest, CloseReason.MEMORY_LIMIT)

    def on_write_blocked(self, connection: ClientConnection, unwritten_bytes: int) -> None:
        """Record a connection whose client may not be reading, and count `unwritten_bytes` in its stream."""
        self.table.write_blocked[connection] = None
        if not connection.unwritten_bytes:
            connection.unwritten_bytes = unwritten_bytes
            self.usage.response_bytes += unwritten_bytes

    def on_write_resumed(self, connection: ClientConnection) -> None:
        """Record that a connection's stream was written."""
        self.table.write_blocked.pop(connection, None)
        self._release_unwritten(connection)

    def _release_unwritten(self, connection: ClientConnection) -> None:
        """Stop counting the bytes in a connection's stream."""
        self.usage.response_bytes -= connection.unwritten_bytes
        connection.unwritten_bytes = 0

    def _is_slow_reader(self, connection: ClientConnection) -> bool:
        """Return whether a client leaves more responses unread, and for longer, than its limits allow.

        Responses that wait for an earlier one do not count: the client cannot read them yet.
        """
        blocked_since = connection.stream.blocked_since
        if blocked_since is None or self.loop.now - blocked_since < self.limits.slow_reader_timeout:
            return False
        return connection.blocked_bytes() > self.limits.max_unread_bytes_per_client

    def on_response_waiting(self, response: PendingResponse) -> None:
        """Limit the memory of all responses, as this one waits for earlier ones or for its client.

        The clients that have read nothing for the longest time are disconnected. If that does not free enough
        memory, the response is replaced by a failure: its client is owed an answer, whatever others hold.
        """
        excess = self.usage.response_bytes - MEMORY_OVERRUN * self.limits.max_unread_bytes
        while excess > 0:
            connection = self.table.find_longest_blocked(self.loop.now - MIN_BLOCKED_TIME)
            if connection is None:
                break
            excess -= connection.pending_bytes() + connection.unwritten_bytes
            self.disconnect(connection, CloseReason.SLOW_READER)
        if excess > 0 and not response.is_partly_written and not response.is_reply:
            self.usage.response_bytes -= response.size_bytes
            response.replace(request_codec.ENCODED_FAILURE)
            self.usage.response_bytes += response.size_bytes

    # Graceful shutdown

    def begin_shutdown(self) -> None:
        """Stop closing idle connections: their clients might find no other gateway in time."""
        self._is_shutting_down = True

    def drain(self) -> None:
        """Close each connection once all commands received on it are answered."""
        self._is_draining = True
        for connection in list(self.table.iterate_without_open_request()):
            self.on_input_handled(connection)

    def fail_requests_of(self, connection: ClientConnection) -> bool:
        """Have the policy finish open requests of a connection; return whether some may remain.

        At most MAX_REQUESTS_FAILED_PER_EVENT are finished, so that no client sets the event's length.
        """
        unanswered = (response for response in connection.pending_responses if response.parts is None)
        some = list(islice(unanswered, MAX_REQUESTS_FAILED_PER_EVENT))
        for response in some:
            try:
                if response.request:
                    self.loop.gateway.on_client_disconnected(response.request)
            except Exception as error:  # The other requests still have to be finished.
                self.loop.defer(self.loop.report_error, error)
            response.complete(request_codec.ENCODED_FAILURE)  # Unless the policy has answered it.
        return len(some) == MAX_REQUESTS_FAILED_PER_EVENT

    def fail_open_requests(self) -> None:
        """Have the policy finish all open requests, because the program is about to exit.

        No further request is handled, because it could not be answered any more.
        """
        for connection in list(self.table.connections):
            connection.is_closing = True
            while self.fail_requests_of(connection):
                pass
            self.loop.defer(connection.stream.shutdown_gracefully, CloseReason.DRAINING)
