"""Measurements of outlier detection: a faulty server, random errors, a limiter with broken links."""

from __future__ import annotations

from ..emulator import Fleet
from .jobs import Job, Row
from .together_run import FAULT_AT, FAULT_DURATION, base_experiment, run

SINGLE_SERVER_SHARE = 0.001  # The fault rounds this share up to a single server.
SLOW_FACTOR = 10.0
ERROR_SHARE = 0.01  # Share of the attempts that fail on each server.


def faulty_server(job: Job) -> Row:
    """Measure the attempts sent to one server of 60 while it fails, is silent or is ten times slower."""
    raw = base_experiment(job["limiters"], job["way"])
    raw["load"]["scale"] = job["scale"]
    fault = {
        "at_s": FAULT_AT,
        "action": f"{job['kind']}_servers",
        "share": SINGLE_SERVER_SHARE,
        "for_s": FAULT_DURATION,
        "factor": SLOW_FACTOR,
    }
    raw["faults"] = [fault]
    return run(raw, job["seed"]).figures


def random_errors(job: Job) -> Row:
    """Measure the cost of reports if no server is faulty, but one attempt in a hundred fails at random."""
    raw = base_experiment(job["limiters"], job["way"], error_share=ERROR_SHARE)
    return run(raw, job["seed"]).figures


def broken_links(job: Job) -> Row:
    """Measure what the other limiters still serve while one limiter cannot reach any server.

    `others_served` is the share of the requests received by the other limiters that they serve.
    """

    def cut_links(fleet: Fleet) -> None:
        broken_until = dict.fromkeys(fleet.servers.models, FAULT_AT + FAULT_DURATION)
        fleet.limiters[0].unreachable_until.update(broken_until)

    def schedule_cut(fleet: Fleet) -> None:
        fleet.engine.call_at(FAULT_AT, lambda: cut_links(fleet))

    finished = run(base_experiment(job["limiters"], job["way"]), job["seed"], schedule_cut)
    others = finished.fleet.limiters[1:]
    served = sum(limiter.served for limiter in others)
    received = sum(limiter.received for limiter in others)
    return finished.figures | {"others_served": served / max(1, received)}
