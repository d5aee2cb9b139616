"""Tests that connections count until their threads have ended, not only until their sockets are closed."""

import contextlib
import json
import socket
import threading
import time
from types import SimpleNamespace

import pytest

from brookhub.model import Attempt, Customer, Request
from brookhub.program import limits
from brookhub.routing.client_connection import ClientConnection
from brookhub.routing.clients import MEMORY_OVERRUN, Clients
from brookhub.routing.port import SocketGatewayPort
from brookhub.routing.upstreams import ConnectionPool, UpstreamConnection, UpstreamConnections
from brookhub.site import Plan, Route
from brookhub.transport.connection_slots import ConnectionSlots
from brookhub.transport.sockets import Listener
from gateway_harness import DEFAULT_SETTINGS
from routing_harness import LIMITS, UPSTREAM_SETTINGS, RecordingGateway, make_server
from waiting import until

BAD_CLIENTS = 60
RECONNECT_PAUSE = 0.002  # Seconds.


class BlockedLog:
    """A log of closed connections whose calls wait until `unblock`."""

    def __init__(self) -> None:
        self.unblocked = threading.Event()
        self.waiting = 0  # Number of calls so far.

    def __call__(self, *_) -> None:
        self.waiting += 1
        self.unblocked.wait(10)


def test_listener_accepts_only_as_many_connections_as_there_are_slots():
    accepted, slots, listener = [], ConnectionSlots(3), Listener(("127.0.0.1", 0))
    threading.Thread(target=listener.accept_until_closed, args=(accepted.append, slots), daemon=True).start()
    clients = [socket.create_connection(listener.sock.getsockname()) for _ in range(5)]
    assert until(lambda: len(accepted) == 3)
    time.sleep(0.6)  # Longer than the listener's wait for a slot.
    assert len(accepted) == 3
    slots.release()
    assert until(lambda: len(accepted) == 4)
    for _ in range(4):
        slots.release()
    listener.close(1.0)
    assert until(listener.stopped.is_set)
    for sock in (*accepted, *clients):
        sock.close()


def test_client_connection_keeps_its_slot_until_its_close_is_logged():
    errors, log = [], BlockedLog()
    port = SocketGatewayPort(errors.append, 0.0)
    port.gateway = RecordingGateway()
    clients = Clients(port, log, DEFAULT_SETTINGS, lambda: True, LIMITS)
    ours, theirs = socket.socketpair()
    assert clients.slots.acquire(0)
    connection = ClientConnection(clients, ours)
    port.run(port.now, clients.admit, connection)
    theirs.close()
    assert until(lambda: log.waiting)
    taken = [clients.slots.acquire(0) for _ in range(clients.slots.count)]
    assert taken.count(True) == clients.slots.count - 1 and not clients.connections
    log.unblocked.set()
    assert clients.slots.acquire(5) and errors == []


def test_server_connection_counts_until_its_close_is_logged():
    errors, log = [], BlockedLog()
    port = SocketGatewayPort(errors.append, 0.0)
    port.gateway = RecordingGateway()
    upstreams = port.upstreams = UpstreamConnections(port, log, UPSTREAM_SETTINGS)
    with socket.create_server(("127.0.0.1", 0)) as closed:
        address = closed.getsockname()
    server = make_server(port)
    request = Request(1, Customer(7, Plan("wide")), Route("look", 1.0, 2.0), port.now + 2.0)
    attempt = Attempt(request, server, 0, port.now)
    connection = UpstreamConnection(upstreams, ConnectionPool(address), server, attempt)
    upstreams.open_connections += 1
    upstreams.start(connection)  # The connection is refused.
    assert until(lambda: log.waiting) and upstreams.open_connections == 1
    log.unblocked.set()
    assert until(lambda: upstreams.open_connections == 0) and errors == []


@pytest.mark.parametrize("memory_mb", [32, 48, 96, 192])
def test_connections_and_data_together_fit_into_the_memory(memory_mb):
    start = SimpleNamespace(
        memory_bytes=memory_mb * 1024 * 1024,
        max_descriptors=1024,
        max_open_requests=20_000,
        connect_timeout=0.25,
        server_idle_timeout=15.0,
    )
    clients, upstreams = limits.client_limits(start), limits.upstream_settings(start)
    connections = clients.max_connections + clients.spare_connections + upstreams.max_connections
    data = MEMORY_OVERRUN * clients.max_unread_bytes + clients.max_input_bytes + upstreams.max_partial_bytes
    data += limits.max_accounts(start) * limits.ACCOUNT_BYTES
    total = limits.PROCESS_BYTES + connections * limits.CONNECTION_BYTES + data
    assert total <= start.memory_bytes
    assert clients.max_connections >= 128


def play_bad_client(program, stopped):
    """Send half a command and wait to be closed, again and again."""
    while not stopped.is_set():
        with contextlib.suppress(OSError), program.dial() as connection:
            connection.sendall(b"*4\r\n$8\r\nCALL")
            connection.recv(10)
        time.sleep(RECONNECT_PAUSE)


def test_threads_do_not_pile_up_while_connections_are_evicted_faster_than_threads_end(started):
    program = started(limits={"memory_mb": 96, "sockets": 60})
    stopped = threading.Event()
    flood = [threading.Thread(target=play_bad_client, args=(program, stopped)) for _ in range(BAD_CLIENTS)]
    for thread in flood:
        thread.start()
    peak = 0
    for _ in range(150):
        peak = max(peak, program.status("Threads"))
        time.sleep(0.02)
    stopped.set()
    for thread in flood:
        thread.join()
    evicted = sum(
        json.loads(line).get("reason") == "evicted" for line in program.log_path.read_text().splitlines()
    )
    assert evicted > 60 and peak <= 60
