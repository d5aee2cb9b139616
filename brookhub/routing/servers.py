"""Connections to servers: kept open between tries, one try at a time on each."""

from __future__ import annotations

from time import monotonic
from typing import Callable

from ..model import Attempt, Outcome, Server, ServerState
from ..protocol import resp
from ..protocol.calls import ServerAnswer
from ..transport.sockets import dial
from ..transport.stream import Stream
from ..transport.threads import spawn
from .connections import read_to_end


class Pool:
    """The free connections to one server, the longest idle first."""

    def __init__(self, address: tuple[str, int]):
        self.address, self.idle = address, {}


class Link:
    """One connection to a server, and the thread that dials and reads it."""

    def __init__(self, servers: Servers, pool: Pool, server: Server, one: Attempt):
        self.servers, self.pool, self.server, self.one = servers, pool, server, one
        self.stream, self.ended, self.idle_at, self.until, self.served = None, None, 0.0, 0.0, 0
        self.reader, self.gathered = resp.Reader(servers.largest), 0

    def run(self) -> None:
        """Dial, then read to the end. Runs in a thread of its own."""
        servers, port = self.servers, self.servers.port
        began = monotonic()
        try:
            sock = dial(self.pool.address, servers.connect_within)
        except OSError:
            port.run(monotonic(), servers.broke, self)
            port.run(monotonic(), servers.closed)
            servers.log_end("server", self.ended or "unconnected", self.server, monotonic() - began, 0)
            return
        self.stream = Stream(sock, resp.ROOM)
        port.run(monotonic(), servers.connected, self)

        def took(at: float) -> bool:
            port.run(at, servers.heard, self)  # read there, so that none but the lock's holder takes bytes
            return self.ended is not None

        def wait() -> bool:
            return self.stream.wait(self.reader.wants() - len(self.stream.inbound))

        self.stream.end(read_to_end(wait, took, port.faults))  # first: what is not written never will be
        port.run(monotonic(), servers.broke, self)
        self.stream.close()
        port.run(monotonic(), servers.closed)
        servers.log_end(
            "server", self.ended or self.stream.reason, self.server, monotonic() - began, self.served
        )

    def end(self, reason: str) -> None:
        """End the connection; the first reason is kept."""
        self.ended = self.ended or reason
        if self.stream:
            self.stream.end(reason)


