"""HTTP/1.1 as discovery's watch speaks it: one request, and an answer of lines that stays open.

The body may be chunked, of a stated length, or last until the connection ends (RFC 9112, section 6.3).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from ..transport.close_reason import CloseReason
from ..transport.ring_buffer import RingBuffer
from .errors import MalformedError

MAX_HEAD_LINE_BYTES = 4096  # bytes of a line of the head, or of one that announces a chunk
MAX_BODY_LINE_BYTES = 1024 * 1024  # bytes of one line of the answer: a whole list of some thousand servers
MAX_HEADERS = 100
MAX_CONTENT_LENGTH_DIGITS = 9  # digits of a content length
MAX_RETRY_AFTER_DIGITS = 4  # digits of a Retry-After that is read at all
REJECTED_STATUS_CODES = (b"429", b"503")  # too many ask: the answer is yet to be had, later
MAX_RETRY_AFTER = 60.0  # s of a Retry-After that is heeded: more would leave the list old for good


def encode_get(host: str, path: str) -> bytes:
    """A GET request."""
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode("ascii")


class HttpResponseReader:
    """Takes an answer's lines from a ring buffer as they come.

    `is_complete` is set once the answer is whole, `retry_after` is how long (s) a server that turned the
    request away wants to be left alone. All methods raise MalformedError where the bytes are no such answer;
    its reason is THROTTLED for an answer 429 or 503 and OVERSIZED for a line that is too long.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self.is_rejected = False
        self.retry_after = 0.0
        self._step: Callable[[bytes], None] | None = self._status  # takes the next line; None within the body
        self._headers = 0
        self._interim = False
        self._chunked = False
        self._length: int | None = None
        self._until_end = False  # whether the body states no length and lasts until the connection ends
        self._left = 0  # bytes of the body, or of the chunk, that have yet to come
        self._rest = bytearray()  # the line of the body under way

    def feed(self, ring: RingBuffer) -> Iterator[bytes]:
        """Each line of the body that is whole, without its line end."""
        while not self.is_complete:
            if self._step is None:
                yield from self._body(ring)
                if self._step is None and not self.is_complete:
                    return
            elif not self._take_line(ring, self._step):
                return

    def on_eof(self) -> bytes:
        """Tell that the other side ended the connection in order.

        The last line of a body that lasts until then, where it has no line end; else nothing.
        """
        rest = bytes(self._rest) if self._until_end else b""
        self._rest = bytearray()
        return rest

    def _take_line(self, ring: RingBuffer, step: Callable[[bytes], None]) -> bool:
        line = ring.read_line()
        if line is not None:
            step(line)
            return True
        if len(ring) > MAX_HEAD_LINE_BYTES:
            raise MalformedError("a line of the head that does not end")
        return False

    # the head

    def _status(self, line: bytes) -> None:
        words = line.split(b" ", 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1."):
            raise MalformedError("no HTTP/1.1 answer")
        code = words[1]
        self._interim = len(code) == 3 and code.startswith(b"1") and code != b"101"
        self.is_rejected = code in REJECTED_STATUS_CODES
        if code != b"200" and not self._interim and not self.is_rejected:
            raise MalformedError("an answer that is not 200")
        self._step = self._header

    def _header(self, line: bytes) -> None:
        self._headers += 1
        if self._headers > MAX_HEADERS:
            raise MalformedError("too many headers")
        if not line:
            self._end_head()
            return
        name, colon, value = line.partition(b":")
        if not colon:
            raise MalformedError("a header without a colon")
        self._take_header(name.strip().lower(), value.strip().lower())

    def _take_header(self, name: bytes, value: bytes) -> None:
        if name == b"retry-after" and value.isdigit() and len(value) <= MAX_RETRY_AFTER_DIGITS:
            self.retry_after = min(float(value), MAX_RETRY_AFTER)
        elif name == b"transfer-encoding":
            self._chunked = value == b"chunked"
        elif name == b"content-length":
            if not value.isdigit() or len(value) > MAX_CONTENT_LENGTH_DIGITS:
                raise MalformedError("a length that is no number")
            self._length = int(value)

    def _end_head(self) -> None:
        if self._interim:  # word that the answer is yet to come
            self._step, self._chunked, self._length = self._status, False, None
        elif self.is_rejected:
            raise MalformedError("rejected", CloseReason.THROTTLED)
        elif self._chunked:
            self._step = self._chunk_size
        else:
            self._until_end = self._length is None
            self._left = self._length or 0
            self._step = None

    # the body

    def _body(self, ring: RingBuffer) -> Iterator[bytes]:
        if self._until_end:
            yield from self._lines(ring.read(len(ring)))
            return
        data = ring.read(min(self._left, len(ring)))
        self._left -= len(data)
        yield from self._lines(data)
        if self._left:
            return
        if self._chunked:
            self._step = self._chunk_end
            return
        self.is_complete = True
        if self._rest:
            yield bytes(self._rest)

    def _chunk_size(self, line: bytes) -> None:
        try:
            self._left = int(line.split(b";", 1)[0].strip(), 16)
        except ValueError:
            raise MalformedError("a chunk without a size") from None
        if self._left < 0:
            raise MalformedError("a chunk of a size below 0")
        self._step = None if self._left else self._trailer

    def _chunk_end(self, line: bytes) -> None:
        if line:
            raise MalformedError("a chunk longer than it said")
        self._step = self._chunk_size

    def _trailer(self, line: bytes) -> None:
        if not line:
            self.is_complete = True

    def _lines(self, data: bytes) -> Iterator[bytes]:
        start = 0
        while (end := data.find(b"\n", start)) >= 0:
            self._rest += data[start:end]
            line, self._rest = bytes(self._rest).rstrip(b"\r"), bytearray()
            yield line
            start = end + 1
        self._rest += data[start:]
        if len(self._rest) > MAX_BODY_LINE_BYTES:
            raise MalformedError("a line of the answer too long", CloseReason.OVERSIZED)
