"""Measures outlier detection: a faulty server, errors by chance, a limiter with broken links."""

from __future__ import annotations

from ..emulator import Fleet
from .jobs import Job, Row
from .together_run import FAULT_AT, FAULT_DURATION, base_experiment, run

SINGLE_SERVER_SHARE = 0.001  # of the servers: rounds up to a single server
SLOW_FACTOR = 10.0
ERROR_SHARE = 0.01  # of the attempts


def faulty_server(job: Job) -> Row:
    """One of 60 servers fails, is silent or ten times slow: the attempts that the fleet sends there."""
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
    """No server is faulty, all fail one attempt in a hundred: the cost of reports about chance."""
    raw = base_experiment(job["limiters"], job["way"], error_share=ERROR_SHARE)
    return run(raw, job["seed"]).figures


def broken_links(job: Job) -> Row:
    """The links of one limiter to all servers are broken: the loss of the other limiters."""

    def cut_links(fleet: Fleet) -> None:
        until = dict.fromkeys(fleet.servers.models, FAULT_AT + FAULT_DURATION)
        fleet.limiters[0].unreachable_until.update(until)

    def schedule_cut(fleet: Fleet) -> None:
        fleet.engine.call_at(FAULT_AT, lambda: cut_links(fleet))

    played = run(base_experiment(job["limiters"], job["way"]), job["seed"], schedule_cut)
    others = played.fleet.limiters[1:]
    served = sum(limiter.served for limiter in others)
    received = sum(limiter.received for limiter in others)
    return played.figures | {"others_served": served / max(1, received)}
