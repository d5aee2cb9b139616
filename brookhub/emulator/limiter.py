"""Emulated limiter: the real policy.Gateway on a port whose clock is that of the engine.

The port (ports.GatewayPort) is also implemented by the program on sockets and by the simulator's adapter.
Here it connects the policy to models of the servers, the counter and discovery.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from ..config.models import CounterSpec
from ..coordination import OutlierDetector
from ..model import Answer, Attempt, Outcome, Request, Server, ServerState
from ..ports import CounterCallback
from ..recovery import Ledger, Recovery, RecoverySettings
from ..registry import CustomerRegistry, RegistryEntry, ServerRegistry
from ..site import GatewaySettings
from .environment import Environment, RecoveryEvent
from .peers import EmulatedMember

CONNECT_TIMEOUT = 0.25  # Seconds after which a connection attempt over a cut link fails.


class RecoveryAdapter:
    """Port of a limiter's recovery. The wall clock of all limiters is the simulated time."""

    def __init__(self, limiter: EmulatedLimiter, rng: random.Random) -> None:
        self.limiter = limiter
        self.random = rng.random
        self.add_to_counter = limiter.add_at_instance
        self.call_later = limiter.call_later

    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self.limiter.now

    wall_clock = now

    def grant_share(self, share: float) -> None:
        """Make the policy grant a share of each quota."""
        self.limiter.gateway.on_granted_share_changed(share)

    def log(self, event: str, **fields: object) -> None:
        """Record an event in the fleet's recovery log."""
        environment = self.limiter.environment
        environment.recovery_log.append(RecoveryEvent(self.now(), self.limiter.index, event, fields))


