"""Records of the load generator: a client's request and all answers to it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class AnswerKind(StrEnum):
    """The kind of a limiter's answer."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    UNEXPECTED = "unexpected"  # Bytes after the complete answer.


class RequestEnd(StrEnum):
    """The end of a request, as its client saw it."""

    ANSWERED = "answered"
    CLOSED = "closed"  # The connection ended without an answer.
    SILENT = "silent"  # No answer until LATE_ANSWER_TIME after the client timeout.
    CANCELLED = "cancelled"  # The client cancelled the request before its timeout.
    NO_LIMITER = "no limiter"  # No limiter accepted a connection.


@dataclass(frozen=True)
class Answer:
    """An answer and its arrival time in seconds on the monotonic clock."""

    arrived_at: float
    kind: AnswerKind


@dataclass(eq=False)
class ClientRequest:
    """A request as its client saw it. Times are seconds on the monotonic clock.

    Attributes:
        id: Id of the request.
        customer: Index of the customer.
        route: Index of the route.
        limiter: Index of the limiter that the request was last sent to.
        sent_at: Time at which the request was first sent.
        expires_at: Time of the client timeout.
        repeats: Whether the request repeats a rejected one.
        answers: All answers that arrived. The client uses the first one.
        retry_after: Seconds that a rejection told the client to wait, 0 if it did not.
        end: How the request ended, None until it ends.
        ended_at: Time at which the request ended.
        resent_at: Time at which the client sent the request again because its connection ended without an
            answer, 0 if it did not.
        previous_limiter: Index of the limiter that the request was sent to before that, -1 if there is none.
        original: Id of the client's first request, which differs from `id` if this one repeats a rejected
            request. The idempotency key is derived from it.
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
        """Kind of the first answer, None if there is none."""
        return self.answers[0].kind if self.answers else None
