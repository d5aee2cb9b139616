"""The emulated fleet and the figures that all measurements of `together` have in common."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from importlib import resources
from typing import Any

from ..config import Experiment, loads
from ..emulator import Fleet
from .jobs import Row

RUN_DURATION = 24.0  # In seconds.
FAULT_AT = 3.0  # In seconds, when servers or links become faulty.
FAULT_DURATION = 20.0  # In seconds.
SERVERS = {"count": 60, "places": 8, "service_s": 0.05}

RawExperiment = dict[str, Any]  # The content of an experiment file.


@dataclass(frozen=True)
class Run:
    """A fleet after its run, and the figures of the run."""

    fleet: Fleet
    figures: Row


def base_experiment(limiters: int, transport: str, **servers: float) -> RawExperiment:
    """Return the embedded default experiment with 60 servers and membership, without faults and sweep.

    Args:
        limiters: Number of limiters.
        transport: How limiters exchange reports about servers: "none", "counter" or "peers".
        servers: Keys of the servers section, with values that replace its own.
    """
    text = resources.files("brookhub.experiments").joinpath("default.toml").read_text()
    raw = loads(text, Experiment, "default").model_dump()
    raw["sweep"] = {}
    raw["faults"] = []
    raw["duration_s"] = RUN_DURATION
    fleet = raw["fleet"]
    fleet["limiters"] = limiters
    fleet["servers"].update(SERVERS | servers)
    fleet["membership"] = {"on": True, "signals": transport == "peers"}
    fleet["counter"]["signals"] = transport == "counter"
    return raw


def run(raw: RawExperiment, seed: int, prepare: Callable[[Fleet], None] | None = None) -> Run:
    """Run an experiment. `prepare` is called with the fleet before the run starts."""
    fleet = Fleet(Experiment.model_validate(raw), seed=seed, keep_trail=False)
    if prepare:
        prepare(fleet)
    metrics = fleet.run().metrics()
    detectors = [limiter.detector for limiter in fleet.limiters if limiter.detector]
    figures = {
        "served": metrics["served_share"],
        "errored": metrics["errored_share"],
        "p99_ms": metrics["p99_ms"],
        "falls": metrics["cold_falls"],
        "broken": metrics["broken"],
        "words": sum(detector.sent_count for detector in detectors),
        "sent_to_bad": metrics["sent_to_bad"],
        "over": metrics["worst_overshoot"],
    }
    return Run(fleet, figures)
