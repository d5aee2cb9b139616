"""Conversion of an experiment's fleet specification to site settings."""

from __future__ import annotations

from ..config.models import FleetSpec, PlanSpec, RouteSpec
from ..site import DeduplicationScope, GatewaySettings, Idempotency, Plan, Route

IDEMPOTENCY_BY_NAME = {
    "idempotent": Idempotency.IDEMPOTENT,
    "tokened": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
SCOPE_BY_NAME = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


def route_from_spec(spec: RouteSpec) -> Route:
    """Return the route that an experiment specifies."""
    return Route(
        name=spec.name,
        latency_target=spec.target_s,
        client_timeout=spec.client_timeout_s,
        idempotency=IDEMPOTENCY_BY_NAME[spec.repeat],
        deduplication_scope=SCOPE_BY_NAME[spec.group],
        deduplication_window=spec.window_s,
    )


def plan_from_spec(spec: PlanSpec) -> Plan:
    """Return the plan that an experiment specifies."""
    return Plan(
        name=spec.name,
        rate=spec.rate,
        burst=spec.burst,
        max_concurrency=spec.open_cap,
        ceiling_rate=spec.ceiling_rate,
        ceiling_burst=spec.ceiling_burst,
        ceiling_slack=spec.ceiling_slack,
        value=spec.value,
        excess_value=spec.beyond_value,
        excess_cost=spec.beyond_cost,
    )


def gateway_settings_from_spec(fleet: FleetSpec, routes: tuple[Route, ...]) -> GatewaySettings:
    """Return the settings that all limiters of a fleet share; each limiter sets its own zone and index."""
    servers = fleet.servers
    return GatewaySettings(
        routes=routes,
        plans=tuple(plan_from_spec(plan) for plan in fleet.plans),
        zone=0,
        index=0,
        gateways=fleet.limiters,
        counter_timeout=fleet.counter.wait_s if fleet.counter.on else 0.0,
        max_request_units=1.0,
        reports_actual_units=False,
        max_attempts=fleet.max_tries,
        allows_hedging=fleet.second_copies,
        can_cancel=fleet.may_cancel,
        max_retry_after=fleet.longest_retry_after_s,
        cold_capacity=servers.cold_from,
        warm_up_time=servers.warm_after_s,
        overload_multiple=servers.fall_multiple,
        overload_window=servers.fall_within_s,
        polls_server_list=False,
        server_list_max_age=10.0,
    )
