"""A gateway that runs in the simulator: its port and the handlers of its events."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TypeVar

from ..model import Attempt, Request, Server
from ..policy import Gateway
from ..ports import CounterCallback
from ..registry import CustomerRegistry, RegistryEntry, ServerRegistry
from ..settings import JsonObject, SettingsError, read_gateway_settings, read_section
from . import actions, events
from .events import (
    OUTCOMES,
    SERVER_STATES,
    AttemptEnded,
    ClientDisconnected,
    CounterAnswered,
    Event,
    RequestArrived,
    ResponseStarted,
    ServerListChanged,
    TimerFired,
)
from .frames import SERVER_ENTRY, Batch, Reply, WireError

Value = TypeVar("Value")


def decode_code(values_by_code: Mapping[int, Value], code: int, description: str) -> Value:
    """Return the value that a code stands for. Raises WireError for an unknown code."""
    if code not in values_by_code:
        raise WireError(f"code of {description} is {code}, expected one of {sorted(values_by_code)}")
    return values_by_code[code]


def decode_server_entries(data: memoryview) -> list[RegistryEntry]:
    """Decode the entries of a server list. Raises WireError for an unknown state."""
    return [
        RegistryEntry(
            server_id, zone, kind, cell, decode_code(SERVER_STATES, state, "server state"), weight, started_at
        )
        for server_id, zone, kind, cell, state, weight, started_at in SERVER_ENTRY.iter_unpack(data)
    ]


class HostedGateway:
    """A gateway and its implementation of ports.GatewayPort, which sends actions to the simulator.

    It maps the ids in the records to open requests, timers, counter calls, servers and customers. Before the
    host passes an event, it sets `now`, the batch's clock in seconds, and `reply`. Raises WireError if the
    settings are invalid.
    """

    def __init__(self, number: int, seed: int, settings_object: JsonObject, now: float, reply: Reply) -> None:
        self.number = number
        self.now = now
        self.reply = reply
        self.requests: dict[int, Request] = {}
        self.servers = ServerRegistry()
        self.customers = CustomerRegistry()
        self._timers: dict[int, Callable[[], None]] = {}
        self._last_timer_id = 0
        self._counter_calls: dict[int, list[CounterCallback]] = {}  # Open calls by name, oldest first.
        try:
            self.load_columns = read_load_columns(settings_object)
            settings = read_gateway_settings(settings_object)
            self.routes = settings.routes
            self.plans = settings.plans
            self.gateway = Gateway(self, seed, settings)
        except ValueError as error:
            raise WireError(f"settings: {error}") from error

    # ports.GatewayPort

    def start_attempt(self, request: Request, server: Server, timeout: float) -> Attempt:
        """Start an attempt: send a request to a server."""
        attempt = Attempt(request, server, len(request.attempts), self.now)
        request.attempts.append(attempt)
        self._append_action(actions.START_ATTEMPT, request.id, server.id, timeout)
        return attempt

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt."""
        self._append_action(actions.CANCEL_ATTEMPT, attempt.request.id, attempt.index)

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Reject a request."""
        self._append_action(actions.REJECT_REQUEST, request.id, retry_after)
        self._forget_if_finished(request)

    def fail_request(self, request: Request) -> None:
        """Answer a request with a failure."""
        self._append_action(actions.FAIL_REQUEST, request.id)
        self._forget_if_finished(request)

    def add_to_counter(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add an amount to a named count of the shared counter."""
        self._counter_calls.setdefault(name, []).append(callback)
        self._append_action(actions.ADD_TO_COUNTER, name, amount, lifetime)

    def watch_servers(self, on: bool) -> None:
        """Subscribe to changes of the server list, or unsubscribe."""
        self._append_action(actions.WATCH_SERVER_LIST, int(on))

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` once, `seconds` from now."""
        self._last_timer_id += 1
        self._timers[self._last_timer_id] = callback
        self._append_action(actions.SET_TIMER, seconds, self._last_timer_id)

    def _append_action(self, code: int, *fields: int | float) -> None:
        """Append an action of this gateway to the reply."""
        self.reply.add(code, self.number, *fields)

    # Events

    def receive(self, event: Event, batch: Batch) -> None:
        """Handle an event; `batch` is the batch that contains it. Raises WireError.

        Ends of probes and peer messages are ignored because the policy sends neither probes nor peer messages
        through its port.
        """
        match event:
            case RequestArrived():
                self._on_request_arrived(event)
            case AttemptEnded():
                self._on_attempt_ended(event)
            case TimerFired():
                self._on_timer_fired(event)
            case CounterAnswered():
                self._on_counter_answered(event)
            case ResponseStarted():
                self._on_response_started(event)
            case ClientDisconnected():
                self._on_client_disconnected(event)
            case ServerListChanged():
                data = batch.tail(event.offset, event.entry_count * SERVER_ENTRY.size)
                self._on_server_list(event.scope, data)

    def _on_request_arrived(self, event: RequestArrived) -> None:
        if event.plan >= len(self.plans) or event.route >= len(self.routes):
            raise WireError(
                f"request {event.request}: plan is {event.plan} and route {event.route},"
                f" the settings have {len(self.plans)} plans and {len(self.routes)} routes"
            )
        request = Request(
            event.request,
            self.customers.find(event.customer, self.plans[event.plan]),
            self.routes[event.route],
            event.deadline,
            event.units,
            max(1, round(event.quota_holders)),
            round(event.first_gateway),
            bool(event.flags & events.RETRY_FLAG),
            bool(event.flags & events.WRITE_FLAG),
        )
        self.requests[event.request] = request
        self.gateway.on_request(request)

    def _on_response_started(self, event: ResponseStarted) -> None:
        attempt = self._find_attempt(event.request, event.attempt)
        if attempt:
            self.gateway.on_response_started(attempt, event.duration)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        attempt = self._find_attempt(event.request, event.attempt)
        if attempt is None:
            return
        attempt.outcome = decode_code(OUTCOMES, event.outcome, "outcome")
        load = dict(zip(self.load_columns, event.load, strict=False))
        capacity_used = event.capacity_used - 1 if event.capacity_used else None
        self.gateway.on_attempt_ended(
            attempt, event.duration, bool(event.final), float(event.charged_units), capacity_used, load
        )
        request = attempt.request
        is_answered = request.id in self.requests and request.pending is None
        if event.final or is_answered:
            self._forget_if_finished(request)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        request = self.requests.get(event.request)
        if request:
            self.gateway.on_client_disconnected(request)
            self._forget_if_finished(request)

    def _on_timer_fired(self, event: TimerFired) -> None:
        callback = self._timers.pop(event.timer, None)
        if callback:
            callback()

    def _on_counter_answered(self, event: CounterAnswered) -> None:
        callbacks = self._counter_calls.get(event.name)
        if not callbacks:
            return
        callback = callbacks.pop(0)
        if not callbacks:
            del self._counter_calls[event.name]
        callback(decode_code(OUTCOMES, event.outcome, "counter outcome"), event.total, event.duration)

    def _on_server_list(self, scope: int, data: memoryview) -> None:
        if scope == events.FAILED:
            self.gateway.on_server_list_failed()
            return
        if scope not in events.SERVER_LIST_SCOPES:
            raise WireError(
                f"scope of a server list is {scope}, expected one of {list(events.SERVER_LIST_SCOPES)}"
            )
        is_complete = scope != events.CHANGES
        changed = self.servers.update(decode_server_entries(data), is_complete)
        self.gateway.on_servers_updated(changed)

    def _find_attempt(self, request_id: int, index: int) -> Attempt | None:
        """Return an attempt of an open request by its index, or None."""
        request = self.requests.get(request_id)
        if request is None or index >= len(request.attempts):
            return None
        return request.attempts[index]

    def _forget_if_finished(self, request: Request) -> None:
        """Remove a request unless one of its attempts is still in flight."""
        if all(attempt.outcome for attempt in request.attempts):
            self.requests.pop(request.id, None)


def read_load_columns(settings: JsonObject) -> list[str]:
    """Return the names of the values in servers' load reports, in order. Raises SettingsError."""
    columns = read_section(settings, "load_info").get("columns", [])
    if not isinstance(columns, list):
        raise SettingsError(f"load_info.columns is of type {type(columns).__name__}, expected a list")
    return [str(name) for name in columns]
