"""`brookhub emulate` and `brookhub lab sweep | plot | processes | compare`: experiments, played and drawn."""

from __future__ import annotations

import json
import sys
from importlib import resources
from pathlib import Path
from typing import Any

import click

from ..config import Experiment, loads
from .common import BROKEN, load_or_refuse, progress, refuse

experiment_argument = click.argument("experiment", type=click.Path(dir_okay=False))
seeds_instead_option = click.option(
    "--seed", "seeds", type=int, multiple=True, help="instead of the experiment's; may be given often"
)


def experiment_or_default(path: str | None) -> Experiment:
    """The experiment of a file, or the embedded one."""
    if path:
        return load_or_refuse(path, Experiment)
    text = resources.files("brookhub.experiments").joinpath("default.toml").read_text()
    return loads(text, Experiment, "embedded default")


@click.command()
@click.argument("experiment", required=False, type=click.Path(dir_okay=False))
@click.option("--seed", type=int, help="instead of the experiment's")
@click.option("--duration", type=float, help="simulated seconds, instead of the experiment's")
@click.option("--limiters", type=int, help="instead of fleet.limiters")
@click.option("--strict/--no-strict", default=None, help="stop at the first broken rule and print its trail")
def emulate(
    experiment: str | None,
    seed: int | None,
    duration: float | None,
    limiters: int | None,
    strict: bool | None,
) -> None:
    """Play one experiment (without sweep) in the emulator; prints its metrics as JSON."""
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
    except InvariantViolationError as violation:
        click.echo(str(violation), err=True)
        sys.exit(BROKEN)
    click.echo(json.dumps(result.metrics(), sort_keys=True))
    sys.exit(BROKEN if result.violations and spec.strict else 0)


@click.command()
@experiment_argument
@click.option("--out", type=click.Path(file_okay=False), help="results folder (default: lab/NAME)")
@click.option("--processes", type=int, help="worker processes (default: the experiment's, else one a core)")
@click.option("--limit", type=int, help="play at most so many points now; the rest on the next call")
@click.option("--plot/--no-plot", "draw", default=True)
def sweep(experiment: str, out: str | None, processes: int | None, limit: int | None, draw: bool) -> None:
    """Play the experiment's grid, resuming where results exist, then plot."""
    from ..experiments import plot as plotting
    from ..experiments import sweep as sweeping

    spec = load_or_refuse(experiment, Experiment)
    folder = Path(out or f"lab/{spec.name}")
    played = sweeping.sweep(spec, folder, processes, limit)
    click.echo(f"{played} points played into {folder / sweeping.RESULTS}")
    if draw and sweeping.done(folder):
        click.echo(f"plot: {plotting.plot(folder, spec.name)}")


@click.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@click.option("--title", default="")
@click.option("--png", type=click.Path(dir_okay=False))
def plot(folder: str, title: str, png: str | None) -> None:
    """Draw the plots of a results folder."""
    from ..experiments import plot as plotting

    click.echo(plotting.plot(Path(folder), title or Path(folder).name, Path(png) if png else None))


def play_on_processes(spec: Experiment, folder: Path, seed: int) -> Any:
    """The outcome of one run on processes; ends the program where it can't be played."""
    from ..experiments.errors import LabError
    from ..experiments.processes import ProcessLab

    try:
        with ProcessLab(spec, folder / f"seed-{seed}", seed) as lab, progress(f"seed {seed}") as told:
            return lab.play(told)
    except LabError as met:
        refuse(met)


@click.command()
@experiment_argument
@seeds_instead_option
@click.option(
    "--out", type=click.Path(file_okay=False), help="folder for logs and results (default: lab/NAME)"
)
def processes(experiment: str, seeds: tuple[int, ...], out: str | None) -> None:
    """Play an experiment on processes of the program over loopback, with its faults, and judge it."""
    from ..experiments import sweep as sweeping

    spec = load_or_refuse(experiment, Experiment)
    folder, any_broken = Path(out or f"lab/{spec.name}-processes"), False
    folder.mkdir(parents=True, exist_ok=True)
    for seed in seeds or (spec.seed,):
        outcome = play_on_processes(spec, folder, seed)
        row = {
            "key": json.dumps({"params": {}, "seed": seed}),
            "seed": seed,
            "params": {},
            "metrics": outcome.metrics(),
            "histogram": outcome.result.latency.encode().decode(),
        }
        with open(folder / sweeping.RESULTS, "a") as sink:
            sink.write(json.dumps(row, sort_keys=True) + "\n")
        click.echo(json.dumps(outcome.metrics(), sort_keys=True))
        any_broken = any_broken or bool(outcome.result.violations)
    sys.exit(BROKEN if any_broken else 0)


def comparison_line(row: dict[str, Any]) -> str:
    """One line on how far the emulator and the processes are apart."""
    emulator, sockets = row["emulator"], row["processes"]
    shares = ", ".join(
        f"{share} emulator {emulator[share]:.3f} processes {sockets[share]:.3f}" for share in row["apart"]
    )
    over = "" if row["within"] else "  OVER 5%"
    return f"seed {row['seed']}: {shares}; p50 {emulator['p50_ms']:.0f} and {sockets['p50_ms']:.0f} ms{over}"


@click.command()
@experiment_argument
@seeds_instead_option
@click.option(
    "--out", type=click.Path(file_okay=False), help="folder for logs and results (default: lab/NAME-compare)"
)
def compare(experiment: str, seeds: tuple[int, ...], out: str | None) -> None:
    """Play an experiment in the emulator and on processes; exit 1 where a share is more than 5% apart."""
    from ..experiments.compare import compare as comparing
    from ..experiments.errors import LabError

    spec = load_or_refuse(experiment, Experiment)
    folder = Path(out or f"lab/{spec.name}-compare")
    try:
        with progress(spec.name) as told:
            rows = comparing(spec, folder, list(seeds or (spec.seed,)), told)
    except LabError as met:
        refuse(met)
    (folder / "compare.json").write_text(json.dumps(rows, indent=1, sort_keys=True))
    for row in rows:
        click.echo(comparison_line(row))
    sys.exit(0 if all(row["within"] for row in rows) else BROKEN)
