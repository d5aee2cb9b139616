"""What the commands have in common: refusals in one line, progress, options."""

from __future__ import annotations

import sys
from contextlib import contextmanager
from pathlib import Path
from typing import Callable, Iterator, NoReturn, TypeVar

import click
from pydantic import BaseModel

from ..config import ConfigError, load

Model = TypeVar("Model", bound=BaseModel)
UNUSABLE = 2  # exit code: a configuration or start that can't be used
BROKEN = 1  # exit code: a rule was broken, or a figure is out of its bounds


def refuse(why: object) -> NoReturn:
    """End with one line that says why, exit code 2."""
    click.echo(f"brookhub: {why}", err=True)
    sys.exit(UNUSABLE)


def load_or_refuse(path: str, model: type[Model]) -> Model:
    """A checked configuration file; ends the program where it can't be used."""
    try:
        return load(path, model)
    except ConfigError as broken:
        refuse(broken)


@contextmanager
def progress(label: str) -> Iterator[Callable[[float], None]]:
    """A progress bar on standard error; what is given is told the share that is done (0 to 1)."""
    with click.progressbar(length=1000, label=label, file=sys.stderr) as bar:
        yield lambda done: bar.update(int(done * 1000) - bar.pos)


def out_option(default: str) -> Callable:
    """The folder for results."""
    return click.option(
        "--out", type=click.Path(file_okay=False, path_type=Path), default=default, show_default=True
    )


def seeds_option(default: str) -> Callable:
    """Seeds to play; `default` says which where none is given."""
    return click.option(
        "--seed", "seeds", type=int, multiple=True, help=f"may be given often (default: {default})"
    )


processes_option = click.option("--processes", type=int, help="worker processes (default: one a core)")