class Servers:
    """All connections to servers. Its methods but for `Link.run` are called under the port's lock."""

    def __init__(
        self,
        port,
        log_end: Callable,
        connect_within: float,
        idle_for: float,
        settles_for: float,
        most_links: int,
        largest: int,
        most_gathered: int,
    ):
        self.port, self.log_end, self.connect_within = port, log_end, connect_within
        self.idle_for, self.settles_for, self.most_links = idle_for, settles_for, most_links
        # Bytes of a value, of all that are on their way
        self.largest, self.most_gathered = largest, most_gathered
        self.gathered = 0
        self.pools: dict[int, Pool] = {}
        self.out: dict[Attempt, Link] = {}
        self.living = 0  # connections whose descriptor is not yet given back
        self.idle: dict[Link, None] = {}  # those that are free, the longest idle first

    def listed(self, server: Server, address: tuple[str, int]) -> None:
        """Where a server is to be found; one that takes nothing more, or moved, is left."""
        pool = self.pools.get(server.id)
        if pool is None or pool.address != address or server.state is not ServerState.READY:
            self.leave(server)
        if server.state is not ServerState.GONE and (pool is None or pool.address != address):
            self.pools[server.id] = Pool(address)

    def leave(self, server: Server) -> None:
        """Close the free connections to a server."""
        pool = self.pools.get(server.id)
        for link in list(pool.idle) if pool else ():
            self.drop(link, "unlisted")
        if server.state is ServerState.GONE:
            self.pools.pop(server.id, None)

    def send(self, one: Attempt, until: float) -> None:
        """Write an attempt on a free connection or a new one, which has to be up by `until`."""
        pool = self.pools[one.server.id]
        link = self.free_link(pool)
        if link:
            self.attach(link, one, until)
            return self.write(link)
        if self.living >= self.most_links:
            if not self.idle:
                self.port.soon.append(lambda: self.port.end_try(one, Outcome.CONNECT_FAILED))
                return
            self.drop(next(iter(self.idle)), "made-room")
        link = Link(self, pool, one.server, one)
        self.attach(link, one, until)
        self.living += 1
        self.port.todo.append((self.start, link))

    def free_link(self, pool: Pool) -> Link | None:
        """The one used last, as the others may grow old and go.

        But one that has just brought an answer may yet bring more than that, and one on which something came
        while nothing waited is of no further use.
        """
        for link in reversed(list(pool.idle)):
            if not link.stream.quiet():
                self.drop(link, "nonsense")
            elif self.port.now - link.idle_at >= self.settles_for:
                del self.idle[link], pool.idle[link]
                return link
        return None

    def start(self, link: Link) -> None:
        """Begin a connection. Without the lock."""
        if not spawn("server", link.run):
            self.port.run(monotonic(), self.broke, link)
            self.port.run(monotonic(), self.closed)
            self.log_end("server", "no-thread", link.server, 0.0, 0)

    def closed(self) -> None:
        """A connection's descriptor was given back."""
        self.living -= 1

    def attach(self, link: Link, one: Attempt, until: float) -> None:
        """A connection carries an attempt from now on."""
        link.one, link.until, self.out[one] = one, until, link

    def write(self, link: Link) -> None:
        """Write the attempt that a connection carries."""
        link.stream.put(link.one.request.wording.for_server(link.until - self.port.now))
        self.port.todo.append((link.stream.flush,))

    def connected(self, link: Link) -> None:
        """A connection came up."""
        if link.ended:
            link.stream.end(link.ended)
        elif link.server.state is not ServerState.READY:  # so told while it was dialled
            one = link.one
            self.drop(link, "unlisted")
            self.port.end_try(one, Outcome.NOT_SENT)
        elif link.one.request.pending is None:  # so ended while it was dialled: nothing more goes out for it
            one = link.one
            self.free(link)
            self.port.end_try(one, Outcome.NOT_SENT)
        else:
            self.write(link)

    def heard(self, link: Link) -> None:
        """Take what has come: the answer to the try that waits, or nothing that can be used."""
        stream, one = link.stream, link.one
        try:
            if link.ended or not self.read(link):
                return
            for said in link.reader.feed(stream.inbound) if one else ():
                self.gather(link, 0)
                return self.answered(link, ServerAnswer(said))
            if not one:
                return self.drop(link, "nonsense")
            self.gather(link, len(link.reader.gathered))  # what was said is counted: it may yet come
            if self.gathered > self.most_gathered:
                raise resp.MalformedError("more than there is memory for", "oversized")
        except resp.MalformedError as bad:
            self.drop(link, "oversized" if bad.reason == "oversized" else "nonsense")
            self.port.end_try(one, Outcome.ERROR)
        except OSError:
            pass  # where it broke, its thread sees the end

    def read(self, link: Link) -> int:
        """Take what came on a connection, where it belongs; how many bytes."""
        room = link.reader.room()
        if not len(room):
            return link.stream.read_at_once(link.reader.wants())
        length = link.stream.read_into(room)
        link.reader.filled += length
        return length

    def gather(self, link: Link, held: int) -> None:
        """Count the bytes held of values that are on their way."""
        self.gathered, link.gathered = self.gathered + held - link.gathered, held

    def answered(self, link: Link, answer: ServerAnswer) -> None:
        """An attempt has its answer."""
        one, port = link.one, self.port
        if not answer.sound or len(link.stream.inbound) or not link.stream.may_be_whole():
            self.drop(link, "nonsense")  # also for what came behind it: nothing may be left for the next try
        else:
            self.free(link)
        link.served += 1
        if answer.value is not None:
            port.end_try(one, Outcome.OK, answer.value, answer.charged, answer.used, answer.report)
        else:
            outcome = Outcome.BUSY if answer.turned_away else Outcome.ERROR
            port.end_try(one, outcome, None, 0.0, answer.used, answer.report)

    def free(self, link: Link) -> None:
        """A connection may carry another attempt."""
        del self.out[link.one]
        link.one, link.idle_at = None, self.port.now
        if link.server.state is not ServerState.READY:
            self.drop(link, "unlisted")
        else:
            self.idle[link] = link.pool.idle[link] = None

    def drop(self, link: Link, reason: str) -> None:
        """Forget a connection, and have it closed."""
        link.ended = link.ended or reason
        self.gather(link, 0)
        self.idle.pop(link, None)
        link.pool.idle.pop(link, None)
        if link.one:
            self.out.pop(link.one, None)
            link.one = None
        self.port.todo.append((link.end, reason))

    def abandon(self, one: Attempt) -> None:
        """An attempt is given up: its connection ends."""
        link = self.out.get(one)
        if link:
            self.drop(link, "abandoned")

    def broke(self, link: Link) -> None:
        """The other side ended it, or it never came up. What was written whole may have run."""
        one = link.one
        whole = link.stream is not None and link.stream.told > 0 and link.stream.may_be_whole()
        self.drop(link, link.ended)
        if one:
            self.port.end_try(one, Outcome.RESET if whole else Outcome.CONNECT_FAILED)

    def retire(self) -> None:
        """Leave what was idle so long that the server may be about to close it."""
        self.port.later(self.idle_for / 8, self.retire)
        for link in list(self.idle):
            if self.port.now - link.idle_at < self.idle_for:
                break
            self.drop(link, "idle")
