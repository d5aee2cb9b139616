"""Tests of connections, requests and processes that end at the worst moments, over real connections.

Each pending request gets its response, and no response reaches anyone else.
"""

import contextlib
import fcntl
import itertools
import os
import random
import select
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from brookhub.fakes import FakeListener, FakeServer, host, read_value
from brookhub.program.log import MAX_QUEUED_LINES, LineWriter
from brookhub.protocol import http
from brookhub.protocol.errors import MalformedError
from brookhub.protocol.json_documents import JsonObjectReader
from brookhub.routing import connections
from brookhub.routing.connections import Reconnector, ReconnectSettings
from brookhub.routing.port import SocketGatewayPort
from brookhub.transport import threads
from brookhub.transport.ring_buffer import RingBuffer
from brookhub.transport.sockets import Listener
from gateway_program import PORTS, Client, api_call, command
from waiting import until

RESET = struct.pack("ii", 1, 0)  # Value of SO_LINGER with which `close` sends RST.


# Discovery: lists of every form are read, and changes arrive in time however earlier calls ended.


@pytest.mark.parametrize(
    "form",
    [
        {"indent": 2},
        {"indent": 2, "cut": True},
        {"cut": True},
        {"chunked": False},
        {"chunked": False, "indent": 1},
    ],
)
def test_server_list_and_its_changes_are_read_in_every_form(started, form):
    # Guards against parsing each line as a whole list: the first line of an indented list then counted as
    # malformed and ended the watch.
    first_server, second_server = FakeServer(), FakeServer()
    program = started(servers=[first_server], start={"known": None}, discovery=form)
    try:
        with Client(program) as client:
            assert client.ask(api_call(1)) == b"ok" and len(first_server.requests) == 1
            program.discovery.push(
                host("s-0", first_server.address, "Terminating"), host("s-9", second_server.address)
            )
            assert until(lambda: client.ask(api_call(2)) == b"ok" and second_server.requests, 5)
        assert ("discovery", "protocol-error") not in program.closed_connections()
    finally:
        second_server.close()


def test_json_object_is_complete_once_its_brackets_outside_of_strings_are_closed():
    lines = [b"", b'{"seq": 1, "hosts": [', b'  {"host": "a}]{\\"["}', b"]", b"}", b"", b'{"seq": 2}']
    reader = JsonObjectReader()
    assert [text for text in map(reader.feed, lines) if text] == [b"\n".join(lines[1:5]), b'{"seq": 2}']


@pytest.mark.parametrize(
    "lines, reason",
    [
        ([b"[1]"], "protocol-error"),
        ([b"{ no JSON", b""], "protocol-error"),
        ([b'{"a": "b'], "protocol-error"),
        ([b"{"] + [b'"x": 1,' * 1000] * 200, "oversized"),
    ],
)
def test_lines_that_cannot_become_a_json_object_raise_malformed_error(lines, reason):
    reader = JsonObjectReader()
    with pytest.raises(MalformedError) as raised:
        for line in lines:
            reader.feed(line)
    assert raised.value.reason == reason


@pytest.mark.parametrize(
    "body, complete_lines, last_line",
    [(b'{"a":1}\n{"b"', [b'{"a":1}'], b'{"b"'), (b'{"a":1}\n', [b'{"a":1}'], b"")],
)
def test_http_body_without_a_length_lasts_until_the_connection_is_closed(body, complete_lines, last_line):
    reader, ring = http.HttpResponseReader(), RingBuffer(8192)
    ring.append(b"HTTP/1.1 200 OK\r\n\r\n" + body)
    assert (
        list(reader.feed(ring)) == complete_lines and not reader.is_complete and reader.on_eof() == last_line
    )


@pytest.mark.parametrize(
    "refusal",
    [
        b"HTTP/1.1 503 Busy\r\nRetry-After: 60\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 500 Down\r\n\r\n",
        b"",
    ],
)
def test_server_list_refused_at_first_is_received_within_six_seconds(started, refusal):
    # Guards against waits that are too long: a Retry-After of up to 60 s was obeyed, and the backoff grew to
    # 30 s when the list is polled.
    settings = {
        "membership_mode": "on_request",
        "balancers": 200,
        "invariants": {"must_ask_in_s": 10.0, "ramp_time_s": 1.0},
    }
    started_at = time.monotonic()
    program = started(start={"known": None}, discovery={"refusals": (refusal,)}, settings=settings)
    assert time.monotonic() - started_at < 6.0 + 1.0  # One second for the start of the process.
    with Client(program) as client:
        assert client.ask(api_call(1)) == b"ok"


