"""All connections of clients: who may connect, who is closed for whom, and how many requests are open."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from time import monotonic
from typing import Callable

from ..protocol import calls, resp
from ..registry import CustomerRegistry
from ..site import GatewaySettings
from ..transport.sockets import time_limits
from ..transport.threads import spawn
from .client_connection import LATEST, ClientConnection, PendingAnswer, WordedCall

STOPPED = 1.0  # s that a look at the connections may come late before the process counts as stopped
LOOKS = 8  # idle connections looked at for one that can be closed, at a time


@dataclass(frozen=True)
class ClientLimits:
    """What clients may take of the program. Times in seconds."""

    connections: int
    spare_connections: int  # beyond that, while those that make room are being closed
    open_requests: int
    unread_bytes_of_one: int  # of answers that one client has not read, behind the first
    unread_bytes: int  # of all clients, and of requests' bodies
    stalled_for: float  # that a client may leave its answers unread
    lingers_for: float  # for a client to hear that its connection ends
    mute_for: float  # until a connection is closed on which nothing whole came
    idle_for: float  # until one is closed on which nothing is open


class Clients:
    """All client connections. Its methods but for `accepted` are called under the port's lock."""

    def __init__(
        self,
        port,
        log_end: Callable,
        settings: GatewaySettings,
        fit: Callable[[], bool],
        limits: ClientLimits,
    ):
        """`fit`: whether the program can serve; `log_end`: told of each connection's end."""
        self.port, self.log_end, self.fit, self.limits = port, log_end, fit, limits
        self.routes = {route.name.encode(): route for route in settings.routes}
        self.plans = {plan.name.encode(): plan for plan in settings.plans}
        self.gateways, self.largest = settings.gateways, settings.max_request_units
        self.held = 0  # bytes of answers not yet written
        self.customers = CustomerRegistry()
        self.all: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}  # those without an open command, the longest idle first
        self.mute: dict[ClientConnection, None] = {}  # those that never sent a whole one, the oldest first
        # No idle one is closed for another or for its age; each after its answer
        self.stopping = self.closing = False
        self.ids: set[int] = set()  # of the calls that are open
        self.sweeps_at = port.now + limits.mute_for  # when the next look at them is due
        self.woke_at = (
            self.slept_for
        ) = -1.0  # when this process last was found to have been stopped, and how long
        # Descriptors not yet given back; API calls, bytes of them
        self.living = self.open_calls = self.asked = 0

    def accepted(self, sock) -> None:
        """A client connected. Called by the thread that accepts, without the lock."""
        try:
            time_limits(sock, writing=self.limits.stalled_for)
        except OSError:
            return sock.close()
        client = ClientConnection(self, sock)
        self.port.run(monotonic(), self.welcome, client)

    def welcome(self, client: ClientConnection) -> None:
        """Take a connection in, make room for it, or turn it away."""
        if self.living >= self.limits.connections:
            oldest = self.to_leave()
            if not oldest or self.living >= self.limits.connections + self.limits.spare_connections:
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

    def to_leave(self) -> ClientConnection | None:
        """Whom to close for another.

        First who had time and said nothing, so that a flood of such costs the others nothing, then who is
        idle longest.
        """
        mute = self.longest(self.mute)
        if mute and (self.stopping or self.port.now - mute.idle_at > self.limits.mute_for / 8):
            return mute
        return mute if self.stopping else self.longest(self.idle) or mute

    def longest(self, held: dict[ClientConnection, None]) -> ClientConnection | None:
        """Those that have asked, though their thread has not come to it, begin anew.

        Not so in midst of a command.
        """
        for client in list(islice(held, LOOKS)):
            if len(client.stream.inbound) or not client.stream.unheard():
                return client
            del held[client]
            held[client] = None
            client.idle_at = self.port.now
        return None

    def leave(self, client: ClientConnection, reason: str) -> None:
        """Close it between two commands. What it now may ask crosses the end: it asks again elsewhere."""
        client.parting = True
        self.forget(client)
        self.port.todo.append((client.stream.end, reason))

    def woken(self) -> None:
        """See whether this process was stopped for a while (a signal, a paused machine).

        What came to its connections meanwhile has lain there: a call whose time that cost is not begun and
        its connection ends, others have so much less.
        """
        late = self.port.now - self.sweeps_at
        if late > STOPPED:
            self.sweeps_at = self.port.now
            self.woke_at, self.slept_for = self.port.now, late + self.limits.mute_for / 8
            for client in list(self.all):
                client.waited = client.stream.lain(self.slept_for)
            self.port.todo.append((self.port.log_woken, self.slept_for))

    def sweep(self) -> None:
        """Close who connected and sent nothing whole, and who has been idle for long."""
        self.woken()
        self.sweeps_at = self.port.now + self.limits.mute_for / 8
        self.port.later(self.limits.mute_for / 8, self.sweep)
        kinds = [(self.mute, self.limits.mute_for, "mute"), (self.idle, self.limits.idle_for, "idle")]
        for held, most, reason in kinds[:1] if self.stopping else kinds:
            while held and self.port.now - next(iter(held)).idle_at > most:
                client = self.longest(held)
                if client and self.port.now - client.idle_at > most:
                    self.leave(client, reason)

    def turn_away(self, client: ClientConnection) -> None:
        """Close a connection for which there is no room. Without the lock."""
        client.stream.close()
        self.log_end("client", "full", None, 0.0, 0)

    def start(self, client: ClientConnection) -> None:
        """Begin to read a connection. Without the lock."""
        if not spawn("client", client.run):
            client.stream.close()
            self.port.run(monotonic(), client.left)
            self.log_end("client", "no-thread", None, 0.0, 0)

    def call(self, slot: PendingAnswer, wording: calls.Wording, waited: float = 0.0) -> None:
        """Have a request decided; `waited`: s that it may have lain unread."""
        route, plan = self.routes[wording.route], self.plans[wording.plan]
        if wording.ident in self.ids:
            return slot.answer(resp.error("ERR the id is that of another open call"))
        if (
            self.open_calls >= self.limits.open_requests
            or self.asked + self.held + wording.size > self.limits.unread_bytes
        ):
            return slot.answer(calls.rate_limited(0.0))
        customer = self.customers.find(wording.customer, plan)
        request = WordedCall(
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
        slot.request, self.open_calls, self.asked = request, self.open_calls + 1, self.asked + wording.size
        self.port.gateway.on_request(request)

    def answered(self, slot: PendingAnswer) -> None:
        """A request has its answer, which may not be written yet."""
        if slot.request:
            self.ids.discard(slot.request.id)
            self.open_calls -= 1
            self.asked -= slot.request.wording.size
            slot.request.wording = None  # it is not sent any more
        if not slot.client.gone:
            self.held += slot.size

    def holds_too_much(self, client: ClientConnection) -> bool:
        """Whether the answers that a client leaves unread take memory that others need."""
        return (
            self.held > 1.5 * self.limits.unread_bytes
            or client.unread() - client.slots[0].size > self.limits.unread_bytes_of_one
        )

    def settled(self, client: ClientConnection) -> None:
        """All that was asked on a connection is answered and on its way."""
        if client.gone or client.parting:
            return
        if self.closing:
            self.part(client)
        else:
            client.idle_at = self.port.now
            self.idle[client] = None

    def part(self, client: ClientConnection) -> None:
        """End the sending between two API calls, and all once the client had time to hear of it."""
        client.parting = True
        self.port.todo.append((client.stream.finish, "restart"))
        self.port.later(
            self.limits.lingers_for, lambda: self.port.todo.append((client.stream.end, "restart"))
        )

    def forget(self, client: ClientConnection) -> None:
        """A connection is no longer looked after."""
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

    def give_up(self, client: ClientConnection) -> None:
        """Have the decisions end what is open on a connection, as of a client that left."""
        for slot in list(client.slots):
            if slot.said is None and slot.request:
                self.port.gateway.on_client_disconnected(slot.request)

    def give_up_all(self) -> None:
        """Answer all that is still open: the program is about to end."""
        for client in list(self.all):
            self.give_up(client)
