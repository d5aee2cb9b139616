"""What a run gave: counts of requests by their final answer, latencies, use beyond quotas and ceilings."""

from __future__ import annotations

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]  # comes without types

MAX_LATENCY_US = 60_000_000  # top of the histogram: one minute, beyond any client timeout
MICROSECONDS = 1e6  # a second
Metric = int | float | str | None | dict[int, int]


@dataclass
class Result:
    """What one run gave: requests by their final answer, latencies (µs) and overshoot of quotas."""

    requests: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    lost: int = 0
    left: int = 0  # their clients disconnected before the answer
    open: int = 0  # still awaiting their answer when the run ended
    attempts: int = 0
    counter_calls: int = 0
    events: int = 0
    wall_s: float = 0.0
    collapses: int = 0  # of warming servers that were sent too much
    sent_to_faulty: int = 0  # attempts at servers that were slow, failing, silent or dead then
    sent_to_warming: int = 0
    violations: dict[int, int] = field(default_factory=dict)  # of the invariants, by rule
    first_violation: str | None = None
    digest: str = ""
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 2))
    quota_overshoot: float = 0.0  # mean over customers with a quota of max(0, units served / allowed - 1)
    worst_overshoot: float = 0.0
    ceiling_overshoot: float = 0.0  # worst share over a hard ceiling, jointly over the fleet

    def record_latency(self, seconds: float) -> None:
        """Add the latency of a served request."""
        self.latency.record_value(max(1, int(seconds * MICROSECONDS)))

    def answerable(self) -> int:
        """Requests whose clients waited for the answer; at least 1, as the shares are divided by it."""
        return max(1, self.requests - self.left)

    def served_share(self) -> float:
        """Share of the answerable requests that was served."""
        return self.served / self.answerable()

    def metrics(self) -> dict[str, Metric]:
        """All figures under the names that they have in result files."""
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