@pytest.mark.parametrize(
    "duration, lists, retry_after, backoffs",
    [
        (4.5, 0, 0.0, (0.05, 1.0)),  # Successive watches that never receive anything.
        (4.5, 3, 0.0, (5.0, 20.0)),  # A connection that became silent when the list is polled.
        (2.0, 0, 60.0, (5.0, 20.0)),  # Rejected after waiting in a queue, with a Retry-After.
        (1.0, 0, 0.0, (5.0, 20.0)),
    ],
)
def test_discovery_is_reconnected_in_time_however_the_last_connection_ended(
    monkeypatch, duration, lists, retry_after, backoffs
):
    clock = [100.0]
    monkeypatch.setattr(connections, "monotonic", lambda: clock[0])
    monkeypatch.setattr(connections, "connect", lambda address, timeout: None)
    for seed in range(20):
        starts = connection_starts(clock, seed, duration, lists, retry_after, backoffs)
        gaps = [after - before for before, after in itertools.pairwise(starts)]
        assert len(gaps) == 7 and max(gaps) <= 5.3 and min(gaps) >= duration + 0.01
        # Random, so that gateways that lost discovery together do not reconnect together
        assert len({round(gap, 4) for gap in gaps}) == 7


def connection_starts(clock, seed, duration, lists, retry_after, backoffs):
    """Return the start times of eight successive connections of a reconnector.

    Times are in seconds on the simulated clock `clock[0]`. Each connection lasts `duration` seconds, receives
    `lists` lists and ends with a Retry-After of `retry_after` seconds.
    """
    starts = []
    reconnector = Reconnector(
        "discovery",
        ("127.0.0.1", 1),
        ReconnectSettings(1.0, *backoffs, max_silence=5.25),
        random.Random(seed).random,
        lambda *_: None,
        lambda error: None,
    )

    def serve(sock):
        starts.append(clock[0])
        clock[0] += duration
        reconnector.retry_after = retry_after
        if len(starts) == 8:
            reconnector.stopped.set()
        return "ended", lists

    def wait(seconds):
        clock[0] += seconds

    reconnector.stopped.wait = wait
    reconnector.run(serve)
    return starts


def test_starting_a_thread_is_retried_after_the_system_could_not(monkeypatch):
    # Guards against starting the thread only once: after a failure discovery was never watched.
    port, thread_started, failures = SocketGatewayPort(print, 0.001), threading.Event(), [True, True]
    threads.start_thread(port.run_timers)
    monkeypatch.setattr(connections, "THREAD_RETRY_PAUSE", 0.02)
    monkeypatch.setattr(
        connections,
        "start_thread",
        lambda work: not failures.pop() if failures else threads.start_thread(work),
    )
    connections.start_thread_with_retry(port, thread_started.set)
    assert thread_started.wait(2) and not failures


def test_closed_log_pipe_ends_no_watch_and_fails_no_request(started):
    # Guards against a failed write to the log ending the thread that logs: discovery was not watched again.
    first_server, second_server = FakeServer(), FakeServer()
    program = started(servers=[first_server])
    reader, writer = os.pipe()
    os.close(reader)
    try:
        with process_with_log(program, writer) as (port, process):
            program.discovery.hosts = [host("s-9", second_server.address)]
            program.discovery.reset_connections()
            assert (
                until(lambda: response_at(port) == b"ok" and second_server.requests, 6)
                and process.poll() is None
            )
    finally:
        second_server.close()


def test_log_pipe_that_is_not_read_keeps_no_connection_open(started):
    # Each connection logs its close, and holds its slot until it has logged.
    program = started(limits={"memory_mb": 96, "sockets": 60})
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    try:
        with process_with_log(program, writer) as (port, process):
            for _ in range(200):  # More than there are slots, and more lines than the pipe holds.
                socket.create_connection(("127.0.0.1", port), 5).close()
            assert until(lambda: response_at(port) == b"ok", 6) and process.poll() is None
            thread_count = len(os.listdir(f"/proc/{process.pid}/task"))
            assert thread_count < 30
    finally:
        os.close(reader)


