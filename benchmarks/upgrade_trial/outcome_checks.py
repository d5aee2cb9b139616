"""Checks of the whole run: the invariants, and the absence of internal errors in the logs."""

from __future__ import annotations

import json

from brookhub.experiments.outcome import Outcome

from .limiter_logs import LOG_EVENTS, lines_of
from .mixed_fleet import MixedFleet


def check_outcome(fleet: MixedFleet, outcome: Outcome) -> None:
    """Check that the outcome has no violation and the logs have no internal error."""
    result, excused = outcome.result, outcome.checks.excused
    answers = f"{result.requests} requests, {result.served} served, {result.rejected} rejected, "
    answers += f"{result.failed} failed, {result.lost} lost, {excused} excused"
    fleet.check("invariants: each request has one final answer", not (result.lost or excused), answers)
    detail = result.first_violation or f"{len(fleet.processes.attempts)} attempts at servers checked"
    print(f"       delays of this machine: {json.dumps(outcome.noise.metrics())}")
    fleet.check("invariants: no rule is violated", not result.violations, detail)
    internal_errors = [line for limiter in fleet.limiters for line in lines_of(limiter, LOG_EVENTS.fault)]
    fleet.check("log: no internal error", not internal_errors, str(internal_errors[:1] or "none"))
