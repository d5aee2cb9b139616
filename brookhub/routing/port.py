"""Implementation of the policy's port on sockets: attempts, final answers and calls to the counter.

The parts of the program around the policy share one `SocketGatewayPort`, which is their event loop and holds
references to all of them. The protocols below define the interfaces between the parts.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Protocol, cast
from weakref import ref

from ..model import Attempt, Outcome, Request, Server
from ..ports import CounterCallback, FleetCoordination
from ..protocol import request_codec
from ..protocol.request_codec import ServerResponse
from .client_request import ClientRequest
from .event_loop import ErrorReporter, EventLoop

RequestObserver = Callable[[Request, float, bool], None]
"""Callback for a final answer: gets the request, its duration in seconds, and whether a server answered."""

NO_RESPONSE = ServerResponse(None)
"""Response of an attempt that ended without one."""


class GatewayEvents(Protocol):
    """Interface through which the policy (`policy.Gateway`) receives events, under the event loop's lock."""

    def on_request(self, request: Request, /) -> None:
        """Handle a client's request."""

    def on_client_disconnected(self, request: Request, /) -> None:
        """Handle an open request whose client has left."""

    def on_attempt_ended(
        self,
        attempt: Attempt,
        duration: float,
        answered: bool,
        charged_units: float,
        used: float | None,
        report: dict[str, float],
        /,
    ) -> None:
        """Handle an attempt that ended after `duration` seconds and whose outcome is set.

        `answered`: whether its request has its final answer. `charged_units`, `used` and `report` have the
        values that the server sent.
        """

    def write_deadline(self, attempt: Attempt, /) -> float:
        """Return the time before which an attempt has to be written to its server.

        In seconds, monotonic; -inf if it must not be written any more.
        """

    def may_run_until(self, request: Request, /) -> float:
        """Return the time until which an attempt of a finished request may run; -inf if none may.

        In seconds, monotonic. Only attempts whose effect must not happen twice count.
        """

    def on_servers_updated(self, servers: Iterable[Server], /) -> None:
        """Handle changes of these servers in the server list."""

    def on_membership_changed(self, live: int, rank: int, possible: int, /) -> None:
        """Handle changed counts: live members, this one's rank among them, members not known to have left."""

    def on_granted_share_changed(self, share: float, /) -> None:
        """Use `share` as the part of each quota that the counter grants from now on."""

    def use_coordination(self, coordination: FleetCoordination, /) -> None:
        """Decide jointly with the other gateways of the fleet."""


class Upstreams(Protocol):
    """Interface of the upstream connections (`upstreams.UpstreamConnections`). Called under the lock."""

    @property
    def in_flight(self) -> Collection[Attempt]:
        """Attempts that are assigned to a connection."""

    def send(self, attempt: Attempt, deadline: float) -> None:
        """Send an attempt with the time left until `deadline` (seconds, monotonic)."""

    def cancel(self, attempt: Attempt) -> None:
        """Close the connection of an attempt, if it has one."""

    def update_address(self, server: Server, address: tuple[str, int]) -> None:
        """Apply a server's address and its changed state."""

    def close_idle(self, server: Server) -> None:
        """Close the idle connections to a server."""


class Counter(Protocol):
    """Interface of the shared counter, also implemented by recovery. Called under the lock."""

    def count(self, name: int, amount: float, lifetime: float, callback: CounterCallback, /) -> None:
        """Add to a named count and pass the total to `callback`.

        The count expires `lifetime` seconds after its first addition.
        """


class CounterRecovery(Counter, Protocol):
    """Interface of the recovery of lost counts (`recovery.Recovery`). If in use, it handles counter calls."""

    def set_fleet_size(self, limiters: int, /) -> None:
        """Set the number of limiters not known to have left."""


class SocketGatewayPort(EventLoop):
    """Implementation of `ports.GatewayPort` on sockets. All methods defined here are called under the lock.

    The program that creates the other parts (`program.run`) sets their attributes once, before the first
    event. `gateway` and `upstreams` are required; so is `counter`, unless the settings have no counter.
    """

    gateway: GatewayEvents
    upstreams: Upstreams
    counter: Counter

    def __init__(
        self,
        report_error: ErrorReporter,
        timer_resolution: float,
        log_suspension: Callable[[float], None] = lambda seconds: None,
    ) -> None:
        """Create a port without the other parts.

        `log_suspension` is called without the lock with the seconds for which this process was suspended. For
        the other parameters see `EventLoop`.
        """
        super().__init__(report_error, timer_resolution)
        self.log_suspension = log_suspension
        self.recovery: CounterRecovery | None = None
        self.on_request_finished: RequestObserver | None = None

    # ports.GatewayPort

    def start_attempt(self, request: Request, server: Server, timeout: float) -> Attempt:
        """Send a request to a server (`ports.AttemptPort`)."""
        attempt = Attempt(request, server, len(request.attempts), self.now)
        request.attempts.append(attempt)
        time_left = request.deadline - self.now
        if timeout > 0:
            time_left = min(timeout, time_left)
        self.upstreams.send(attempt, self.now + time_left)
        attempt_reference = ref(attempt)  # The timer must not keep the request in memory once it is answered.
        self.call_later(time_left, lambda: self._time_out(attempt_reference()))
        return attempt

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt (`ports.AttemptPort`)."""
        if attempt.outcome is None:
            self.upstreams.cancel(attempt)
            self.call_soon(lambda: self.end_attempt(attempt, Outcome.CANCELLED))

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Reject a request (`ports.AnswerPort`)."""
        self._answer_request(request, request_codec.encode_rejected(retry_after))

    def fail_request(self, request: Request) -> None:
        """Answer that a request failed (`ports.AnswerPort`)."""
        self._answer_request(request, request_codec.ENCODED_FAILURE)

    def add_to_counter(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add to a count (`ports.CounterPort`)."""
        (self.recovery or self.counter).count(name, amount, lifetime, callback)

    def watch_servers(self, on: bool) -> None:
        """Do nothing (`ports.ServerListPort`): discovery is watched all the time."""

    # End of attempts

    def end_attempt(self, attempt: Attempt, outcome: Outcome, response: ServerResponse = NO_RESPONSE) -> None:
        """End an attempt, answer its request if it was served, and report the end to the policy.

        Does nothing if the attempt has ended already. `response` has a value if the outcome is OK.
        """
        if attempt.outcome is not None:
            return
        attempt.outcome = outcome
        request = attempt.request
        is_answered = request.pending is None
        charged_units = 0.0
        if outcome is Outcome.OK:
            charged_units = response.charged_units
            if not is_answered and response.value is not None:
                self._answer_request(request, *request_codec.encode_served(response.value), served=True)
                is_answered = True
        duration = self.now - attempt.sent_at
        self.gateway.on_attempt_ended(
            attempt, duration, is_answered, charged_units, response.used_units, response.load_report
        )

    def _time_out(self, attempt: Attempt | None) -> None:
        """End an attempt as timed out, unless it has ended already."""
        if attempt and attempt.outcome is None:
            self.upstreams.cancel(attempt)
            self.end_attempt(attempt, Outcome.TIMEOUT)

    def _answer_request(self, request: Request, *parts: bytes | bytearray, served: bool = False) -> None:
        """Give a request its final answer."""
        cast(ClientRequest, request).response.complete(*parts)
        if self.on_request_finished:
            started_at = request.deadline - request.route.client_timeout
            self.on_request_finished(request, self.now - started_at, served)
