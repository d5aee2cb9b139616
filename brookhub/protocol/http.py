"""HTTP/1.1 client codec for watching discovery: one GET request and a response body streamed line by line.

The body may be chunked, have a Content-Length, or end when the connection is closed (RFC 9112, section 6.3).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum, auto

from ..transport.close_reason import CloseReason
from ..transport.ring_buffer import RingBuffer
from .errors import MalformedError, shorten

MAX_HEAD_LINE_BYTES = 4096  # Maximum length of a status line, header line or chunk-size line.
MAX_BODY_LINE_BYTES = 1024 * 1024  # Enough for a server list of a few thousand servers.
MAX_HEADERS = 100
MAX_CONTENT_LENGTH_DIGITS = 9
MAX_RETRY_AFTER_DIGITS = 4  # A Retry-After value with more digits is ignored.
# Maximum delay in seconds that is accepted from Retry-After. With a longer one, the server list would become
# permanently stale.
MAX_RETRY_AFTER = 60.0
REJECTED_STATUS_CODES = (b"429", b"503")  # Discovery is overloaded; a later request may succeed.


def encode_get(host: str, path: str) -> bytes:
    """Encode a GET request for a JSON document."""
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode("ascii")


class _State(Enum):
    """The part of the response that the next bytes belong to."""

    STATUS_LINE = auto()
    HEADERS = auto()
    CHUNK_SIZE = auto()
    BODY = auto()  # The body, or the data of one chunk.
    CHUNK_END = auto()  # The empty line after the data of a chunk.
    TRAILERS = auto()
    COMPLETE = auto()


class HttpResponseReader:
    """Incremental parser that yields the lines of a response body from a ring buffer. Not thread-safe.

    `retry_after` is the delay in seconds from the Retry-After header, limited to MAX_RETRY_AFTER; 0 if there
    is none. Methods raise MalformedError if the bytes are not a valid response. Its reason is THROTTLED for
    status 429 or 503 and OVERSIZED for a body line that is too long.
    """

    def __init__(self) -> None:
        self.retry_after = 0.0
        self._state = _State.STATUS_LINE
        self._header_count = 0
        self._is_interim = False  # A 1xx response, which precedes the final one.
        self._is_rejected = False
        self._is_chunked = False
        self._content_length: int | None = None
        self._lasts_until_close = False  # The body has no Content-Length and is not chunked.
        self._bytes_left = 0  # Unread bytes of the body or of the current chunk.
        self._partial_line = bytearray()  # Start of a body line whose end has not arrived.
        self._line_handlers: dict[_State, Callable[[bytes], None]] = {
            _State.STATUS_LINE: self._on_status_line,
            _State.HEADERS: self._on_header_line,
            _State.CHUNK_SIZE: self._on_chunk_size,
            _State.CHUNK_END: self._on_chunk_end,
            _State.TRAILERS: self._on_trailer,
        }

    @property
    def is_complete(self) -> bool:
        """Whether the whole response has been read."""
        return self._state is _State.COMPLETE

    def feed(self, ring: RingBuffer) -> Iterator[bytes]:
        """Yield each complete line of the body, without its line end."""
        while self._state is not _State.COMPLETE:
            if self._state is _State.BODY:
                yield from self._read_body(ring)
                if self._state is _State.BODY:
                    return
            elif not self._read_line(ring):
                return

    def on_eof(self) -> bytes:
        """Return the last line of a body that lasts until the connection closes; empty for other bodies."""
        line = bytes(self._partial_line) if self._lasts_until_close else b""
        self._partial_line = bytearray()
        return line

    def _read_line(self, ring: RingBuffer) -> bool:
        """Handle a line outside the body; return False if the line is incomplete."""
        line = ring.read_line()
        if line is not None:
            self._line_handlers[self._state](line)
            return True
        if len(ring) > MAX_HEAD_LINE_BYTES:
            raise MalformedError(
                f"HTTP response: no line end in {len(ring)} bytes of head, limit {MAX_HEAD_LINE_BYTES}"
            )
        return False

    # The head

    def _on_status_line(self, line: bytes) -> None:
        words = line.split(b" ", 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1."):
            raise MalformedError(f"HTTP response: expected an HTTP/1.x status line, got {shorten(line)}")
        status = words[1]
        self._is_interim = len(status) == 3 and status.startswith(b"1") and status != b"101"
        self._is_rejected = status in REJECTED_STATUS_CODES
        if status != b"200" and not self._is_interim and not self._is_rejected:
            raise MalformedError(f"HTTP response: expected status 200, got {shorten(status)}")
        self._state = _State.HEADERS

    def _on_header_line(self, line: bytes) -> None:
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            raise MalformedError(f"HTTP response: {self._header_count} header lines, limit {MAX_HEADERS}")
        if not line:
            self._on_head_complete()
            return
        name, colon, value = line.partition(b":")
        if not colon:
            raise MalformedError(f"HTTP response: expected a colon in a header line, got {shorten(line)}")
        self._on_header(name.strip().lower(), value.strip().lower())

    def _on_header(self, name: bytes, value: bytes) -> None:
        if name == b"retry-after" and value.isdigit() and len(value) <= MAX_RETRY_AFTER_DIGITS:
            self.retry_after = min(float(value), MAX_RETRY_AFTER)
        elif name == b"transfer-encoding":
            self._is_chunked = value == b"chunked"
        elif name == b"content-length":
            if not value.isdigit() or len(value) > MAX_CONTENT_LENGTH_DIGITS:
                raise MalformedError(
                    f"HTTP response: Content-Length is {shorten(value)},"
                    f" expected a number of at most {MAX_CONTENT_LENGTH_DIGITS} digits"
                )
            self._content_length = int(value)

    def _on_head_complete(self) -> None:
        if self._is_interim:
            self._state = _State.STATUS_LINE
            self._is_chunked = False
            self._content_length = None
        elif self._is_rejected:
            raise MalformedError(
                "HTTP response: request rejected with status 429 or 503", CloseReason.THROTTLED
            )
        elif self._is_chunked:
            self._state = _State.CHUNK_SIZE
        else:
            self._lasts_until_close = self._content_length is None
            self._bytes_left = self._content_length or 0
            self._state = _State.BODY

    # The body

    def _read_body(self, ring: RingBuffer) -> Iterator[bytes]:
        """Yield the lines in the bytes of the body or chunk that have arrived."""
        if self._lasts_until_close:
            yield from self._split_lines(ring.read(len(ring)))
            return
        data = ring.read(min(self._bytes_left, len(ring)))
        self._bytes_left -= len(data)
        yield from self._split_lines(data)
        if self._bytes_left:
            return
        if self._is_chunked:
            self._state = _State.CHUNK_END
            return
        self._state = _State.COMPLETE
        if self._partial_line:
            yield bytes(self._partial_line)

    def _on_chunk_size(self, line: bytes) -> None:
        try:
            self._bytes_left = int(line.split(b";", 1)[0].strip(), 16)
        except ValueError:
            raise MalformedError(
                f"HTTP response: expected a hexadecimal chunk size, got {shorten(line)}"
            ) from None
        if self._bytes_left < 0:
            raise MalformedError(f"HTTP response: expected a chunk size of at least 0, got {shorten(line)}")
        self._state = _State.BODY if self._bytes_left else _State.TRAILERS

    def _on_chunk_end(self, line: bytes) -> None:
        if line:
            raise MalformedError(
                f"HTTP response: expected an empty line after the chunk data, got {shorten(line)}"
            )
        self._state = _State.CHUNK_SIZE

    def _on_trailer(self, line: bytes) -> None:
        if not line:
            self._state = _State.COMPLETE

    def _split_lines(self, data: bytes) -> Iterator[bytes]:
        """Yield the lines that these bytes complete; keep the rest as the partial line."""
        start = 0
        while (end := data.find(b"\n", start)) >= 0:
            self._partial_line += data[start:end]
            line = bytes(self._partial_line).rstrip(b"\r")
            self._partial_line = bytearray()
            yield line
            start = end + 1
        self._partial_line += data[start:]
        if len(self._partial_line) > MAX_BODY_LINE_BYTES:
            raise MalformedError(
                f"HTTP response: body line of at least {len(self._partial_line)} bytes,"
                f" limit {MAX_BODY_LINE_BYTES}",
                CloseReason.OVERSIZED,
            )
