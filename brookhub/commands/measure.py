"""Commands that run measurements.

`brookhub experiments membership | choices | together | recovery | maintenance | plans`.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from .common import EXIT_FAILED, exit_unusable, out_option, processes_option, progress, seeds_option

DEFAULT_MAX_OUT = (1, 2)  # Maximum numbers of machines out at once, one run for each.


@click.command()
@out_option("lab/membership")
@seeds_option("1 to 6")
@click.option(
    "--hour",
    type=float,
    default=600.0,
    show_default=True,
    help="simulated seconds of the long run for each seed",
)
@processes_option
@click.option(
    "--size",
    "sizes",
    type=int,
    multiple=True,
    help="number of members; may be repeated (default: 8, 40, 200, 1000)",
)
@click.option(
    "--sockets", is_flag=True, help="measure on 8 gateway processes instead; takes about a minute per seed"
)
def membership(
    out: Path,
    seeds: tuple[int, ...],
    hour: float,
    processes: int | None,
    sizes: tuple[int, ...],
    sockets: bool,
) -> None:
    """Compare membership with its baselines in the emulator. Prints a table and writes a plot."""
    from ..experiments import membership as measuring
    from ..experiments.membership_processes import measure_on_processes

    if sockets:
        for seed in seeds or (1,):
            click.echo(json.dumps(measure_on_processes(out / f"seed-{seed}", seed), sort_keys=True))
        return
    with progress("membership") as report:
        rows = measuring.measure(
            out, list(seeds or range(1, 7)), hour, processes, sizes or measuring.SIZES, report
        )
    click.echo(measuring.table(rows))
    click.echo(f"plot: {measuring.plot(rows, out / 'membership.png')}")


@click.command()
@out_option("lab/choices")
@seeds_option("1 to 5")
@processes_option
def choices(out: Path, seeds: tuple[int, ...], processes: int | None) -> None:
    """Measure algorithms that assign servers to limiters, by balance, load and churn.

    Prints a table and writes a plot.
    """
    from ..experiments import choices as measuring

    with progress("choices") as report:
        rows = measuring.measure(out, list(seeds or range(1, 6)), processes=processes, progress=report)
    click.echo(measuring.table(rows))
    click.echo(f"plot: {measuring.plot(rows, out / 'choices.png')}")


@click.command()
@out_option("lab/together")
@seeds_option("1 to 4")
@processes_option
def together(out: Path, seeds: tuple[int, ...], processes: int | None) -> None:
    """Measure outlier signals and leases in the emulator. Prints tables and writes a plot.

    The tables show requests to bad and cold servers, and fairness.
    """
    from ..experiments import together as measuring
    from ..experiments import together_report

    with progress("together") as report:
        rows = measuring.measure(out, list(seeds or range(1, 5)), processes, report)
    click.echo(together_report.table(rows))
    click.echo(f"plot: {together_report.plot(rows, out / 'together.png')}")


@click.command()
@out_option("lab/recovery")
@seeds_option("1 to 3")
@processes_option
def recovery(out: Path, seeds: tuple[int, ...], processes: int | None) -> None:
    """Measure recovery from a wiped, swapped or split counter in the emulator.

    Each fault is run with and without recovery. Prints a table and writes plots.
    """
    from ..experiments import recovery as measuring
    from ..experiments import recovery_report

    with progress("recovery") as report:
        rows = measuring.measure(out, list(seeds or range(1, 4)), processes, report)
    click.echo(recovery_report.table(rows))
    click.echo(f"plot: {recovery_report.plot(rows, out / 'recovery.png')}")
    click.echo(f"plot: {recovery_report.plot_ceiling(rows, out / 'ceiling.png')}")


@click.command()
@out_option("lab/maintenance")
@click.option("--seeds", type=int, default=1000, show_default=True, help="number of runs with random faults")
@processes_option
def maintenance(out: Path, seeds: int, processes: int | None) -> None:
    """Compare maintenance plans with two baselines on 200 emulated limiters with random faults.

    Prints tables and writes a plot.
    """
    from ..experiments import maintenance as measuring

    with progress("maintenance") as report:
        rows = measuring.measure(out, seeds, processes, report)
    click.echo(measuring.table(rows))
    click.echo(f"plot: {measuring.plot(rows, out / 'maintenance.png')}")


@click.command()
@out_option("lab/plans")
@click.option(
    "--scenario", "scenarios", multiple=True, help="scenario to run; may be repeated (default: all)"
)
@click.option(
    "--most",
    "max_out_values",
    type=int,
    multiple=True,
    help="maximum number of machines out at once; may be repeated (default: 1 and 2)",
)
@click.option("--seed", type=int, default=1, show_default=True)
def plans(out: Path, scenarios: tuple[str, ...], max_out_values: tuple[int, ...], seed: int) -> None:
    """Run maintenance plans on eight processes, with a fault at each step.

    Prints a line per run. Exits with 1 if a run broke an invariant, had more machines out than allowed, or
    did not end.
    """
    from ..experiments import plans as measuring
    from ..experiments.errors import ExperimentError

    unknown = [scenario for scenario in scenarios if scenario not in measuring.SCENARIOS]
    if unknown:
        exit_unusable(f"unknown scenario {unknown[0]!r}, expected one of: {', '.join(measuring.SCENARIOS)}")
    any_broken = False
    for number, scenario in enumerate(scenarios or measuring.SCENARIOS):
        for max_out in max_out_values or DEFAULT_MAX_OUT:
            try:
                row = measuring.run_plan(scenario, max_out, out / f"{number}-{max_out}", seed)
            except ExperimentError as error:
                exit_unusable(error)
            click.echo(json.dumps(row, sort_keys=True))
            any_broken = any_broken or bool(row["broken"]) or not row["kept"] or not row["ended"]
    sys.exit(EXIT_FAILED if any_broken else 0)
