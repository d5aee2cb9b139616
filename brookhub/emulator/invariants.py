"""Invariant checker: checks the rules at every event that could break one, and records the run's trail.

The trail has a line for every recorded event. All lines go into a BLAKE2b digest: the same seed gives the
same digest. The last lines are kept as text for the report of a violation. The words of these lines, those
of violations included, must not change, because digests are compared across versions of the program.
"""

from __future__ import annotations

import hashlib
from collections import deque

from ..model import Answer, Attempt, Request, Server
from ..policy import NEVER_RAN  # The policy's own list of outcomes that prove that nothing was executed.
from ..site import DeduplicationScope, Idempotency

KEPT_TRAIL_LINES = 400  # Enough to follow one request through its attempts.
REPORTED_TRAIL_LINES = 60  # Maximum lines in the message of an InvariantViolationError.
# Seconds by which an answer may exceed the client timeout. Two computations of the same time may differ by
# float rounding.
ROUNDING = 1e-9
ANSWERS_IN_TRAIL = {Answer.SERVED: "proxied", Answer.REJECTED: "rate-limited", Answer.FAILED: "errored"}


class InvariantViolationError(AssertionError):
    """Raised when a rule (1 to 5) is violated. `trail` holds the events that led to it, oldest first."""

    def __init__(self, rule: int, text: str, trail: list[str]) -> None:
        self.rule = rule
        self.text = text
        self.trail = trail
        super().__init__(f"rule {rule} broken: {text}\n" + "\n".join(trail[-REPORTED_TRAIL_LINES:]))


class InvariantChecker:
    """Checker of a run's events, which also records them in the trail.

    If `strict`, the first violation raises InvariantViolationError; otherwise violations are only counted.
    If `allows_hedging`, a request may have several attempts in flight. `drain_grace` is the time in seconds
    after the start of a drain in which attempts may still be sent. Callers set `now` (s) before they record.
    """

    def __init__(
        self, strict: bool, keep_trail: bool, allows_hedging: bool = False, drain_grace: float = 0.0
    ) -> None:
        self.strict = strict
        self.keeps_trail = keep_trail
        self.allows_hedging = allows_hedging
        self.drain_grace = drain_grace
        self.trail: deque[str] = deque(maxlen=KEPT_TRAIL_LINES)
        self.digest = hashlib.blake2b(digest_size=16)
        self.violations: dict[int, int] = {}  # Number of violations by rule.
        self.first_violation: str | None = None
        self.now = 0.0

    def record(self, *fields: object) -> None:
        """Add a line to the trail and the digest."""
        if self.keeps_trail:
            line = f"{self.now:.6f} " + " ".join(map(str, fields))
            self.trail.append(line)
            self.digest.update(line.encode())

    def report(self, rule: int, text: str) -> None:
        """Count a violation. Raises InvariantViolationError if the checker is strict."""
        self.record("BROKEN", rule, text)
        self.violations[rule] = self.violations.get(rule, 0) + 1
        self.first_violation = self.first_violation or f"rule {rule}: {text}"
        if self.strict:
            raise InvariantViolationError(rule, text, list(self.trail))

    def check_attempt(self, request: Request, server: Server, drained_at: float | None) -> None:
        """Check an attempt as it is sent. `drained_at` is the time (s) at which its server's drain began."""
        if self.now > request.deadline + ROUNDING:
            self.report(1, f"call {request.id} sent on after its client timeout")
        if drained_at is not None and self.now > drained_at + self.drain_grace:
            self.report(
                3, f"call {request.id} sent to server {server.id}, draining or gone since {drained_at:.3f}"
            )
        if not self.allows_hedging and any(attempt.outcome is None for attempt in request.attempts):
            self.report(2, f"call {request.id}: a second try out while second copies are off")
        executed = executed_attempts(request)
        if executed and request.route.idempotency is not Idempotency.IDEMPOTENT:
            self._check_repetition(request, server, executed[0])

    def _check_repetition(self, request: Request, server: Server, first: Attempt) -> None:
        """Check a further attempt of a non-idempotent request after `first`, which may have been executed."""
        route = request.route
        scope = route.deduplication_scope
        if route.idempotency is Idempotency.NON_IDEMPOTENT:
            self.report(2, f"non-idempotent call {request.id} sent again after a try that may have run")
        elif self.now >= first.sent_at + route.deduplication_window:
            self.report(2, f"tokened call {request.id} repeated after its window")
        elif scope is DeduplicationScope.ZONE and server.zone != first.server.zone:
            self.report(2, f"tokened call {request.id} repeated outside its zone")
        elif scope is DeduplicationScope.CELL and server.cell != first.server.cell:
            self.report(2, f"tokened call {request.id} repeated outside its cell")

    def check_rejection(self, request: Request) -> None:
        """Check that a rejected request is safe to execute again, since its client may retry it."""
        is_safe = (
            request.route.idempotency is Idempotency.IDEMPOTENT
            or request.route.deduplication_scope is DeduplicationScope.ALL
        )
        if executed_attempts(request) and not is_safe:
            self.report(2, f"call {request.id} rate-limited after a try that may have run")

    def check_answer(self, request: Request, already_answered: bool) -> None:
        """Check that a final answer is the only one of its request and within the client timeout."""
        if already_answered:
            self.report(1, f"call {request.id} answered twice")
        elif self.now > request.deadline + ROUNDING:
            late = self.now - request.deadline
            self.report(1, f"call {request.id} answered {late:.3f} s after its client timeout")


def executed_attempts(request: Request) -> list[Attempt]:
    """Return the attempts of a request, in flight or ended, that may have been executed."""
    return [attempt for attempt in request.attempts if attempt.outcome not in NEVER_RAN]
