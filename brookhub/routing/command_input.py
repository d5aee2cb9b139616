"""What a client has sent: the decoding of commands, and the memory for one that is not complete."""

from __future__ import annotations

from ..protocol import resp
from ..protocol.errors import MalformedError
from ..transport.ring_buffer import RingBuffer
from .input_memory import InputMemory, MemoryWaiter
from .request_decoder import Command, RequestDecoder

# Bytes of a partly received command for which no memory is reserved: most commands never need more.
FREE_BYTES = 6144

MAX_COMMANDS_PER_EVENT = 32  # Maximum commands decoded at a time, so that no client sets an event's length.


class CommandInput:
    """The commands of one connection. Used by the connection's thread only.

    Other threads may read `reserved_bytes`, the memory reserved for the partly received command, and
    `command_began_at`, the monotonic time in seconds at which its first bytes arrived (None without one).
    Under the event loop's lock, `may_have_commands` tells whether further complete commands may be in the
    buffer.
    """

    def __init__(self, buffer: RingBuffer, decoder: RequestDecoder, memory: InputMemory) -> None:
        """Decode the bytes that are read into `buffer`."""
        self.reserved_bytes = 0
        self.command_began_at: float | None = None
        self.may_have_commands = False
        self._buffer = buffer
        self._reader = resp.RespReader()
        self._decoder = decoder
        self._memory = memory
        self._waiter = MemoryWaiter()

    def decode(self, commands: list[Command], now: float) -> MalformedError | None:
        """Append complete commands to `commands`; return the error if malformed bytes follow them.

        At most MAX_COMMANDS_PER_EVENT are appended. `now`: monotonic time in seconds at which the last bytes
        arrived.
        """
        self.may_have_commands = False
        try:
            for value in self._reader.feed(self._buffer):
                commands.append(self._decoder.decode(value))
                if len(commands) >= MAX_COMMANDS_PER_EVENT:
                    self.may_have_commands = len(self._buffer) > 0
                    break
        except MalformedError as error:
            return error
        if self._reader.is_idle() and not len(self._buffer):
            self.command_began_at = None
        elif commands or self.command_began_at is None:
            self.command_began_at = now
        return None

    def discard(self) -> None:
        """Discard the received bytes."""
        self.may_have_commands = False
        self._buffer.consume(len(self._buffer))

    def wanted_bytes(self) -> int:
        """Return the size of the argument that is being received; 0 if it is not known."""
        return self._reader.bytes_wanted()

    def missing_bytes(self) -> int:
        """Return the memory that has to be reserved before the next read; releases what is not needed."""
        missing = self._needed_bytes() - self.reserved_bytes
        if missing < 0:
            self._memory.release(-missing)
            self.reserved_bytes += missing
        return max(0, missing)

    def reserve_missing(self) -> bool:
        """Reserve at once what is needed before the next read; return whether it is reserved."""
        missing = self.missing_bytes()
        return not missing or self.reserve(missing, 0)

    def reserve(self, size: int, seconds: float) -> bool:
        """Reserve memory, waiting for at most `seconds`; return whether it is reserved."""
        if not self._memory.reserve(size, seconds, self._waiter):
            return False
        self.reserved_bytes += size
        return True

    def stop_waiting(self) -> None:
        """End the wait for memory, as the connection is being closed. Any thread may call this."""
        self._memory.cancel(self._waiter)

    def close(self) -> None:
        """Free the buffer and release its memory. Called when nothing is read any more."""
        self._buffer.clear()
        self._reader = resp.RespReader()
        self._memory.release(self.reserved_bytes)
        self.reserved_bytes = 0

    def _needed_bytes(self) -> int:
        """Return the memory of the partly received command, as far as it is counted.

        It is that of the whole argument whose size was received. If it were reserved piece by piece, many
        connections could hold a part each, and none of them could receive the rest.
        """
        if self.command_began_at is None:
            return 0
        storage = max(self._buffer.next_storage_bytes(), min(self._buffer.max_size, self.wanted_bytes()))
        needed = self._reader.parsed_bytes() + storage
        return needed if needed > FREE_BYTES else 0
