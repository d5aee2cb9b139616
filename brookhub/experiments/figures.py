"""Figures of measurements, drawn by matplotlib into PNG files without a display.

matplotlib is imported only when a figure is drawn.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

DPI = 90  # Resolution of the PNG files.


def panels(columns: int, size: tuple[float, float], rows: int = 1) -> tuple[Any, Any]:
    """Return a figure and the array of its axes. `size` is its width and height in inches."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=size)
    return figure, figure.subplots(rows, columns)


def save_figure(figure: Any, png: Path) -> Path:
    """Write a figure to `png` and return that path. Raises OSError if its folder does not exist."""
    figure.tight_layout()
    figure.savefig(png, dpi=DPI)
    return png