def test_lines_are_written_whole_and_in_the_order_of_each_thread_and_dropped_when_too_many_wait():
    file = BlockedFile()
    log = LineWriter(file)
    first = threading.Thread(target=log.msg, args=("first",))
    first.start()
    assert until(lambda: file.is_waiting)
    for number in range(MAX_QUEUED_LINES + 5):
        log.msg(str(number))  # Does not wait for the blocked thread.
    assert log.dropped == 5 and not log.flush(0.01)
    file.unblocked.set()
    first.join(10)
    assert log.flush(5)
    assert "".join(file.texts).split() == ["first", *map(str, range(MAX_QUEUED_LINES))]


class BlockedFile:
    """A file whose writes wait until `unblocked` is set."""

    def __init__(self):
        self.unblocked = threading.Event()
        self.is_waiting = False
        self.texts = []

    def write(self, text):
        self.is_waiting = True
        self.unblocked.wait(10)
        self.texts.append(text)

    def flush(self):
        pass


@contextlib.contextmanager
def process_with_log(program, log):
    """Run another process with the same start file on a port of its own; it logs to the descriptor `log`."""
    port = PORTS.draw()
    environment = {
        **os.environ,
        "NODE_CONFIG": str(program.log_path.parent / "config.json"),
        "NODE_LISTEN": f"127.0.0.1:{port}",
    }
    process = subprocess.Popen([sys.executable, "-m", "brookhub"], stderr=log, env=environment)
    os.close(log)
    try:
        assert until(lambda: response_at(port) == b"ok", 10)
        yield port, process
    finally:
        process.kill()
        process.wait()


def response_at(port):
    with (
        contextlib.suppress(OSError, ValueError),
        socket.create_connection(("127.0.0.1", port), 5) as sock,
        sock.makefile("rb") as lines,
    ):
        sock.sendall(api_call(random.randrange(10**6)))
        return read_value(lines)


# Clients: no attempt is started for a client that has left.


@pytest.mark.parametrize("ending", ["close", "reset", "half"])
def test_request_of_a_client_that_disconnected_before_it_was_read_is_not_forwarded(started, ending):
    # Guards against starting a request that is read together with the end of its connection. Such a request
    # was started, and cancelled an instant later.
    program = started(servers=[FakeServer([0.05] * 99)])
    with Client(program) as client:
        assert client.ask(api_call(1)) == b"%016x" % 1
        # The process is stopped, so that all of the following has arrived before it reads any of it.
        program.process.send_signal(signal.SIGSTOP)
        with program.dial() as sock:
            sock.sendall(b"".join(api_call(number) for number in range(10, 16)))
            if ending == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            if ending == "half":
                sock.shutdown(socket.SHUT_WR)
            else:
                sock.close()
            program.process.send_signal(signal.SIGCONT)
            assert client.ask(api_call(2)) == b"%016x" % 2
            time.sleep(0.3)
    assert [words[2] for words in program.servers[0].requests] == [b"%016x" % 1, b"%016x" % 2]


def test_request_of_a_client_that_disconnects_between_two_attempts_is_not_retried(started):
    program = started(servers=[FakeServer(["silent"] * 9), FakeServer(["silent"] * 9)])
    with Client(program) as client:
        client.sock.sendall(api_call(1))
        assert until(lambda: sum(len(server.requests) for server in program.servers) == 1)
    time.sleep(0.8)  # The next attempt would start at half the latency target, 0.5 s.
    assert sum(len(server.requests) for server in program.servers) == 1


# Attempts: written bytes show whether an attempt may have run, even if its connection is established late.


