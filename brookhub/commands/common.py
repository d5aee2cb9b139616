"""Exit codes, one-line errors, progress bars and options that several commands use."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
from pydantic import BaseModel

from ..config import ConfigError, load

Model = TypeVar("Model", bound=BaseModel)
Command = TypeVar("Command", bound=Callable[..., Any])
Report = Callable[[float], None]  # Takes the share of the work that is done, from 0 to 1.

EXIT_FAILED = 1  # An invariant was broken, or a figure is out of its bounds.
EXIT_UNUSABLE = 2  # The configuration is invalid, or a run cannot be started.

PROGRESS_STEPS = 1000  # Resolution of a progress bar.


def exit_unusable(reason: object) -> NoReturn:
    """Print the reason as one line on standard error and exit with EXIT_UNUSABLE."""
    click.echo(f"brookhub: {reason}", err=True)
    sys.exit(EXIT_UNUSABLE)


def load_or_exit(path: str, model: type[Model]) -> Model:
    """Read and validate a configuration file, or exit with EXIT_UNUSABLE if it is invalid."""
    try:
        return load(path, model)
    except ConfigError as error:
        exit_unusable(error)


@contextmanager
def progress(label: str) -> Iterator[Report]:
    """Show a progress bar on standard error, and yield the function that updates it."""
    with click.progressbar(length=PROGRESS_STEPS, label=label, file=sys.stderr) as bar:
        yield lambda done: bar.update(int(done * PROGRESS_STEPS) - bar.pos)


def out_option(default: str) -> Callable[[Command], Command]:
    """Return the option `--out`, which names the folder for results."""
    return click.option(
        "--out", type=click.Path(file_okay=False, path_type=Path), default=default, show_default=True
    )


def seeds_option(default: str) -> Callable[[Command], Command]:
    """Return the option `--seed`, which may be repeated. `default` describes its default in the help text."""
    return click.option(
        "--seed", "seeds", type=int, multiple=True, help=f"may be repeated (default: {default})"
    )


processes_option = click.option("--processes", type=int, help="worker processes (default: one per core)")
