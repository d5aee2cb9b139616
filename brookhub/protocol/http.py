"""HTTP/1.1 as far as watching discovery needs it: one GET request, and a streamed response of lines.

The body may be chunked, of a stated length, or last until the connection is closed (RFC 9112, section 6.3).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum, auto

from ..transport.close_reason import CloseReason
from ..transport.ring_buffer import RingBuffer
from .errors import MalformedError

MAX_HEAD_LINE_BYTES = 4096  # also of a line that begins a chunk
MAX_BODY_LINE_BYTES = 1024 * 1024  # a server list of some thousand servers
MAX_HEADERS = 100
MAX_CONTENT_LENGTH_DIGITS = 9
MAX_RETRY_AFTER_DIGITS = 4  # a longer Retry-After is ignored
MAX_RETRY_AFTER = (
    60.0  # s of a Retry-After that are respected: more would leave the server list stale for good
)
REJECTED_STATUS_CODES = (b"429", b"503")  # discovery is overloaded and may respond later


def encode_get(host: str, path: str) -> bytes:
    """A GET request."""
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode("ascii")


class _State(Enum):
    """What the next bytes belong to."""

    STATUS_LINE = auto()
    HEADERS = auto()
    CHUNK_SIZE = auto()
    BODY = auto()  # the body, or the data of a chunk
    CHUNK_END = auto()  # the empty line after a chunk's data
    TRAILERS = auto()
    COMPLETE = auto()


class HttpResponseReader:
    """Reads the lines of a response's body from a ring buffer as they arrive. Not thread-safe.

    `retry_after` is how long (s) a server that rejected the request asks to be left alone. All methods raise
    MalformedError where the bytes are no such response; its reason is THROTTLED for a response 429 or 503,
    and OVERSIZED for a line that is too long.
    """

    def __init__(self) -> None:
        self.retry_after = 0.0
        self._state = _State.STATUS_LINE
        self._header_count = 0
        self._is_interim = False  # a response 1xx, before the final one
        self._is_rejected = False
        self._is_chunked = False
        self._content_length: int | None = None
        self._lasts_until_close = False  # the body states no length
        self._bytes_left = 0  # of the body, or of the chunk
        self._partial_line = bytearray()  # of the body
        self._line_handlers: dict[_State, Callable[[bytes], None]] = {
            _State.STATUS_LINE: self._on_status_line,
            _State.HEADERS: self._on_header_line,
            _State.CHUNK_SIZE: self._on_chunk_size,
            _State.CHUNK_END: self._on_chunk_end,
            _State.TRAILERS: self._on_trailer,
        }

    @property
    def is_complete(self) -> bool:
        """Whether the response has ended."""
        return self._state is _State.COMPLETE

    def feed(self, ring: RingBuffer) -> Iterator[bytes]:
        """Read each line of the body that is complete, without its line end."""
        while self._state is not _State.COMPLETE:
            if self._state is _State.BODY:
                yield from self._read_body(ring)
                if self._state is _State.BODY:
                    return
            elif not self._read_line(ring):
                return

    def on_eof(self) -> bytes:
        """The connection was closed in order: the last line of a body that lasts until then, else nothing."""
        line = bytes(self._partial_line) if self._lasts_until_close else b""
        self._partial_line = bytearray()
        return line

    def _read_line(self, ring: RingBuffer) -> bool:
        """Handle a line outside of the body; False where it is not complete."""
        line = ring.read_line()
        if line is not None:
            self._line_handlers[self._state](line)
            return True
        if len(ring) > MAX_HEAD_LINE_BYTES:
            raise MalformedError("a line of the head that does not end")
        return False

    # The head

    def _on_status_line(self, line: bytes) -> None:
        words = line.split(b" ", 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1."):
            raise MalformedError("no HTTP/1.1 answer")
        status = words[1]
        self._is_interim = len(status) == 3 and status.startswith(b"1") and status != b"101"
        self._is_rejected = status in REJECTED_STATUS_CODES
        if status != b"200" and not self._is_interim and not self._is_rejected:
            raise MalformedError("an answer that is not 200")
        self._state = _State.HEADERS

    def _on_header_line(self, line: bytes) -> None:
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            raise MalformedError("too many headers")
        if not line:
            self._on_head_complete()
            return
        name, colon, value = line.partition(b":")
        if not colon:
            raise MalformedError("a header without a colon")
        self._on_header(name.strip().lower(), value.strip().lower())

    def _on_header(self, name: bytes, value: bytes) -> None:
        if name == b"retry-after" and value.isdigit() and len(value) <= MAX_RETRY_AFTER_DIGITS:
            self.retry_after = min(float(value), MAX_RETRY_AFTER)
        elif name == b"transfer-encoding":
            self._is_chunked = value == b"chunked"
        elif name == b"content-length":
            if not value.isdigit() or len(value) > MAX_CONTENT_LENGTH_DIGITS:
                raise MalformedError("a length that is no number")
            self._content_length = int(value)

    def _on_head_complete(self) -> None:
        if self._is_interim:
            self._state = _State.STATUS_LINE
            self._is_chunked = False
            self._content_length = None
        elif self._is_rejected:
            raise MalformedError("rejected with 429 or 503", CloseReason.THROTTLED)
        elif self._is_chunked:
            self._state = _State.CHUNK_SIZE
        else:
            self._lasts_until_close = self._content_length is None
            self._bytes_left = self._content_length or 0
            self._state = _State.BODY

    # The body

    def _read_body(self, ring: RingBuffer) -> Iterator[bytes]:
        """Read what has come of the body or of the chunk."""
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
            raise MalformedError("a chunk without a size") from None
        if self._bytes_left < 0:
            raise MalformedError("a chunk of a size below 0")
        self._state = _State.BODY if self._bytes_left else _State.TRAILERS

    def _on_chunk_end(self, line: bytes) -> None:
        if line:
            raise MalformedError("a chunk longer than it said")
        self._state = _State.CHUNK_SIZE

    def _on_trailer(self, line: bytes) -> None:
        if not line:
            self._state = _State.COMPLETE

    def _split_lines(self, data: bytes) -> Iterator[bytes]:
        """The lines that these bytes complete; the rest becomes the partial line."""
        start = 0
        while (end := data.find(b"\n", start)) >= 0:
            self._partial_line += data[start:end]
            line = bytes(self._partial_line).rstrip(b"\r")
            self._partial_line = bytearray()
            yield line
            start = end + 1
        self._partial_line += data[start:]
        if len(self._partial_line) > MAX_BODY_LINE_BYTES:
            raise MalformedError("a line of the answer too long", CloseReason.OVERSIZED)