class LateListener:
    """Server whose connections are not established until `open` is called, as its backlog is full."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.address = "%s:%d" % self.sock.getsockname()
        self.fillers = []
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.sock.getsockname())
            self.fillers.append(filler)
        self.accepted = []

    def open(self, seconds):
        """Accept connections for `seconds`; return the bytes received on them."""
        filler_addresses = {filler.getsockname() for filler in self.fillers}
        self.sock.settimeout(0.1)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(TimeoutError):
                conn, peer = self.sock.accept()
                if peer not in filler_addresses:
                    conn.setblocking(False)
                    self.accepted.append(conn)
        return b"".join(filter(None, map(received_bytes, self.accepted)))

    def close(self):
        for sock in (self.sock, *self.fillers, *self.accepted):
            sock.close()


def received_bytes(conn):
    with contextlib.suppress(OSError):
        return conn.recv(65536)
    return b""


def test_connection_established_too_late_carries_nothing_and_its_request_runs_once_elsewhere(started):
    late_server, good_server = LateListener(), FakeServer()
    program = started(servers=[late_server, good_server])
    with Client(program) as client:
        assert [client.ask(api_call(number, "once")) for number in range(8)] == [b"ok"] * 8
    assert until(lambda: ("server", "connect-failed") in program.closed_connections(), 1.5)
    assert (
        late_server.open(1.5) == b""
        and len(good_server.requests) == len({words[2] for words in good_server.requests}) == 8
    )


def test_request_of_a_client_that_disconnects_while_the_server_is_connecting_is_not_sent(started):
    limits = {
        "max_attempts": 3,
        "cancel": True,
        "open_cap": 100,
        "conn_idle_s": 15.0,
        "connect_timeout_s": 5.0,
    }
    late_server = LateListener()
    program = started(servers=[late_server], settings={"limits": limits})
    with Client(program) as client:
        client.sock.sendall(api_call(1))
        time.sleep(0.2)
    assert until(lambda: ("client", "client-closed") in program.closed_connections())
    # The connection was established but not used
    assert late_server.open(3.0) == b"" and late_server.accepted


def test_response_that_never_ends_fails_its_request_at_the_deadline_and_closes_its_connection(started):
    program = started(servers=[FakeServer([b"*3\r\n$10\r\nha"])])
    with Client(program) as client:
        started_at = time.monotonic()
        assert client.ask(api_call(1, "once", timeout_ms=500)) == b"-ERR failed"
        assert 0.45 < time.monotonic() - started_at < 1.5 and until(
            lambda: not program.servers[0].connections
        )
        assert client.ask(api_call(2, "once")) == b"ok"


class LateSecondResponse(FakeListener):
    """Server that sends its response to each request twice, the second time after DELAY_S seconds.

    The second response is sent sooner if the next request arrives earlier.
    """

    DELAY_S = 0.006

    def serve(self, conn, lines):
        while True:
            request_id = read_value(lines)[2]
            response = b"*3\r\n$%d\r\n%b\r\n$6\r\ncost=1\r\n$-1\r\n" % (len(request_id), request_id)
            conn.sendall(response)
            select.select([conn], [], [], self.DELAY_S)
            conn.sendall(response)


def test_second_response_some_milliseconds_late_does_not_reach_another_request(started):
    # Guards against reusing a connection too early: it was reused 3 ms after a response, but second responses
    # arrived up to 3.8 ms late in the operators' runs.
    program = started(servers=[LateSecondResponse()])
    with Client(program) as client:
        for number in range(1, 21):
            assert client.ask(api_call(number)) == b"%016x" % number
            time.sleep(0.004)
    assert until(lambda: ("server", "protocol-error") in program.closed_connections(), 1.5)


def test_second_attempt_sends_its_server_only_the_time_left(started):
    servers = [FakeServer(["silent"] * 9), FakeServer(["silent"] * 9)]
    program = started(servers=servers)
    with Client(program) as client:
        client.sock.sendall(api_call(1, timeout_ms=1900))
        assert until(lambda: sum(len(server.requests) for server in servers) == 2, 5)
        assert read_value(client.lines) == b"-ERR failed"
    sent_times_left_ms = sorted(
        int(next(field for field in words[3].split(b",") if field.startswith(b"d="))[2:])
        for server in servers
        for words in server.requests
    )
    # The second started after half the latency target, 0.5 s
    assert sent_times_left_ms[1] > 1850 and sent_times_left_ms[0] <= 1900 - 450


# Draining: accepted requests get one response, and requests read after the shutdown are not forwarded.


def test_further_signals_while_draining_change_nothing(started):
    program = started(servers=[FakeServer([1.2])])
    with Client(program) as client:
        client.sock.sendall(api_call(1))
        assert until(lambda: program.servers[0].requests)
        for sent_signal in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            program.process.send_signal(sent_signal)
            time.sleep(0.1)
        assert read_value(client.lines) == b"%016x" % 1 and client.lines.read() == b""
    assert program.process.wait(5) == 0 and program.log_path.read_text().count('"stopping"') == 1


def test_request_partly_read_at_shutdown_is_neither_forwarded_nor_answered_twice(started):
    program = started()
    complete_request = api_call(5)
    with Client(program) as partial_client:
        partial_client.sock.sendall(complete_request[:60])
        time.sleep(0.1)
        program.process.send_signal(signal.SIGTERM)
        read_response = partial_client.lines.read  # The connection ends between two requests.
        assert read_response() == b""
        with contextlib.suppress(OSError):
            partial_client.sock.sendall(complete_request[60:])
    assert program.process.wait(5) == 0 and program.servers[0].requests == []


def test_client_that_keeps_sending_while_draining_gets_one_response_each_in_order(started):
    program = started(servers=[FakeServer([0.01] * 9999)])
    request_count, response_chunks = 0, []
    with Client(program) as client:
        client.sock.settimeout(0.005)
        signalled_at = time.monotonic()
        program.process.send_signal(signal.SIGTERM)
        with contextlib.suppress(ConnectionError):
            while time.monotonic() - signalled_at < 4.0:  # There is always a request in flight.
                client.sock.sendall(api_call(request_count))
                request_count += 1
                with contextlib.suppress(TimeoutError):
                    while data := client.sock.recv(65536):
                        response_chunks.append(data)
                    break
    assert program.process.wait(5) == 0
    responses = b"".join(response_chunks)
    response_count = responses.count(b"$16\r\n") + sum(
        responses.count(b"-" + word) for word in (b"BUSY", b"ERR")
    )
    forwarded_ids = [words[2] for words in program.servers[0].requests]
    assert (
        len(forwarded_ids) == len(set(forwarded_ids))
        and len(forwarded_ids) <= response_count <= request_count
    )


def test_connections_in_the_backlog_at_shutdown_are_answered(started):
    program = started()
    program.process.send_signal(signal.SIGSTOP)
    with Client(program) as client:
        client.sock.sendall(api_call(3))
        program.process.send_signal(signal.SIGTERM)
        program.process.send_signal(signal.SIGCONT)
        assert read_value(client.lines) == b"ok" and client.lines.read() == b""
    assert program.process.wait(5) == 0


def test_draining_while_discovery_is_down_ends_in_time(started):
    program = started(servers=[FakeServer([0.3])])
    program.discovery.close()
    with Client(program) as client:
        client.sock.sendall(api_call(1))
        assert until(lambda: program.servers[0].requests)
        signalled_at = time.monotonic()
        program.process.send_signal(signal.SIGTERM)
        assert read_value(client.lines) == b"%016x" % 1
    assert program.process.wait(5) == 0 and time.monotonic() - signalled_at < 2.7


# Restarts and sockets


def test_thirty_processes_started_at_once_on_two_cores_are_ready_in_time(started, tmp_path):
    cores = sorted(os.sched_getaffinity(0))
    os.sched_setaffinity(0, cores[:2])  # Child processes inherit the affinity.
    started_at, ready_times = time.monotonic(), []
    try:
        # `started` waits until its process is ready, so the processes are started concurrently
        with ThreadPoolExecutor(30) as pool:
            for _ in pool.map(
                lambda folder: started(folder=folder), [tmp_path / f"n{index}" for index in range(30)]
            ):
                ready_times.append(time.monotonic() - started_at)
    finally:
        os.sched_setaffinity(0, cores)
    assert sorted(ready_times)[26] < 10.0


def test_small_responses_are_not_delayed_by_the_system():
    listener = Listener(("127.0.0.1", 0))
    with socket.create_connection(listener.sock.getsockname()), listener.sock.accept()[0] as accepted:
        assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    listener.sock.close()


# Descriptors: clients cannot use up those reserved for discovery, the counter and servers.


def test_clients_cannot_use_up_the_descriptors_reserved_for_discovery(started):
    program = started(limits={"memory_mb": 192, "sockets": 128})
    program.discovery.close()
    with contextlib.ExitStack() as open_clients:
        for _ in range(160):
            with contextlib.suppress(OSError):
                open_clients.enter_context(contextlib.closing(program.dial())).sendall(command(b"PING"))
        assert until(lambda: program.descriptor_count() > 70)
        program.discovery.listen(program.discovery.endpoint)
        assert until(lambda: program.discovery.connections, 6)
        assert until(lambda: response_on_new_connection(program) == b"ok", 5)
        assert program.descriptor_count() < 128


def response_on_new_connection(program):
    """Return the response to one request on a new connection, or None if the connection was refused."""
    with contextlib.suppress(OSError, ValueError), Client(program) as client:
        return client.ask(api_call(random.randrange(10**6)))
