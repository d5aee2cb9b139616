"""An experiment's fleet in the words of the program's start file (README, "The start file")."""

from __future__ import annotations

from ..config.models import Experiment

SEMANTICS = {"idempotent": "read_like", "tokened": "idempotency_key", "non_idempotent": "non_idempotent"}
CELLS = 4  # cells in each zone, as in the emulator
IDLE_S, CONNECT_S = 15.0, 0.25  # s: servers close idle connections; a dial must be up


def zone(number: int) -> str:
    """A zone's name."""
    return f"z{number}"


def settings(experiment: Experiment, index: int, peer_messages: bool = True) -> dict:
    """The `settings` of limiter `index` of the fleet."""
    fleet = experiment.fleet
    servers = fleet.servers
    return {
        "areas": [zone(n) for n in range(fleet.zones)],
        "kinds": ["m"],
        "balancers": fleet.limiters,
        "slot_no": index,
        "zone": index % fleet.zones,
        "membership_mode": "pushed",
        "classes": [
            {
                "name": one.name,
                "slo_s": one.target_s,
                "hard_limit_s": one.client_timeout_s,
                "semantics": SEMANTICS[one.repeat],
                "key_scope": one.group,
                "window_s": one.window_s,
            }
            for one in fleet.routes
        ],
        "tariffs": [
            {
                "name": one.name,
                "refill": one.rate,
                "store_size": one.burst,
                "concurrency": one.open_cap,
                "ceiling_rate": one.ceiling_rate,
                "cap_depth": one.ceiling_burst,
                "tolerance": one.ceiling_slack,
                "pays": one.value,
                "excess_worth": one.beyond_value,
                "overrun_cost": one.beyond_cost,
            }
            for one in fleet.plans
        ],
        "extra": {"counter": fleet.counter.on, "count_limit_s": fleet.counter.wait_s, "largest": 1},
        "limits": {
            "max_attempts": fleet.max_tries,
            "second_copies": fleet.second_copies,
            "cancel": fleet.may_cancel,
            "retry_after": fleet.longest_retry_after_s > 0,
            "max_retry_after_s": fleet.longest_retry_after_s,
            "open_cap": 20000,
            "conn_idle_s": IDLE_S,
            "connect_timeout_s": CONNECT_S,
            "peer_messages": peer_messages,
        },
        "invariants": {
            "cold_from": servers.cold_from,
            "ramp_time_s": servers.warm_after_s,
            "fall_multiple": servers.fall_multiple,
            "fall_s": servers.fall_within_s,
        },
    }


def start_file(
    experiment: Experiment,
    index: int,
    seed: int,
    listen: str,
    discovery: str,
    counter: str,
    membership: str | None = None,
    maintenance: str | None = None,
    recovery: str | None = None,
) -> dict:
    """The whole JSON start file of limiter `index`.

    `membership` names its file of peers, `maintenance` its plan (which may come later), `recovery` its file
    on the counter's.
    """
    told = {
        "name": f"n{index}",
        "listen": listen,
        "discovery": discovery,
        "counter": counter,
        "seed": f"{seed:x}",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "settings": settings(experiment, index, peer_messages=membership is not None),
    }
    files = {"membership": membership, "maintenance": maintenance, "recovery": recovery}
    return told | {key: path for key, path in files.items() if path}
