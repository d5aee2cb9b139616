"""Connections of clients: commands in, one answer to each, in their order."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import islice
from time import monotonic
from typing import Callable

from ..interface import ApiCall, Plan, Route
from ..protocol import calls, resp
from ..roster import Customers
from ..transport.sockets import time_limits
from ..transport.stream import Stream
from ..transport.threads import spawn
from .connections import read_to_end

LATEST = 0.5  # s after its client timeout from which a call's connection is ended rather than answered: nobody waits
STOPPED = (
    1.0  # s that a look at the connections may come late before the process counts as one that was stopped
)
LOOKS = 8  # idle connections looked at for one that can be closed, at a time


class Slot:
    """The place of one answer among those of its connection."""

    __slots__ = ("client", "said", "size", "call")

    def __init__(self, client: Client):
        self.client, self.said, self.size, self.call = client, None, 0, None

    def answer(self, *parts: bytes | bytearray) -> None:
        if self.said is None:
            self.said, self.size = deque(parts), sum(map(len, parts))
            clients = self.client.clients
            clients.answered(self)
            if self.call and clients.port.now > self.call.expires + LATEST and not self.client.gone:
                self.call = None  # this process was stopped, or starved: a late answer helps nobody
                return clients.leave(self.client, "late")
            self.call = None  # the call may be known a while longer, what it came on is not held by it
            self.client.pour()


@dataclass(eq=False)
class WordedCall(ApiCall):
    """An API call with its client's words, and the place of its answer."""

    wording: calls.Wording = None
    slot: Slot = None


class Client:
    """One client's connection, and the thread that reads it."""

    def __init__(self, clients: Clients, sock):
        self.clients = clients
        self.stream = Stream(sock, resp.ROOM, self.drained)
        self.slots: deque[Slot] = deque()
        self.served, self.idle_at, self.waited = 0, 0.0, 0.0  # waited: s that what came may have lain unread
        self.waits = self.gone = self.parting = False  # parting: its end is under way, nothing more is taken

    # its thread

    def run(self) -> None:
        port, began, reader, stream = self.clients.port, monotonic(), resp.Reader(), self.stream

        def took(at: float) -> bool:
            if self.parting:
                stream.inbound.drop(len(stream.inbound))
                return False
            asked, bad = [], None
            try:
                for words in reader.feed(stream.inbound):
                    asked.append(self.understand(words))
            except resp.MalformedError as met:
                bad = met
            if (asked or bad) and stream.other_side_ended():
                return True  # it left before what it asked was begun: nothing is sent on for it
            if asked or bad:
                port.run(at, self.take, asked, bad)
            return bad is not None  # what follows bytes that can't be read is not waited for

        reason = read_to_end(stream.read, took, port.faults)
        stream.end(stream.last or ("left" if reason == "closed" else reason))
        stream.close()
        port.run(monotonic(), self.left)
        stream.drained = None  # or the two would hold each other until somebody looks for garbage
        self.clients.log_end("client", stream.reason, None, monotonic() - began, self.served)

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

    def take(self, asked: list, bad: resp.MalformedError | None) -> None:
        if self.parting:
            return  # it crossed the end of the connection: the client asks again on another
        self.clients.woken()
        waited, self.waited = self.waited, 0.0
        if waited and any(isinstance(one, calls.Wording) and one.patience <= waited for one in asked):
            return self.clients.leave(self, "late")
        for one in asked:
            slot = self.slot()
            if isinstance(one, calls.Wording):
                try:
                    self.clients.call(slot, one, waited)
                except Exception as met:  # a fault costs this call, not those behind it on the connection
                    self.clients.port.todo.append((self.clients.port.faults, met))
                    slot.answer(calls.ERRORED)
            else:
                slot.answer(
                    one if one is not resp.PONG or self.clients.fit() else resp.error("ERR not ready yet")
                )
        if bad:  # it ends at once, whatever else is open on it: all that was taken gets its answer
            self.clients.give_up(self)
            self.parting = True
            self.slot().answer(resp.error(f"ERR {bad}"))
            self.clients.port.todo.append((self.stream.finish, bad.reason))

    def slot(self) -> Slot:
        slot = Slot(self)
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
        if self.waits:
            self.clients.port.run(monotonic(), self.pour)


