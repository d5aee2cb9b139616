"""Checks of a maintenance plan that limiters of both versions carry out and lead."""

from __future__ import annotations

import signal
from time import monotonic, sleep

from brookhub.experiments.limiter_process import Limiter
from brookhub.experiments.maintenance_workers import Workers

from .limiter_logs import LOG_EVENTS, MixedWorkers, lines_of, lines_starting_with
from .mixed_fleet import MixedFleet, until
from .settings import (
    GRACE_S,
    MACHINES,
    MAX_OUT,
    PLAN_TIMEOUT_S,
    POLL_INTERVAL_S,
    RESTART_DELAY_S,
    SETTLE_S,
    STEP_TIMEOUT_S,
    WORK_S,
    plan_text,
)


def check_maintenance(fleet: MixedFleet) -> None:
    """Check that a plan is carried out while leaders are restarted until both versions have led it."""
    workers = MixedWorkers(fleet.processes, MACHINES, WORK_S, GRACE_S)
    submit_plan(fleet)
    fleet.check_all(
        "maintenance: the plan is adopted",
        lambda limiter: bool(lines_of(limiter, LOG_EVENTS.plan_taken)),
        STEP_TIMEOUT_S,
    )
    led = restart_leaders(fleet, monotonic() + PLAN_TIMEOUT_S)
    fleet.check("maintenance: both versions lead it in turn", len(set(led)) == 2, " -> ".join(led))
    until(lambda: is_completed(fleet), PLAN_TIMEOUT_S)
    sleep(SETTLE_S)  # If the versions' tables differed, a machine would be taken out again.
    workers.stop()
    check_machines(fleet, workers)
    check_digest(fleet)


def submit_plan(fleet: MixedFleet) -> None:
    """Write the plan for every limiter and make the last one read it at once."""
    for limiter in fleet.limiters:
        fleet.processes.plan_path(limiter).write_text(plan_text())  # Limiters also read it after a restart.
    fleet.limiters[-1].send_signal(signal.SIGHUP)


def restart_leaders(fleet: MixedFleet, deadline: float) -> list[str]:
    """Restart leaders until both versions have led, the plan has ended or the deadline has passed.

    Returns the versions that led, in order.
    """
    led: list[str] = []
    stopped: Limiter | None = None
    while monotonic() < deadline and len(set(led)) < 2 and not is_completed(fleet):
        leader = find_leader(fleet)
        if leader is None or leader is stopped:
            sleep(POLL_INTERVAL_S)
            continue
        led.append(fleet.version(leader))
        if len(set(led)) < 2:
            fleet.processes.kill(leader, RESTART_DELAY_S, signal.SIGTERM)
            stopped = leader
    return led


def find_leader(fleet: MixedFleet) -> Limiter | None:
    """Return the limiter that last became the leader of the plan, None if there is none."""
    led = [
        (line["timestamp"], limiter.index)
        for limiter in fleet.limiters
        for line in lines_of(limiter, LOG_EVENTS.leads_plan)
    ]
    return fleet.limiters[max(led)[1]] if led else None


def completed_machines(fleet: MixedFleet) -> set[str]:
    """Return the machines whose work is completed according to the logs."""
    return {
        line["machine"]
        for limiter in fleet.limiters
        for line in lines_starting_with(limiter, LOG_EVENTS.machine_done)
    }


def is_completed(fleet: MixedFleet) -> bool:
    """Return whether the work on all machines of the plan is completed."""
    return completed_machines(fleet) == set(MACHINES)


def check_machines(fleet: MixedFleet, workers: Workers) -> None:
    """Check that the plan has ended, with each machine out once and within the limit."""
    completed = completed_machines(fleet)
    fleet.check(
        "maintenance: the plan runs to its end",
        completed == set(MACHINES),
        f"completed: {sorted(completed)}",
    )
    outs = sorted(out.machine for out in workers.outs)
    agreed = outs == sorted(MACHINES) and workers.max_out() <= MAX_OUT
    fleet.check(
        "maintenance: all limiters use one table",
        agreed,
        f"out: {outs}, maximum at a time: {workers.max_out()}",
    )


def check_digest(fleet: MixedFleet) -> None:
    """Check that all limiters adopted a plan with the same digest and none rejected it."""
    limiters = fleet.limiters
    digests = {line["digest"] for limiter in limiters for line in lines_of(limiter, LOG_EVENTS.plan_taken)}
    rejected = [limiter for limiter in limiters if lines_of(limiter, LOG_EVENTS.plan_refused)]
    detail = f"digests {sorted(digests)}, rejected by {fleet.describe(rejected)}"
    fleet.check("maintenance: one digest of the plan", len(digests) == 1 and not rejected, detail)
