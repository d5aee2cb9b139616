"""One client's connection: commands in, one response to each, in their order."""

from __future__ import annotations

import socket
from collections import deque
from time import monotonic
from typing import Protocol

from ..protocol import request_codec, resp
from ..protocol.errors import MalformedError
from ..protocol.request_codec import ParsedRequest
from ..transport.close_reason import CloseReason
from ..transport.stream import Stream
from .client_request import PendingResponse
from .connections import ConnectionLog, read_until_closed
from .event_loop import EventLoop
from .request_decoder import Command, InvalidCommand, RequestDecoder

MAX_RESPONSE_DELAY = 0.5  # s after its deadline from which a response is not sent: its client waits no more


class ClientConnectionOwner(Protocol):
    """What a connection needs of `clients.Clients`. Its methods are called under the event loop's lock."""

    @property
    def loop(self) -> EventLoop:
        """The event loop."""

    @property
    def decoder(self) -> RequestDecoder:
        """Decodes the commands; may be used by any thread."""

    @property
    def log_closed(self) -> ConnectionLog:
        """Logs closed connections; called without the lock."""

    def is_ready(self) -> bool:
        """Whether this gateway can serve requests."""

    def check_suspension(self) -> None:
        """Find out whether this process was suspended, and set the `suspension_delay` of connections."""

    def handle_request(self, response: PendingResponse, parsed: ParsedRequest, delay: float) -> None:
        """Have a request decided that may have been unread for `delay` seconds."""

    def on_command(self, connection: ClientConnection) -> None:
        """A complete command was received."""

    def on_response_completed(self, response: PendingResponse, is_connected: bool) -> None:
        """A response is set, its request is finished."""

    def on_response_written(self, response: PendingResponse) -> None:
        """A response was passed to the stream."""

    def on_all_responses_written(self, connection: ClientConnection) -> None:
        """The connection has no open request."""

    def exceeds_memory_limits(self, connection: ClientConnection) -> bool:
        """Whether the responses that the client does not read take too much memory."""

    def disconnect(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Close the connection at once."""

    def fail_requests_of(self, connection: ClientConnection) -> None:
        """Have the decisions finish the open requests of a connection."""

    def on_closed(self, connection: ClientConnection) -> None:
        """The connection is closed and its descriptor given back."""


class ClientConnection:
    """One client's connection, and the thread that reads it and owns its socket.

    The fields are guarded by the event loop's lock, but for `stream` (see there) and the reader, which belong
    to the thread.
    """

    def __init__(self, owner: ClientConnectionOwner, sock: socket.socket) -> None:
        self.stream = Stream(sock, resp.BUFFER_BYTES, self._on_drained)
        self.pending_responses: deque[PendingResponse] = deque()  # in the order of their requests
        self.idle_since = 0.0  # s, monotonic; or when it was accepted, before its first command
        self.suspension_delay = 0.0  # s for which a suspension of this process may have left bytes unread
        self.is_closing = False  # nothing more is read
        self.is_closed = False
        self._owner = owner
        self._reader = resp.RespReader()
        self._responses_written = 0
        self._is_write_blocked = False  # a response waits for space in the stream's buffer

    # The connection's thread

    def run(self) -> None:
        """Read until the connection is closed. Runs in a thread of its own."""
        loop = self._owner.loop
        stream = self.stream
        started_at = monotonic()
        reason = read_until_closed(stream.read, self._on_readable, loop.report_error)
        if reason is CloseReason.CLOSED:
            reason = CloseReason.CLIENT_CLOSED
        stream.abort(stream.shutdown_reason or reason)
        stream.close()
        loop.run(monotonic(), self.on_closed)
        stream.on_drained = None  # breaks the reference cycle between the two
        seconds = monotonic() - started_at
        self._owner.log_closed(
            "client", stream.close_reason or reason, None, seconds, self._responses_written
        )

    def _on_readable(self, now: float) -> bool:
        """Handle the bytes that came at a time (s, monotonic); whether reading is over."""
        stream = self.stream
        if self.is_closing:
            stream.inbound.consume(len(stream.inbound))
            return False
        commands: list[Command] = []
        error = self._decode_commands(commands)
        if not commands and not error:
            return False
        if stream.is_closed_by_peer():
            return True  # the client waits for no response: nothing is forwarded for it
        self._owner.loop.run(now, self.on_commands, commands, error)
        return error is not None  # what follows malformed bytes is not read

    def _decode_commands(self, commands: list[Command]) -> MalformedError | None:
        """Append the commands that are complete; returns the error of the bytes after them, if any."""
        decode = self._owner.decoder.decode
        try:
            for value in self._reader.feed(self.stream.inbound):
                commands.append(decode(value))
        except MalformedError as error:
            return error
        return None

    # Events, under the event loop's lock

    def on_commands(self, commands: list[Command], error: MalformedError | None) -> None:
        """Handle commands in their order; an error of the bytes after them closes the connection."""
        if self.is_closing:
            return  # sent while this side closed: the client tries again on another connection
        self._owner.check_suspension()
        delay = self.suspension_delay
        self.suspension_delay = 0.0
        if delay and any(isinstance(item, ParsedRequest) and item.time_left <= delay for item in commands):
            self._owner.disconnect(self, CloseReason.DEADLINE_PASSED)
            return
        for command in commands:
            if isinstance(command, ParsedRequest):
                self._handle_request(command, delay)
            elif isinstance(command, InvalidCommand):
                self._add_response().complete(command.reply)
            elif self._owner.is_ready():
                self._add_response().complete(resp.PONG)
            else:
                self._add_response().complete(resp.encode_error("ERR not ready yet"))
        if error:
            self._on_malformed_command(error)

    def _handle_request(self, parsed: ParsedRequest, delay: float) -> None:
        """Have a request decided; an internal error fails this request alone."""
        response = self._add_response()
        try:
            self._owner.handle_request(response, parsed, delay)
        except Exception as error:  # the requests behind it on the connection are still handled
            self._owner.loop.defer(self._owner.loop.report_error, error)
            response.complete(request_codec.ENCODED_FAILURE)

    def _on_malformed_command(self, error: MalformedError) -> None:
        """Finish all requests at once, and close the connection once their responses are written."""
        self._owner.fail_requests_of(self)
        self.is_closing = True
        self._add_response().complete(resp.encode_error(f"ERR {error}"))
        self._owner.loop.defer(self.stream.shutdown_gracefully, error.reason)

    def _add_response(self) -> PendingResponse:
        """The place of the response to the command that is handled."""
        response = PendingResponse(self)
        self.pending_responses.append(response)
        self._owner.on_command(self)
        return response

    def on_response_completed(self, response: PendingResponse) -> None:
        """Write a response, after those before it (`client_request.ResponseOwner`)."""
        owner = self._owner
        owner.on_response_completed(response, not self.is_closed)
        request = response.request
        response.request = None  # breaks the reference cycle between the two
        if request and not self.is_closed and owner.loop.now > request.deadline + MAX_RESPONSE_DELAY:
            # This process was suspended or starved: the client has given up
            owner.disconnect(self, CloseReason.DEADLINE_PASSED)
            return
        self._write_responses()

    def _write_responses(self) -> None:
        """Pass the responses that are set to the stream, in the order of their requests."""
        self._is_write_blocked = False
        responses = self.pending_responses
        while responses and not self.is_closed:
            response = responses[0]
            if response.parts is None:
                break
            if not self._enqueue(response.parts):
                self._is_write_blocked = True
                if self._owner.exceeds_memory_limits(self):
                    self._owner.loop.defer(self.stream.abort, CloseReason.SLOW_READER)
                break
            responses.popleft()
            self._owner.on_response_written(response)
            self._responses_written += 1
        self._owner.loop.defer(self.stream.flush)
        if not responses:
            self._owner.on_all_responses_written(self)

    def _enqueue(self, parts: deque[bytes | bytearray | memoryview]) -> bool:
        """Pass parts to the stream as far as they fit, and remove them; whether all did."""
        while parts:
            part = parts[0]
            length = self.stream.enqueue_part(part)
            if length < len(part):
                parts[0] = memoryview(part)[length:]
                return False
            parts.popleft()
        return True

    def on_closed(self) -> None:
        """Finish what is open on the connection. Its descriptor has been given back."""
        self.is_closed = True
        self._owner.on_closed(self)
        self.pending_responses.clear()

    def pending_bytes(self) -> int:
        """Bytes of responses that wait until the client has read those before."""
        return sum(response.size_bytes for response in self.pending_responses)

    # Without the lock

    def _on_drained(self) -> None:
        """All that the stream held is written: there is space for more."""
        if self._is_write_blocked:
            self._owner.loop.run(monotonic(), self._write_responses)
