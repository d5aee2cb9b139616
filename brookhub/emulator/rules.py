"""The referee: checks the five rules at every event that could break one, and keeps the trail.

The trail is every noted event, folded into a BLAKE2b digest (the same seed gives the same digest) and the
last TRAIL of them kept as text for the report of a break.
"""

from __future__ import annotations

import hashlib
from collections import deque

from ..model import Group, Repeat

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

    def sending(self, call, server, second_copies: bool, drained_at: float | None, grace: float) -> None:
        """Judge an attempt as it is sent."""
        now = self.now
        if now > call.expires + LATE:
            self.breaks(1, f"call {call.id} sent on after its client timeout")
        if drained_at is not None and now > drained_at + grace:
            self.breaks(
                3, f"call {call.id} sent to server {server.id}, draining or gone since {drained_at:.3f}"
            )
        from ..policy import NEVER_RAN  # the decisions' own list of outcomes that prove nothing ran

        ran = [one for one in call.attempts if one.outcome not in NEVER_RAN]
        if not second_copies and any(one.outcome is None for one in call.attempts):
            self.breaks(2, f"call {call.id}: a second try out while second copies are off")
        if ran and call.route.repeat is not Repeat.IDEMPOTENT:
            if call.route.repeat is Repeat.NON_IDEMPOTENT:
                self.breaks(2, f"non-idempotent call {call.id} sent again after a try that may have run")
            elif now >= ran[0].sent + call.route.window:
                self.breaks(2, f"tokened call {call.id} repeated after its window")
            elif call.route.group is Group.ZONE and server.zone != ran[0].server.zone:
                self.breaks(2, f"tokened call {call.id} repeated outside its zone")
            elif call.route.group is Group.CELL and server.cell != ran[0].server.cell:
                self.breaks(2, f"tokened call {call.id} repeated outside its cell")

    def rate_limiting(self, call) -> None:
        """Judge a refusal."""
        from ..policy import NEVER_RAN

        ran = any(one.outcome not in NEVER_RAN for one in call.attempts)
        safe = call.route.repeat is Repeat.IDEMPOTENT or call.route.group is Group.ALL
        if ran and not safe:
            self.breaks(2, f"call {call.id} rate-limited after a try that may have run")

    def answering(self, call, answered: bool) -> None:
        """Judge a final answer."""
        if answered:
            self.breaks(1, f"call {call.id} answered twice")
        elif self.now > call.expires + LATE:
            self.breaks(
                1, f"call {call.id} answered {self.now - call.expires:.3f} s after its client timeout"
            )
