"""Start files of the program (README, "The start file") for the limiters of an experiment's fleet."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..config.models import Experiment, FleetSpec, PlanSpec, RouteSpec

SEMANTICS = {"idempotent": "read_like", "tokened": "idempotency_key", "non_idempotent": "non_idempotent"}
CELLS = 4  # Number of cells in each zone, as in the emulator.
IDLE_TIMEOUT_S = 15.0  # Seconds after which servers close idle connections.
CONNECT_TIMEOUT_S = 0.25
MAX_OPEN_REQUESTS = 20000
MEMORY_MB = 192
SOCKETS = 1024


def zone_name(number: int) -> str:
    """Return the name of a zone."""
    return f"z{number}"


def route_settings(route: RouteSpec) -> dict[str, Any]:
    """Return a route as an entry of `classes`."""
    return {
        "name": route.name,
        "slo_s": route.target_s,
        "hard_limit_s": route.client_timeout_s,
        "semantics": SEMANTICS[route.repeat],
        "key_scope": route.group,
        "window_s": route.window_s,
    }


def plan_settings(plan: PlanSpec) -> dict[str, Any]:
    """Return a plan as an entry of `tariffs`."""
    return {
        "name": plan.name,
        "refill": plan.rate,
        "store_size": plan.burst,
        "concurrency": plan.open_cap,
        "ceiling_rate": plan.ceiling_rate,
        "cap_depth": plan.ceiling_burst,
        "tolerance": plan.ceiling_slack,
        "pays": plan.value,
        "excess_worth": plan.beyond_value,
        "overrun_cost": plan.beyond_cost,
    }


def limit_settings(fleet: FleetSpec, peer_messages: bool) -> dict[str, Any]:
    """Return the table `limits` of the settings."""
    return {
        "max_attempts": fleet.max_tries,
        "second_copies": fleet.second_copies,
        "cancel": fleet.may_cancel,
        "retry_after": fleet.longest_retry_after_s > 0,
        "max_retry_after_s": fleet.longest_retry_after_s,
        "open_cap": MAX_OPEN_REQUESTS,
        "conn_idle_s": IDLE_TIMEOUT_S,
        "connect_timeout_s": CONNECT_TIMEOUT_S,
        "peer_messages": peer_messages,
    }


def settings(fleet: FleetSpec, index: int, peer_messages: bool = True) -> dict[str, Any]:
    """Return the table `settings` of the limiter at position `index` of the fleet."""
    servers = fleet.servers
    return {
        "areas": [zone_name(number) for number in range(fleet.zones)],
        "kinds": ["m"],
        "balancers": fleet.limiters,
        "slot_no": index,
        "zone": index % fleet.zones,
        "membership_mode": "pushed",
        "classes": [route_settings(route) for route in fleet.routes],
        "tariffs": [plan_settings(plan) for plan in fleet.plans],
        "extra": {"counter": fleet.counter.on, "count_limit_s": fleet.counter.wait_s, "largest": 1},
        "limits": limit_settings(fleet, peer_messages),
        "invariants": {
            "cold_from": servers.cold_from,
            "ramp_time_s": servers.warm_after_s,
            "fall_multiple": servers.fall_multiple,
            "fall_s": servers.fall_within_s,
        },
    }


@dataclass(frozen=True)
class StartAddresses:
    """The address that a limiter listens on and those that it connects to, each as "host:port"."""

    listen: str
    discovery: str
    counter: str


@dataclass(frozen=True)
class OperatorFiles:
    """Paths of the operator files that a start file names, None if the function is disabled.

    Attributes:
        membership: Membership file, which lists the peers.
        maintenance: Maintenance plan, which may be written after the start.
        recovery: Settings file of the counter's recovery.
    """

    membership: Path | None = None
    maintenance: Path | None = None
    recovery: Path | None = None

    def keys(self) -> dict[str, str]:
        """Return the keys of the start file that name these files."""
        files = {"membership": self.membership, "maintenance": self.maintenance, "recovery": self.recovery}
        return {key: str(path) for key, path in files.items() if path is not None}


def start_file(
    experiment: Experiment, index: int, seed: int, addresses: StartAddresses, files: OperatorFiles
) -> dict[str, Any]:
    """Return the content of the JSON start file of the limiter at position `index` of the fleet."""
    has_peers = files.membership is not None
    return {
        "name": f"n{index}",
        "listen": addresses.listen,
        "discovery": addresses.discovery,
        "counter": addresses.counter,
        "seed": f"{seed:x}",
        "limits": {"memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "settings": settings(experiment.fleet, index, peer_messages=has_peers),
        **files.keys(),
    }
