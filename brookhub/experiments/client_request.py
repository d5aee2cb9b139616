"""Records of the load generator: a client's request with every answer that arrived for it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class AnswerKind(StrEnum):
    """What a limiter answered."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    UNEXPECTED = "unexpected"  # bytes after the complete answer


class RequestEnd(StrEnum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    CLOSED = "closed"  # the connection ended without an answer
    SILENT = "silent"  # no answer by the client timeout and a while after it
    CANCELLED = "cancelled"  # the client left before its timeout
    NO_LIMITER = "no limiter"  # no limiter accepted a connection


@dataclass(frozen=True)
class Answer:
    """An answer and when it arrived (s, monotonic)."""

    arrived_at: float
    kind: AnswerKind


@dataclass(eq=False)
class ClientRequest:
    """A request as its client saw it. Times in s (monotonic).

    `limiter` is the index of the limiter that it was sent to last. `answers` holds all answers that arrived,
    the first one counts. `end` is None until the request ends. `original` is the id of the request that the
    client sent first: the request's own, or another one where this repeats a rejected request; it makes the
    idempotency key. A client whose connection ended without an answer sends once more: `resent_at` is when
    (0: it did not), `previous_limiter` the limiter before that (-1: none).
    """

    id: int
    customer: int
    route: int
    limiter: int
    sent_at: float
    expires_at: float
    repeats: bool = False
    answers: list[Answer] = field(default_factory=list)
    retry_after: float = 0.0
    end: RequestEnd | None = None
    ended_at: float = 0.0
    resent_at: float = 0.0
    previous_limiter: int = -1
    original: int = 0

    @property
    def outcome(self) -> AnswerKind | None:
        """The kind of the first answer, None if there is none."""
        return self.answers[0].kind if self.answers else None
