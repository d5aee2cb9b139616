"""Hosts many gateways behind one wire: decodes records into calls on them, and their actions into replies."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO, Callable

from ..model import Attempt, Outcome, Request, Server, ServerState
from ..policy import Gateway
from ..ports import CounterCallback
from ..registry import CustomerRegistry, ServerRegistry
from ..settings import SettingsError, parse_object, read_gateway_settings, read_section
from . import frames
from .frames import Batch, Reply, WireError

OUTCOMES = {
    10: Outcome.OK,
    20: Outcome.ERROR,
    30: Outcome.BUSY,
    40: Outcome.TIMEOUT,
    50: Outcome.CONNECT_FAILED,
    60: Outcome.RESET,
    70: Outcome.CANCELLED,
    80: Outcome.NOT_SENT,
}
STATES = {0: ServerState.READY, 1: ServerState.GONE, 2: ServerState.DRAINING}
DELTA, FULL, CACHED, FAILED = 0, 2, 3, 4
REPEATED, WRITE = 2, 4
TO_ALL = 0xFFFF


def named(table: dict, code: int, what: str):
    """What a code stands for. Raises WireError."""
    if code not in table:
        raise WireError(f"unknown {what} {code}")
    return table[code]


def parse(text: bytes) -> dict:
    """The settings of a text. Raises WireError."""
    try:
        return parse_object(text)
    except SettingsError as broken:
        raise WireError(str(broken)) from broken


class Seat:
    """One gateway's place at the wire: the port it acts through, and the ids of what it holds."""

    def __init__(self, instance: int, seed: int, info: dict, now: float, reply: Reply):
        self.instance, self.now, self.reply = instance, now, reply
        self.calls: dict[int, Request] = {}
        self.roster, self.customers = ServerRegistry(), CustomerRegistry()
        self.alarms: dict[int, Callable[[], None]] = {}
        self.counts: dict[int, list[CounterCallback]] = {}
        self.mark = 0
        try:
            self.columns = list(read_section(info, "load_info").get("columns", []))
            settings = read_gateway_settings(info)
            self.routes, self.plans = settings.routes, settings.plans
            self.gateway = Gateway(self, seed, settings)
        except ValueError as refused:
            raise WireError(f"settings: {refused}") from refused

    # the port

    def act(self, code: int, *fields) -> None:
        """Append a record of this gateway to the reply."""
        self.reply.add(code, self.instance, *fields)

    def start_attempt(self, request: Request, server: Server, timeout: float) -> Attempt:
        """Begin an attempt (ports.GatewayPort)."""
        attempt = Attempt(request, server, len(request.attempts), self.now)
        request.attempts.append(attempt)
        self.act(frames.FORWARD, request.id, server.id, timeout)
        return attempt

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Give an attempt up (ports.GatewayPort)."""
        self.act(frames.WITHDRAW, attempt.request.id, attempt.index)

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Refuse a request (ports.GatewayPort)."""
        self.act(frames.PUSH_BACK, request.id, retry_after)
        self.release(request)

    def fail_request(self, request: Request) -> None:
        """Tell that a request failed (ports.GatewayPort)."""
        self.act(frames.LOSE, request.id)
        self.release(request)

    def add_to_counter(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add to a count (ports.GatewayPort)."""
        self.counts.setdefault(name, []).append(callback)
        self.act(frames.ADD_AND_GET, name, amount, lifetime)

    def probe(self, server: Server) -> None:
        """Probe a server (ports.GatewayPort)."""
        self.act(frames.SOUND_OUT, server.id)

    def tell(self, peer: int | None, data: bytes) -> None:
        """Send a message to a gateway (ports.GatewayPort)."""
        self.act(frames.POST, TO_ALL if peer is None else peer, *self.reply.keep(data))

    def close_idle(self, server: Server) -> None:
        """Close idle connections (ports.GatewayPort)."""
        self.act(frames.FREE_LINKS, server.id)

    def watch_servers(self, on: bool) -> None:
        """Ask for the server list's changes (ports.GatewayPort)."""
        self.act(frames.SUBSCRIBE, int(on))

    def fetch_servers(self) -> None:
        """Ask for the whole server list (ports.GatewayPort)."""
        self.act(frames.RELOAD)

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back after so many seconds (ports.GatewayPort)."""
        self.mark += 1
        self.alarms[self.mark] = callback
        self.act(frames.SET_ALARM, seconds, self.mark)

    def log(self, text: str) -> None:
        """A line for the people on call (ports.GatewayPort)."""
        self.act(frames.TRACE, *self.reply.keep(text.encode()))

    # what comes in

    def release(self, request: Request) -> None:
        """Forget an answered API call once none of its tries is out."""
        if all(attempt.outcome for attempt in request.attempts):
            self.calls.pop(request.id, None)

    def arrival(
        self,
        ident: int,
        expires: float,
        units: float,
        plan: int,
        customer: int,
        spread: float,
        first: float,
        bits: int,
        route: int,
    ) -> None:
        """A client's request came."""
        if plan >= len(self.plans) or route >= len(self.routes):
            raise WireError(f"API call {ident}: plan {plan} or route {route} is not in the settings")
        payer = self.customers.find(customer, self.plans[plan])
        request = Request(
            ident,
            payer,
            self.routes[route],
            expires,
            units,
            max(1, round(spread)),
            round(first),
            bool(bits & REPEATED),
            bool(bits & WRITE),
        )
        self.calls[ident] = request
        self.gateway.on_request(request)

    def opened(self, ident: int, took: float, server: int, number: int) -> None:
        """A server's answer began."""
        attempt = self.find(ident, number)
        if attempt:
            self.gateway.on_response_started(attempt, took)

    def try_end(
        self,
        ident: int,
        number: int,
        server: int,
        code: int,
        took: float,
        final: int,
        used: int,
        charged: int,
        columns: int,
        *values: float,
    ) -> None:
        """An attempt ended."""
        attempt = self.find(ident, number)
        if attempt is None:
            return
        attempt.outcome = named(OUTCOMES, code, "outcome")
        report = dict(zip(self.columns, values[:columns], strict=False))
        use = used - 1 if used else None
        self.gateway.on_attempt_ended(attempt, took, bool(final), float(charged), use, report)
        if final or attempt.request.id in self.calls and attempt.request.pending is None:
            self.release(attempt.request)

    def find(self, ident: int, number: int) -> Attempt | None:
        """An attempt by the ids of its request and its number."""
        request = self.calls.get(ident)
        return request.attempts[number] if request and number < len(request.attempts) else None

    def hangup(self, ident: int) -> None:
        """A client left."""
        request = self.calls.get(ident)
        if request:
            self.gateway.on_client_disconnected(request)
            self.release(request)

    def fired(self, mark: int) -> None:
        """A timer is due."""
        callback = self.alarms.pop(mark, None)
        if callback:
            callback()

    def counted(self, name: int, code: int, total: float, took: float) -> None:
        """A count ended."""
        waiting = self.counts.get(name)
        if not waiting:
            return
        told = waiting.pop(0)
        if not waiting:
            del self.counts[name]
        told(named(OUTCOMES, code, "count outcome"), total, took)

    def probed(self, code: int, server: int, took: float, columns: int, *values: float) -> None:
        """A probe ended."""
        if server in self.roster.servers:
            report = dict(zip(self.columns, values[:columns], strict=False))
            self.gateway.on_probe_ended(
                self.roster.servers[server], named(OUTCOMES, code, "probe outcome"), took, report
            )

    def server_list(self, scope: int, entries: list[tuple]) -> None:
        """The server list, or changes of it."""
        if scope == FAILED:
            self.gateway.on_server_list_failed()
            return
        if scope not in (DELTA, FULL, CACHED):
            raise WireError(f"unknown scope {scope} of a server list")
        told = self.roster.update(
            [(*entry[:4], named(STATES, entry[4], "server state"), *entry[5:]) for entry in entries],
            scope != DELTA,
        )
        self.gateway.on_servers_updated(told)


class Host:
    """Reads batches, lets the gateways that they name act, and answers each batch."""

    def __init__(self, source: BinaryIO, sink: BinaryIO):
        self.source, self.sink = source, sink
        self.seats: dict[int, Seat] = {}

    def run(self) -> None:
        """Answer batches until the stream ends."""
        while (batch := frames.read_batch(self.source)) is not None:
            reply = Reply(batch.number)
            for code, fields in batch.records():
                self.take(batch, reply, code, fields)
            self.sink.write(reply.encode())
            self.sink.flush()

    def take(self, batch: Batch, reply: Reply, code: int, fields: tuple) -> None:
        """Take a record of a batch."""
        instance, *rest = fields
        if code == frames.KILLED:
            self.seats.pop(instance, None)
            return
        try:
            if code == frames.LAUNCH:
                seed, offset, length = rest
                info = parse(bytes(batch.tail(offset, length)))
                self.seats[instance] = Seat(instance, seed, info, batch.clock, reply)
                return
            seat = self.seats.get(instance)
            if seat is None:
                return
            seat.now, seat.reply = batch.clock, reply
            self.hand(seat, batch, code, rest)
        except WireError:
            raise
        except Exception:
            text = traceback.format_exc()
            print(text, file=sys.stderr)
            reply.add(frames.BUG, instance, *reply.keep(text[-2000:].encode()))

    def hand(self, seat: Seat, batch: Batch, code: int, rest: list) -> None:
        """Hand a record to its gateway."""
        if code == frames.ARRIVAL:
            seat.arrival(*rest)
        elif code == frames.TRY_END:
            seat.try_end(*rest)
        elif code == frames.FIRED:
            seat.fired(*rest)
        elif code == frames.COUNTED:
            seat.counted(*rest)
        elif code == frames.OPENED:
            seat.opened(*rest)
        elif code == frames.PROBED:
            seat.probed(*rest)
        elif code == frames.HANGUP:
            seat.hangup(*rest)
        elif code == frames.WHISPER:
            sender, offset, length = rest
            seat.gateway.on_peer_message(sender, bytes(batch.tail(offset, length)))
        elif code == frames.SERVERS:
            scope, _index, offset, count = rest
            seat.server_list(scope, batch.entries(offset, count))
