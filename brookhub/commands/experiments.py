"""Commands that run and plot experiments: `emulate` and `experiments sweep | plot | processes | compare`."""

from __future__ import annotations

import json
import sys
from importlib import resources
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ..config import Experiment, loads
from .common import EXIT_FAILED, exit_unusable, load_or_exit, progress

if TYPE_CHECKING:
    from ..experiments.outcome import Outcome

# Results are written below this folder unless `--out` names another. Operators already have such folders, and
# git ignores them.
RESULTS_FOLDER = Path("lab")

experiment_argument = click.argument("experiment", type=click.Path(dir_okay=False))
seeds_instead_option = click.option(
    "--seed", "seeds", type=int, multiple=True, help="seed, instead of the experiment's; may be repeated"
)


def experiment_or_default(path: str | None) -> Experiment:
    """Read an experiment file, or the embedded default. Exits with EXIT_UNUSABLE if the file is invalid."""
    if path:
        return load_or_exit(path, Experiment)
    text = resources.files("brookhub.experiments").joinpath("default.toml").read_text()
    return loads(text, Experiment, "embedded default")


@click.command()
@click.argument("experiment", required=False, type=click.Path(dir_okay=False))
@click.option("--seed", type=int, help="seed, instead of the experiment's")
@click.option("--duration", type=float, help="duration in simulated seconds, instead of the experiment's")
@click.option("--limiters", type=int, help="number of limiters, instead of fleet.limiters")
@click.option("--strict/--no-strict", default=None, help="stop at the first broken rule and print its trail")
def emulate(
    experiment: str | None,
    seed: int | None,
    duration: float | None,
    limiters: int | None,
    strict: bool | None,
) -> None:
    """Run one experiment (without its sweep) in the emulator and print its metrics as JSON."""
    from ..emulator import Fleet, InvariantViolationError
    from ..experiments.sweep import with_value

    spec = experiment_or_default(experiment)
    if duration:
        spec = with_value(spec, "duration_s", duration)
    if limiters:
        spec = with_value(spec, "fleet.limiters", limiters)
    if strict is not None:
        spec = with_value(spec, "strict", strict)
    try:
        result = Fleet(spec, seed=seed).run()
    except InvariantViolationError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_FAILED)
    click.echo(json.dumps(result.metrics(), sort_keys=True))
    sys.exit(EXIT_FAILED if result.violations and spec.strict else 0)


@click.command()
@experiment_argument
@click.option("--out", type=click.Path(file_okay=False), help="results folder (default: lab/NAME)")
@click.option("--processes", type=int, help="worker processes (default: the experiment's, else one per core)")
@click.option("--limit", type=int, help="maximum number of points to run now; the next call runs the rest")
@click.option("--plot/--no-plot", "draw", default=True)
def sweep(experiment: str, out: str | None, processes: int | None, limit: int | None, draw: bool) -> None:
    """Run the grid of an experiment, skipping points that already have results, and plot it."""
    from ..experiments import plot as plotting
    from ..experiments import sweep as sweeping

    spec = load_or_exit(experiment, Experiment)
    folder = Path(out) if out else RESULTS_FOLDER / spec.name
    count = sweeping.sweep(spec, folder, processes, limit)
    click.echo(f"{count} points played into {folder / sweeping.RESULTS}")
    if draw and sweeping.finished_keys(folder):
        click.echo(f"plot: {plotting.plot(folder, spec.name)}")


@click.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@click.option("--title", default="")
@click.option("--png", type=click.Path(dir_okay=False))
def plot(folder: str, title: str, png: str | None) -> None:
    """Draw the plots of a results folder."""
    from ..experiments import plot as plotting

    click.echo(plotting.plot(Path(folder), title or Path(folder).name, Path(png) if png else None))


def run_on_processes(spec: Experiment, folder: Path, seed: int) -> Outcome:
    """Run an experiment once on processes. Exits with EXIT_UNUSABLE if it cannot be run."""
    from ..experiments.errors import ExperimentError
    from ..experiments.processes import ProcessFleet

    try:
        with ProcessFleet(spec, folder / f"seed-{seed}", seed) as fleet, progress(f"seed {seed}") as report:
            return fleet.run(report)
    except ExperimentError as error:
        exit_unusable(error)


@click.command()
@experiment_argument
@seeds_instead_option
@click.option(
    "--out",
    type=click.Path(file_okay=False),
    help="folder for logs and results (default: lab/NAME-processes)",
)
def processes(experiment: str, seeds: tuple[int, ...], out: str | None) -> None:
    """Run an experiment and its faults on gateway processes over loopback, and check the invariants."""
    from ..experiments import sweep as sweeping

    spec = load_or_exit(experiment, Experiment)
    folder = Path(out) if out else RESULTS_FOLDER / f"{spec.name}-processes"
    folder.mkdir(parents=True, exist_ok=True)
    any_broken = False
    for seed in seeds or (spec.seed,):
        outcome = run_on_processes(spec, folder, seed)
        metrics = outcome.metrics()
        row = {
            "key": json.dumps({"params": {}, "seed": seed}),
            "seed": seed,
            "params": {},
            "metrics": metrics,
            "histogram": outcome.result.latency.encode().decode(),
        }
        with open(folder / sweeping.RESULTS, "a") as results_file:
            results_file.write(json.dumps(row, sort_keys=True) + "\n")
        click.echo(json.dumps(metrics, sort_keys=True))
        any_broken = any_broken or bool(outcome.result.violations)
    sys.exit(EXIT_FAILED if any_broken else 0)


def comparison_line(row: dict[str, Any]) -> str:
    """Format one line about the differences between emulator and processes in a row of `compare`."""
    emulated = row["emulator"]
    measured = row["processes"]
    shares = ", ".join(
        f"{share} emulator {emulated[share]:.3f} processes {measured[share]:.3f}" for share in row["apart"]
    )
    mark = "" if row["within"] else "  OVER 5%"
    return f"seed {row['seed']}: {shares}; p50 {emulated['p50_ms']:.0f} and {measured['p50_ms']:.0f} ms{mark}"


@click.command()
@experiment_argument
@seeds_instead_option
@click.option(
    "--out", type=click.Path(file_okay=False), help="folder for logs and results (default: lab/NAME-compare)"
)
def compare(experiment: str, seeds: tuple[int, ...], out: str | None) -> None:
    """Run an experiment in the emulator and on processes. Exits with 1 if a share differs by more than 5%."""
    from ..experiments.compare import compare as run_both
    from ..experiments.errors import ExperimentError

    spec = load_or_exit(experiment, Experiment)
    folder = Path(out) if out else RESULTS_FOLDER / f"{spec.name}-compare"
    try:
        with progress(spec.name) as report:
            rows = run_both(spec, folder, list(seeds or (spec.seed,)), report)
    except ExperimentError as error:
        exit_unusable(error)
    (folder / "compare.json").write_text(json.dumps(rows, indent=1, sort_keys=True))
    for row in rows:
        click.echo(comparison_line(row))
    sys.exit(0 if all(row["within"] for row in rows) else EXIT_FAILED)
