"""Checks of the counter's recovery: all limiters begin the same new epoch after a wipe."""

from __future__ import annotations

from brookhub.experiments.limiter_process import Limiter

from .limiter_logs import LOG_EVENTS, lines_of
from .mixed_fleet import MixedFleet
from .settings import LIMITERS, STEP_TIMEOUT_S


def check_counter_recovery(fleet: MixedFleet) -> None:
    """Check that after a wipe of the counter all begin the same new epoch and reconcile their counts."""
    known = [limiter for limiter in fleet.limiters if lines_of(limiter, LOG_EVENTS.counter_known)]
    fleet.check("recovery: every limiter knows the counter", len(known) == LIMITERS, fleet.describe(known))
    fleet.processes.counter.wipe()
    fleet.check_all("recovery: a wiped counter is recognised", has_reconciled, STEP_TIMEOUT_S)
    epochs = {
        line["epoch"] for limiter in fleet.limiters for line in lines_of(limiter, LOG_EVENTS.counter_changed)
    }
    fleet.check("recovery: all begin the same epoch", len(epochs) == 1, f"epochs {sorted(epochs)}")


def has_reconciled(limiter: Limiter) -> bool:
    """Return whether a limiter has begun a new epoch of the counter and then reconciled its counts."""
    changed, reconciled = LOG_EVENTS.counter_changed, LOG_EVENTS.counter_sure
    lines = lines_of(limiter, changed + reconciled)
    return any(line["event"] in changed for line in lines) and lines[-1]["event"] in reconciled
