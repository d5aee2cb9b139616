"""The thin driver of one connection: a thread that reads, and writes that never make their caller wait."""

from __future__ import annotations

import contextlib
import socket
import sys
from threading import Lock
from typing import Callable

from .ring import Ring
from .threads import spawn

LAST_HEARD = 52  # place in Linux' struct tcp_info of the ms since the last bytes came (tcpi_last_data_recv)
# Bytes waited for at a time, at most: well within what the system holds of one
NOWHERE = bytearray(16 * 1024)
# connection. Nothing is written there: they are counted, not taken


class Stream:
    """A connected socket with a ring buffer a direction.

    One thread reads. Anyone may `put`, which only copies to memory, and then `flush`, which writes what the
    system takes at once; what it does not take is written by a thread that lives as long as that needs.
    """

    __slots__ = (
        "sock",
        "lock",
        "inbound",
        "outbound",
        "flushing",
        "reason",
        "told",
        "tried",
        "written",
        "drained",
        "last",
    )

    def __init__(self, sock: socket.socket, limit: int, drained: Callable[[], None] | None = None):
        self.sock, self.lock, self.drained = sock, Lock(), drained
        self.inbound, self.outbound = Ring(limit), Ring(limit)
        self.flushing, self.reason, self.last = False, None, None
        self.told = self.tried = self.written = 0  # bytes put, perhaps written, surely written

    def read(self, flags: int = 0, wanted: int = 0) -> bool:
        """Wait for bytes, into `inbound`; False at the end. Raises OSError where the connection broke."""
        with self.inbound.space(wanted) as space:
            length = self.sock.recv_into(space, 0, flags)
        self.inbound.filled(length)
        return length > 0

    def wait(self, wanted: int = 1) -> bool:
        """Wait until so many bytes are there to read, or a fair part of many, and leave them where they are.

        False at the end.
        """
        wanted = max(1, min(wanted, len(NOWHERE)))
        return (
            self.sock.recv_into(NOWHERE, wanted, socket.MSG_PEEK | socket.MSG_TRUNC | socket.MSG_WAITALL) > 0
        )

    def read_at_once(self, wanted: int) -> bool:
        """Read what has come, of so many bytes; raises BlockingIOError where that is nothing."""
        return self.read(socket.MSG_DONTWAIT, wanted)

    def read_into(self, room: memoryview) -> int:
        """The same, not into the ring but where it belongs; how many bytes."""
        return self.sock.recv_into(room, 0, socket.MSG_DONTWAIT)

    def quiet(self) -> bool:
        """Whether nothing has come that is not yet taken, not even an end.

        Only for one read by `read_at_once`.
        """
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return not len(self.inbound)
        except OSError:
            pass
        return False

    def unheard(self) -> bool:
        """Whether bytes have come that nobody has read yet."""
        try:
            return len(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)) > 0
        except OSError:
            return False

    def other_side_ended(self) -> bool:
        """Whether the other side ended or the connection broke, where all that came before is read."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def lain(self, at_most: float) -> float:
        """Seconds for which what nobody has read yet has been there, by the system's word.

        0 where nothing has come. `at_most` where the system does not tell.
        """
        if not len(self.inbound) and not self.unheard():
            return 0.0
        try:
            told = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_HEARD + 4)
        except OSError:
            return at_most
        if len(told) < LAST_HEARD + 4:
            return at_most
        return min(at_most, int.from_bytes(told[LAST_HEARD : LAST_HEARD + 4], sys.byteorder) / 1000)

    def put(self, data: bytes) -> bool:
        """Have it written after all before it; False where it does not fit."""
        with self.lock:
            if not self.outbound.put(data):
                return False
            self.told += len(data)
            return True

    def put_part(self, data) -> int:
        """Have as much of it written as fits, after all before it; how many bytes that is."""
        with self.lock:
            length = min(len(data), self.outbound.limit - self.outbound.size)
            self.outbound.put(data if length == len(data) else data[:length])
            self.told += length
            return length

    def may_be_whole(self) -> bool:
        """Whether the last byte put may have been written; False is certain."""
        return self.tried >= self.told

    def flush(self) -> None:
        """Write what the system takes at once."""
        with self.lock:
            if self.flushing:
                return  # who is at it goes on with what is new, and tells when all is drained
            self.flushing = True
        self._write(socket.MSG_DONTWAIT)

    def _write(self, flags: int) -> None:
        told = self.drained is None  # whether who fills the ring knows that it is empty
        while True:
            with self.lock:
                if self.reason or told and not self.outbound.size:
                    self.flushing = False
                    if self.last and not self.reason:
                        self._shut(socket.SHUT_WR)
                    return
                if self.outbound.size:
                    chunk, told = self.outbound.chunk(), self.drained is None
                    self.tried = self.written + len(chunk)
                else:
                    chunk, told = None, True
            if chunk is None:  # more may come of it, which is written here, too
                drained = self.drained  # which ends with its owner
                if drained:
                    drained()
                continue
            try:
                with chunk:
                    length = self.sock.send(chunk, flags)
            except BlockingIOError:
                self.tried = self.written
                if not flags:  # the time limit of a blocking write is over
                    return self.end("slow-reader")
                if not spawn("writer", self._write, 0):
                    self.end("no-thread")
                return
            except OSError:
                self.tried = self.written
                return self.end("reset")
            with self.lock:
                self.outbound.drop(length)
                self.written = self.tried = self.written + length

    def end(self, reason: str) -> None:
        """Break the connection; nothing more is written. The first reason given is kept."""
        with self.lock:
            self.reason = self.reason or reason
        self._shut(socket.SHUT_RDWR)

    def finish(self, reason: str) -> None:
        """End the sending after what was put; what still comes in is to be read until the other side ends."""
        with self.lock:
            self.last = self.last or reason
            if not self.flushing and not self.outbound.size:
                self._shut(socket.SHUT_WR)

    def _shut(self, how: int) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(how)

    def close(self) -> None:
        """Give the descriptor back."""
        self.sock.close()
