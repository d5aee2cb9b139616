"""Measures slow start: the load of cold servers after many were replaced, or in a split fleet."""

from __future__ import annotations

from ..emulator.server_model import ServerModel
from .jobs import Job, Row
from .together_run import base_experiment, run

DURATION = 18.0  # s
LOAD_SCALE = 1.3
CUSTOMERS_FACTOR = 5
SERVICE_TIME = 0.1  # s
FAULTS = {
    "replace": [{"at_s": 5.0, "action": "replace_servers", "share": 0.6, "for_s": 1.0}],
    "split": [
        {"at_s": 4.0, "action": "split_limiters", "share": 0.5, "for_s": 12.0},
        {"at_s": 5.0, "action": "zone_lost", "zone": 0, "for_s": 2.0},
    ],
}


def cold_servers(job: Job) -> Row:
    """Six in ten servers are replaced at once, or a zone is lost and returns cold in a split.

    `push`: the worst load of a cold server as a share of rule 4's bound; `used`: attempts at cold servers
    over what they can serve while they warm up.
    """
    raw = base_experiment(job["limiters"], job["way"], service_s=SERVICE_TIME)
    for plan in raw["fleet"]["plans"]:
        plan["customers"] *= CUSTOMERS_FACTOR
    raw["load"]["scale"] = LOAD_SCALE
    raw["duration_s"] = DURATION
    raw["faults"] = FAULTS[job["kind"]]
    played = run(raw, job["seed"])
    servers = played.fleet.servers
    models = [model for model in servers.models.values() if model.peak_overload]
    capacity = sum(_warm_up_capacity(model) for model in models)
    return played.figures | {
        "push": max(model.peak_overload for model in models),
        "used": servers.sent_to_warming / capacity,
    }


def _warm_up_capacity(model: ServerModel) -> float:
    """Attempts that a server can serve from its start until it is warm or the run ends."""
    settings = model.settings
    duration = min(settings.warm_up_time, DURATION - model.started_at)
    cold = settings.cold_capacity
    warm_time = cold * duration + (1 - cold) * duration**2 / 2 / settings.warm_up_time
    return settings.concurrency / settings.service_time * warm_time
