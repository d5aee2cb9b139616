"""`brookhub lab membership | choices | together | recovery | maintenance`: measurements, tables, plots."""

from __future__ import annotations

import json
from pathlib import Path

import click

from .common import out_option, processes_option, progress, seeds_option


@click.command()
@out_option("lab/membership")
@seeds_option("1 to 6")
@click.option(
    "--hour", type=float, default=600.0, show_default=True, help="simulated s of each long run, one a seed"
)
@processes_option
@click.option("--size", "sizes", type=int, multiple=True, help="members (default: 8, 40, 200, 1000)")
@click.option("--sockets", is_flag=True, help="instead on 8 processes of the program: about a minute a seed")
def membership(
    out: Path,
    seeds: tuple[int, ...],
    hour: float,
    processes: int | None,
    sizes: tuple[int, ...],
    sockets: bool,
) -> None:
    """Measure membership against its baselines in the emulator: a table, and a plot in the folder."""
    from ..experiments import membership as measuring

    if sockets:
        for seed in seeds or (1,):
            click.echo(json.dumps(measuring.on_processes(out / f"seed-{seed}", seed), sort_keys=True))
        return
    with progress("membership") as told:
        rows = measuring.measure(
            out, list(seeds or range(1, 7)), hour, processes, sizes or measuring.SIZES, told
        )
    click.echo(measuring.table(rows))
    click.echo(f"plot: {measuring.plot(rows, out / 'membership.png')}")


@click.command()
@out_option("lab/choices")
@seeds_option("1 to 5")
@processes_option
def choices(out: Path, seeds: tuple[int, ...], processes: int | None) -> None:
    """Measure ways to choose servers for each limiter: balance, load, churn; a table and a plot."""
    from ..experiments import choices as measuring

    with progress("choices") as told:
        rows = measuring.measure(out, list(seeds or range(1, 6)), processes=processes, progress=told)
    click.echo(measuring.table(rows))
    click.echo(f"plot: {measuring.plot(rows, out / 'choices.png')}")


@click.command()
@out_option("lab/together")
@seeds_option("1 to 4")
@processes_option
def together(out: Path, seeds: tuple[int, ...], processes: int | None) -> None:
    """Measure signals and turns in the emulator: bad and cold servers, fairness; tables and a plot."""
    from ..experiments import together as measuring

    with progress("together") as told:
        rows = measuring.measure(out, list(seeds or range(1, 5)), processes, told)
    click.echo(measuring.table(rows))
    click.echo(f"plot: {measuring.plot(rows, out / 'together.png')}")


@click.command()
@out_option("lab/recovery")
@seeds_option("1 to 3")
@processes_option
def recovery(out: Path, seeds: tuple[int, ...], processes: int | None) -> None:
    """A counter wiped, swapped and split in the emulator, with and without recovery; a table and plots."""
    from ..experiments import recovery as measuring

    with progress("recovery") as told:
        rows = measuring.measure(out, list(seeds or range(1, 4)), processes, told)
    click.echo(measuring.table(rows))
    click.echo(f"plot: {measuring.plot(rows, out / 'recovery.png')}")
    click.echo(f"plot: {measuring.plot_ceiling(rows, out / 'ceiling.png')}")


@click.command()
@out_option("lab/maintenance")
@click.option("--seeds", type=int, default=1000, show_default=True, help="runs with random faults")
@processes_option
def maintenance(out: Path, seeds: int, processes: int | None) -> None:
    """Plans of work on 200 emulated limiters under random faults, against two baselines; tables, a plot."""
    from ..experiments import maintenance as measuring

    with progress("maintenance") as told:
        rows = measuring.measure(out, seeds, processes, told)
    click.echo(measuring.table(rows))
    click.echo(f"plot: {measuring.plot(rows, out / 'maintenance.png')}")
