"""Result of a run: counts of requests by final answer, latencies, and overshoot of quotas and ceilings."""

from __future__ import annotations

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]  # Has no type information.

MAX_LATENCY_US = 60_000_000  # Upper end of the histogram: one minute, more than any client timeout.
MICROSECONDS_PER_SECOND = 1e6
Metric = int | float | str | None | dict[int, int]


@dataclass
class Result:
    """Result of one run: requests by final answer, latencies in microseconds and overshoot of quotas."""

    requests: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    lost: int = 0
    left: int = 0  # Requests whose clients disconnected before the answer.
    open: int = 0  # Requests that still awaited their answer when the run ended.
    attempts: int = 0
    counter_calls: int = 0
    events: int = 0
    wall_s: float = 0.0
    collapses: int = 0  # Collapses of warming servers that received too many requests.
    sent_to_faulty: int = 0  # Attempts at servers that were slow, failing, silent or dead at that time.
    sent_to_warming: int = 0
    violations: dict[int, int] = field(default_factory=dict)  # Number of violations of each rule.
    first_violation: str | None = None
    digest: str = ""
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 2))
    quota_overshoot: float = 0.0  # Mean of max(0, units served / allowed - 1) over customers with a quota.
    worst_overshoot: float = 0.0
    # Largest share by which a customer exceeded a hard ceiling over the whole fleet.
    ceiling_overshoot: float = 0.0

    def record_latency(self, seconds: float) -> None:
        """Record the latency of a served request."""
        self.latency.record_value(max(1, int(seconds * MICROSECONDS_PER_SECOND)))

    def answerable(self) -> int:
        """Return the number of requests whose clients waited, at least 1 because shares are divided by it."""
        return max(1, self.requests - self.left)

    def served_share(self) -> float:
        """Return the share of the answerable requests that were served."""
        return self.served / self.answerable()

    def metrics(self) -> dict[str, Metric]:
        """Return all figures under their names in result files."""
        answerable = self.answerable()
        return {
            "calls": self.requests,
            "proxied": self.served,
            "rate_limited": self.rejected,
            "errored": self.failed,
            "lost": self.lost,
            "left": self.left,
            "open": self.open,
            "tries": self.attempts,
            "served_share": self.served_share(),
            "rate_limited_share": self.rejected / answerable,
            "errored_share": (self.failed + self.lost) / answerable,
            "p50_ms": self.latency.get_value_at_percentile(50) / 1000,
            "p99_ms": self.latency.get_value_at_percentile(99) / 1000,
            "quota_overshoot": self.quota_overshoot,
            "worst_overshoot": self.worst_overshoot,
            "ceiling_overshoot": self.ceiling_overshoot,
            "cold_falls": self.collapses,
            "sent_to_bad": self.sent_to_faulty,
            "sent_to_cold": self.sent_to_warming,
            "counter_calls": self.counter_calls,
            "events": self.events,
            "wall_s": round(self.wall_s, 3),
            "events_per_s": round(self.events / self.wall_s) if self.wall_s else 0,
            "broken": dict(self.violations),
            "first_break": self.first_violation,
            "digest": self.digest,
        }
