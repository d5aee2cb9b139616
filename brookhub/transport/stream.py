"""A buffered connection: one thread reads from it, and writing to it never blocks the caller."""

from __future__ import annotations

import contextlib
import socket
import sys
from collections.abc import Callable
from threading import Lock
from time import monotonic

from .close_reason import CloseReason
from .ring_buffer import RingBuffer
from .threads import start_thread

# Offset in Linux's struct tcp_info of tcpi_last_data_recv: 32 bits, milliseconds since data last arrived.
TCP_INFO_LAST_RECEIVE_OFFSET = 52
TCP_INFO_LAST_RECEIVE_END = TCP_INFO_LAST_RECEIVE_OFFSET + 4

# Values of the first byte of Linux's struct tcp_info, tcpi_state (include/net/tcp_states.h in Linux).
TCP_UNKNOWN = 0  # Not a state: the byte of a socket that does not report one.
# States in which the peer will send nothing more: TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK and CLOSING.
TCP_STATES_CLOSED_BY_PEER = frozenset({6, 7, 8, 9, 11})

# Its size is the maximum number of bytes to wait for at a time, well below the size of a connection's receive
# buffer in the kernel. Nothing is ever written to it because MSG_PEEK with MSG_TRUNC only counts the bytes.
PEEK_BUFFER = bytearray(16 * 1024)
PEEK_NOW = socket.MSG_PEEK | socket.MSG_DONTWAIT
WAIT_AND_COUNT = socket.MSG_PEEK | socket.MSG_TRUNC | socket.MSG_WAITALL


