"""A connection as two byte buffers: one thread reads it, and writing to it never blocks its caller."""

from __future__ import annotations

import contextlib
import socket
import sys
from collections.abc import Callable
from threading import Lock

from .close_reason import CloseReason
from .ring_buffer import RingBuffer
from .threads import start_thread

# Where Linux' struct tcp_info has the ms since the last bytes were received (tcpi_last_data_recv, 32 bits)
TCP_INFO_LAST_RECEIVE_OFFSET = 52
TCP_INFO_LAST_RECEIVE_END = TCP_INFO_LAST_RECEIVE_OFFSET + 4

# The most bytes to wait for at a time: well within what the system buffers for a connection. Nothing is ever
# written there, as MSG_PEEK with MSG_TRUNC only counts the bytes.
PEEK_BUFFER = bytearray(16 * 1024)
PEEK_NOW = socket.MSG_PEEK | socket.MSG_DONTWAIT
WAIT_AND_COUNT = socket.MSG_PEEK | socket.MSG_TRUNC | socket.MSG_WAITALL


class Stream:
    """A connected socket with a ring buffer for each direction.

    Reading (`inbound`, `read`, `read_available`, ...) belongs to one thread, or to the holder of its owner's
    lock. Any thread may `enqueue`, which only copies to memory, and then `flush`, which writes what the
    system takes at once; the rest is written by a thread that lives as long as that needs.

    `lock` guards `outbound`, `bytes_queued`, `close_reason`, `shutdown_reason` and `is_flushing`; only the
    thread that has set `is_flushing` changes `bytes_maybe_written` and `bytes_written`. The counts and
    reasons may be read without the lock. `sock` is closed by the owner of the stream, by `close`.
    """

    __slots__ = (
        "sock",
        "lock",
        "inbound",
        "outbound",
        "on_drained",
        "is_flushing",
        "close_reason",
        "shutdown_reason",
        "bytes_queued",
        "bytes_maybe_written",
        "bytes_written",
    )

    def __init__(
        self, sock: socket.socket, buffer_bytes: int, on_drained: Callable[[], object] | None = None
    ) -> None:
        """`on_drained` is called without the lock by a flush that has written all that was queued."""
        self.sock = sock
        self.lock = Lock()
        self.inbound = RingBuffer(buffer_bytes)
        self.outbound = RingBuffer(buffer_bytes)
        self.on_drained = on_drained
        self.is_flushing = False  # a thread writes, also what is queued meanwhile
        self.close_reason: CloseReason | None = None  # set by the first `abort`
        self.shutdown_reason: CloseReason | None = None  # set by the first `shutdown_gracefully`
        self.bytes_queued = 0
        self.bytes_maybe_written = 0  # the system may have taken them
        self.bytes_written = 0  # the system has taken them

    # Reading

    def read(self, flags: int = 0, wanted: int = 0) -> bool:
        """Wait for bytes and read them to `inbound`; False at the end. Raises OSError where it broke."""
        with self.inbound.writable_view(wanted) as view:
            length = self.sock.recv_into(view, 0, flags)
        self.inbound.commit_write(length)
        return length > 0

    def read_available(self, wanted: int) -> bool:
        """Read to `inbound` what has come, at most `wanted` bytes where that is little; False at the end.

        Raises BlockingIOError where nothing has come, OSError where the connection broke.
        """
        return self.read(socket.MSG_DONTWAIT, wanted)

    def read_available_into(self, view: memoryview) -> int:
        """Read to a view what has come; returns how many bytes. Raises like `read_available`."""
        return self.sock.recv_into(view, 0, socket.MSG_DONTWAIT)

    def wait_for_bytes(self, wanted: int = 1) -> bool:
        """Wait until `wanted` bytes, or a fair part of many, have come, and leave them with the system.

        False at the end.
        """
        length = max(1, min(wanted, len(PEEK_BUFFER)))
        return self.sock.recv_into(PEEK_BUFFER, length, WAIT_AND_COUNT) > 0

    def is_quiet(self) -> bool:
        """Whether all that came is consumed and the connection stands.

        Only for streams that are read by `read_available`.
        """
        try:
            self.sock.recv(1, PEEK_NOW)
        except BlockingIOError:
            return not len(self.inbound)
        except OSError:
            pass
        return False

    def has_unread_bytes(self) -> bool:
        """Whether the system holds bytes that have not been read."""
        try:
            return len(self.sock.recv(1, PEEK_NOW)) > 0
        except OSError:
            return False

    def is_closed_by_peer(self) -> bool:
        """Whether the peer closed the connection, or it broke, and all that came before is read."""
        try:
            return not self.sock.recv(1, PEEK_NOW)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def oldest_unread_age(self, max_age: float) -> float:
        """Seconds since the last bytes came, where some of them are unread; else 0.

        At most `max_age`, which is also returned where the system does not tell.
        """
        if not len(self.inbound) and not self.has_unread_bytes():
            return 0.0
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_RECEIVE_END)
        except OSError:
            return max_age
        if len(info) < TCP_INFO_LAST_RECEIVE_END:
            return max_age
        milliseconds = int.from_bytes(
            info[TCP_INFO_LAST_RECEIVE_OFFSET:TCP_INFO_LAST_RECEIVE_END], sys.byteorder
        )
        return min(max_age, milliseconds / 1000)

    # Writing

    def enqueue(self, data: bytes) -> bool:
        """Queue bytes to be written by `flush`; False, and nothing queued, where they do not fit."""
        with self.lock:
            if not self.outbound.append(data):
                return False
            self.bytes_queued += len(data)
            return True

    def enqueue_part(self, data: bytes | bytearray | memoryview) -> int:
        """Queue as many of the bytes as fit; returns how many."""
        with self.lock:
            length = min(len(data), self.outbound.max_size - self.outbound.size)
            self.outbound.append(data if length == len(data) else data[:length])
            self.bytes_queued += length
            return length

    def may_be_fully_written(self) -> bool:
        """Whether the last byte queued may have been written; False is certain."""
        return self.bytes_maybe_written >= self.bytes_queued

    def flush(self) -> None:
        """Write what the system takes at once, and have the rest written by a thread."""
        with self.lock:
            if self.is_flushing:
                return  # the thread at it also writes what is new
            self.is_flushing = True
        self._write_queued(socket.MSG_DONTWAIT)

    def _write_queued(self, flags: int) -> None:
        """Write until nothing is queued and `on_drained` has been called. `is_flushing` is set."""
        is_owner_notified = self.on_drained is None
        while True:
            with self.lock:
                has_queued_bytes = self.outbound.size > 0
                if self.close_reason or (is_owner_notified and not has_queued_bytes):
                    self._stop_flushing_locked()
                    return
                if has_queued_bytes:
                    chunk = self.outbound.readable_view()
                    is_owner_notified = self.on_drained is None
                    self.bytes_maybe_written = self.bytes_written + len(chunk)
            if has_queued_bytes:
                if not self._send(chunk, flags):
                    return
                continue
            is_owner_notified = True
            on_drained = self.on_drained  # may be taken away by the owner's thread meanwhile
            if on_drained:
                on_drained()  # may queue more, which is written here, too

    def _stop_flushing_locked(self) -> None:
        """Nothing more is to be written for now. Called under the lock."""
        self.is_flushing = False
        if self.shutdown_reason and not self.close_reason:
            self._shutdown_socket(socket.SHUT_WR)

    def _send(self, chunk: memoryview, flags: int) -> bool:
        """Write the oldest queued bytes; False where this thread is to write no more."""
        try:
            with chunk:
                length = self.sock.send(chunk, flags)
        except BlockingIOError:
            self.bytes_maybe_written = self.bytes_written
            self._on_write_blocked(flags)
            return False
        except OSError:
            self.bytes_maybe_written = self.bytes_written
            self.abort(CloseReason.RESET)
            return False
        with self.lock:
            self.outbound.consume(length)
            self.bytes_written += length
            self.bytes_maybe_written = self.bytes_written
        return True

    def _on_write_blocked(self, flags: int) -> None:
        """The system took nothing: go on in a thread that waits, or give up where this one has waited."""
        if not flags:  # the socket's write timeout has passed
            self.abort(CloseReason.SLOW_READER)
        elif not start_thread(self._write_queued, 0):
            self.abort(CloseReason.NO_THREAD)

    # Closing

    def abort(self, reason: CloseReason) -> None:
        """Shut the connection down at once, queued bytes are dropped. The first reason given is kept."""
        with self.lock:
            self.close_reason = self.close_reason or reason
        self._shutdown_socket(socket.SHUT_RDWR)

    def shutdown_gracefully(self, reason: CloseReason) -> None:
        """Shut the sending down once all that is queued is written; reading goes on until the peer closes."""
        with self.lock:
            self.shutdown_reason = self.shutdown_reason or reason
            if not self.is_flushing and not self.outbound.size:
                self._shutdown_socket(socket.SHUT_WR)

    def _shutdown_socket(self, how: int) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(how)

    def close(self) -> None:
        """Give the descriptor back. Called by the owner, once no thread reads."""
        self.sock.close()
