"""The command line of `brookhub`, assembled from the modules in `commands` (click).

Exit codes: 0 success; 1 an invariant was broken or a figure is out of its bounds; 2 a configuration that
can't be used or a run that can't be started.
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
    help="structured log lines on standard error: JSON lines or for a terminal",
)
def main(log_format: str) -> None:
    """brookhub: a quota-keeping API gateway, its fleet emulator and its experiments."""
    log.setup(log_format)


@main.group()
def experiments() -> None:
    """Sweeps, runs on processes, measurements and plots."""


@main.group()
def lab() -> None:
    """Deprecated alias of `experiments`."""
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