class Stream:
    """A connected socket with a ring buffer for each direction.

    Only one thread, or the holder of the owner's lock, may read (`inbound`, `read`, `read_available`, ...).
    Any thread may call `enqueue`, which only copies to memory, and then `flush`, which writes the bytes that
    the kernel accepts at once. The rest is written by a temporary thread.

    `lock` guards `outbound`, `bytes_queued`, `close_reason`, `shutdown_reason` and `is_flushing`. Only the
    thread that has set `is_flushing` changes `bytes_maybe_written`, `bytes_written` and `blocked_since`. The
    counts, times and reasons may be read without the lock. The owner of the stream closes `sock` by calling
    `close`.
    """

    __slots__ = (
        "sock",
        "lock",
        "inbound",
        "outbound",
        "on_drained",
        "on_blocked",
        "is_flushing",
        "close_reason",
        "shutdown_reason",
        "bytes_queued",
        "bytes_maybe_written",
        "bytes_written",
        "blocked_since",
    )

    def __init__(
        self,
        sock: socket.socket,
        buffer_bytes: int,
        on_drained: Callable[[], object] | None = None,
        on_blocked: Callable[[], object] | None = None,
    ) -> None:
        """Wrap a socket. Both callbacks are called without holding the lock.

        A flush that empties the queue calls `on_drained`. `on_blocked` is called before the rest of the queue
        is written by a thread that waits for the peer, and again whenever that thread goes on after the queue
        was empty.
        """
        self.sock = sock
        self.lock = Lock()
        self.inbound = RingBuffer(buffer_bytes)
        self.outbound = RingBuffer(buffer_bytes)
        self.on_drained = on_drained
        self.on_blocked = on_blocked
        self.is_flushing = False  # A thread is writing; it also writes bytes that are queued meanwhile.
        self.close_reason: CloseReason | None = None  # Set by the first `abort`.
        self.shutdown_reason: CloseReason | None = None  # Set by the first `shutdown_gracefully`.
        self.bytes_queued = 0
        self.bytes_maybe_written = 0  # Bytes that the kernel may have accepted.
        self.bytes_written = 0  # Bytes that the kernel has accepted.
        # Monotonic time in seconds since which the kernel has accepted no queued byte because the peer does
        # not read; None if it accepts all.
        self.blocked_since: float | None = None

    # Reading

    def read(self, flags: int = 0, wanted: int = 0) -> bool:
        """Wait for bytes and read them into `inbound`; return False at end of stream.

        Raises OSError if the connection failed.
        """
        with self.inbound.writable_view(wanted) as view:
            length = self.sock.recv_into(view, 0, flags)
        self.inbound.commit_write(length)
        return length > 0

    def read_available(self, wanted: int) -> bool:
        """Read the bytes that have arrived into `inbound`; return False at end of stream.

        `wanted` is the number of bytes to make room for in an empty buffer. Raises BlockingIOError if nothing
        has arrived, OSError if the connection failed.
        """
        return self.read(socket.MSG_DONTWAIT, wanted)

    def read_available_into(self, view: memoryview) -> int:
        """Read the bytes that have arrived into a view and return their number.

        Raises the same errors as `read_available`.
        """
        return self.sock.recv_into(view, 0, socket.MSG_DONTWAIT)

    def wait_for_bytes(self, wanted: int = 1) -> bool:
        """Wait until `wanted` bytes have arrived, without reading them; return False at end of stream.

        Waits for the size of PEEK_BUFFER at most, so `wanted` may exceed it.
        """
        length = max(1, min(wanted, len(PEEK_BUFFER)))
        return self.sock.recv_into(PEEK_BUFFER, length, WAIT_AND_COUNT) > 0

    def is_idle(self) -> bool:
        """Return whether the connection is open and all received bytes have been consumed.

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
        """Return whether the kernel holds bytes that have not been read."""
        try:
            return len(self.sock.recv(1, PEEK_NOW)) > 0
        except OSError:
            return False

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed or reset the connection, even if bytes sent before are unread.

        If the socket does not report the state of its connection, unread bytes hide the close.
        """
        try:
            state = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except (OSError, IndexError):
            state = TCP_UNKNOWN
        if state != TCP_UNKNOWN:
            return state in TCP_STATES_CLOSED_BY_PEER
        try:
            return not self.sock.recv(1, PEEK_NOW)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def oldest_unread_age(self, max_age: float) -> float:
        """Return the seconds since the last bytes arrived if some of them are unread, else 0.

        Returns at most `max_age`, and exactly that if the kernel does not provide the time.
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
        """Queue bytes for `flush`; if they do not fit, queue nothing and return False."""
        with self.lock:
            if not self.outbound.append(data):
                return False
            self.bytes_queued += len(data)
            return True

    def enqueue_part(self, data: bytes | bytearray | memoryview) -> int:
        """Queue as many of the bytes as fit and return their number."""
        with self.lock:
            length = min(len(data), self.outbound.max_size - self.outbound.size)
            self.outbound.append(data if length == len(data) else data[:length])
            self.bytes_queued += length
            return length

    def may_be_fully_written(self) -> bool:
        """Return whether the last queued byte may have been written; False means that it has not been."""
        return self.bytes_maybe_written >= self.bytes_queued

    def has_unwritten_bytes(self) -> bool:
        """Return whether the kernel has not accepted all queued bytes yet."""
        return self.bytes_written < self.bytes_queued

    def flush(self) -> None:
        """Write the bytes that the kernel accepts at once, and start a thread that writes the rest."""
        with self.lock:
            if self.is_flushing:
                return  # The thread that is flushing also writes the new bytes.
            self.is_flushing = True
        self._write_queued(socket.MSG_DONTWAIT)

    def _write_queued(self, flags: int) -> None:
        """Write until the queue is empty and `on_drained` has been called. `is_flushing` must be set."""
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
                if not flags:  # The next write blocks.
                    self._mark_blocked()
                if not self._send(chunk, flags):
                    return
                continue
            is_owner_notified = True
            self.blocked_since = None
            on_drained = self.on_drained  # The owner's thread may set it to None meanwhile.
            if on_drained:
                on_drained()  # It may queue more bytes, which the next iteration writes.

    def _stop_flushing_locked(self) -> None:
        """Mark flushing as ended, and shut the sending side down if that was requested. Needs the lock."""
        self.is_flushing = False
        self.blocked_since = None
        if self.shutdown_reason and not self.close_reason:
            self._shutdown_socket(socket.SHUT_WR)

    def _send(self, chunk: memoryview, flags: int) -> bool:
        """Write the oldest queued bytes; return False if this thread must stop writing."""
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
        if self.blocked_since is not None:
            self.blocked_since = monotonic()
        with self.lock:
            self.outbound.consume(length)
            self.bytes_written += length
            self.bytes_maybe_written = self.bytes_written
        return True

    def _on_write_blocked(self, flags: int) -> None:
        """Continue in a thread with blocking writes, or abort if a blocking write has timed out."""
        if not flags:  # This was a blocking write, and the socket's write timeout has passed.
            self.abort(CloseReason.SLOW_READER)
            return
        self._mark_blocked()
        if not start_thread(self._write_queued, 0):
            self.abort(CloseReason.NO_THREAD)

    def _mark_blocked(self) -> None:
        """Record that the queued bytes may have to wait for the peer."""
        if self.blocked_since is not None:
            return
        self.blocked_since = monotonic()
        on_blocked = self.on_blocked  # The owner's thread may set it to None meanwhile.
        if on_blocked:
            on_blocked()

    # Closing

    def abort(self, reason: CloseReason) -> None:
        """Shut the connection down at once and drop queued bytes. Keeps the reason of the first call."""
        with self.lock:
            self.close_reason = self.close_reason or reason
        self._shutdown_socket(socket.SHUT_RDWR)

    def shutdown_gracefully(self, reason: CloseReason) -> None:
        """Shut the sending side down after all queued bytes are written; reading continues.

        Keeps the reason of the first call.
        """
        with self.lock:
            self.shutdown_reason = self.shutdown_reason or reason
            if not self.is_flushing and not self.outbound.size:
                self._shutdown_socket(socket.SHUT_WR)

    def _shutdown_socket(self, how: int) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(how)

    def close(self) -> None:
        """Close the socket. The owner calls this when no thread reads any more."""
        self.sock.close()
