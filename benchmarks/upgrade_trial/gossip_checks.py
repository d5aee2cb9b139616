"""Checks of gossip: all limiters eject a server that fails while only one version has load."""

from __future__ import annotations

from time import monotonic, sleep

from brookhub.emulator.server_model import ServerMode
from brookhub.experiments.limiter_process import Limiter
from brookhub.protocol import server_list

from .limiter_logs import LOG_EVENTS, lines_of
from .mixed_fleet import MixedFleet
from .settings import MAX_RUN_S, PLANNED_SERVERS, READMISSION_TIMEOUT_S, STEP_TIMEOUT_S, WINDOW_S


def check_ejections(fleet: MixedFleet) -> None:
    """Check ejections of servers that fail under one version, which the other knows only by gossip."""
    check_ejection_by(fleet, "this")
    check_ejection_by(fleet, "other")


def check_ejection_by(fleet: MixedFleet, version: str) -> None:
    """Check that all eject a server that fails under one version, and use it again after it recovers."""
    set_load_versions(fleet, (version,))
    sleep(WINDOW_S)
    server = most_used_server(fleet)
    model = fleet.processes.servers[server].model
    model.mode = ServerMode.FAILING
    name = f"gossip: s-{server}, which fails while only {version} has load, is ejected"
    fleet.check_all(name, lambda limiter: ejects(limiter, server), STEP_TIMEOUT_S)
    model.mode = ServerMode.OK
    set_load_versions(fleet, ("this", "other"))
    fleet.check_all(
        f"gossip: s-{server} is used again after its recovery",
        lambda limiter: has_ejected(limiter, server) and not ejects(limiter, server),
        READMISSION_TIMEOUT_S,
    )


def set_load_versions(fleet: MixedFleet, versions: tuple[str, ...]) -> None:
    """Make clients choose only limiters of the given versions from now on."""
    load = fleet.processes.load
    assert load is not None
    for limiter in fleet.limiters:
        chosen = fleet.version(limiter) in versions
        load.pools.refused_at[limiter.index] = 0.0 if chosen else monotonic() + MAX_RUN_S


def most_used_server(fleet: MixedFleet) -> int:
    """Return the server outside the plan that was used by most limiters in the last WINDOW_S seconds."""
    since = monotonic() - WINDOW_S
    users: dict[int, set[str]] = {}
    for attempt in list(fleet.processes.attempts):
        if attempt.arrived_at >= since and attempt.server not in PLANNED_SERVERS:
            users.setdefault(attempt.server, set()).add(attempt.limiter)
    return max(users, key=lambda server: len(users[server]))


def has_ejected(limiter: Limiter, server: int) -> bool:
    """Return whether a limiter has ejected a server at any time since its first start."""
    server_id = server_list.server_id(f"s-{server}")
    return any(server_id in line["servers"] for line in lines_of(limiter, LOG_EVENTS.ejected_servers))


def ejects(limiter: Limiter, server: int) -> bool:
    """Return whether a limiter's last log line of ejected servers contains a server."""
    lines = lines_of(limiter, LOG_EVENTS.ejected_servers)
    return bool(lines) and server_list.server_id(f"s-{server}") in lines[-1]["servers"]
