"""The one lock around the decisions, the clock that they see, their timers, and what they want done."""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from threading import TIMEOUT_MAX, Lock
from time import monotonic
from typing import Callable

from ..model import Attempt, Outcome, Request, Server
from ..ports import CounterCallback
from ..protocol import calls


class SocketPort:
    """How the decisions act on sockets.

    Whatever happens is told to them by `run`, one thing at a time. Under its lock only memory is touched:
    what has to be written, dialled, closed or logged goes to `todo`, which the same thread does after it.
    """

    def __init__(
        self,
        faults: Callable[[BaseException], None],
        grain: float,
        log_woken: Callable[[float], None] = lambda seconds: None,
    ):
        self.log_woken = log_woken
        self.now, self.lock, self.faults = monotonic(), Lock(), faults
        self.alarms, self.order, self.grain = [], 0, grain
        # Held while nobody rings; when the timers look next by themselves
        self.bell, self.looks_at = (
            Lock(),
            0.0,
        )
        self.todo, self.soon = [], deque()
        # Told of each final answer: s it took, proxied or not
        self.watch: Callable[[Request, float, bool], None] | None = None
        self.recovery = None  # stands before the counter where the operator's file has it
        self.gateway = self.servers = self.counter = self.discovery = None  # set where the program is wired

    def run(self, at: float, event: Callable[..., None], *args) -> None:
        """Run an event under the lock, at a moment (s, monotonic), and carry out what it asks for."""
        with self.lock:
            self.tell(at, event, *args)
            todo, self.todo = self.todo, []
        self.carry_out(todo)

    def tell(self, at: float, event: Callable[..., None], *args) -> None:
        """Run an event under the lock; a fault in it is reported and costs itself alone."""
        if at > self.now:
            self.now = at
        try:
            event(*args)
            while self.soon:
                self.soon.popleft()()
        except Exception as met:  # a fault costs the one thing that met it, not the program
            self.todo.append((self.faults, met))

    def carry_out(self, todo: list[tuple]) -> None:
        """Do what waits until the lock is free."""
        for act, *args in todo:
            try:
                act(*args)
            except Exception as met:
                self.faults(met)

    def run_timers(self) -> None:
        """A thread of its own.

        Calls back what is due, and looks again no sooner than after a grain of time.
        """
        alarms = self.alarms
        self.bell.acquire()
        while True:
            with self.lock:
                self.bell.acquire(blocking=False)  # it may have been rung just as the wait was over
                now = monotonic()
                while alarms and alarms[0][0] <= now:
                    self.tell(now, heappop(alarms)[2])
                    now = monotonic()
                todo, self.todo = self.todo, []
                self.looks_at = max(alarms[0][0], now + self.grain) if alarms else float("inf")
                wait = min(self.looks_at - now, TIMEOUT_MAX)
            self.carry_out(todo)
            self.bell.acquire(timeout=wait)

    # the port

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back after so many seconds, under the lock."""
        at = self.now + max(0.0, seconds)
        self.order += 1
        heappush(self.alarms, (at, self.order, callback))
        if at < self.looks_at - self.grain:
            self.looks_at = 0.0  # rung once is enough
            self.bell.release()

    def start_attempt(self, request: Request, server: Server, timeout: float) -> Attempt:
        """Begin an attempt (ports.GatewayPort)."""
        one = Attempt(request, server, len(request.attempts), self.now)
        request.attempts.append(one)
        left = request.deadline - self.now
        left = min(timeout, left) if timeout > 0 else left
        self.servers.send(one, self.now + left)
        self.later(left, lambda: self.give_up(one, Outcome.TIMEOUT))
        return one

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Give an attempt up (ports.GatewayPort)."""
        if attempt.outcome is None:
            self.servers.abandon(attempt)
            self.soon.append(lambda: self.end_try(attempt, Outcome.CANCELLED))

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Refuse a request (ports.GatewayPort)."""
        request.slot.answer(calls.rate_limited(retry_after))
        self.watched(request, False)

    def fail_request(self, request: Request) -> None:
        """Tell that a request failed (ports.GatewayPort)."""
        request.slot.answer(calls.ERRORED)
        self.watched(request, False)

    def watched(self, request: Request, proxied: bool) -> None:
        """Tell who counts answers of this one."""
        if self.watch:
            self.watch(request, self.now - (request.deadline - request.route.client_timeout), proxied)

    def add_to_counter(self, name: int, amount: float, lifetime: float, callback: CounterCallback) -> None:
        """Add to a count (ports.GatewayPort)."""
        (self.recovery or self.counter).count(name, amount, lifetime, callback)

    def watch_servers(self, on: bool) -> None:
        """Discovery is watched all along and asked again by itself."""

    # how tries end

    def give_up(self, one: Attempt, outcome: Outcome) -> None:
        """End an attempt from this side."""
        if one.outcome is None:
            self.servers.abandon(one)
            self.end_try(one, outcome)

    def end_try(
        self,
        one: Attempt,
        outcome: Outcome,
        value: bytes | None = None,
        charged: float = 0.0,
        used: float | None = None,
        report: dict | None = None,
    ) -> None:
        """An attempt ended: tell the decisions."""
        if one.outcome is not None:
            return
        one.outcome = outcome
        final = one.request.pending is None
        if outcome is Outcome.OK and not final:
            one.request.slot.answer(*calls.proxied(value))
            self.watched(one.request, True)
            final = True
        self.gateway.on_attempt_ended(one, self.now - one.sent_at, final, charged, used, report or {})
