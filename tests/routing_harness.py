"""Fakes for tests of routing without sockets: streams and a gateway that record, and a simulated clock."""

from dataclasses import replace

from brookhub.model import Server
from brookhub.policy.repeat_safety import may_run_until, write_deadline
from brookhub.protocol import resp
from brookhub.routing.clients import ClientLimits, Clients
from brookhub.routing.upstreams import UpstreamSettings
from brookhub.site import Plan, Route
from brookhub.transport.ring_buffer import RingBuffer
from gateway_harness import DEFAULT_SETTINGS


class RecordingStream:
    """Fake stream that records the data enqueued, the bytes written and the reason it was closed."""

    def __init__(self) -> None:
        self.enqueued = []
        self.bytes_queued = 0
        self.bytes_maybe_written = self.bytes_written = 0
        self.close_reason = None
        self.is_full = False
        self.blocked_since = None
        self.inbound = RingBuffer(resp.BUFFER_BYTES)
        self.unread = b""
        self.is_peer_closed = False

    def enqueue_part(self, data):
        return len(data) if self.enqueue(bytes(data)) else 0

    def enqueue(self, data):
        if self.is_full:
            return False
        self.enqueued.append(data)
        self.bytes_queued += len(data)
        return True

    def flush(self):
        if not self.close_reason:
            self.bytes_maybe_written = self.bytes_written = self.bytes_queued

    def has_unwritten_bytes(self):
        return self.bytes_written < self.bytes_queued

    def has_unread_bytes(self):
        return bool(self.unread)

    def is_closed_by_peer(self):
        return self.is_peer_closed

    def may_be_fully_written(self):
        return self.bytes_maybe_written >= self.bytes_queued

    def abort(self, reason):
        self.close_reason = self.close_reason or reason

    def shutdown_gracefully(self, reason):
        self.close_reason = self.close_reason or reason

    def is_idle(self):
        return not self.unread

    def read_available(self, wanted):
        data, self.unread = self.unread, b""
        return self.inbound.append(data)


class RecordingGateway:
    """Fake gateway that records the events that it receives."""

    def __init__(self) -> None:
        self.ended_attempts, self.server_updates = [], []

    def on_attempt_ended(self, attempt, duration, answered, charged_units, used_units, load_report):
        self.ended_attempts.append((attempt, attempt.outcome, answered))

    def write_deadline(self, attempt):
        return write_deadline(attempt)

    def may_run_until(self, request):
        return may_run_until(request)

    def on_servers_updated(self, servers):
        self.server_updates.append([(server.id, server.state) for server in servers])


LIMITS = ClientLimits(
    max_connections=9,
    spare_connections=1,
    max_open_requests=9,
    max_unread_bytes_per_client=9999,
    max_unread_bytes=9999,
    max_input_bytes=99_999,
    write_timeout=9.0,
    slow_reader_timeout=2.0,
    linger_time=1.0,
    first_request_timeout=2.0,
    idle_timeout=4.0,
)


def clients_of_one_route(port):
    settings = replace(DEFAULT_SETTINGS, routes=(Route("look", 1.0, 2.0),), plans=(Plan("wide"),), gateways=1)
    return Clients(port, lambda *_: None, settings, lambda: True, LIMITS)


def run_event(port, event, *arguments, after=0.0):
    port.run(port.now + after, event, *arguments)


def advance(port, seconds):
    """Advance the clock, and run the timers that are due as the timer thread would."""
    end = port.now + seconds
    while (due_at := port.timers.next_due_at()) <= end:
        port.run(due_at, port.timers.pop_next())
    port.now = end


def command_words(request_id, fields=b"c=look,t=wide,d=2000,units=1,spread=1,first=0"):
    return [b"CALL.GET", b"%016x" % 7, b"%016x" % request_id, fields]


UPSTREAM_SETTINGS = UpstreamSettings(
    connect_timeout=0.25,
    idle_timeout=5.0,
    settle_time=0.003,
    max_settle_time=0.05,
    max_connections=3,
    max_value_bytes=300_000,
    max_partial_bytes=500_000,
)


def make_server(port, server_id=1):
    server = Server(server_id)
    port.upstreams.update_address(server, ("127.0.0.1", server_id))
    return server


def connect(port, connection):
    connection.stream = RecordingStream()
    run_event(port, port.upstreams.on_connected, connection)
    return connection.stream


def start_attempts(port, *requests):
    attempts = []
    run_event(
        port,
        lambda: attempts.extend(port.start_attempt(request, server, 0.0) for request, server in requests),
    )
    return attempts


def outcomes(port):
    return [outcome for _, outcome, _ in port.gateway.ended_attempts]
