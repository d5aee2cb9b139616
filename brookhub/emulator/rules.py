"""The referee: checks the five rules at every event that could break one, and keeps the trail.

The trail is every noted event, folded into a BLAKE2b digest (the same seed gives the same digest) and the
last TRAIL of them kept as text for the report of a break.
"""

from __future__ import annotations

import hashlib
from collections import deque

from ..site import DeduplicationScope, Idempotency

TRAIL = 400  # events kept for the report of a break: enough to follow one API call through its tries
LATE = 1e-9  # s by which an answer may pass the client timeout: float rounding of the same instant


class RuleBrokenError(AssertionError):
    """A rule (1 to 5) was broken; `trail` holds the events that led to it, oldest first."""

    def __init__(self, rule: int, text: str, trail: list[str]):
        self.rule, self.text, self.trail = rule, text, trail
        super().__init__(f"rule {rule} broken: {text}\n" + "\n".join(trail[-60:]))


class Referee:
    """Notes events and judges them; `strict` raises at the first break, else breaks are only counted."""

    def __init__(self, strict: bool = True, keep_trail: bool = True):
        self.strict, self.keep = strict, keep_trail
        self.trail: deque[str] = deque(maxlen=TRAIL)
        self.digest = hashlib.blake2b(digest_size=16)
        self.broken: dict[int, int] = {}
        self.first_break: str | None = None
        self.now = 0.0

    def note(self, *fields) -> None:
        """Add a line to the trail and the digest."""
        if self.keep:
            line = f"{self.now:.6f} " + " ".join(map(str, fields))
            self.trail.append(line)
            self.digest.update(line.encode())

    def breaks(self, rule: int, text: str) -> None:
        """A rule is broken: count it, or raise where the run is strict."""
        self.note("BROKEN", rule, text)
        self.broken[rule] = self.broken.get(rule, 0) + 1
        self.first_break = self.first_break or f"rule {rule}: {text}"
        if self.strict:
            raise RuleBrokenError(rule, text, list(self.trail))

    # rule 2, and the one try out where second copies are off; rule 3 by the true state of the server

    def sending(self, request, server, second_copies: bool, drained_at: float | None, grace: float) -> None:
        """Judge an attempt as it is sent."""
        now = self.now
        if now > request.deadline + LATE:
            self.breaks(1, f"call {request.id} sent on after its client timeout")
        if drained_at is not None and now > drained_at + grace:
            self.breaks(
                3, f"call {request.id} sent to server {server.id}, draining or gone since {drained_at:.3f}"
            )
        from ..policy import NEVER_RAN  # the decisions' own list of outcomes that prove nothing ran

        ran = [one for one in request.attempts if one.outcome not in NEVER_RAN]
        if not second_copies and any(one.outcome is None for one in request.attempts):
            self.breaks(2, f"call {request.id}: a second try out while second copies are off")
        if ran and request.route.idempotency is not Idempotency.IDEMPOTENT:
            if request.route.idempotency is Idempotency.NON_IDEMPOTENT:
                self.breaks(2, f"non-idempotent call {request.id} sent again after a try that may have run")
            elif now >= ran[0].sent_at + request.route.deduplication_window:
                self.breaks(2, f"tokened call {request.id} repeated after its window")
            elif (
                request.route.deduplication_scope is DeduplicationScope.ZONE
                and server.zone != ran[0].server.zone
            ):
                self.breaks(2, f"tokened call {request.id} repeated outside its zone")
            elif (
                request.route.deduplication_scope is DeduplicationScope.CELL
                and server.cell != ran[0].server.cell
            ):
                self.breaks(2, f"tokened call {request.id} repeated outside its cell")

    def rate_limiting(self, request) -> None:
        """Judge a refusal."""
        from ..policy import NEVER_RAN

        ran = any(one.outcome not in NEVER_RAN for one in request.attempts)
        safe = (
            request.route.idempotency is Idempotency.IDEMPOTENT
            or request.route.deduplication_scope is DeduplicationScope.ALL
        )
        if ran and not safe:
            self.breaks(2, f"call {request.id} rate-limited after a try that may have run")

    def answering(self, request, answered: bool) -> None:
        """Judge a final answer."""
        if answered:
            self.breaks(1, f"call {request.id} answered twice")
        elif self.now > request.deadline + LATE:
            self.breaks(
                1, f"call {request.id} answered {self.now - request.deadline:.3f} s after its client timeout"
            )