class Clients:
    """All client connections. Its methods but for `accepted` are called under the port's lock."""

    def __init__(
        self,
        port,
        log_end: Callable,
        routes: list[Route],
        plans: list[Plan],
        gateways: int,
        largest: float,
        fit: Callable[[], bool],
        most_clients: int,
        over: int,
        most_calls: int,
        client_held: int,
        most_held: int,
        stalled_for: float,
        lingers_for: float,
        mute_for: float,
        idle_for: float,
    ):
        self.port, self.log_end, self.fit = port, log_end, fit
        self.routes = {route.name.encode(): route for route in routes}
        self.gateways, self.largest = gateways, largest
        self.plans = {plan.name.encode(): plan for plan in plans}
        self.most_clients, self.most_calls = most_clients, most_calls
        self.client_held, self.most_held, self.held = (
            client_held,
            most_held,
            0,
        )  # bytes of answers not yet written
        self.stalled_for, self.lingers_for, self.over = stalled_for, lingers_for, over
        self.mute_for, self.idle_for = mute_for, idle_for
        self.customers = Customers()
        self.all: dict[Client, None] = {}
        self.idle: dict[Client, None] = {}  # those without an open command, the longest idle first
        self.mute: dict[Client, None] = {}  # those that never sent a whole one, the oldest first
        self.stopping = self.closing = (
            False  # no idle one is closed for another or for its age; each after its answer
        )
        self.ids: set[int] = set()  # of the calls that are open
        self.sweeps_at = port.now + mute_for  # when the next look at them is due
        self.woke_at = (
            self.slept_for
        ) = -1.0  # when this process last was found to have been stopped, and how long
        self.living = self.open_calls = self.asked = (
            0  # descriptors not yet given back; API calls, bytes of them
        )

    def accepted(self, sock) -> None:
        try:
            time_limits(sock, writing=self.stalled_for)
        except OSError:
            return sock.close()
        client = Client(self, sock)
        self.port.run(monotonic(), self.welcome, client)

    def welcome(self, client: Client) -> None:
        if self.living >= self.most_clients:
            oldest = self.to_leave()
            if not oldest or self.living >= self.most_clients + self.over:
                self.port.todo.append((self.turn_away, client))
                return
            self.leave(oldest, "made-room")
        self.living += 1
        self.woken()
        if self.port.now - self.woke_at < LATEST:
            client.waited = client.stream.lain(self.slept_for)  # it may have come up while nobody accepted
        client.idle_at = self.port.now
        self.all[client] = self.mute[client] = None
        self.port.todo.append((self.start, client))

    def to_leave(self) -> Client | None:
        """Whom to close for another: first who had time and said nothing, so that a flood of such costs the others
        nothing, then who is idle longest.
        """
        mute = self.longest(self.mute)
        if mute and (self.stopping or self.port.now - mute.idle_at > self.mute_for / 8):
            return mute
        return mute if self.stopping else self.longest(self.idle) or mute

    def longest(self, held: dict[Client, None]) -> Client | None:
        """Those that have asked, though their thread has not come to it, begin anew; not so in midst of a command."""
        for client in list(islice(held, LOOKS)):
            if len(client.stream.inbound) or not client.stream.unheard():
                return client
            del held[client]
            held[client] = None
            client.idle_at = self.port.now
        return None

    def leave(self, client: Client, reason: str) -> None:
        """Close it between two commands. What it now may ask crosses the end: it asks again elsewhere."""
        client.parting = True
        self.forget(client)
        self.port.todo.append((client.stream.end, reason))

    def woken(self) -> None:
        """See whether this process was stopped for a while (a signal, a paused machine). What came to its connections
        meanwhile has lain there: a call whose time that cost is not begun and its connection ends, others have so much
        less.
        """
        late = self.port.now - self.sweeps_at
        if late > STOPPED:
            self.sweeps_at = self.port.now
            self.woke_at, self.slept_for = self.port.now, late + self.mute_for / 8
            for client in list(self.all):
                client.waited = client.stream.lain(self.slept_for)
            self.port.todo.append((self.port.log_woken, self.slept_for))

    def sweep(self) -> None:
        """Close who connected and sent nothing whole, and who has been idle for long."""
        self.woken()
        self.sweeps_at = self.port.now + self.mute_for / 8
        self.port.later(self.mute_for / 8, self.sweep)
        kinds = [(self.mute, self.mute_for, "mute"), (self.idle, self.idle_for, "idle")]
        for held, most, reason in kinds[:1] if self.stopping else kinds:
            while held and self.port.now - next(iter(held)).idle_at > most:
                client = self.longest(held)
                if client and self.port.now - client.idle_at > most:
                    self.leave(client, reason)

    def turn_away(self, client: Client) -> None:
        client.stream.close()
        self.log_end("client", "full", None, 0.0, 0)

    def start(self, client: Client) -> None:
        if not spawn("client", client.run):
            client.stream.close()
            self.port.run(monotonic(), client.left)
            self.log_end("client", "no-thread", None, 0.0, 0)

    def call(self, slot: Slot, wording: calls.Wording, waited: float = 0.0) -> None:
        route, plan = self.routes[wording.route], self.plans[wording.plan]
        if wording.ident in self.ids:
            return slot.answer(resp.error("ERR the id is that of another open call"))
        if self.open_calls >= self.most_calls or self.asked + self.held + wording.size > self.most_held:
            return slot.answer(calls.rate_limited(0.0))
        customer = self.customers.find(wording.customer, plan)
        call = WordedCall(
            wording.ident,
            customer,
            route,
            self.port.now + min(wording.patience, route.client_timeout) - waited,
            wording.units,
            wording.spread,
            wording.first,
            wording.repeated,
            wording.write,
            wording=wording,
            slot=slot,
        )
        self.ids.add(wording.ident)
        slot.call, self.open_calls, self.asked = call, self.open_calls + 1, self.asked + wording.size
        self.port.gateway.arrived(call)

    def answered(self, slot: Slot) -> None:
        if slot.call:
            self.ids.discard(slot.call.id)
            self.open_calls -= 1
            self.asked -= slot.call.wording.size
            slot.call.wording = None  # it is not sent any more
        if not slot.client.gone:
            self.held += slot.size

    def holds_too_much(self, client: Client) -> bool:
        """Whether the answers that a client leaves unread take memory that others need."""
        return self.held > 1.5 * self.most_held or client.unread() - client.slots[0].size > self.client_held

    def settled(self, client: Client) -> None:
        if client.gone or client.parting:
            return
        if self.closing:
            self.part(client)
        else:
            client.idle_at = self.port.now
            self.idle[client] = None

    def part(self, client: Client) -> None:
        """End the sending between two API calls, and all once the client had time to hear of it."""
        client.parting = True
        self.port.todo.append((client.stream.finish, "restart"))
        self.port.later(self.lingers_for, lambda: self.port.todo.append((client.stream.end, "restart")))

    def forget(self, client: Client) -> None:
        self.all.pop(client, None)
        self.idle.pop(client, None)
        self.mute.pop(client, None)

    def stop(self) -> None:
        """The end is near: what crosses the close of a connection may find no other way in any more."""
        self.stopping = True

    def close(self) -> None:
        """From now on a connection ends as soon as all that came on it is answered."""
        self.closing = True
        for client in [one for one in (*self.idle, *self.mute) if not one.stream.unheard()]:
            self.part(client)
            self.idle.pop(client, None)
            self.mute.pop(client, None)

    def give_up(self, client: Client) -> None:
        """Have the decisions end what is open on a connection, as of a client that left."""
        for slot in list(client.slots):
            if slot.said is None and slot.call:
                self.port.gateway.client_left(slot.call)

    def give_up_all(self) -> None:
        """Answer all that is still open: the program is about to end."""
        for client in list(self.all):
            self.give_up(client)
