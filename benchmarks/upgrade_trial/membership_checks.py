"""Checks of membership and of the limiters' subsets of the servers."""

from __future__ import annotations

from time import monotonic, sleep

from xxhash import xxh3_64_intdigest

from brookhub.coordination import SubsetAssignment
from brookhub.coordination.subset_assignment import ServerPlacement
from brookhub.experiments.limiter_process import Limiter
from brookhub.protocol import server_list

from .mixed_fleet import MixedFleet, knows_all
from .settings import LIMITERS, SERVERS, STEP_TIMEOUT_S, SUBSET_WINDOWS, WINDOW_S


def check_membership(fleet: MixedFleet) -> None:
    """Check that all limiters know each other."""
    fleet.check_all("membership: every limiter lists all others", knows_all, STEP_TIMEOUT_S)


def check_subsets(fleet: MixedFleet) -> None:
    """Check that each limiter sends only to its own subset, which both versions compute alike.

    If this machine delays a limiter's process, the limiter is absent for a moment and the subsets change.
    Up to SUBSET_WINDOWS windows are therefore observed. If the versions computed different subsets, every
    window would have attempts outside a subset.
    """
    wrong, used = fleet.limiters, ""
    windows = 0
    while wrong and windows < SUBSET_WINDOWS:
        windows += 1
        wrong, used = observe_subsets(fleet)
    detail = f"servers used: {used}; outside their subsets: {fleet.describe(wrong)}; windows: {windows}"
    fleet.check("subsets: both versions compute the same", not wrong, detail)


def observe_subsets(fleet: MixedFleet) -> tuple[list[Limiter], str]:
    """Observe the use of servers in one window.

    Returns the limiters that sent nothing or sent to servers outside their subset, and the number of
    servers that each limiter used, as text.
    """
    since = monotonic()
    sleep(WINDOW_S)
    seen = [attempt for attempt in list(fleet.processes.attempts) if attempt.arrived_at >= since]
    wrong, sizes = [], []
    for limiter in fleet.limiters:
        used = {attempt.server for attempt in seen if attempt.limiter == limiter.address}
        own = expected_subset(fleet, limiter)
        sizes.append(f"{len(used)} of {len(own)}")
        if not used or not used <= own or len(own) == SERVERS:
            wrong.append(limiter)
    return wrong, ", ".join(sizes)


def expected_subset(fleet: MixedFleet, limiter: Limiter) -> set[int]:
    """Return the servers that a limiter should use according to the code of this checkout."""
    names = [f"n{number}" for number in range(LIMITERS)]
    assignment = SubsetAssignment(xxh3_64_intdigest("lab"), f"n{limiter.index}", names, lambda: names)
    servers = fleet.processes.servers
    assignment.set_servers(
        {
            server_list.server_id(f"s-{number}"): ServerPlacement(server.model.zone, 1.0)
            for number, server in servers.items()
        }
    )
    own = set((assignment.preference_order() or [])[: assignment.min_servers()])
    return {number for number in servers if server_list.server_id(f"s-{number}") in own}
