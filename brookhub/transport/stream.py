"""The thin driver of one connection: a thread that reads, and writes that never make their caller wait."""

from __future__ import annotations

import contextlib
import socket
import sys
from threading import Lock
from typing import Callable

from .close_reason import CloseReason
from .ring_buffer import RingBuffer
from .threads import start_thread

TCP_INFO_LAST_RECEIVE_OFFSET = (
    52  # place in Linux' struct tcp_info of the ms since the last bytes came (tcpi_last_data_recv)
)
# Bytes waited for at a time, at most: well within what the system holds of one
PEEK_BUFFER = bytearray(16 * 1024)
# connection. Nothing is written there: they are counted, not taken


class Stream:
    """A connected socket with a ring buffer a direction.

    One thread reads. Anyone may `enqueue`, which only copies to memory, and then `flush`, which writes what
    the system takes at once; what it does not take is written by a thread that lives as long as that needs.
    """

    __slots__ = (
        "sock",
        "lock",
        "inbound",
        "outbound",
        "is_flushing",
        "close_reason",
        "bytes_queued",
        "bytes_maybe_written",
        "bytes_written",
        "on_drained",
        "shutdown_reason",
    )

    def __init__(self, sock: socket.socket, limit: int, on_drained: Callable[[], None] | None = None):
        self.sock, self.lock, self.on_drained = sock, Lock(), on_drained
        self.inbound, self.outbound = RingBuffer(limit), RingBuffer(limit)
        self.is_flushing, self.close_reason, self.shutdown_reason = False, None, None
        self.bytes_queued = self.bytes_maybe_written = self.bytes_written = (
            0  # bytes put, perhaps written, surely written
        )

    def read(self, flags: int = 0, wanted: int = 0) -> bool:
        """Wait for bytes, into `inbound`; False at the end. Raises OSError where the connection broke."""
        with self.inbound.writable_view(wanted) as space:
            length = self.sock.recv_into(space, 0, flags)
        self.inbound.commit_write(length)
        return length > 0

    def wait_for_bytes(self, wanted: int = 1) -> bool:
        """Wait until so many bytes are there to read, or a fair part of many, and leave them where they are.

        False at the end.
        """
        wanted = max(1, min(wanted, len(PEEK_BUFFER)))
        return (
            self.sock.recv_into(PEEK_BUFFER, wanted, socket.MSG_PEEK | socket.MSG_TRUNC | socket.MSG_WAITALL)
            > 0
        )

    def read_available(self, wanted: int) -> bool:
        """Read what has come, of so many bytes; raises BlockingIOError where that is nothing."""
        return self.read(socket.MSG_DONTWAIT, wanted)

    def read_available_into(self, room: memoryview) -> int:
        """The same, not into the ring but where it belongs; how many bytes."""
        return self.sock.recv_into(room, 0, socket.MSG_DONTWAIT)

    def is_quiet(self) -> bool:
        """Whether nothing has come that is not yet taken, not even an end.

        Only for one read by `read_available`.
        """
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return not len(self.inbound)
        except OSError:
            pass
        return False

    def has_unread_bytes(self) -> bool:
        """Whether bytes have come that nobody has read yet."""
        try:
            return len(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)) > 0
        except OSError:
            return False

    def is_closed_by_peer(self) -> bool:
        """Whether the other side ended or the connection broke, where all that came before is read."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def oldest_unread_age(self, at_most: float) -> float:
        """Seconds for which what nobody has read yet has been there, by the system's word.

        0 where nothing has come. `at_most` where the system does not tell.
        """
        if not len(self.inbound) and not self.has_unread_bytes():
            return 0.0
        try:
            told = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_RECEIVE_OFFSET + 4)
        except OSError:
            return at_most
        if len(told) < TCP_INFO_LAST_RECEIVE_OFFSET + 4:
            return at_most
        return min(
            at_most,
            int.from_bytes(
                told[TCP_INFO_LAST_RECEIVE_OFFSET : TCP_INFO_LAST_RECEIVE_OFFSET + 4], sys.byteorder
            )
            / 1000,
        )

    def enqueue(self, data: bytes) -> bool:
        """Have it written after all before it; False where it does not fit."""
        with self.lock:
            if not self.outbound.append(data):
                return False
            self.bytes_queued += len(data)
            return True

    def enqueue_part(self, data) -> int:
        """Have as much of it written as fits, after all before it; how many bytes that is."""
        with self.lock:
            length = min(len(data), self.outbound.max_size - self.outbound.size)
            self.outbound.append(data if length == len(data) else data[:length])
            self.bytes_queued += length
            return length

    def may_be_fully_written(self) -> bool:
        """Whether the last byte put may have been written; False is certain."""
        return self.bytes_maybe_written >= self.bytes_queued

    def flush(self) -> None:
        """Write what the system takes at once."""
        with self.lock:
            if self.is_flushing:
                return  # who is at it goes on with what is new, and tells when all is drained
            self.is_flushing = True
        self._write(socket.MSG_DONTWAIT)

    def _write(self, flags: int) -> None:
        told = self.on_drained is None  # whether who fills the ring knows that it is empty
        while True:
            with self.lock:
                if self.close_reason or told and not self.outbound.size:
                    self.is_flushing = False
                    if self.shutdown_reason and not self.close_reason:
                        self._shut(socket.SHUT_WR)
                    return
                if self.outbound.size:
                    chunk, told = self.outbound.readable_view(), self.on_drained is None
                    self.bytes_maybe_written = self.bytes_written + len(chunk)
                else:
                    chunk, told = None, True
            if chunk is None:  # more may come of it, which is written here, too
                drained = self.on_drained  # which ends with its owner
                if drained:
                    drained()
                continue
            try:
                with chunk:
                    length = self.sock.send(chunk, flags)
            except BlockingIOError:
                self.bytes_maybe_written = self.bytes_written
                if not flags:  # the time limit of a blocking write is over
                    return self.abort(CloseReason.SLOW_READER)
                if not start_thread("writer", self._write, 0):
                    self.abort(CloseReason.NO_THREAD)
                return
            except OSError:
                self.bytes_maybe_written = self.bytes_written
                return self.abort(CloseReason.RESET)
            with self.lock:
                self.outbound.consume(length)
                self.bytes_written = self.bytes_maybe_written = self.bytes_written + length

    def abort(self, reason: CloseReason) -> None:
        """Break the connection; nothing more is written. The first reason given is kept."""
        with self.lock:
            self.close_reason = self.close_reason or reason
        self._shut(socket.SHUT_RDWR)

    def shutdown_gracefully(self, reason: CloseReason) -> None:
        """End the sending after what was put; what still comes in is to be read until the other side ends."""
        with self.lock:
            self.shutdown_reason = self.shutdown_reason or reason
            if not self.is_flushing and not self.outbound.size:
                self._shut(socket.SHUT_WR)

    def _shut(self, how: int) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(how)

    def close(self) -> None:
        """Give the descriptor back."""
        self.sock.close()
