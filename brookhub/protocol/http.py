"""HTTP/1.1 as discovery's watch speaks it: one request, and an answer of lines in chunks that stays open."""

from __future__ import annotations

from typing import Iterator

from .resp import MalformedError

LONGEST_HEAD = 4096  # bytes of a line of the head, or of one that announces a chunk
LONGEST_LINE = 1024 * 1024  # bytes of one line of the answer: a whole list of some thousand servers
MOST_HEADERS = 100
TURNED_AWAY = (b"429", b"503")  # too many ask: the answer is yet to be had, later
LONGEST_ASKED = 60.0  # s of a Retry-After that is heeded: more would leave the list old for good


def request(host: str, path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode("ascii")


class Lines:
    """Takes an answer's lines from a ring buffer as they come; `ended` once the answer is whole."""

    def __init__(self):
        self.step, self.left, self.headers = self.status, 0, 0
        self.chunked, self.length, self.ended = False, None, False
        self.to_end = False  # whether the answer states no length and lasts until the connection ends
        self.turned_away, self.asked = False, 0.0  # s that who turned the request away wants to be left alone
        self.rest = bytearray()  # the line under way

    def feed(self, ring) -> Iterator[bytes]:
        while not self.ended:
            if self.to_end:
                yield from self.lines(ring.take(len(ring)))
                return
            if self.step == self.body:
                data = ring.take(min(self.left, len(ring))) if self.left else b""
                self.left -= len(data)
                yield from self.lines(data)
                if self.left:
                    return
                if self.chunked:
                    self.step = self.chunk_end
                else:
                    self.finish()
                    if self.rest:
                        yield bytes(self.rest)
                continue
            line = ring.line()
            if line is None:
                if len(ring) > LONGEST_HEAD:
                    raise MalformedError("a line of the head that does not end")
                return
            self.step(line)

    def status(self, line: bytes) -> None:
        words = line.split(b" ", 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1."):
            raise MalformedError("no HTTP/1.1 answer")
        self.interim = len(words[1]) == 3 and words[1].startswith(b"1") and words[1] != b"101"
        self.turned_away = words[1] in TURNED_AWAY
        if words[1] != b"200" and not self.interim and not self.turned_away:
            raise MalformedError("an answer that is not 200")
        self.step = self.header

    def header(self, line: bytes) -> None:
        self.headers += 1
        if self.headers > MOST_HEADERS:
            raise MalformedError("too many headers")
        name, colon, value = line.partition(b":")
        name, value = name.strip().lower(), value.strip().lower()
        if not line and self.interim:  # word that the answer is yet to come
            self.step, self.chunked, self.length = self.status, False, None
        elif not line and self.turned_away:
            raise MalformedError("turned away", "turned-away")
        elif not line:
            self.to_end = not self.chunked and self.length is None
            self.step, self.left = (self.chunk, 0) if self.chunked else (self.body, self.length or 0)
        elif not colon:
            raise MalformedError("a header without a colon")
        elif name == b"retry-after" and value.isdigit() and len(value) < 5:
            self.asked = min(float(value), LONGEST_ASKED)
        elif name == b"transfer-encoding":
            self.chunked = value == b"chunked"
        elif name == b"content-length":
            if not value.isdigit() or len(value) > 9:
                raise MalformedError("a length that is no number")
            self.length = int(value)

    def chunk(self, line: bytes) -> None:
        try:
            self.left = int(line.split(b";", 1)[0].strip(), 16)
        except ValueError:
            raise MalformedError("a chunk without a size") from None
        if self.left < 0:
            raise MalformedError("a chunk of a size below 0")
        self.step = self.body if self.left else self.trailer

    def chunk_end(self, line: bytes) -> None:
        if line:
            raise MalformedError("a chunk longer than it said")
        self.step = self.chunk

    def trailer(self, line: bytes) -> None:
        if not line:
            self.finish()

    def finish(self) -> None:
        self.ended = True

    def end(self) -> bytes:
        """Tell that the other side ended the connection in order; the last line of an answer that lasts until then."""
        rest = bytes(self.rest) if self.to_end else b""
        self.rest = bytearray()
        return rest

    def body(self, line: bytes) -> None:
        raise AssertionError("a body is not read by lines")

    def lines(self, data: bytes) -> Iterator[bytes]:
        at = 0
        while (end := data.find(b"\n", at)) >= 0:
            self.rest += data[at:end]
            line, self.rest = bytes(self.rest).rstrip(b"\r"), bytearray()
            yield line
            at = end + 1
        self.rest += data[at:]
        if len(self.rest) > LONGEST_LINE:
            raise MalformedError("a line of the answer too long", "oversized")
