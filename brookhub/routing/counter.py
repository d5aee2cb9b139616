"""Connections to the counter: a few, with calls written one behind another, answered in their order."""

from __future__ import annotations

from collections import deque
from functools import partial
from time import monotonic
from typing import Callable

from ..model import Outcome
from ..ports import CounterCallback
from ..protocol import counts, resp
from ..transport.stream import Stream
from .connections import Reconnector, read_to_end, spawn_surely


class Count:
    """One call to the counter. Who asked hears once; a later answer only keeps the order."""

    __slots__ = ("told", "asked", "ends_at")

    def __init__(self, told: CounterCallback | None, asked: float):
        self.told, self.asked, self.ends_at = told, asked, 0

    def end(self, now: float, outcome: Outcome, total: float = 0.0) -> None:
        """Tell how it ended, once."""
        told, self.told = self.told, None
        if told:
            told(outcome, total, now - self.asked)


class CounterLink:
    """One connection to the counter, and the thread that dials it, reads it and dials again."""

    def __init__(self, counter: Counter, place: int, reconnector: Reconnector):
        self.counter, self.place, self.reconnector = counter, place, reconnector
        self.stream, self.waiting, self.heard_at = None, deque(), 0.0

    def run(self) -> None:
        """Dial and serve until the link is left. Runs in a thread of its own."""
        self.reconnector.run(self.serve)

    def serve(self, sock) -> tuple[str, int]:
        """Read a connection to its end; why it ended and how many answers it brought."""
        port, reader, answers = self.counter.port, resp.Reader(), 0
        stream = Stream(sock, resp.ROOM)

        def took(at: float) -> None:
            nonlocal answers
            said = []
            try:
                said.extend(reader.feed(stream.inbound))
            finally:  # what could be read before bytes that can't is true
                answers += len(said)
                port.run(at, self.answered, stream, said)

        port.run(monotonic(), self.up, stream)
        stream.end(read_to_end(stream.read, took, port.faults))
        port.run(monotonic(), self.down, stream)
        stream.close()
        return stream.reason, answers

    # under the port's lock

    def up(self, stream: Stream) -> None:
        """The connection is up and takes calls."""
        self.stream, self.heard_at = stream, self.counter.port.now
        if self.reconnector.over.is_set():
            stream_end(self.counter.port, stream, "moved")
        else:
            self.counter.take_over(self)

    def leave(self) -> None:
        """Its place is taken.

        What is out on it is still heard, as long as the counter has anything to say.
        """
        self.reconnector.over.set()
        self.settled()
        if self.stream:
            self.counter.port.later(
                self.counter.silent_after, partial(stream_end, self.counter.port, self.stream, "moved")
            )

    def settled(self) -> None:
        """Leave the connection where another has taken its place and nothing is out on it any more."""
        if self.reconnector.over.is_set() and self.stream and not self.waiting:
            stream_end(self.counter.port, self.stream, "moved")

    def down(self, stream: Stream) -> None:
        """What was written whole may have been added, or may yet be; the rest was not."""
        self.stream, waiting, self.waiting = None, self.waiting, deque()
        for one in waiting:
            whole = one.ends_at <= stream.tried
            one.end(self.counter.port.now, Outcome.TIMEOUT if whole else Outcome.CONNECT_FAILED)
        coming = self.counter.coming[self.place]
        if coming is not self:  # not dialled again: the counter is at another address
            self.counter.take_over(coming)

    def ask(self, one: Count, command: bytes) -> bool:
        """Put a call behind those before it; False where the connection takes none."""
        stream = self.stream
        if stream is None or stream.reason or not stream.put(command):
            return False
        one.ends_at = stream.told
        self.waiting.append(one)
        self.counter.port.todo.append((stream.flush,))
        return True

    def answered(self, stream: Stream, said: list) -> None:
        """Answers came, in the order of the calls."""
        self.heard_at = self.counter.port.now
        for answer in said:
            if not self.waiting or stream.reason:
                return stream_end(self.counter.port, stream, "nonsense")
            one = self.waiting.popleft()
            if isinstance(answer, resp.Status):
                if one.told:
                    stream_end(self.counter.port, stream, "nonsense")
                    one.end(self.heard_at, Outcome.TIMEOUT)
                continue
            try:
                total = counts.total(answer)
            except resp.MalformedError:
                stream_end(self.counter.port, stream, "nonsense")
                one.end(self.heard_at, Outcome.TIMEOUT)
                continue
            one.end(self.heard_at, Outcome.BUSY if total is None else Outcome.OK, total or 0.0)
        self.settled()

    def beat(self) -> None:
        """Keep an idle connection open, and leave one that has gone silent."""
        now, stream = self.counter.port.now, self.stream
        if stream is None or stream.reason:
            return
        if self.waiting and now - max(self.heard_at, self.waiting[0].asked) > self.counter.silent_after:
            stream_end(self.counter.port, stream, "silent")
        elif not self.waiting:
            self.ask(Count(None, now), counts.PING)


def stream_end(port, stream: Stream, reason: str) -> None:
    """End a connection once the lock is free."""
    port.todo.append((stream.end, reason))


class Counter:
    """The counter as the decisions ask it: a few places, each of a connection that calls are written to."""

    def __init__(
        self, port, reconnector: Callable[[tuple], Reconnector], wait: float, links: int, silent_after: float
    ):
        self.port, self.reconnector, self.wait, self.silent_after = port, reconnector, wait, silent_after
        self.address, self.links, self.coming = None, [None] * links, [None] * links
        self.asked: deque[Count] = deque()  # the oldest first, until answered or given up

    def move(self, address: tuple[str, int]) -> None:
        """Call there from now on. Until a connection to it is up, its place keeps the one that it has."""
        if address == self.address:
            return
        self.address = address
        for place, held in enumerate(self.coming):
            if held and held is not self.links[place]:
                held.leave()
            link = self.coming[place] = CounterLink(self, place, self.reconnector(address))
            if self.links[place] is None or self.links[place].stream is None:
                self.take_over(link)
            self.port.todo.append((spawn_surely, self.port, "counter", link.run))

    def take_over(self, link: CounterLink) -> None:
        """A new link is up: calls go there from now on."""
        held, self.links[link.place] = self.links[link.place], link
        if held and held is not link:
            held.leave()

    def count(self, name: int, amount: float, lives: float, told: CounterCallback) -> None:
        """A name keeps to one connection, so its totals come in the order of the calls."""
        one = Count(told, self.port.now)
        if self.links[name % len(self.links)].ask(one, counts.add(name, amount, lives)):
            if not self.asked:
                self.port.later(self.wait, self.give_up)
            self.asked.append(one)
        else:
            self.port.soon.append(lambda: one.end(self.port.now, Outcome.CONNECT_FAILED))

    def give_up(self) -> None:
        """End what has waited too long; all wait alike, so one timer, for the oldest, serves."""
        now, asked = self.port.now, self.asked
        while asked and (asked[0].told is None or asked[0].asked + self.wait <= now):
            asked.popleft().end(now, Outcome.TIMEOUT)
        if asked:
            self.port.later(asked[0].asked + self.wait - now, self.give_up)

    def beat(self) -> None:
        """Look for calls whose wait is over, and for a silent counter."""
        self.port.later(self.silent_after / 2, self.beat)
        for link in self.links:
            link.beat()
