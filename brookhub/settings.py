"""Reads the operators' settings into the types of interface.py, for every adapter. Unknown keys are skipped."""

from __future__ import annotations

import json
from typing import Any, TypeVar

from .interface import Group, Plan, Repeat, Route

T = TypeVar("T")


class TermsError(ValueError):
    """The settings can't be read: says which one and why."""


REPEATS = {
    "read_like": Repeat.IDEMPOTENT,
    "idempotency_key": Repeat.TOKENED,
    "non_idempotent": Repeat.NON_IDEMPOTENT,
}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


def parse(text: bytes) -> dict[str, Any]:
    try:
        info = json.loads(text)
    except ValueError as broken:
        raise TermsError(f"the settings are not JSON: {broken}") from broken
    if not isinstance(info, dict):
        raise TermsError("the settings are not a JSON object")
    return info


def part(info: dict[str, Any], name: str) -> dict[str, Any]:
    value = info.get(name, {})
    if not isinstance(value, dict):
        raise TermsError(f"{name} is not an object")
    return value


def number(info: dict[str, Any], name: str, absent: float = 0.0) -> float:
    value = info.get(name, absent)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not abs(value) < float("inf"):
        raise TermsError(f"{name} is not a number: {value!r}")
    return value


def word(table: dict[str, T], info: dict[str, Any], name: str, absent: str) -> T:
    value = info.get(name, absent)
    if not isinstance(value, str) or value not in table:
        raise TermsError(f"{name} has the unknown value {value!r}")
    return table[value]


def items(info: dict[str, Any], name: str) -> list[dict[str, Any]]:
    value = info.get(name, [])
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise TermsError(f"{name} is not a list of objects")
    return value


def routes(info: dict[str, Any]) -> list[Route]:
    return [
        Route(
            name=str(item.get("name", index)),
            target=number(item, "slo_s"),
            client_timeout=number(item, "hard_limit_s"),
            repeat=word(REPEATS, item, "semantics", "read_like"),
            group=word(GROUPS, item, "key_scope", "all"),
            window=number(item, "window_s"),
            value=number(item, "importance", 1.0),
            late_value=number(item, "late_value"),
            streamed=bool(item.get("stream", False)),
            stretch=number(item, "aim_stretch"),
        )
        for index, item in enumerate(items(info, "classes"))
    ]


def plans(info: dict[str, Any]) -> list[Plan]:
    return [
        Plan(
            name=str(item.get("name", index)),
            rate=number(item, "refill"),
            burst=number(item, "store_size"),
            open_cap=int(number(item, "concurrency")),
            ceiling_rate=number(item, "ceiling_rate"),
            ceiling_burst=number(item, "cap_depth"),
            ceiling_slack=number(item, "tolerance"),
            value=number(item, "pays", 1.0),
            beyond_value=number(item, "excess_worth"),
            beyond_cost=number(item, "overrun_cost"),
        )
        for index, item in enumerate(items(info, "tariffs"))
    ]


def terms(info: dict[str, Any]) -> dict[str, Any]:
    """What a gateway of the site is told at its start, by the names that policy.Gateway takes it under."""
    limits, extra, rules = part(info, "limits"), part(info, "extra"), part(info, "invariants")
    return {
        "routes": routes(info),
        "plans": plans(info),
        "zone": int(number(info, "zone")),
        "slot": int(number(info, "slot_no")),
        "gateways": int(number(info, "balancers", 1)),
        "counter_wait": number(extra, "count_limit_s") if extra.get("counter", False) else 0.0,
        "largest": number(extra, "largest", 1.0),
        "trued_up": bool(extra.get("trued_up", False)),
        "max_tries": int(number(limits, "max_attempts", 1)),
        "second_copies": bool(limits.get("second_copies", False)),
        "may_cancel": bool(limits.get("cancel", False)),
        "longest_retry_after": number(limits, "max_retry_after_s") if limits.get("retry_after") else 0.0,
        "cold_from": number(rules, "cold_from", 1.0),
        "warm_after": number(rules, "ramp_time_s"),
        "fall_multiple": number(rules, "fall_multiple", 1.0),
        "fall_within": number(rules, "fall_s"),
        "asks_for_servers": info.get("membership_mode", "pushed") == "on_request",
        "ask_within": number(rules, "must_ask_in_s"),
    }
