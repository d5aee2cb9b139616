"""Tables and plots of the rows of `recovery`. They are shown in docs/counter-recovery.md."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .figures import panels, save_figure
from .jobs import Row
from .recovery import KINDS, NATIONAL, QUOTAS

QUOTA_COLUMNS = (
    "fault",
    "for, s",
    "limiters",
    "recovery",
    "over, worst customer (mean of all)",
    "of the bound",
    "served",
    "counts agree after, s (worst)",
    "epochs",
    "calls to the counter",
)
CEILING_COLUMNS = (
    "fault",
    "for, s",
    "limiters",
    "recovery",
    "over a ceiling, worst customer, ceiling's bursts",
    "of the bound",
    "of the ceiling's rate, used by soft plans",
    "over a quota, worst hard customer",
    "of the bound",
)
QUOTA_TITLES = (
    "over a quota, bursts, worst customer (dashed: no recovery)",
    "the same, as a share of the stated bound",
    "s until counts agree again, worst",
)
CEILING_TITLES = (
    "over a hard ceiling, ceiling's bursts, worst customer (dashed: no recovery)",
    "used of the ceiling's rate, mean",
)
STYLES = {"off": "--o", "on": "-o"}  # Line styles without and with recovery.

Figure = Callable[[list[Row]], float]  # A function that computes a figure from the rows of a group.


@dataclass(frozen=True)
class Fault:
    """A kind of fault and its duration in seconds."""

    kind: str
    duration: float

    @property
    def label(self) -> str:
        """The fault's name in a legend."""
        return f"{self.kind} {self.duration:g} s" if self.duration else self.kind


@dataclass(frozen=True)
class Group:
    """The properties that the rows of all seeds share; `recovery` is "off" or "on"."""

    fault: Fault
    limiters: int
    recovery: str

    @property
    def cells(self) -> list[str]:
        """The cells before the figures in the table's row: fault, duration, limiters, recovery."""
        return [self.fault.kind, f"{self.fault.duration:g}", str(self.limiters), self.recovery]


Groups = dict[Group, list[Row]]


def groups(rows: list[Row], plans: str = QUOTAS) -> Groups:
    """Return the rows of a set of plans by fault, limiters and recovery, in the order of the table."""
    grouped: Groups = {}
    for row in sorted(rows, key=_position):
        if row.get("plans", QUOTAS) == plans:
            group = Group(Fault(row["kind"], row["for_s"]), row["limiters"], row["way"])
            grouped.setdefault(group, []).append(row)
    return grouped


def _position(row: Row) -> tuple[int, float, int, str]:
    """Return the sort key of a row in the table."""
    return (KINDS.index(row["kind"]), row["for_s"], row["limiters"], row["way"])


def maximum(key: str) -> Figure:
    """Return a function that computes the maximum of a figure over the rows of a group."""
    return lambda rows: max(row[key] for row in rows)


def mean(key: str) -> Figure:
    """Return a function that computes the mean of a figure over the rows of a group."""
    return lambda rows: sum(row[key] for row in rows) / len(rows)


def table(rows: list[Row]) -> str:
    """Return Markdown tables of the use beyond quotas and of the use beyond ceilings, in bursts.

    The excess is that of the worst customer and the worst seed. Other figures are means over the seeds,
    except the number of epochs (maximum) and the time until counts agree (mean and maximum).
    """
    lines = _header(QUOTA_COLUMNS)
    lines += [_quota_line(group, group_rows) for group, group_rows in groups(rows).items()]
    lines += ["", *_header(CEILING_COLUMNS)]
    lines += [_ceiling_line(group, group_rows) for group, group_rows in groups(rows, NATIONAL).items()]
    return "\n".join(lines)


def _header(columns: tuple[str, ...]) -> list[str]:
    return [_line(list(columns)), "| --- " * len(columns) + "|"]


