"""Tables and the plot of the rows of `together`. They are shown in docs/choices.md."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .figures import panels, save_figure
from .jobs import Row
from .together import ASSIGNMENTS, TRANSPORTS
from .together_run import FAULT_DURATION

COLUMNS = {  # The figures in the table of each measurement.
    "bad": ("sent_to_bad", "served", "p99_ms", "words"),
    "errors": ("served", "errored", "words"),
    "link": ("others_served", "served", "words"),
    "cold": ("push", "used", "served", "falls"),
    "parts": ("held", "sends", "pairs", "server", "limiter", "served"),
    "grow": ("jain_limiters", "jain_customers", "served", "errored", "over"),
}
GROUP_COLUMNS = 4  # Number of cells before the figures.
MIN_VALUE_WITHOUT_DECIMALS = 10  # Figures are shown as integers if their maximum reaches this value.
DECIMALS = 3
BOX_SPACING = 4  # Distance between the first boxes of two cases. Each case has one box per transport.
COLD_MARKERS = {"replace": "o", "split": "s"}  # Marker by kind.
COLD_COLOURS = {"none": "C0", "peers": "C2"}  # Colour by transport.


@dataclass(frozen=True, order=True)
class Case:
    """A kind of run with its number of limiters and its load scale, which is None if it is not varied."""

    kind: str
    limiters: int
    load: float | None


@dataclass(frozen=True)
class Group:
    """The properties that the rows of all seeds share.

    `measurement` is a key of COLUMNS. `variant` is one of ASSIGNMENTS for subsets, else one of TRANSPORTS.
    """

    measurement: str
    case: Case
    variant: str

    @property
    def cells(self) -> list[str]:
        """The cells before the figures in the table's row: kind, limiters, load, variant."""
        load = "" if self.case.load is None else str(self.case.load)
        return [self.case.kind, str(self.case.limiters), load, self.variant]


Groups = dict[Group, list[Row]]


def groups(rows: list[Row]) -> Groups:
    """Return the rows by group, in the order of the tables."""
    grouped: Groups = {}
    for row in sorted(rows, key=_position):
        case = Case(_kind(row), row["limiters"], row.get("scale"))
        grouped.setdefault(Group(row["what"], case, row["way"]), []).append(row)
    return grouped


def _position(row: Row) -> tuple[str, str, int, float, int]:
    """Return the sort key of a row in the tables."""
    variant = (TRANSPORTS + ASSIGNMENTS).index(row["way"])
    return (row["what"], row.get("kind", ""), row["limiters"], row.get("scale", 0), variant)


def _kind(row: Row) -> str:
    """Return the kind of a row's run, or the number of servers for a measurement of subsets."""
    server_count = f"{row['servers']} servers" if "servers" in row else ""
    return str(row.get("kind", server_count))


def table(rows: list[Row]) -> str:
    """Return Markdown tables of the means over the seeds, with the minimum and maximum in brackets."""
    lines: list[str] = []
    current_measurement = None
    for group, group_rows in groups(rows).items():
        if group.measurement != current_measurement:
            current_measurement = group.measurement
            lines += ["", *_header(group.measurement)]
        figures = [_figure_cell([row[name] for row in group_rows]) for name in COLUMNS[group.measurement]]
        lines.append(_line(group.cells + figures))
    return "\n".join(lines).strip()


def _header(measurement: str) -> list[str]:
    columns = [measurement, "limiters", "load", "words by", *COLUMNS[measurement]]
    return [_line(columns), "| --- " * (GROUP_COLUMNS + len(COLUMNS[measurement])) + "|"]


def _line(cells: list[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _figure_cell(values: list[float]) -> str:
    decimals = 0 if max(values) >= MIN_VALUE_WITHOUT_DECIMALS else DECIMALS
    mean = sum(values) / len(values)
    return f"{mean:.{decimals}f} ({min(values):.{decimals}f} to {max(values):.{decimals}f})"


def plot(rows: list[Row], png: Path) -> Path:
    """Plot the attempts at a faulty server by transport, and the load of cold servers, into the file `png`.

    The load of cold servers is shown as a share of the bound of rule 4. Returns the path.
    """
    figure, (left, right) = panels(2, (12, 4.5))
    _plot_faulty_server(left, groups(rows))
    _plot_cold_servers(right, rows)
    return save_figure(figure, png)


def _plot_faulty_server(axis: Any, grouped: Groups) -> None:
    """Draw a box plot of the attempts sent to a faulty server, by case and transport."""
    cases = sorted({group.case for group in grouped if group.measurement == "bad"})
    for offset, transport in enumerate(TRANSPORTS):
        values = [
            [row["sent_to_bad"] for row in grouped.get(Group("bad", case, transport), [])] for case in cases
        ]
        colour = f"C{offset}"
        axis.boxplot(
            values,
            positions=[number * BOX_SPACING + offset for number in range(len(cases))],
            widths=0.8,
            showfliers=False,
            boxprops={"color": colour},
            medianprops={"color": colour},
        )
        axis.plot([], [], color=colour, label=f"words: {transport}")
    axis.set_xticks(
        [number * BOX_SPACING + 1 for number in range(len(cases))],
        [f"{case.kind}\n{case.limiters}, {case.load}" for case in cases],
        fontsize=7,
    )
    axis.set_yscale("log")
    axis.set_title(f"tries sent to one bad server in {FAULT_DURATION:.0f} s (limiters, load)")
    axis.legend()


def _plot_cold_servers(axis: Any, rows: list[Row]) -> None:
    """Draw the highest load of cold servers against the number of limiters, by kind and transport."""
    cold = [row for row in rows if row["what"] == "cold"]
    for kind, marker in COLD_MARKERS.items():
        for transport, colour in COLD_COLOURS.items():
            matching = [row for row in cold if row["kind"] == kind and row["way"] == transport]
            axis.plot(
                [row["limiters"] for row in matching],
                [row["push"] for row in matching],
                marker,
                color=colour,
                label=f"{kind}, words: {transport}",
                alpha=0.6,
            )
    axis.axhline(1.0, color="red", lw=0.8)
    axis.set_xscale("log")
    axis.set_xlabel("limiters")
    axis.set_title("most sends to a cold server, as a share of rule 4's bound")
    axis.legend(fontsize=7)
