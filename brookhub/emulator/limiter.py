"""One emulated limiter: the real policy.Gateway behind a Port whose clock is the engine's.

The same port the sockets program and the drill implement (ports.GatewayPort); only the world behind it is a
model.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Callable

from ..model import Attempt, Outcome, Request, Server, ServerState
from ..ports import CounterCallback
from ..recovery import Ledger, Recovery, RecoverySettings
from ..registry import CustomerRegistry, ServerRegistry
from ..site import GatewaySettings

CONNECT_WITHIN = 0.25  # s that a dial over a cut link is waited for


class Counted:
    """Recovery's port at a seat: one calendar for all, the simulated time."""

    def __init__(self, seat: "Seat", rng: random.Random):
        self.seat, self.random = seat, rng.random
        self.add_to_counter, self.later = seat.add, seat.later

    def now(self) -> float:
        """Simulated seconds."""
        return self.seat.now

    wall_clock = now

    def grant_share(self, share: float) -> None:
        """Have the decisions grant a share of each quota."""
        self.seat.gateway.on_granted_share_changed(share)

    def log(self, event: str, **fields: object) -> None:
        """Note an event."""
        self.seat.fleet.heard.append((self.seat.now, self.seat.index, event, fields))


class Seat:
    """A limiter's place in the fleet.

    After `kill()` nothing it scheduled runs, and its API calls are lost.
    """

    def __init__(self, fleet, index: int, zone: int, seed: int, settings: GatewaySettings):
        self.fleet, self.engine, self.index, self.zone = fleet, fleet.engine, index, zone
        # While stalled nothing of it runs; what came waits, in order
        self.alive, self.closing, self.wakes = True, False, 0.0
        self.recovery: Recovery | None = None
        # Its membership and its outlier detector, where the fleet has them
        self.peer = self.detector = None
        self.off: set[int] = set()  # servers that a plan of work keeps it off
        self.cut: dict[int, float] = {}  # servers that its links do not reach, each until when (s)
        self.roster, self.customers = ServerRegistry(), CustomerRegistry()
        self.calls: dict[int, Request] = {}
        self.logged = self.asked = self.served = 0
        self.gateway = fleet.decisions.Gateway(self, seed, replace(settings, index=index))

    @property
    def now(self) -> float:
        """Simulated seconds."""
        return self.engine.now

    def kill(self) -> None:
        """End it, with all that it holds."""
        self.alive = False
        if self.peer:
            self.peer.kill()
        for request in self.calls.values():
            self.fleet.lost(request)
        self.calls.clear()

    # the port

    def start_attempt(self, request: Request, server: Server, timeout: float) -> Attempt:
        """Begin an attempt (ports.GatewayPort)."""
        model = self.fleet.servers.models[server.id]
        self.fleet.referee.note("send", self.index, request.id, server.id, len(request.attempts))
        self.fleet.referee.sending(
            request, server, self.fleet.second_copies, model.drained_at, self.fleet.grace
        )
        one = Attempt(request, server, len(request.attempts), self.now)
        request.attempts.append(one)
        left = request.deadline - self.now
        left = min(timeout, left) if timeout > 0 else left
        if self.now < self.cut.get(server.id, 0.0):  # a dial that never comes up
            self.later(min(left, CONNECT_WITHIN), lambda: self.end_try(one, Outcome.CONNECT_FAILED))
        else:
            self.fleet.servers.take(one, self)
        self.later(left, lambda: self.give_up(one, Outcome.TIMEOUT))
        return one

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Give an attempt up (ports.GatewayPort)."""
        if attempt.outcome is None:
            self.fleet.servers.abandon(attempt)
            self.later(0.0, lambda: self.end_try(attempt, Outcome.CANCELLED))

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Refuse a request (ports.GatewayPort)."""
        self.fleet.referee.rate_limiting(request)
        self.fleet.answer(self, request, "rate-limited", retry_after)
        self.release(request)

    def fail_request(self, request: Request) -> None:
        """Tell that a request failed (ports.GatewayPort)."""
        self.fleet.answer(self, request, "errored")
        self.release(request)

    def release(self, request: Request) -> None:
        """Forget an answered call once none of its tries is out (one refused unsent was kept for ever)."""
        if all(one.outcome for one in request.attempts):
            self.calls.pop(request.id, None)

    def add_to_counter(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add to a count (ports.GatewayPort)."""
        (self.recovery.count if self.recovery else self.add)(name, amount, lifetime, callback)

    def add(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add to a count at the counter."""
        self.fleet.counter.count(self, name, amount, lifetime, callback)

    def recover(self, spec, limiters: int, ledger: Ledger | None) -> None:
        """Recovery between the decisions and the counter; its port is this seat."""
        self.recovery = Recovery(
            Counted(self, random.Random(f"recovery/{self.fleet.seed}/{self.index}/{self.now}")),
            self.index,
            limiters,
            RecoverySettings(spec.beat_s),
            ledger,
        )
        self.recovery.start()

    def probe(self, server: Server) -> None:
        """Unused by the decisions today (docs/emulator.md): no probe is modelled."""

    def tell(self, peer: int | None, data: bytes) -> None:
        """Unused by the decisions today: gateways learn of each other through the counter."""

    def close_idle(self, server: Server) -> None:
        """Connections are not modelled."""

    def watch_servers(self, on: bool) -> None:
        """Discovery pushes every change to every living limiter."""

    def fetch_servers(self) -> None:
        """Ask for the whole server list (ports.GatewayPort)."""
        self.later(self.fleet.discovery.delay, lambda: self.servers(self.fleet.entries(), whole=True))

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back after so many seconds, once it is awake."""
        self.engine.after(seconds, lambda: self.when_awake(callback))

    def when_awake(self, callback: Callable[[], None]) -> None:
        """Call back now, or once it is awake."""
        if not self.alive:
            return
        if self.engine.now < self.wakes:
            self.engine.at(self.wakes, lambda: self.when_awake(callback))
        else:
            callback()

    def log(self, text: str) -> None:
        """Note an event."""
        self.logged += 1

    # what comes in

    def servers(self, entries: list[tuple], whole: bool) -> None:
        """The server list, or changes of it, arrive."""
        if self.alive:
            off = [
                (*entry[:4], ServerState.DRAINING, *entry[5:])
                if entry[0] in self.off and entry[4] is ServerState.READY
                else entry
                for entry in entries
            ]
            self.gateway.on_servers_updated(self.roster.update(off, whole))

    def arrive(self, request: Request) -> None:
        """A request arrives."""
        if (
            self.engine.now < self.wakes
        ):  # it waits in the system; woken too late, its connection is ended unread
            self.engine.at(
                self.wakes,
                lambda: (
                    self.arrive(request) if self.engine.now < request.deadline else self.fleet.lost(request)
                ),
            )
            return
        if not self.alive:
            return self.fleet.lost(request)
        self.calls[request.id] = request
        self.asked += 1
        self.fleet.referee.note("arrive", self.index, request.id, request.customer.id, request.route.name)
        self.gateway.on_request(request)

    def give_up(self, one: Attempt, outcome: Outcome) -> None:
        """End an attempt from this side."""
        if one.outcome is None:
            self.fleet.servers.abandon(one)
            self.end_try(one, outcome)

    def end_try(self, one: Attempt, outcome: Outcome) -> None:
        """An attempt ended: tell the decisions."""
        if self.alive and self.engine.now < self.wakes:
            self.engine.at(self.wakes, lambda: self.end_try(one, outcome))
            return
        if one.outcome is not None or not self.alive:
            return
        one.outcome = outcome
        self.fleet.referee.note("end", self.index, one.request.id, one.index, outcome.value)
        final = one.request.pending is None
        if outcome is Outcome.OK and not final:
            self.fleet.answer(self, one.request, "proxied", 0.0, one)
            final = True
        self.gateway.on_attempt_ended(one, self.now - one.sent_at, final, 0.0, None, {})
        if one.request.pending is None:
            self.release(one.request)
