"""Figures of the lab's measurements as PNG files (matplotlib, without a display).

Loaded only where something is drawn.
"""

from __future__ import annotations

from pathlib import Path

DPI = 90


def panels(columns: int, size: tuple[float, float], rows: int = 1):
    """A figure of so many panels, `size` in inches, and its axes."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=size)
    return figure, figure.subplots(rows, columns)


def saved(figure, png: Path) -> Path:
    """Write it to `png`, whose folder there is; raises OSError."""
    figure.tight_layout()
    figure.savefig(png, dpi=DPI)
    return png
