"""Plots of a sweep's results as PNG files: shares of answers, latency percentiles and overshoot."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from .figures import panels, save_figure
from .jobs import Row
from .sweep import read_results

PANELS = [
    ("served_share", "proxied share"),
    ("rate_limited_share", "rate-limited share"),
    ("p50_ms", "p50 latency, ms"),
    ("p99_ms", "p99 latency, ms"),
    ("quota_overshoot", "mean quota overshoot"),
    ("ceiling_overshoot", "worst ceiling overshoot"),
]
LOGARITHMIC = ("limiters", "count")  # Parameters, by the last part of their path, with a logarithmic axis.

Metrics = dict[str, float]
Line = list[tuple[Any, Metrics]]  # Values of the first axis, each with its metrics.


def series(rows: list[Row]) -> tuple[str, dict[str, Line]]:
    """Return the name of the first axis, and a line per value of the second axis by its label.

    The metrics are means over the seeds. Raises ValueError if no row has metrics.
    """
    finished = [row for row in rows if "metrics" in row]
    if not finished:
        raise ValueError(
            f"no finished points to plot: expected at least 1 row with metrics, got 0 among {len(rows)} rows"
        )
    names = list(finished[0]["params"])
    first = names[0] if names else "point"
    groups: dict[tuple[tuple[str, Any], ...], dict[Any, list[Metrics]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for row in finished:
        second = tuple((name, row["params"][name]) for name in names[1:])
        groups[second][row["params"].get(first, 0)].append(row["metrics"])
    lines = {}
    for second, metrics_by_value in sorted(groups.items(), key=lambda item: str(item[0])):
        label = ", ".join(f"{name}={value}" for name, value in second) or "all"
        lines[label] = [(value, mean_metrics(metrics)) for value, metrics in sorted(metrics_by_value.items())]
    return first, lines


def mean_metrics(metrics: Sequence[Metrics]) -> Metrics:
    """Return the means of the plotted metrics."""
    return {key: sum(each[key] for each in metrics) / len(metrics) for key, _ in PANELS}


def plot(folder: Path, title: str, png: Path | None = None) -> Path:
    """Draw the plots of a results folder and return the path of the PNG file."""
    first, lines = series(read_results(folder))
    figure, axes = panels(3, (13, 7), rows=2)
    for (key, label), axis in zip(PANELS, axes.flat, strict=True):
        for name, line in lines.items():
            values = [value for value, _ in line]
            axis.plot(values, [metrics[key] for _, metrics in line], marker="o", label=name)
        axis.set_title(label)
        axis.set_xlabel(first)
        if first.endswith(LOGARITHMIC):
            axis.set_xscale("log")
        axis.grid(alpha=0.3)
    axes.flat[0].legend(fontsize=8)
    figure.suptitle(title)
    return save_figure(figure, png or folder / "plot.png")
