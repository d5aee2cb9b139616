"""Interfaces between the policy (`brookhub.policy`) and its adapters.

The policy acts through `GatewayPort`, which the adapters implement (`routing` on sockets, `simulator`,
`emulator`). Through `FleetCoordination` it reads and updates the state shared with the other gateways. All
calls are made under the lock that the adapter holds while it calls the policy; none may block.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from .model import Attempt, Outcome, Request, Server, Upstream

CounterCallback = Callable[[Outcome, float, float], None]
"""Function that receives the outcome of a counter call, the count's total in units and the call's duration
in seconds."""


class Clock(Protocol):
    """Clock and timers of the gateway."""

    @property
    def now(self) -> float:
        """Current time in seconds, monotonic."""

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` once after `seconds`."""


class AttemptPort(Protocol):
    """Start and cancellation of attempts."""

    def start_attempt(self, request: Request, server: Server, timeout: float) -> Attempt:
        """Send a request to a server; with a timeout of 0 s, wait until the request's deadline."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt; its end is reported with the outcome CANCELLED."""


class AnswerPort(Protocol):
    """Final answers that do not come from a server."""

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Reject a request that is safe to repeat after `retry_after` seconds (0: no delay is stated)."""

    def fail_request(self, request: Request) -> None:
        """Answer that a request failed and may or may not have been executed."""


class CounterPort(Protocol):
    """Access to the shared counter."""

    def add_to_counter(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add `amount` units to a named count, which expires `lifetime` seconds after its first addition.

        `callback` receives the total.
        """


class ServerListPort(Protocol):
    """Access to the server list of discovery."""

    def watch_servers(self, on: bool) -> None:
        """Start (`on`) or stop receiving changes of the server list."""


class GatewayPort(Clock, AttemptPort, AnswerPort, CounterPort, ServerListPort, Protocol):
    """All functions that the policy of a gateway needs from its adapter."""


class FleetCoordination(Protocol):
    """Knowledge and decisions about servers, shared by the gateways of a fleet. Servers are given by id."""

    @property
    def min_servers(self) -> int:
        """Minimum number of servers that this gateway uses."""

    def on_servers_updated(self, servers: dict[int, Server]) -> None:
        """Replace the set of usable servers with `servers`, given by id."""

    def is_ejected(self, server: int) -> bool:
        """Return whether the fleet has ejected a server, so that it gets no attempts except probes."""

    def may_probe(self, server: int) -> bool:
        """Return whether this gateway is the one that sends a probing attempt to an ejected server."""

    def attempt_started(self, server: int) -> None:
        """Record that an attempt was sent to a server."""

    def attempt_ended(self, server: int, outcome: Outcome) -> None:
        """Record an outcome that gives evidence about the server or the network path to it."""

    def rank_servers(self, upstreams: Sequence[Upstream], start: int) -> Sequence[Upstream]:
        """Return the servers in this gateway's order of preference.

        `upstreams`: all usable servers, sorted by id; `start`: index of the first server for this gateway if
        they are used in this order, as a ring.
        """


class IndependentCoordination:
    """Coordination of a gateway that gets no reports from others: the fleet ejects no server."""

    min_servers = 0

    def on_servers_updated(self, servers: dict[int, Server]) -> None:
        """Do nothing."""

    def is_ejected(self, server: int) -> bool:
        """Return false: no server is ejected."""
        return False

    def may_probe(self, server: int) -> bool:
        """Return false: without ejections there are no probes."""
        return False

    def attempt_started(self, server: int) -> None:
        """Do nothing."""

    def attempt_ended(self, server: int, outcome: Outcome) -> None:
        """Do nothing."""

    def rank_servers(self, upstreams: Sequence[Upstream], start: int) -> Sequence[Upstream]:
        """Return all servers, in the order of a ring that begins at `start`."""
        return [*upstreams[start:], *upstreams[:start]]
