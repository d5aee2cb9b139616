"""Figures of measurements as PNG files (matplotlib, without a display).

matplotlib is imported only when something is drawn.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

DPI = 90


def panels(columns: int, size: tuple[float, float], rows: int = 1) -> tuple[Any, Any]:
    """A figure of `size` (width, height in inches) and the array of its axes."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=size)
    return figure, figure.subplots(rows, columns)


def save_figure(figure: Any, png: Path) -> Path:
    """Write a figure to `png`, whose folder has to exist; returns the path. Raises OSError."""
    figure.tight_layout()
    figure.savefig(png, dpi=DPI)
    return png
