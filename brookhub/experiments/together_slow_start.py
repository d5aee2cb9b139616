"""Measurement of slow start: the load on cold servers after many were replaced, or in a split fleet."""

from __future__ import annotations

from ..emulator.server_model import ServerModel
from .jobs import Job, Row
from .together_run import base_experiment, run

DURATION = 18.0  # In seconds.
LOAD_SCALE = 1.3
CUSTOMERS_FACTOR = 5
SERVICE_TIME = 0.1  # In seconds.
FAULTS = {
    "replace": [{"at_s": 5.0, "action": "replace_servers", "share": 0.6, "for_s": 1.0}],
    "split": [
        {"at_s": 4.0, "action": "split_limiters", "share": 0.5, "for_s": 12.0},
        {"at_s": 5.0, "action": "zone_lost", "zone": 0, "for_s": 2.0},
    ],
}


def cold_servers(job: Job) -> Row:
    """Measure the load on cold servers after 60 % are replaced at once, or a zone returns during a split.

    `push` is the highest load of a cold server as a share of the bound of rule 4 (the load at which a warming
    server collapses). `used` is the number of attempts sent to cold servers, divided by the number that they
    can serve while they warm up.
    """
    raw = base_experiment(job["limiters"], job["way"], service_s=SERVICE_TIME)
    for plan in raw["fleet"]["plans"]:
        plan["customers"] *= CUSTOMERS_FACTOR
    raw["load"]["scale"] = LOAD_SCALE
    raw["duration_s"] = DURATION
    raw["faults"] = FAULTS[job["kind"]]
    finished = run(raw, job["seed"])
    servers = finished.fleet.servers
    models = [model for model in servers.models.values() if model.peak_overload]
    capacity = sum(_warm_up_capacity(model) for model in models)
    return finished.figures | {
        "push": max(model.peak_overload for model in models),
        "used": servers.sent_to_warming / capacity,
    }


def _warm_up_capacity(model: ServerModel) -> float:
    """Return the attempts that a server can serve from its start until it is warm or the run ends."""
    settings = model.settings
    duration = min(settings.warm_up_time, DURATION - model.started_at)
    cold_capacity = settings.cold_capacity
    # Integral of the capacity share, which rises linearly from `cold_capacity` to 1 over the warm-up time.
    full_capacity_time = (
        cold_capacity * duration + (1 - cold_capacity) * duration**2 / 2 / settings.warm_up_time
    )
    return settings.concurrency / settings.service_time * full_capacity_time
