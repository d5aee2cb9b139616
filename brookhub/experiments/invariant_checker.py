"""Checks the invariants of a run on processes, from the records of clients and fakes, never from logs.

Rule 1 (one answer in time), rule 2 (no second effect), rule 3 (nothing to drained servers) for each request
and attempt, rule 4 (no overload while warming up) over the sum of the fleet, and each customer's use.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from ..config.models import Experiment, RouteSpec
from ..fakes import AttemptEnd, ServerAttempt
from .client_request import AnswerKind, ClientRequest, RequestEnd

SLACK = 0.25  # s beyond a time limit: 50 ms of the protocol, the rest for this machine's threads under load
NOT_EXECUTED = (AttemptEnd.REJECTED,)  # ends of an attempt that prove that nothing ran


@dataclass
class Outage:
    """A limiter was away from `since` to `until` (s, monotonic): killed, or stopped (`stalled`)."""

    limiter: int
    since: float
    until: float
    stalled: bool = False

    def affects(self, request: ClientRequest) -> bool:
        """Whether a request was at the limiter during the outage."""
        return (
            request.limiter == self.limiter
            and self.since <= request.expires_at + SLACK
            and request.sent_at <= self.until + SLACK
        )


@dataclass(frozen=True)
class ServerPlace:
    """Where a server is: its zone, and its cell in the zone."""

    zone: int
    cell: int


@dataclass(frozen=True)
class ColdSecond:
    """A whole second of the run in which a server was warming up."""

    server: int
    second: int


@dataclass
class CheckResult:
    """What the invariant checker found.

    `violations`: texts by rule. `excused`: requests lost in an outage. `served_units`: units served, by
    customer. `cold_sends`: attempts at servers that were warming up.
    """

    violations: dict[int, list[str]] = field(default_factory=lambda: defaultdict(list))
    excused: int = 0
    served_units: Counter[int] = field(default_factory=Counter)
    cold_sends: Counter[ColdSecond] = field(default_factory=Counter)

    def counts(self) -> dict[int, int]:
        """The number of violations by rule, of rules that have any."""
        return {rule: len(texts) for rule, texts in sorted(self.violations.items()) if texts}

    def first(self) -> str | None:
        """The first violation as text."""
        violated = [(rule, texts[0]) for rule, texts in sorted(self.violations.items()) if texts]
        return f"rule {violated[0][0]}: {violated[0][1]}" if violated else None


IsUnreachable = Callable[[str, int, float], bool]  # (limiter's IP address, server, time in s)


def never_unreachable(limiter: str, server: int, time: float) -> bool:
    """No link was cut."""
    return False


@dataclass(frozen=True)
class RunRecords:
    """What clients and fakes recorded of a run, and the faults that excuse some of it.

    `collapses`: collapses of servers that were warming up. `began`: start of the load (s, monotonic).
    `is_unreachable`: whether the link from a limiter to a server was cut, or the limiter stopped, at a time:
    such a server does not learn that an attempt was cancelled.
    """

    requests: Sequence[ClientRequest]
    attempts: Sequence[ServerAttempt]
    outages: Sequence[Outage]
    collapses: int
    places: dict[int, ServerPlace]
    began: float
    is_unreachable: IsUnreachable = never_unreachable


def check_invariants(experiment: Experiment, records: RunRecords) -> CheckResult:
    """Check all rules on the records of a run."""
    checker = InvariantChecker(experiment, records)
    checker.check()
    return checker.result


class InvariantChecker:
    """One check of a run's records, into `result`."""

    def __init__(self, experiment: Experiment, records: RunRecords) -> None:
        self.fleet = experiment.fleet
        self.records = records
        self.result = CheckResult()

    def check(self) -> None:
        """Check all requests, all attempts, and the attempts of each request together."""
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
            self.result.violations[4] += [f"a cold server was pushed over ({collapses} in all)"] * collapses

    def check_answers(self, request: ClientRequest) -> None:
        """Rule 1: one final answer by the client timeout, nothing after it."""
        if request.outcome is AnswerKind.SERVED:
            self.result.served_units[request.customer] += 1
        violations = self.result.violations[1]
        if len(request.answers) > 1:
            violations.append(
                f"call {request.id} answered {len(request.answers)} times by n{request.limiter}"
            )
        if request.answers:
            delay = request.answers[0].arrived_at - request.expires_at
            if delay > SLACK:
                violations.append(
                    f"call {request.id} answered {delay:.2f} s after its client timeout by n{request.limiter}"
                )
        elif request.end in (RequestEnd.CLOSED, RequestEnd.SILENT):
            if any(outage.affects(request) for outage in self.records.outages):
                self.result.excused += 1
            else:
                violations.append(f"call {request.id} lost by n{request.limiter} ({request.end})")

    def check_attempt(self, attempt: ServerAttempt) -> None:
        """Rule 3: nothing is sent to a server after its drain's grace; count attempts at cold servers."""
        draining_for = attempt.draining_for
        if draining_for is not None and draining_for > self.fleet.grace_s + SLACK:
            self.result.violations[3].append(
                f"call {attempt.request} sent to server {attempt.server}, drained {draining_for:.2f} s before"
            )
        if attempt.warming_up:
            second = ColdSecond(attempt.server, int(attempt.arrived_at - self.records.began))
            self.result.cold_sends[second] += 1

    def check_attempts(self, request: ClientRequest, attempts: list[ServerAttempt]) -> None:
        """Rule 2 for the attempts of a request, in the order of their arrival.

        A client that sends once more after its limiter was killed repeats the request itself, so the attempts
        before and after that are checked apart.
        """
        if not self.lost_limiter(request):
            self.check_effects(request, attempts)
            return
        before = [attempt for attempt in attempts if attempt.arrived_at < request.resent_at]
        after = [attempt for attempt in attempts if attempt.arrived_at >= request.resent_at]
        self.check_effects(request, before)
        self.check_effects(request, after)

    def lost_limiter(self, request: ClientRequest) -> bool:
        """Whether a request was sent once more because its limiter was killed."""
        return any(
            outage.limiter == request.previous_limiter
            and not outage.stalled
            and request.sent_at - SLACK <= outage.since <= request.resent_at
            for outage in self.records.outages
        )

    def check_effects(self, request: ClientRequest, attempts: list[ServerAttempt]) -> None:
        """Rule 2: no second effect, no concurrent attempts without hedging, no rejection after execution."""
        route = self.fleet.routes[request.route]
        violations = self.result.violations[2]
        executed: list[ServerAttempt] = []  # or possibly so
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
        if executed and not is_idempotent and request.outcome is AnswerKind.REJECTED:
            violations.append(
                f"call {request.id} rejected after an attempt that may have run: {history(request, attempts)}"
            )

    def check_concurrency(
        self, request: ClientRequest, attempt: ServerAttempt, previous: Iterable[ServerAttempt]
    ) -> None:
        """No attempt while another one is out, unless its server could not learn of the cancellation."""
        for other in previous:
            is_out = other.end is None or other.ended_at > attempt.arrived_at + SLACK
            if is_out and not self.records.is_unreachable(other.limiter, other.server, attempt.arrived_at):
                self.result.violations[2].append(
                    f"call {request.id}: a second attempt out at server {attempt.server}, beside "
                    f"{other.server}"
                )

    def second_effect(
        self, request: ClientRequest, route: RouteSpec, first: ServerAttempt, attempt: ServerAttempt
    ) -> str | None:
        """How an attempt may have had a second effect after the first one that may have run, or None."""
        if route.repeat == "non_idempotent":
            return (
                f"non-idempotent call {request.id} at server {attempt.server} after {first.server} may have "
                "run it"
            )
        if route.repeat != "tokened":
            return None
        place = self.records.places[attempt.server]
        first_place = self.records.places[first.server]
        if attempt.arrived_at > first.arrived_at + route.window_s + SLACK:
            return f"tokened call {request.id} repeated after its window: a second effect"
        if route.group == "zone" and place.zone != first_place.zone:
            return f"tokened call {request.id} repeated outside its zone: a second effect"
        if route.group == "cell" and place != first_place:
            return f"tokened call {request.id} repeated outside its cell: a second effect"
        return None


def history(request: ClientRequest, attempts: Iterable[ServerAttempt]) -> str:
    """A request as its client and its servers saw it; times in s after it was sent."""
    began = request.sent_at
    events = [f"n{request.limiter}"]
    if request.resent_at:
        events.append(f"sent again at {request.resent_at - began:.3f}")
    events += [f"{answer.kind} at {answer.arrived_at - began:.3f}" for answer in request.answers]
    servers = [
        f"server {attempt.server} from {attempt.limiter} at {attempt.arrived_at - began:.3f}: {attempt.end}, "
        f"{'ran' if attempt.executed else 'did not run'}, over at {attempt.ended_at - began:.3f}"
        for attempt in attempts
    ]
    return f"{', '.join(events)}; {'; '.join(servers)}"
