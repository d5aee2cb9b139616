"""Commands for maintenance plans: `brookhub maintenance check | plan | status`."""

from __future__ import annotations

from collections.abc import Iterable
from math import ceil
from pathlib import Path

import click

from ..config import PlanFile
from ..maintenance import Plan
from .common import load_or_exit


def load_plan(path: str) -> Plan:
    """Read a maintenance plan. Exits with EXIT_UNUSABLE if the file is invalid."""
    from ..program.start_file import read_plan

    load_or_exit(path, PlanFile)
    return read_plan(Path(path))


@click.group()
def maintenance() -> None:
    """Check a maintenance plan, show the order of its machines, or show its progress."""


@maintenance.command()
@click.argument("path", type=click.Path(dir_okay=False))
def check(path: str) -> None:
    """Check a plan. Prints its version and digest, or one line about its first error (exit 2)."""
    plan = load_plan(path)
    click.echo(
        f"{path}: a good plan, version {plan.version}, digest {plan.digest()}, {len(plan.machines)} "
        f"machines, {plan.max_out} out at once, a majority of {len(plan.voters)} voters permits"
    )


@maintenance.command("plan")
@click.argument("path", type=click.Path(dir_okay=False))
@click.option(
    "--work",
    type=float,
    default=600.0,
    show_default=True,
    help="duration of the work on each machine (s), for the total",
)
def show_order(path: str, work: float) -> None:
    """Print the order in which a plan takes machines out if nothing fails, and its minimum duration."""
    from ..maintenance import maintenance_order

    plan = load_plan(path)
    for number, machine in enumerate(maintenance_order(plan, {}, frozenset()), 1):
        components = list(machine.servers)
        if machine.limiter:
            components.append(f"limiter {machine.limiter}")
        click.echo(
            f"{number:3} {machine.name}  zone {machine.zone or '-'}  capacity {machine.capacity:g}  "
            f"{', '.join(components)}"
        )
    rounds = ceil(len(plan.machines) / plan.max_out)
    click.echo(f"at least {rounds * (work + plan.warm_up_s):.0f} s with {work:.0f} s of work on each")


@maintenance.command()
@click.argument("logs", type=click.Path(dir_okay=False, exists=True), nargs=-1, required=True)
def status(logs: Iterable[str]) -> None:
    """Print a plan's progress from limiters' logs (JSON lines): machines, leader, reason for a halt."""
    from ..experiments.maintenance_status import read_status

    click.echo(read_status([Path(log) for log in logs]))
