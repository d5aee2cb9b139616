"""The outcome of a run on processes: the results, the checker's findings and this machine's delays."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..config.models import Experiment
from ..emulator import Result
from .client_request import AnswerKind, ClientRequest, RequestEnd
from .invariant_checker import CheckResult
from .load import Load


@dataclass(frozen=True)
class Noise:
    """Maximum delays, in seconds, of this machine's load generator and of the fake servers' timers."""

    arrivals_late_s: float
    timers_late_s: float

    def metrics(self) -> dict[str, float]:
        """Return the delays by name, for JSON."""
        return {
            "arrivals_late_s": round(self.arrivals_late_s, 4),
            "timers_late_s": round(self.timers_late_s, 4),
        }


@dataclass
class Outcome:
    """The results of a run on processes, in the emulator's format, with the findings and delays."""

    result: Result
    checks: CheckResult
    noise: Noise

    def metrics(self) -> dict[str, Any]:
        """Return all figures by name, for JSON.

        `cold_sends_most` is the maximum number of attempts at a server that was warming up, in one second.
        """
        return self.result.metrics() | {
            "excused": self.checks.excused,
            "noise": self.noise.metrics(),
            "cold_sends_most": max(self.checks.cold_sends.values(), default=0),
        }


def count_requests(result: Result, requests: list[ClientRequest]) -> None:
    """Add requests to the result's counts, by their first answer or, if they have none, by their end."""
    for request in requests:
        result.requests += 1
        if request.outcome is AnswerKind.SERVED:
            result.served += 1
            latency = request.answers[0].arrived_at - request.sent_at
            result.record_latency(latency)
        elif request.outcome is AnswerKind.REJECTED:
            result.rejected += 1
        elif request.outcome is AnswerKind.FAILED:
            result.failed += 1
        elif request.end is RequestEnd.CANCELLED:
            result.left += 1
        else:
            result.lost += 1


def measure_overshoot(result: Result, experiment: Experiment, load: Load, checks: CheckResult) -> None:
    """Set the result's figures of units served beyond quotas and ceilings."""
    duration = experiment.duration_s
    quota_overshoots = []
    for number, customer in enumerate(load.customers):
        plan = experiment.fleet.plans[customer.plan]
        served = checks.served_units[number]
        if plan.rate:
            quota_overshoots.append(overshoot(served, plan.burst + plan.rate * duration))
        if plan.ceiling_rate:
            ceiling = plan.ceiling_burst + plan.ceiling_rate * duration
            result.ceiling_overshoot = max(result.ceiling_overshoot, overshoot(served, ceiling))
    if quota_overshoots:
        result.quota_overshoot = sum(quota_overshoots) / len(quota_overshoots)
        result.worst_overshoot = max(quota_overshoots)


def overshoot(served: float, allowed: float) -> float:
    """Return the units served beyond the allowed ones, as a share of the allowed ones."""
    return max(0.0, served / allowed - 1.0)