def _line(cells: list[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _quota_line(group: Group, rows: list[Row]) -> str:
    figures = [
        f"{maximum('over')(rows):.2f} ({mean('over_mean')(rows):.3f})",
        f"{maximum('of_bound')(rows):.2f}",
        f"{mean('served')(rows):.3f}",
        _agreement_cell(group, rows),
        str(maximum("epochs")(rows)),
        f"{mean('counter_calls')(rows):.0f}",
    ]
    return _line(group.cells + figures)


def _agreement_cell(group: Group, rows: list[Row]) -> str:
    """Return the mean and the longest time (in seconds) until counts agreed, "not" if some did not."""
    if group.recovery == "off":
        return "-"
    times = [row["agreed_s"] for row in rows]
    if None in times:
        return "not"
    return f"{sum(times) / len(times):.1f} ({max(times):.1f})"


def _ceiling_line(group: Group, rows: list[Row]) -> str:
    figures = [
        maximum("ceiling_over")(rows),
        maximum("ceiling_of_bound")(rows),
        mean("of_ceiling")(rows),
        maximum("over")(rows),
        maximum("of_bound")(rows),
    ]
    return _line(group.cells + [f"{figure:.2f}" for figure in figures])


def _longest_agreement(rows: list[Row]) -> float:
    """Return the longest time (in seconds) until counts agreed."""
    return max(row["agreed_s"] or float("nan") for row in rows)


@dataclass(frozen=True)
class Panel:
    """A panel of a plot that draws a figure, with a line for each fault and each value of `recovery`.

    `recovery_values` are the values with lines, `labelled_values` those whose lines are in the legend.
    """

    axis: Any
    figure: Figure
    recovery_values: tuple[str, ...] = ("off", "on")
    labelled_values: tuple[str, ...] = ()


def _draw(panel: Panel, grouped: Groups) -> None:
    """Draw the panel's figure against the number of limiters, a line for each fault and value of recovery."""
    faults = {group.fault for group in grouped}
    for number, fault in enumerate(sorted(faults, key=lambda fault: (fault.kind, str(fault.duration)))):
        for recovery in panel.recovery_values:
            by_limiters = {
                group.limiters: panel.figure(rows)
                for group, rows in grouped.items()
                if group.fault == fault and group.recovery == recovery
            }
            panel.axis.plot(
                list(by_limiters),
                list(by_limiters.values()),
                STYLES[recovery],
                color=f"C{number}",
                label=fault.label if recovery in panel.labelled_values else None,
            )


def _finish_axes(axes: Any, titles: tuple[str, ...]) -> None:
    """Set titles, scales and legend of a plot's panels, and draw a horizontal line at 1 in the second."""
    for axis, title in zip(axes, titles, strict=True):
        axis.set_xscale("log")
        axis.set_xlabel("limiters")
        axis.set_title(title, fontsize=9)
        axis.grid(alpha=0.3)
    axes[1].axhline(1.0, color="red", lw=0.8)
    axes[0].legend(fontsize=7)


def plot(rows: list[Row], png: Path) -> Path:
    """Plot the largest excess use and the time until counts agree, by fault, into the file `png`.

    Returns the path.
    """
    figure, axes = panels(3, (15, 4.5))
    grouped = groups(rows)
    _draw(Panel(axes[0], maximum("over"), labelled_values=("on",)), grouped)
    _draw(Panel(axes[1], maximum("of_bound"), recovery_values=("on",), labelled_values=("on",)), grouped)
    _draw(Panel(axes[2], _longest_agreement, recovery_values=("on",)), grouped)
    _finish_axes(axes, QUOTA_TITLES)
    return save_figure(figure, png)


def plot_ceiling(rows: list[Row], png: Path) -> Path:
    """Plot the largest use beyond a hard ceiling and the used share of its rate into the file `png`.

    Returns the path.
    """
    figure, axes = panels(2, (11, 4.5))
    grouped = groups(rows, NATIONAL)
    _draw(Panel(axes[0], maximum("ceiling_over"), labelled_values=("on",)), grouped)
    _draw(Panel(axes[1], mean("of_ceiling")), grouped)
    _finish_axes(axes, CEILING_TITLES)
    return save_figure(figure, png)
