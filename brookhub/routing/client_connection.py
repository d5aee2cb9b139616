"""One client's connection: commands in, one answer to each, in their order."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from time import monotonic
from typing import TYPE_CHECKING

from ..model import Request
from ..protocol import calls, resp
from ..transport.stream import Stream
from .connections import read_to_end

if TYPE_CHECKING:
    from .clients import Clients

LATEST = 0.5  # s after its deadline from which a connection is ended rather than answered: nobody waits


class PendingAnswer:
    """The place of one answer among those of its connection."""

    __slots__ = ("client", "said", "size", "request")

    def __init__(self, client: ClientConnection):
        self.client, self.said, self.size, self.request = client, None, 0, None

    def answer(self, *parts: bytes | bytearray) -> None:
        """Give the answer; only the first one counts. Under the port's lock."""
        if self.said is None:
            self.said, self.size = deque(parts), sum(map(len, parts))
            clients = self.client.clients
            clients.answered(self)
            if self.request and clients.port.now > self.request.deadline + LATEST and not self.client.gone:
                self.request = None  # this process was stopped, or starved: a late answer helps nobody
                return clients.leave(self.client, "late")
            self.request = None  # the call may be known a while longer, what it came on is not held by it
            self.client.pour()


@dataclass(eq=False)
class WordedCall(Request):
    """A request with its client's words, and the place of its answer."""

    wording: calls.Wording = None
    slot: PendingAnswer = None


class ClientConnection:
    """One client's connection, and the thread that reads it."""

    def __init__(self, clients: Clients, sock):
        self.clients = clients
        self.stream, self.reader = Stream(sock, resp.ROOM, self.drained), resp.Reader()
        self.slots: deque[PendingAnswer] = deque()
        self.served, self.idle_at, self.waited = 0, 0.0, 0.0  # waited: s that what came may have lain unread
        self.waits = self.gone = self.parting = False  # parting: its end is under way, nothing more is taken

    # its thread

    def run(self) -> None:
        """Read the connection to its end. Runs in a thread of its own."""
        port, began, stream = self.clients.port, monotonic(), self.stream
        reason = read_to_end(stream.read, self.took, port.faults)
        stream.end(stream.last or ("left" if reason == "closed" else reason))
        stream.close()
        port.run(monotonic(), self.left)
        stream.drained = None  # or the two would hold each other until somebody looks for garbage
        self.clients.log_end("client", stream.reason, None, monotonic() - began, self.served)

    def took(self, at: float) -> bool:
        """Bytes came at a moment (s): begin what they ask; whether the connection is over."""
        stream = self.stream
        if self.parting:
            stream.inbound.drop(len(stream.inbound))
            return False
        asked, bad = self.read_commands()
        if not asked and not bad:
            return False
        if stream.other_side_ended():
            return True  # it left before what it asked was begun: nothing is sent on for it
        self.clients.port.run(at, self.take, asked, bad)
        return bad is not None  # what follows bytes that can't be read is not waited for

    def read_commands(self) -> tuple[list[calls.Wording | bytes], resp.MalformedError | None]:
        """The commands that are there as a whole, and the error of the first that can't be read."""
        asked: list[calls.Wording | bytes] = []
        try:
            for words in self.reader.feed(self.stream.inbound):
                asked.append(self.understand(words))
        except resp.MalformedError as bad:
            return asked, bad
        return asked, None

    def understand(self, words) -> calls.Wording | bytes:
        """A command as an API call, or the answer that it gets at once."""
        if not isinstance(words, list) or not words or not all(type(word) is bytes for word in words):
            raise resp.MalformedError("a command is an array of bulk strings")
        if words[0].upper() == b"PING":
            return resp.PONG
        if words[0] not in calls.VERBS:
            return resp.error("ERR unknown command")
        clients = self.clients
        try:
            wording = calls.Wording(words)
            if wording.route not in clients.routes or wording.plan not in clients.plans:
                raise calls.BadCallError("unknown c or t")
            wording.check(clients.routes[wording.route], clients.gateways, clients.largest)
        except calls.BadCallError as bad:
            return resp.error(f"ERR {bad}")
        return wording

    # under the port's lock

    def take(self, asked: list[calls.Wording | bytes], bad: resp.MalformedError | None) -> None:
        """Begin what was asked, in order; `bad`: what came after it can't be read and ends the connection."""
        if self.parting:
            return  # it crossed the end of the connection: the client asks again on another
        self.clients.woken()
        waited, self.waited = self.waited, 0.0
        if waited and any(isinstance(one, calls.Wording) and one.patience <= waited for one in asked):
            return self.clients.leave(self, "late")
        for one in asked:
            if isinstance(one, calls.Wording):
                self.begin(one, waited)
            elif one is resp.PONG and not self.clients.fit():
                self.slot().answer(resp.error("ERR not ready yet"))
            else:
                self.slot().answer(one)
        if bad:  # it ends at once, whatever else is open on it: all that was taken gets its answer
            self.clients.give_up(self)
            self.parting = True
            self.slot().answer(resp.error(f"ERR {bad}"))
            self.clients.port.todo.append((self.stream.finish, bad.reason))

    def begin(self, wording: calls.Wording, waited: float) -> None:
        """Have a request decided; a fault costs this one, not those behind it on the connection."""
        slot = self.slot()
        try:
            self.clients.call(slot, wording, waited)
        except Exception as met:
            self.clients.port.todo.append((self.clients.port.faults, met))
            slot.answer(calls.ERRORED)

    def slot(self) -> PendingAnswer:
        """The place of the next answer; the connection is not idle any more."""
        slot = PendingAnswer(self)
        self.slots.append(slot)
        self.clients.idle.pop(self, None)
        self.clients.mute.pop(self, None)
        return slot

    def pour(self) -> None:
        """Move what is answered, in order, to where it is written from."""
        self.waits = False
        while self.slots and self.slots[0].said is not None and not self.gone:
            slot = self.slots[0]
            while slot.said and (put := self.stream.put_part(slot.said[0])) == len(slot.said[0]):
                slot.said.popleft()
            if slot.said:  # the rest once that is written
                slot.said[0], self.waits = memoryview(slot.said[0])[put:], True
                if self.clients.holds_too_much(self):
                    self.clients.port.todo.append((self.stream.end, "slow-reader"))
                break
            self.slots.popleft()
            self.clients.held -= slot.size
            self.served += 1
        self.clients.port.todo.append((self.stream.flush,))
        if not self.slots:
            self.clients.settled(self)

    def left(self) -> None:
        """The connection is over: what is open on it ends, and its descriptor is given back."""
        self.gone = True
        self.clients.living -= 1
        self.clients.forget(self)
        self.clients.give_up(self)
        self.clients.held -= self.unread()
        self.slots.clear()

    def unread(self) -> int:
        """Bytes of answers that wait until the client has read those before."""
        return sum(slot.size for slot in self.slots)

    # after the lock

    def drained(self) -> None:
        """All that was put is written: more may be put."""
        if self.waits:
            self.clients.port.run(monotonic(), self.pour)