class EmulatedLimiter:
    """A limiter of the fleet and the port of its policy.

    After `kill()` none of its scheduled callbacks runs, and its requests are lost. While it is suspended,
    like a stopped process, it runs nothing; events that arrive are handled afterwards, in order.
    """

    def __init__(
        self, environment: Environment, index: int, zone: int, seed: int, settings: GatewaySettings
    ) -> None:
        self.environment = environment
        self.engine = environment.engine
        self.index = index
        self.zone = zone
        self.is_alive = True
        self.is_draining = False  # A draining limiter gets no new requests.
        self.suspended_until = 0.0
        self.recovery: Recovery | None = None
        self.member: EmulatedMember | None = None  # Present if the fleet has membership.
        self.detector: OutlierDetector | None = None  # Present if ejections are shared with the fleet.
        # Ids of servers from which a maintenance plan withholds traffic.
        self.withheld_servers: set[int] = set()
        self.unreachable_until: dict[int, float] = {}  # Ends of link cuts (s), by the id of the server.
        self.registry = ServerRegistry()
        self.customers = CustomerRegistry()
        self.requests: dict[int, Request] = {}
        self.received = 0
        self.served = 0
        self.gateway = environment.create_gateway(self, seed, replace(settings, index=index, zone=zone))

    @property
    def now(self) -> float:
        """Simulated time in seconds."""
        return self.engine.now

    def kill(self) -> None:
        """End the limiter; its state and its requests are lost."""
        self.is_alive = False
        if self.member:
            self.member.kill()
        for request in self.requests.values():
            self.environment.accounting.on_lost(request)
        self.requests.clear()

    def suspend(self, seconds: float) -> None:
        """Suspend the limiter for `seconds`, like a stopped process."""
        self.suspended_until = self.engine.now + seconds
        if self.member:
            self.member.suspended_until = self.suspended_until

    def start_recovery(self, spec: CounterSpec, limiters: int, ledger: Ledger | None) -> Ledger:
        """Insert recovery between the policy and the counter and return its ledger."""
        rng = random.Random(f"recovery/{self.environment.seed}/{self.index}/{self.now}")
        port = RecoveryAdapter(self, rng)
        self.recovery = Recovery(port, self.index, limiters, RecoverySettings(spec.beat_s), ledger)
        self.recovery.start()
        return self.recovery.ledger

    # ports.GatewayPort

    def start_attempt(self, request: Request, server: Server, timeout: float) -> Attempt:
        """Send an attempt of a request to a server and return the attempt."""
        environment = self.environment
        model = environment.servers.models[server.id]
        environment.checker.record("send", self.index, request.id, server.id, len(request.attempts))
        environment.checker.check_attempt(request, server, model.drained_at)
        attempt = Attempt(request, server, len(request.attempts), self.now)
        request.attempts.append(attempt)
        time_left = request.deadline - self.now
        if timeout > 0:
            time_left = min(timeout, time_left)
        if self.now < self.unreachable_until.get(server.id, 0.0):
            connect_timeout = min(time_left, CONNECT_TIMEOUT)
            self.call_later(connect_timeout, lambda: self.end_attempt(attempt, Outcome.CONNECT_FAILED))
        else:
            environment.servers.receive(attempt, self)
        self.call_later(time_left, lambda: self._time_out(attempt))
        return attempt

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt that has not ended."""
        if attempt.outcome is None:
            self.environment.servers.cancel(attempt)
            self.call_later(0.0, lambda: self.end_attempt(attempt, Outcome.CANCELLED))

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Reject a request with a Retry-After of `retry_after` seconds (0: none)."""
        self.environment.checker.check_rejection(request)
        self.environment.accounting.on_answer(self, request, Answer.REJECTED, retry_after)
        self._forget_if_finished(request)

    def fail_request(self, request: Request) -> None:
        """Answer a request with a failure."""
        self.environment.accounting.on_answer(self, request, Answer.FAILED)
        self._forget_if_finished(request)

    def add_to_counter(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add to a named count, through recovery if it is enabled."""
        if self.recovery:
            self.recovery.count(name, amount, lifetime, callback)
        else:
            self.add_at_instance(name, amount, lifetime, callback)

    def add_at_instance(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add to a named count at the counter instance that this limiter reaches."""
        self.environment.counter.add(self, name, amount, lifetime, callback)

    def watch_servers(self, on: bool) -> None:
        """Do nothing, because discovery pushes every change to every limiter."""

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` once after `seconds` or, if suspended at that time, on resuming."""
        self.engine.call_later(seconds, lambda: self._call_when_running(callback))

    def _call_when_running(self, callback: Callable[[], None]) -> None:
        """Call `callback` now, or at the end of a suspension, unless the limiter has been killed."""
        if not self.is_alive:
            return
        if self.engine.now < self.suspended_until:
            self.engine.call_at(self.suspended_until, lambda: self._call_when_running(callback))
        else:
            callback()

    # events

    def on_server_list(self, entries: list[RegistryEntry], complete: bool) -> None:
        """Handle a complete server list, or changes to it if not `complete`."""
        if not self.is_alive:
            return
        updated = self.registry.update(map(self._mask_withheld, entries), complete)
        self.gateway.on_servers_updated(updated)

    def withhold_servers(self, server_ids: set[int], entries: list[RegistryEntry]) -> None:
        """From now on, withhold traffic from exactly these servers, whatever their state in the server list.

        `entries` is the complete server list.
        """
        changed_ids = self.withheld_servers ^ server_ids
        self.withheld_servers = set(server_ids)
        changed = [entry for entry in entries if entry.server_id in changed_ids]
        if changed:
            self.on_server_list(changed, complete=False)

    def _mask_withheld(self, entry: RegistryEntry) -> RegistryEntry:
        """Return an entry as the policy receives it: as draining if its server is ready but withheld."""
        if entry.server_id in self.withheld_servers and entry.state is ServerState.READY:
            return replace(entry, state=ServerState.DRAINING)
        return entry

    def on_request(self, request: Request) -> None:
        """Handle a client's request, after the suspension if the limiter is suspended."""
        if self.engine.now < self.suspended_until:
            self.engine.call_at(self.suspended_until, lambda: self._on_delayed_request(request))
            return
        if not self.is_alive:
            self.environment.accounting.on_lost(request)
            return
        self.requests[request.id] = request
        self.received += 1
        self.environment.checker.record(
            "arrive", self.index, request.id, request.customer.id, request.route.name
        )
        for listener in self.environment.request_listeners:
            listener(self.index, request)
        self.gateway.on_request(request)

    def _on_delayed_request(self, request: Request) -> None:
        """Handle a request that waited for the end of a suspension.

        If its deadline has passed, its connection has ended and it is lost.
        """
        if self.engine.now < request.deadline:
            self.on_request(request)
        else:
            self.environment.accounting.on_lost(request)

    def _time_out(self, attempt: Attempt) -> None:
        """End an attempt by its timeout if it has not ended."""
        if attempt.outcome is None:
            self.environment.servers.cancel(attempt)
            self.end_attempt(attempt, Outcome.TIMEOUT)

    def end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Handle the end of an attempt; ignore it if the attempt has already ended."""
        if self.is_alive and self.engine.now < self.suspended_until:
            self.engine.call_at(self.suspended_until, lambda: self.end_attempt(attempt, outcome))
            return
        if attempt.outcome is not None or not self.is_alive:
            return
        attempt.outcome = outcome
        request = attempt.request
        self.environment.checker.record("end", self.index, request.id, attempt.index, outcome.value)
        is_final = request.pending is None
        if outcome is Outcome.OK and not is_final:
            self.environment.accounting.on_answer(self, request, Answer.SERVED)
            is_final = True
        self.gateway.on_attempt_ended(attempt, self.now - attempt.sent_at, is_final, 0.0, None, {})
        if request.pending is None:
            self._forget_if_finished(request)

    def _forget_if_finished(self, request: Request) -> None:
        """Remove an answered request once none of its attempts is in flight."""
        if all(attempt.outcome for attempt in request.attempts):
            self.requests.pop(request.id, None)
