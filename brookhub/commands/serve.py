"""The commands `brookhub run`, `brookhub check-config` and `brookhub version`."""

from __future__ import annotations

import os
import sys
from importlib.metadata import PackageNotFoundError
from importlib.metadata import version as installed_version
from pathlib import Path

import click
from pydantic import BaseModel

from ..config import ConfigError, Experiment, GatewayFile, MembershipFile, PlanFile, SiteFile
from .common import exit_unusable, load_or_exit

MODELS: dict[str, type[BaseModel]] = {
    "experiment": Experiment,
    "membership": MembershipFile,
    "plan": PlanFile,
    "site": SiteFile,
    "gateway": GatewayFile,
}
DEFAULT_KIND = "gateway"
# Tables that identify the kind of a file. The first one found decides; a file without any is a start file.
KIND_MARKERS = (
    ("[fleet", "experiment"),
    ("[[peers]]", "membership"),
    ("[[machines]]", "plan"),
    ("[[tier]]", "site"),
)


@click.command()
@click.option(
    "--config",
    "path",
    type=click.Path(dir_okay=False),
    help="start file, TOML or JSON (default: NODE_CONFIG)",
)
def run(path: str | None) -> None:
    """Run the gateway in the foreground (as `python -m brookhub` does)."""
    if path:
        os.environ["NODE_CONFIG"] = path
    from ..program.run import main as serve

    sys.exit(serve())


def kind_of(path: str) -> str:
    """Return a configuration file's kind, by its tables. Exits with EXIT_UNUSABLE if it cannot be read."""
    try:
        text = Path(path).read_text(errors="replace")
    except OSError as error:
        exit_unusable(ConfigError(path, "", 0, error.strerror or str(error)))
    return next((kind for marker, kind in KIND_MARKERS if marker in text), DEFAULT_KIND)


def check_json_start_file(path: str) -> None:
    """Check a start file in JSON. Exits with EXIT_UNUSABLE if it is invalid."""
    from ..program import start_file

    try:
        start_file.read({"NODE_CONFIG": path})
    except start_file.StartError as error:
        exit_unusable(error)


@click.command("check-config")
@click.argument("path", type=click.Path(dir_okay=False))
@click.option("--kind", type=click.Choice(["auto", *sorted(MODELS)]), default="auto", show_default=True)
def check_config(path: str, kind: str) -> None:
    """Check a configuration file.

    Exits with 2 on an invalid file and prints one line with the key and the line of the first error.
    """
    if kind == "auto":
        kind = kind_of(path)
    if kind == "gateway" and path.endswith(".json"):
        check_json_start_file(path)
    else:
        load_or_exit(path, MODELS[kind])
    click.echo(f"{path}: a good {kind} file")


@click.command()
def version() -> None:
    """Print the version of the installed package."""
    try:
        click.echo(installed_version("brookhub"))
    except PackageNotFoundError:
        click.echo("brookhub (not installed)")
