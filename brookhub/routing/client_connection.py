"""Connection of one client: reads commands and writes one response to each, in the order of the commands."""

from __future__ import annotations

import socket
from collections import deque
from itertools import islice, takewhile
from math import inf
from time import monotonic, sleep
from typing import Protocol

from ..protocol import request_codec, resp
from ..protocol.errors import MalformedError
from ..protocol.request_codec import ParsedRequest
from ..transport.close_reason import CloseReason
from ..transport.connection_slots import ConnectionSlots
from ..transport.fair_lock import Flow
from ..transport.stream import Stream
from .client_request import PendingResponse
from .command_input import CommandInput
from .connections import ConnectionLog, read_until_closed
from .event_loop import EventLoop
from .input_memory import InputMemory
from .request_decoder import Command, InvalidCommand, RequestDecoder

# Maximum seconds from a request's deadline to its response. A later response is not sent, because the client
# no longer waits for it.
MAX_RESPONSE_DELAY = 0.5

MAX_INPUT_MEMORY_WAIT = 1.0  # Maximum seconds for which a client is not read because memory is used up.
RESPONSE_MEMORY_POLL_INTERVAL = 0.05  # Seconds between checks whether there is memory for responses.


class ClientConnectionOwner(Protocol):
    """Interface of `clients.Clients` for its connections.

    All methods are called under the event loop's lock; the properties may be used without it.
    """

    @property
    def loop(self) -> EventLoop:
        """The gateway's event loop."""

    @property
    def decoder(self) -> RequestDecoder:
        """The decoder of commands. Any thread may use it."""

    @property
    def slots(self) -> ConnectionSlots:
        """The slots of all connections. Any thread may use them."""

    @property
    def input_memory(self) -> InputMemory:
        """The memory for partly received commands. Any thread may use it."""

    @property
    def log_closed(self) -> ConnectionLog:
        """The callback that logs a closed connection. Called without the lock."""

    def is_ready(self) -> bool:
        """Return whether this gateway can serve requests."""

    def is_response_memory_used_up(self) -> bool:
        """Return whether no more responses should wait. Any thread may call this without the lock."""

    def check_suspension(self) -> None:
        """Check whether this process was suspended; if so, set the `suspension_delay` of each connection."""

    def handle_request(self, response: PendingResponse, parsed: ParsedRequest, delay: float) -> None:
        """Pass a request to the policy. It may have been unread for `delay` seconds."""

    def on_command(self, connection: ClientConnection) -> None:
        """Handle the receipt of a complete command."""

    def on_response_completed(self, response: PendingResponse, is_connected: bool) -> None:
        """Release what a finished request holds, and count the memory of its response."""

    def on_response_grown(self, size: int) -> None:
        """Count `size` more bytes of a response that waits."""

    def on_response_written(self, response: PendingResponse) -> None:
        """Stop counting the memory of a response that was passed to the stream."""

    def on_all_responses_written(self, connection: ClientConnection) -> None:
        """Handle a connection that has no open request any more."""

    def on_response_waiting(self, response: PendingResponse) -> None:
        """Limit the memory of responses, as this one waits for earlier ones or for its client."""

    def on_input_memory_exhausted(self, connection: ClientConnection, size: int) -> None:
        """Close other connections to free `size` bytes of the memory for partly received commands."""

    def on_write_blocked(self, connection: ClientConnection, unwritten_bytes: int) -> None:
        """Handle a connection whose stream is full, or whose client may leave `unwritten_bytes` in it."""

    def on_write_resumed(self, connection: ClientConnection) -> None:
        """Handle a connection whose stream is empty again."""

    def disconnect(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Close the connection at once."""

    def on_input_handled(self, connection: ClientConnection) -> None:
        """Handle a connection without an open request whose received commands are handled."""

    def fail_requests_of(self, connection: ClientConnection) -> bool:
        """Have the policy finish open requests of a connection; return whether some may remain."""

    def on_closed(self, connection: ClientConnection) -> None:
        """Handle a connection that is closed and whose descriptor was released."""


class ClientConnection:
    """Connection of one client, with the thread that reads it and owns its socket.

    The event loop's lock guards all fields except `stream` and `input` (see `Stream` and `CommandInput`).
    """

    def __init__(self, owner: ClientConnectionOwner, sock: socket.socket) -> None:
        self.stream = Stream(sock, resp.BUFFER_BYTES, self._on_drained, self._on_blocked)
        self.input = CommandInput(self.stream.inbound, owner.decoder, owner.input_memory)
        self.pending_responses: deque[PendingResponse] = deque()  # In the order of the requests.
        # Monotonic time in seconds. Until the first command, the time at which the connection was accepted.
        self.idle_since = 0.0
        # Seconds for which received bytes may have stayed unread because this process was suspended.
        self.suspension_delay = 0.0
        self.is_closing = False  # No further commands are read.
        self.is_closed = False  # Closed, or about to be aborted: no further responses are written.
        self._owner = owner
        self._flow = Flow()
        self._arrived_at = inf  # Monotonic time in seconds by which the bytes being handled had arrived.
        self._has_unread_bytes = False  # The last read may have left bytes unread.
        self._is_input_ended = False  # Nothing more is read from the client.
        self._is_handling_commands = False  # Further commands of the same event follow.
        self._malformed_command: MalformedError | None = None  # To be answered after the open requests.
        self._responses_written = 0
        self._is_write_blocked = False  # The stream's buffer is full, or the client may not be reading it.
        self.unwritten_bytes = 0  # Size of the stream's buffer, while it is counted as memory.

    # The connection's thread

    def run(self) -> None:
        """Read commands until the connection is closed. Runs in a thread of its own."""
        try:
            self._read_until_closed()
        finally:
            self._owner.slots.release()  # Last: until here the thread and the buffers exist.

    def _read_until_closed(self) -> None:
        loop = self._owner.loop
        stream = self.stream
        started_at = monotonic()
        reason = read_until_closed(stream.wait_for_bytes, self._on_readable, loop.report_error)
        if reason is CloseReason.CLOSED:
            reason = CloseReason.CLIENT_CLOSED
        stream.abort(stream.shutdown_reason or reason)
        stream.close()
        self.input.close()
        loop.run_in_turn(self._flow, self.on_closed)
        while self.pending_responses:
            loop.run_in_turn(self._flow, self.fail_next_requests)
        stream.on_drained = stream.on_blocked = None  # Breaks the reference cycle with the connection.
        seconds = monotonic() - started_at
        self._owner.log_closed(
            "client", stream.close_reason or reason, None, seconds, self._responses_written
        )

    def _on_readable(self, now: float) -> bool:
        """Handle bytes that arrived by `now` (seconds, monotonic); return whether to stop reading."""
        loop = self._owner.loop
        while not self._is_input_ended:
            self._wait_for_response_memory()
            loop.run_in_turn(self._flow, self.on_readable, now)
            while self._malformed_command:
                loop.run_in_turn(self._flow, self.answer_malformed_command)
            if not self._is_input_ended and not self.input.reserve_missing():
                self._wait_for_input_memory(self.input.missing_bytes())
            if not self.input.may_have_commands:
                break
        return self._is_input_ended

    def _wait_for_response_memory(self) -> None:
        """Wait, without reading on, while responses wait here and the memory for all of them is used up.

        It ends at the latest when the open requests have ended, and the client reads their responses.
        """
        while self.pending_responses and self._owner.is_response_memory_used_up() and not self.has_left():
            sleep(RESPONSE_MEMORY_POLL_INTERVAL)

    def _wait_for_input_memory(self, size: int) -> None:
        """Have others closed that hold memory for commands, and reserve `size` bytes once they are freed."""
        loop = self._owner.loop
        loop.run(monotonic(), self._owner.on_input_memory_exhausted, self, size)
        if self.input.reserve(size, MAX_INPUT_MEMORY_WAIT):
            return
        error = MalformedError("no memory for this command", CloseReason.MEMORY_LIMIT)
        loop.run(monotonic(), self.on_commands, [], error)
        while self._malformed_command:
            loop.run_in_turn(self._flow, self.answer_malformed_command)

    # Events, under the event loop's lock

    def on_readable(self, arrived_at: float) -> None:
        """Read bytes that arrived by `arrived_at` (seconds, monotonic), and handle the commands in them.

        Only this event reads from the socket, so that the holder of the lock knows all bytes that were read
        as handled. It handles as many commands as are decoded at a time; `CommandInput.may_have_commands`
        tells whether to run it again.
        """
        if not self.is_closing and self.has_left():
            # The client waits for no response: its requests are not forwarded.
            self._is_input_ended = self.is_closed = True
            return
        if not self.input.may_have_commands:
            if not self._has_unread_bytes:
                self._arrived_at = arrived_at
            self._read_available()
        if self.is_closing:
            self.input.discard()
            return
        commands: list[Command] = []
        error = self.input.decode(commands, self._owner.loop.now)
        # A command that has arrived is read to its end, rather than parts of many commands in turn.
        while not commands and not error and self._has_unread_bytes and not self._is_input_ended:
            if not self.input.reserve_missing():
                break
            self._read_available()
            error = self.input.decode(commands, self._owner.loop.now)
        if commands or error:
            self.on_commands(commands, error)
        if not self.pending_responses and not self.is_closing:
            self._owner.on_input_handled(self)

    def _read_available(self) -> None:
        """Read the bytes that have arrived, or as many as the buffer takes."""
        try:
            is_open = self.stream.read_available(self.input.wanted_bytes())
        except BlockingIOError:
            is_open = True
        except OSError:
            is_open = False
        self._is_input_ended = not is_open
        self._has_unread_bytes = self.stream.inbound.is_full()

    def on_commands(self, commands: list[Command], error: MalformedError | None) -> None:
        """Handle commands in their order, then close the connection if malformed bytes followed (`error`)."""
        if self.is_closing:
            return  # Sent while this side was closing: the client retries on another connection.
        self._owner.check_suspension()
        suspension = self.suspension_delay
        self.suspension_delay = 0.0
        if suspension and any(is_request_with_less_time(command, suspension) for command in commands):
            self._owner.disconnect(self, CloseReason.DEADLINE_PASSED)
            return
        delay = max(suspension, self._owner.loop.now - self._arrived_at)
        self._is_handling_commands = True
        for command in commands:
            if self.is_closing:
                break
            self._handle_command(command, delay)
        self._is_handling_commands = False
        if error and not self.is_closing:
            self._on_malformed_command(error)
        elif not self.pending_responses:
            self._owner.on_all_responses_written(self)

    def _handle_command(self, command: Command, delay: float) -> None:
        """Handle one command, which has been unread for `delay` seconds."""
        if isinstance(command, ParsedRequest):
            self._handle_request(command, delay)
        elif isinstance(command, InvalidCommand):
            self._reply(command.reply)
        elif self._owner.is_ready():
            self._reply(resp.PONG)
        else:
            self._reply(resp.encode_error("ERR not ready yet"))

    def _handle_request(self, parsed: ParsedRequest, delay: float) -> None:
        """Pass a request to the policy; an internal error fails this request alone."""
        response = self._add_response()
        try:
            self._owner.handle_request(response, parsed, delay)
        except Exception as error:  # Later requests on the connection are still handled.
            self._owner.loop.defer(self._owner.loop.report_error, error)
            response.complete(request_codec.ENCODED_FAILURE)
        if response.parts and response is not self.pending_responses[0]:
            self._merge_into_replies(response)

    def _merge_into_replies(self, response: PendingResponse) -> None:
        """Turn the immediate answer to the last request, which waits, into a reply without its own object."""
        reply = b"".join(response.parts or ())
        self.pending_responses.pop()
        self._owner.on_response_written(response)
        self._reply(reply)

    def _on_malformed_command(self, error: MalformedError) -> None:
        """Stop reading, fail the open requests, and close the connection once the responses are written."""
        self._is_input_ended = self.is_closing = True
        self._malformed_command = error
        self.answer_malformed_command()

    def answer_malformed_command(self) -> None:
        """Fail some open requests, or all of a few; once none is open, answer the malformed command."""
        error = self._malformed_command
        if error is None or self._owner.fail_requests_of(self):
            return
        self._malformed_command = None
        self._reply(resp.encode_error(f"ERR {error}"))
        self._owner.loop.defer(self.stream.shutdown_gracefully, error.reason)

    def _add_response(self) -> PendingResponse:
        """Append and return a pending response for the command being handled."""
        response = PendingResponse(self)
        self.pending_responses.append(response)
        self._owner.on_command(self)
        return response

    def has_left(self) -> bool:
        """Return whether the client has closed the connection (`client_request.ResponseOwner`)."""
        return self.is_closed or self.stream.is_closed_by_peer()

    def on_left(self) -> None:
        """End the connection of a client that has left (`client_request.ResponseOwner`)."""
        self._owner.loop.defer(self.stream.abort, CloseReason.CLIENT_CLOSED)

    def _reply(self, reply: bytes) -> None:
        """Reply to a command that is no request, after all earlier responses."""
        if self.pending_responses and self.pending_responses[-1].append_reply(reply):
            self._owner.on_response_grown(len(reply))
        else:
            self._add_response().complete_reply(reply)

    def on_response_completed(self, response: PendingResponse) -> None:
        """Write a completed response after all earlier ones (`client_request.ResponseOwner`)."""
        owner = self._owner
        owner.on_response_completed(response, not self.is_closed)
        request = response.request
        response.request = None  # Breaks the reference cycle between response and request.
        if request and not self.is_closed and owner.loop.now > request.deadline + MAX_RESPONSE_DELAY:
            # This process was suspended or starved of CPU: the client has given up.
            owner.disconnect(self, CloseReason.DEADLINE_PASSED)
            return
        self._write_responses()
        if response.parts:
            owner.on_response_waiting(response)

    def _write_responses(self) -> None:
        """Pass completed responses to the stream, in the order of their requests."""
        responses = self.pending_responses
        while responses and not self.is_closed:
            response = responses[0]
            if response.parts is None:
                break
            if not self._enqueue(response):
                self._is_write_blocked = True
                self._owner.on_write_blocked(self, 0)
                break
            responses.popleft()
            self._owner.on_response_written(response)
            self._responses_written += 1
        self._owner.loop.defer(self.stream.flush)
        if not responses and not self._is_handling_commands:
            self._owner.on_all_responses_written(self)

    def on_blocked(self) -> None:
        """Count the stream's buffer as memory, at its maximum size, as the client does not read it."""
        if not self.is_closed:
            self._is_write_blocked = True
            self._owner.on_write_blocked(self, resp.BUFFER_BYTES)

    def on_drained(self) -> None:
        """Resume writing after the stream's buffer became empty."""
        self._is_write_blocked = False
        self._owner.on_write_resumed(self)
        self._write_responses()

    def _enqueue(self, response: PendingResponse) -> bool:
        """Move as many bytes of a completed response to the stream as fit; return whether all did."""
        parts = response.parts
        while parts:
            part = parts[0]
            length = self.stream.enqueue_part(part)
            response.is_partly_written = response.is_partly_written or length > 0
            if length < len(part):
                parts[0] = memoryview(part)[length:]
                return False
            parts.pop(0)
        return True

    def on_closed(self) -> None:
        """Finish the open requests, after the connection was closed and its descriptor released."""
        self._owner.on_closed(self)
        self.fail_next_requests()

    def fail_next_requests(self) -> None:
        """Finish some of the open requests of a closed connection, so that the event is short."""
        if not self._owner.fail_requests_of(self):
            self.pending_responses.clear()

    def has_unhandled_input(self) -> bool:
        """Return whether bytes have arrived that are not handled, other than a partly read command."""
        return self.input.may_have_commands or self.stream.has_unread_bytes()

    def pending_bytes(self) -> int:
        """Return the total size of the completed responses that are not yet fully passed to the stream."""
        return sum(response.size_bytes for response in self.pending_responses)

    def blocked_bytes(self) -> int:
        """Return the size of the responses that the client has to read before further ones can be written.

        These are the completed responses up to the first one that is not complete. The one that is being
        written does not count.
        """
        readable = takewhile(PendingResponse.is_complete, self.pending_responses)
        return sum(response.size_bytes for response in islice(readable, 1, None))

    def discard_responses(self) -> int:
        """Free all completed responses of a closed connection and return their total size."""
        self.is_closed = True
        size = self.pending_bytes()
        for response in self.pending_responses:
            response.discard()
        return size

    # Without the lock

    def _on_blocked(self) -> None:
        """Handle the client's not reading, before another thread goes on writing."""
        self._owner.loop.run(monotonic(), self.on_blocked)

    def _on_drained(self) -> None:
        """Handle the stream's buffer having become empty."""
        if self._is_write_blocked:
            self._owner.loop.run(monotonic(), self.on_drained)


def is_request_with_less_time(command: Command, seconds: float) -> bool:
    """Return whether a command is a request whose client waits for at most `seconds`."""
    return isinstance(command, ParsedRequest) and command.time_left <= seconds
