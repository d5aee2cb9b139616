"""What a run gave: counts of requests by their final answer, latencies, use beyond quotas and ceilings."""

from __future__ import annotations

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from ..site import Plan

LATENCY_MAX_US = 60_000_000  # the histogram's top: one minute, beyond any client timeout


@dataclass
class Result:
    """What one run gave: counts of requests by their final answer, latency (µs) and quota overshoot."""

    calls: int = 0
    proxied: int = 0
    rate_limited: int = 0
    errored: int = 0
    lost: int = 0
    left: int = 0
    open: int = 0  # still awaiting their answer when the run ended
    tries: int = 0
    counter_calls: int = 0
    events: int = 0
    wall_s: float = 0.0
    cold_falls: int = 0
    sent_to_bad: int = 0  # tries at servers that were slow, failing, silent or dead then
    sent_to_cold: int = 0
    broken: dict = field(default_factory=dict)
    first_break: str | None = None
    digest: str = ""
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, LATENCY_MAX_US, 2))
    quota_overshoot: float = 0.0  # mean over customers with a quota of max(0, units proxied / allowed - 1)
    worst_overshoot: float = 0.0
    ceiling_overshoot: float = 0.0  # worst share over a hard ceiling, jointly over the fleet

    def metrics(self) -> dict:
        """All figures under their names, for JSON."""
        answered = max(1, self.calls - self.left)
        return {
            "calls": self.calls,
            "proxied": self.proxied,
            "rate_limited": self.rate_limited,
            "errored": self.errored,
            "lost": self.lost,
            "left": self.left,
            "open": self.open,
            "tries": self.tries,
            "served_share": self.proxied / answered,
            "rate_limited_share": self.rate_limited / answered,
            "errored_share": (self.errored + self.lost) / answered,
            "p50_ms": self.latency.get_value_at_percentile(50) / 1000,
            "p99_ms": self.latency.get_value_at_percentile(99) / 1000,
            "quota_overshoot": self.quota_overshoot,
            "worst_overshoot": self.worst_overshoot,
            "ceiling_overshoot": self.ceiling_overshoot,
            "cold_falls": self.cold_falls,
            "sent_to_bad": self.sent_to_bad,
            "sent_to_cold": self.sent_to_cold,
            "counter_calls": self.counter_calls,
            "events": self.events,
            "wall_s": round(self.wall_s, 3),
            "events_per_s": round(self.events / self.wall_s) if self.wall_s else 0,
            "broken": dict(self.broken),
            "first_break": self.first_break,
            "digest": self.digest,
        }


class Population:
    """The clients of one customer; the units served to it are summed over the fleet, for the overshoot."""

    def __init__(self, ident: int, plan: Plan, calls_per_s: float) -> None:
        self.id, self.plan, self.calls_per_s = ident, plan, calls_per_s
        self.units = 0.0
        self.ceiling_level, self.ceiling_at, self.ceiling_over = plan.ceiling_burst, 0.0, 0.0

    def served(self, now: float, units: float) -> None:
        """A request of so many units was served."""
        self.units += units
        plan = self.plan
        if plan.ceiling_rate:  # a fleet-wide store of the ceiling: what passes beyond it is overshoot
            self.ceiling_level = min(
                plan.ceiling_burst, self.ceiling_level + (now - self.ceiling_at) * plan.ceiling_rate
            )
            self.ceiling_at = now
            self.ceiling_level -= units
            if self.ceiling_level < 0:
                self.ceiling_over += -self.ceiling_level
                self.ceiling_level = 0.0
