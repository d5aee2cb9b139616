"""The command line of `brookhub`, assembled from the modules in `commands` with click.

Exit codes: 0 for success, 1 if an invariant was broken or a figure is out of its bounds, 2 if the
configuration is invalid or a run cannot be started.
"""

from __future__ import annotations

import click

from .commands import experiments as experiment_commands
from .commands import maintenance as maintenance_commands
from .commands import measure, model_check, serve
from .program import log


@click.group()
@click.option(
    "--log-format",
    type=click.Choice(["json", "console"]),
    default="json",
    show_default=True,
    help="format of the log on standard error: JSON lines, or readable lines for a terminal",
)
def main(log_format: str) -> None:
    """brookhub: an API gateway and rate limiter, its fleet emulator and its experiments."""
    log.setup(log_format)


@main.group()
def experiments() -> None:
    """Run sweeps, process fleets and measurements, and plot their results."""


@main.group()
def lab() -> None:
    """Run a command of `experiments` (deprecated alias)."""
    click.echo("brookhub lab: deprecated, use `brookhub experiments`", err=True)


MAIN_COMMANDS: tuple[click.Command, ...] = (
    serve.run,
    serve.check_config,
    serve.version,
    experiment_commands.emulate,
    maintenance_commands.maintenance,
)
EXPERIMENT_COMMANDS: tuple[click.Command, ...] = (
    experiment_commands.sweep,
    experiment_commands.plot,
    experiment_commands.processes,
    experiment_commands.compare,
    measure.membership,
    measure.choices,
    measure.together,
    measure.recovery,
    measure.maintenance,
    measure.plans,
    model_check.check_model,
)

for command in MAIN_COMMANDS:
    main.add_command(command)
for command in EXPERIMENT_COMMANDS:
    experiments.add_command(command)
    lab.add_command(command)
