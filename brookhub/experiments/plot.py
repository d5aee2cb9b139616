"""Plots of a sweep's results (matplotlib, PNG): served and rate-limited share, p50/p99 latency, overshoot."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path

from .canvas import panels, saved
from .sweep import read

PANELS = [
    ("served_share", "proxied share"),
    ("rate_limited_share", "rate-limited share"),
    ("p50_ms", "p50 latency, ms"),
    ("p99_ms", "p99 latency, ms"),
    ("quota_overshoot", "mean quota overshoot"),
    ("ceiling_overshoot", "worst ceiling overshoot"),
]


def series(rows: list[dict]) -> tuple[str, dict]:
    """The first axis's name and {second-axis value: [(x, {metric: mean over seeds})]}."""
    ok = [row for row in rows if "metrics" in row]
    if not ok:
        raise ValueError("no finished points to plot")
    names = list(ok[0]["params"])
    first = names[0] if names else "point"
    groups: dict = defaultdict(lambda: defaultdict(list))
    for row in ok:
        x = row["params"].get(first, 0)
        second = tuple((name, row["params"][name]) for name in names[1:])
        groups[second][x].append(row["metrics"])
    lines = {}
    for second, by_x in sorted(groups.items(), key=lambda item: str(item[0])):
        label = ", ".join(f"{name}={value}" for name, value in second) or "all"
        lines[label] = [
            (x, {key: sum(m[key] for m in ms) / len(ms) for key, _ in PANELS})
            for x, ms in sorted(by_x.items())
        ]
    return first, lines


def plot(out: Path, title: str, png: Path | None = None) -> Path:
    """Draw a results folder; the picture's path."""
    first, lines = series(read(out))
    figure, axes = panels(3, (13, 7), rows=2)
    for (key, label), axis in zip(PANELS, axes.flat, strict=False):
        for name, points in lines.items():
            axis.plot([x for x, _ in points], [values[key] for _, values in points], marker="o", label=name)
        axis.set_title(label)
        axis.set_xlabel(first)
        if first.endswith("limiters") or first.endswith("count"):
            axis.set_xscale("log")
        axis.grid(alpha=0.3)
    axes.flat[0].legend(fontsize=8)
    figure.suptitle(title)
    return saved(figure, png or out / "plot.png")
