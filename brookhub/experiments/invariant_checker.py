"""The judge of a run on processes: reads only what clients and stand-ins recorded, never a limiter's log.

Rules 1 to 3 for each call and try, rule 4 over the fleet's sum, quota and ceiling use of each customer.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from ..config.models import Experiment
from ..fakes import AttemptEnd, ServerAttempt
from .load import Asked

# Seconds beyond a time limit: 50 ms of the protocol page, the rest for this machine's threads under load
SLACK = 0.25
RAN_NOT = (AttemptEnd.REJECTED,)  # ends of a try that prove that nothing ran


@dataclass
class Outage:
    """A limiter was away from `since` to `until` (s): killed, or stopped and woken (`stalled`)."""

    limiter: int
    since: float
    until: float
    stalled: bool = False

    def touches(self, call: Asked) -> bool:
        """Whether a request came to a limiter while it was out."""
        return (
            call.limiter == self.limiter
            and self.since <= call.expires + SLACK
            and call.sent <= self.until + SLACK
        )


@dataclass
class Verdict:
    """What the judge found.

    Breaks of each rule (texts), calls excused by an outage, use for each customer.
    """

    broken: dict[int, list[str]] = field(default_factory=lambda: defaultdict(list))
    excused: int = 0
    use: dict[int, float] = field(default_factory=dict)  # units proxied, by customer
    sent_units: dict[int, float] = field(default_factory=dict)  # units of calls that reached a server
    # (server, whole s of the run) -> sends while cold
    cold: dict[tuple[int, int], int] = field(default_factory=dict)

    def counts(self) -> dict[int, int]:
        """Breaks of each rule, by number."""
        return {rule: len(texts) for rule, texts in sorted(self.broken.items()) if texts}

    def first(self) -> str | None:
        """The first break, in words."""
        return next(
            (f"rule {rule}: {texts[0]}" for rule, texts in sorted(self.broken.items()) if texts), None
        )


def judge(
    experiment: Experiment,
    asked: list[Asked],
    seen: list[ServerAttempt],
    outages: list[Outage],
    falls: int,
    zones: dict[int, tuple[int, int]],
    began: float,
    hurt=lambda limiter, server, at: False,
) -> Verdict:
    """`zones`: server -> (zone, cell).

    `hurt(limiter, server, at)`: whether that link was cut then (address, id, s): a server behind a cut does
    not hear that a try was given up.
    """
    verdict = Verdict()
    fleet = experiment.fleet
    calls = {one.id: one for one in asked}
    for one in asked:
        answers(one, outages, verdict)
        if one.answers and one.answers[0][1] == "proxied":
            verdict.use[one.customer] = verdict.use.get(one.customer, 0.0) + 1.0
    tries: dict[int, list[ServerAttempt]] = defaultdict(list)
    for one in sorted(seen, key=lambda one: one.arrived_at):
        tries[one.request].append(one)
        if one.draining_for is not None and one.draining_for > fleet.grace_s + SLACK:
            verdict.broken[3].append(
                f"call {one.request} sent to server {one.server}, drained {one.draining_for:.2f} s before"
            )
        if one.warming_up:
            key = (one.server, int(one.arrived_at - began))
            verdict.cold[key] = verdict.cold.get(key, 0) + 1
    for ident, own in tries.items():
        if ident in calls:
            call = calls[ident]
            verdict.sent_units[call.customer] = verdict.sent_units.get(call.customer, 0.0) + 1.0
            # A client that asks once more where its limiter was killed repeats the call itself: each asking
            # is judged alone.
            killed = [
                one.since
                for one in outages
                if one.limiter == call.before
                and not one.stalled
                and call.sent - SLACK <= one.since <= call.again
            ]
            for asking in (
                (
                    [one for one in own if one.arrived_at < call.again],
                    [one for one in own if one.arrived_at >= call.again],
                )
                if killed
                else (own,)
            ):
                repeats(experiment, call, asking, zones, verdict, hurt)
    if falls:
        verdict.broken[4] += [f"a cold server was pushed over ({falls} in all)"] * falls
    return verdict


def answers(one: Asked, outages: list[Outage], verdict: Verdict) -> None:
    """Rule 1: one final answer by the client timeout, nothing after it."""
    away = any(outage.touches(one) for outage in outages)
    if len(one.answers) > 1:
        verdict.broken[1].append(f"call {one.id} answered {len(one.answers)} times by n{one.limiter}")
    if one.answers and one.answers[0][0] > one.expires + SLACK:
        verdict.broken[1].append(
            f"call {one.id} answered {one.answers[0][0] - one.expires:.2f} s after its client "
            f"timeout by n{one.limiter}"
        )
    elif not one.answers and one.end in ("closed", "none"):
        if away:
            verdict.excused += 1
        else:
            verdict.broken[1].append(f"call {one.id} lost by n{one.limiter} ({one.end})")


def history(call: Asked, tries: list[ServerAttempt]) -> str:
    """A request as its client and its servers saw it, in s after it was sent."""
    answers = [f"{how} at {at - call.sent:.3f}" for at, how in call.answers]
    again = f", asked again at {call.again - call.sent:.3f}" if call.again else ""
    seen = [
        f"server {one.server} from {one.limiter} at {one.arrived_at - call.sent:.3f}: {one.end}, "
        f"{'ran' if one.executed else 'did not run'}, over at {one.ended_at - call.sent:.3f}"
        for one in tries
    ]
    return f"n{call.limiter}{again}, {', '.join(answers)}; {'; '.join(seen)}"


def repeats(
    experiment: Experiment, call: Asked, tries: list[ServerAttempt], zones: dict, verdict: Verdict, hurt
) -> None:
    """Rule 2: no effect twice; one try out where second copies are off.

    No rate-limit after one that may have run.
    """
    fleet, broken = experiment.fleet, verdict.broken[2]
    route = fleet.routes[call.route]
    ran: list[ServerAttempt] = []
    for one in tries:
        if not fleet.second_copies:
            for before in tries[: tries.index(one)]:
                out = before.end is None or before.ended_at > one.arrived_at + SLACK
                if out and not hurt(before.limiter, before.server, one.arrived_at):
                    broken.append(
                        f"call {call.id}: a second try out at server {one.server} beside {before.server}"
                    )
        if ran and route.repeat == "non_idempotent":
            broken.append(
                f"non-idempotent call {call.id} at server {one.server} after {ran[0].server} may have run it"
            )
        elif ran and route.repeat == "tokened":
            first = ran[0]
            if one.arrived_at > first.arrived_at + route.window_s + SLACK:
                broken.append(f"tokened call {call.id} repeated after its window: a second effect")
            elif route.group == "zone" and zones[one.server][0] != zones[first.server][0]:
                broken.append(f"tokened call {call.id} repeated outside its zone: a second effect")
            elif route.group == "cell" and zones[one.server] != zones[first.server]:
                broken.append(f"tokened call {call.id} repeated outside its cell: a second effect")
        if one.end not in RAN_NOT:
            ran.append(one)
    safe = route.repeat == "idempotent" or (route.repeat == "tokened" and route.group == "all")
    if ran and not safe and call.answers and call.answers[0][1] == "rate-limited":
        broken.append(f"call {call.id} rate-limited after a try that may have run: {history(call, tries)}")
