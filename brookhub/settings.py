"""Converts the operators' settings, a JSON object, into the types of site.py.

The operators define the names of the keys; unknown keys are ignored. Times in seconds, quotas in units.
"""

from __future__ import annotations

import json
from math import inf
from typing import TypeAlias, TypeVar

from .site import DeduplicationScope, GatewaySettings, Idempotency, Plan, Route

Choice = TypeVar("Choice")
JsonObject: TypeAlias = dict[str, object]


class SettingsError(ValueError):
    """An unusable setting. The message names the setting and gives the reason."""


IDEMPOTENCY_BY_NAME = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
SCOPE_BY_NAME = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


def parse_object(text: bytes) -> JsonObject:
    """Parse a text that contains a JSON object. Raises SettingsError."""
    try:
        settings = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"expected the settings as a JSON object, got invalid JSON: {error}") from error
    if not isinstance(settings, dict):
        raise SettingsError(f"expected the settings as a JSON object, got {type(settings).__name__}")
    return settings


def read_section(settings: JsonObject, name: str) -> JsonObject:
    """Return the object under `name`, empty if the key is absent. Raises SettingsError."""
    value = settings.get(name, {})
    if not isinstance(value, dict):
        raise SettingsError(f"{name}: expected an object, got {type(value).__name__}")
    return value


def read_number(settings: JsonObject, name: str, default: float = 0.0) -> float:
    """Return the finite number under `name`, `default` if the key is absent. Raises SettingsError."""
    value = settings.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not abs(value) < inf:
        raise SettingsError(f"{name}: expected a finite number, got {value!r}")
    return value


def read_choice(choices: dict[str, Choice], settings: JsonObject, name: str, default: str) -> Choice:
    """Return the choice for the word under `name`, or for `default` if the key is absent.

    Raises SettingsError if the word is not one of `choices`.
    """
    value = settings.get(name, default)
    if not isinstance(value, str) or value not in choices:
        raise SettingsError(f"{name}: expected one of {sorted(choices)}, got {value!r}")
    return choices[value]


def read_objects(settings: JsonObject, name: str) -> list[JsonObject]:
    """Return the list of objects under `name`, empty if the key is absent. Raises SettingsError."""
    value = settings.get(name, [])
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise SettingsError(f"{name}: expected a list of objects, got {value!r:.100}")
    return value


def read_routes(settings: JsonObject) -> tuple[Route, ...]:
    """Return the site's routes, in the order of their indices on the wire. Raises SettingsError."""
    return tuple(
        Route(
            name=str(item.get("name", index)),
            latency_target=read_number(item, "slo_s"),
            client_timeout=read_number(item, "hard_limit_s"),
            idempotency=read_choice(IDEMPOTENCY_BY_NAME, item, "semantics", "read_like"),
            deduplication_scope=read_choice(SCOPE_BY_NAME, item, "key_scope", "all"),
            deduplication_window=read_number(item, "window_s"),
            value=read_number(item, "importance", 1.0),
            late_value=read_number(item, "late_value"),
            streamed=bool(item.get("stream", False)),
            target_stretch=read_number(item, "aim_stretch"),
        )
        for index, item in enumerate(read_objects(settings, "classes"))
    )


def read_plans(settings: JsonObject) -> tuple[Plan, ...]:
    """Return the customers' plans, in the order of their indices on the wire. Raises SettingsError."""
    return tuple(
        Plan(
            name=str(item.get("name", index)),
            rate=read_number(item, "refill"),
            burst=read_number(item, "store_size"),
            max_concurrency=int(read_number(item, "concurrency")),
            ceiling_rate=read_number(item, "ceiling_rate"),
            ceiling_burst=read_number(item, "cap_depth"),
            ceiling_slack=read_number(item, "tolerance"),
            value=read_number(item, "pays", 1.0),
            excess_value=read_number(item, "excess_worth"),
            excess_cost=read_number(item, "overrun_cost"),
        )
        for index, item in enumerate(read_objects(settings, "tariffs"))
    )


def read_gateway_settings(settings: JsonObject) -> GatewaySettings:
    """Return the settings of one gateway of the site. Raises SettingsError."""
    limits = read_section(settings, "limits")
    extra = read_section(settings, "extra")
    rules = read_section(settings, "invariants")
    retry_after = read_number(limits, "max_retry_after_s") if limits.get("retry_after") else 0.0
    try:
        return GatewaySettings(
            routes=read_routes(settings),
            plans=read_plans(settings),
            zone=int(read_number(settings, "zone")),
            index=int(read_number(settings, "slot_no")),
            gateways=int(read_number(settings, "balancers", 1)),
            counter_timeout=read_number(extra, "count_limit_s") if extra.get("counter", False) else 0.0,
            max_request_units=read_number(extra, "largest", 1.0),
            reports_actual_units=bool(extra.get("trued_up", False)),
            max_attempts=int(read_number(limits, "max_attempts", 1)),
            allows_hedging=bool(limits.get("second_copies", False)),
            can_cancel=bool(limits.get("cancel", False)),
            max_retry_after=retry_after,
            cold_capacity=read_number(rules, "cold_from", 1.0),
            warm_up_time=read_number(rules, "ramp_time_s"),
            overload_multiple=read_number(rules, "fall_multiple", 1.0),
            overload_window=read_number(rules, "fall_s"),
            polls_server_list=settings.get("membership_mode", "pushed") == "on_request",
            server_list_max_age=read_number(rules, "must_ask_in_s"),
        )
    except ValueError as error:  # From the checks in GatewaySettings.
        raise SettingsError(str(error)) from None
