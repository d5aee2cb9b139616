"""Checks of the invariants of a run on processes, from the records of clients and fakes, never from logs.

Rule 1: each request gets exactly one answer, in time. Rule 2: no request has a second effect. Rule 3: nothing
is sent to drained servers. These are checked for each request and attempt. Rule 4, no overload of a server
that is warming up, is checked over the whole fleet. The units served to each customer are counted as well.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from ..config.models import Experiment, RouteSpec
from ..fakes import AttemptEnd, ServerAttempt
from .client_request import AnswerKind, ClientRequest, RequestEnd

# Seconds by which a time limit may be exceeded. The protocol allows 50 ms. The rest allows for delays of this
# machine's threads under load.
SLACK = 0.25
NOT_EXECUTED = (AttemptEnd.REJECTED,)  # Ends of an attempt that prove that the server did not execute it.


@dataclass
class Outage:
    """A time in which a limiter did not run.

    Attributes:
        limiter: Index of the limiter.
        since: Start of the outage in seconds on the monotonic clock.
        until: End of the outage in seconds on the monotonic clock.
        stalled: Whether the limiter was stopped and continued, rather than killed.
    """

    limiter: int
    since: float
    until: float
    stalled: bool = False

    def affects(self, request: ClientRequest) -> bool:
        """Return whether the limiter may have held a request during the outage."""
        return (
            request.limiter == self.limiter
            and self.since <= request.expires_at + SLACK
            and request.sent_at <= self.until + SLACK
        )


@dataclass(frozen=True)
class ServerPlace:
    """The location of a server: its zone and its cell in the zone."""

    zone: int
    cell: int


@dataclass(frozen=True)
class ColdSecond:
    """A whole second of the run in which a server was warming up."""

    server: int
    second: int


@dataclass
class CheckResult:
    """The findings of the invariant checker.

    Attributes:
        violations: Descriptions of the violations, by rule.
        excused: Number of requests that were lost in an outage, which is not a violation.
        served_units: Units served, by customer.
        cold_sends: Number of attempts at each server that was warming up, by second.
    """

    violations: dict[int, list[str]] = field(default_factory=lambda: defaultdict(list))
    excused: int = 0
    served_units: Counter[int] = field(default_factory=Counter)
    cold_sends: Counter[ColdSecond] = field(default_factory=Counter)

    def counts(self) -> dict[int, int]:
        """Return the number of violations of each rule that was violated."""
        return {rule: len(texts) for rule, texts in sorted(self.violations.items()) if texts}

    def first(self) -> str | None:
        """Return the first violation of the lowest rule as text, None if there is no violation."""
        violated = [(rule, texts[0]) for rule, texts in sorted(self.violations.items()) if texts]
        return f"rule {violated[0][0]}: {violated[0][1]}" if violated else None


# Takes a limiter's IP address, a server's id and a time in seconds.
IsUnreachable = Callable[[str, int, float], bool]


def never_unreachable(limiter: str, server: int, time: float) -> bool:
    """Return False, because no link was cut and no limiter stopped."""
    return False


@dataclass(frozen=True)
class RunRecords:
    """The records of the clients and fakes of a run, and the faults that excuse lost requests.

    Attributes:
        requests: The clients' requests.
        attempts: The attempts that arrived at the servers.
        outages: The times in which limiters did not run.
        collapses: Number of collapses of servers that were warming up.
        places: Location of each server by its id.
        began: Start of the load in seconds on the monotonic clock.
        is_unreachable: Returns whether, at a given time, the link from a limiter to a server was cut or the
            limiter was stopped. A cancellation does not reach such a server.
    """

    requests: Sequence[ClientRequest]
    attempts: Sequence[ServerAttempt]
    outages: Sequence[Outage]
    collapses: int
    places: dict[int, ServerPlace]
    began: float
    is_unreachable: IsUnreachable = never_unreachable


def check_invariants(experiment: Experiment, records: RunRecords) -> CheckResult:
    """Check all rules against the records of a run and return the findings."""
    checker = InvariantChecker(experiment, records)
    checker.check()
    return checker.result


class InvariantChecker:
    """A single check of the records of a run. `result` holds the findings."""

    def __init__(self, experiment: Experiment, records: RunRecords) -> None:
        self.fleet = experiment.fleet
        self.records = records
        self.result = CheckResult()

    def check(self) -> None:
        """Check each request, each attempt, and all attempts of a request together."""
        for request in self.records.requests:
            self.check_answers(request)
        attempts_by_request: dict[int, list[ServerAttempt]] = defaultdict(list)
        for attempt in sorted(self.records.attempts, key=lambda attempt: attempt.arrived_at):
            attempts_by_request[attempt.request].append(attempt)
            self.check_attempt(attempt)
        requests = {request.id: request for request in self.records.requests}
        for number, attempts in attempts_by_request.items():
            if number in requests:
                self.check_attempts(requests[number], attempts)
        collapses = self.records.collapses
        if collapses:
            self.result.violations[4] += [
                f"a server collapsed from overload while it was warming up ({collapses} collapses in total)"
            ] * collapses

    def check_answers(self, request: ClientRequest) -> None:
        """Check rule 1: one final answer before the client timeout, and no further answer."""
        if request.outcome is AnswerKind.SERVED:
            self.result.served_units[request.customer] += 1
        violations = self.result.violations[1]
        if len(request.answers) > 1:
            violations.append(
                f"request {request.id} answered {len(request.answers)} times by n{request.limiter}, "
                "expected once"
            )
        if request.answers:
            delay = request.answers[0].arrived_at - request.expires_at
            if delay > SLACK:
                violations.append(
                    f"request {request.id} answered {delay:.2f} s after its client timeout by "
                    f"n{request.limiter}, expected at most {SLACK} s"
                )
        elif request.end in (RequestEnd.CLOSED, RequestEnd.SILENT):
            if any(outage.affects(request) for outage in self.records.outages):
                self.result.excused += 1
            else:
                violations.append(f"request {request.id} lost by n{request.limiter} ({request.end})")

    def check_attempt(self, attempt: ServerAttempt) -> None:
        """Check rule 3: nothing is sent to a draining server after its grace period.

        Also counts the attempts at servers that are warming up.
        """
        draining_for = attempt.draining_for
        if draining_for is not None and draining_for > self.fleet.grace_s + SLACK:
            self.result.violations[3].append(
                f"request {attempt.request} sent to server {attempt.server} {draining_for:.2f} s after it "
                f"was drained, grace period {self.fleet.grace_s} s"
            )
        if attempt.warming_up:
            second = ColdSecond(attempt.server, int(attempt.arrived_at - self.records.began))
            self.result.cold_sends[second] += 1

    def check_attempts(self, request: ClientRequest, attempts: list[ServerAttempt]) -> None:
        """Check rule 2 for the attempts of a request, which are given in the order of their arrival.

        A client whose limiter was killed sends the request again itself, so the attempts before and after
        that are checked separately. The answer is that of the limiter that got the request last, which knows
        no attempt of the other one.
        """
        if not self.lost_limiter(request):
            self.check_effects(request, attempts)
            return
        before = [attempt for attempt in attempts if attempt.arrived_at < request.resent_at]
        after = [attempt for attempt in attempts if attempt.arrived_at >= request.resent_at]
        self.check_effects(request, before, is_answered=False)
        self.check_effects(request, after)

    def lost_limiter(self, request: ClientRequest) -> bool:
        """Return whether a request was sent again because its limiter was killed."""
        return any(
            outage.limiter == request.previous_limiter
            and not outage.stalled
            and request.sent_at - SLACK <= outage.since <= request.resent_at
            for outage in self.records.outages
        )

    def check_effects(
        self, request: ClientRequest, attempts: list[ServerAttempt], is_answered: bool = True
    ) -> None:
        """Check rule 2: no second effect and no rejection after an execution.

        `is_answered`: whether the limiter that made the attempts gave the answer.
        If the fleet does not hedge requests, concurrent attempts are violations as well.
        """
        route = self.fleet.routes[request.route]
        violations = self.result.violations[2]
        executed: list[ServerAttempt] = []  # Attempts that were executed or may have been.
        for position, attempt in enumerate(attempts):
            if not self.fleet.second_copies:
                self.check_concurrency(request, attempt, attempts[:position])
            if executed:
                violation = self.second_effect(request, route, executed[0], attempt)
                if violation is not None:
                    violations.append(violation)
            if attempt.end not in NOT_EXECUTED:
                executed.append(attempt)
        is_idempotent = route.repeat == "idempotent" or (route.repeat == "tokened" and route.group == "all")
        is_rejected = is_answered and request.outcome is AnswerKind.REJECTED
        if executed and not is_idempotent and is_rejected:
            violations.append(
                f"request {request.id} rejected after an attempt that may have run: "
                f"{describe_history(request, attempts)}"
            )

    def check_concurrency(
        self, request: ClientRequest, attempt: ServerAttempt, previous: Iterable[ServerAttempt]
    ) -> None:
        """Check that no other attempt is in progress when an attempt arrives.

        Ignores attempts whose cancellation could not reach their servers.
        """
        for other in previous:
            is_in_progress = other.end is None or other.ended_at > attempt.arrived_at + SLACK
            if is_in_progress and not self.records.is_unreachable(
                other.limiter, other.server, attempt.arrived_at
            ):
                self.result.violations[2].append(
                    f"request {request.id}: attempt at server {attempt.server} while the one at server "
                    f"{other.server} was in progress"
                )

    def second_effect(
        self, request: ClientRequest, route: RouteSpec, first: ServerAttempt, attempt: ServerAttempt
    ) -> str | None:
        """Return how an attempt may have had a second effect, None if it cannot have had one.

        `first` is the earliest attempt that may have been executed.
        """
        if route.repeat == "non_idempotent":
            return (
                f"non-idempotent request {request.id} sent to server {attempt.server} after server "
                f"{first.server} may have run it"
            )
        if route.repeat != "tokened":
            return None
        place = self.records.places[attempt.server]
        first_place = self.records.places[first.server]
        if attempt.arrived_at > first.arrived_at + route.window_s + SLACK:
            return (
                f"second effect: request {request.id} with an idempotency key repeated "
                f"{attempt.arrived_at - first.arrived_at:.2f} s after its first attempt, "
                f"window {route.window_s} s"
            )
        if route.group == "zone" and place.zone != first_place.zone:
            return (
                f"second effect: request {request.id} with an idempotency key repeated in zone {place.zone}, "
                f"first sent to zone {first_place.zone}"
            )
        if route.group == "cell" and place != first_place:
            return (
                f"second effect: request {request.id} with an idempotency key repeated in cell "
                f"{place.cell} of zone {place.zone}, first sent to cell {first_place.cell} of zone "
                f"{first_place.zone}"
            )
        return None


def describe_history(request: ClientRequest, attempts: Iterable[ServerAttempt]) -> str:
    """Return the events of a request at its client and its servers, in seconds after it was sent."""
    began = request.sent_at
    events = [f"sent to n{request.limiter}"]
    if request.resent_at:
        events.append(f"sent again at {request.resent_at - began:.3f}")
    events += [f"{answer.kind} at {answer.arrived_at - began:.3f}" for answer in request.answers]
    servers = [
        f"server {attempt.server} from {attempt.limiter} at {attempt.arrived_at - began:.3f}: {attempt.end}, "
        f"{'ran' if attempt.executed else 'did not run'}, ended at {attempt.ended_at - began:.3f}"
        for attempt in attempts
    ]
    return f"{', '.join(events)}; {'; '.join(servers)}"
