"""The command line of `brookhub`, put together from the groups in `commands` (click).

Exit codes: 0 done; 1 a rule was broken in a strict emulation; 2 a configuration or start that can't be used.
"""

from __future__ import annotations

import click

from .commands import lab as experiments
from .commands import maintenance as work
from .commands import measure, serve
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
    """brookhub: a quota-keeping API gateway, its fleet emulator and its lab."""
    log.setup(log_format)


@main.group()
def lab() -> None:
    """Sweeps and plots over experiments."""


for command in (serve.run, serve.check_config, serve.version, experiments.emulate, work.maintenance):
    main.add_command(command)
for command in (experiments.sweep, experiments.plot, experiments.processes, experiments.compare):
    lab.add_command(command)
for command in (
    measure.membership,
    measure.choices,
    measure.together,
    measure.recovery,
    measure.maintenance,
    work.plans,
    work.check_model,
):
    lab.add_command(command)
