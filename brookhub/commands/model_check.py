"""`brookhub experiments check`: the model checker on the maintenance core."""

from __future__ import annotations

import sys
from collections.abc import Iterable

import click

from .common import EXIT_FAILED

MAX_STATES = 50_000_000  # states that a search may keep, so that it stays within this machine's memory
MAX_CHECKED_ENDS = 50  # end states of a search from which the plan is run to its completion


@click.command("check")
@click.option("--voters", type=int, default=3, show_default=True)
@click.option("--most", "max_out", type=int, default=1, show_default=True, help="machines out at once")
@click.option("--joins/--no-joins", default=False, help="the last voter joins while the plan runs")
@click.option(
    "--deviations", type=int, default=2, show_default=True, help="maximum of faults and delays on a trail"
)
@click.option("--depth", type=int, default=40, show_default=True)
@click.option("--seconds", type=float, default=120.0, show_default=True)
@click.option("--messages", is_flag=True, help="message by message instead of in rounds")
@click.option(
    "--planted",
    type=click.Choice(["none", "counted votes", "no look at the lease", "no abstaining"]),
    default="none",
)
def check_model(
    voters: int,
    max_out: int,
    joins: bool,
    deviations: int,
    depth: int,
    seconds: float,
    messages: bool,
    planted: str,
) -> None:
    """Check the maintenance core over its states with faults at every step; exit 1 with a broken trail."""
    from ..model_checker import PLANTED, Model, Register, search

    register = PLANTED.get(planted, Register)
    model = Model(voters, max_out, machines=1 + max_out, joins=joins, rounds=not messages, register=register)
    found = search(model, deviations, depth, seconds=seconds, states=MAX_STATES)
    coverage = "all within the bounds" if found.complete else "cut off by the time"
    click.echo(
        f"{found.states} states, {found.deviations} deviations, depth {found.depth}, {found.seconds:.0f} s, "
        f"{coverage}"
    )
    if found.broken:
        print_trail(found.broken, found.trail)
        sys.exit(EXIT_FAILED)
    faults = [model.ends(state) for state in found.ends[:MAX_CHECKED_ENDS]]  # empty where the plan completed
    completed = faults.count("")
    click.echo(f"from {completed} of {len(faults)} states, faults over, the plan came to its end")
    sys.exit(0 if completed == len(faults) else EXIT_FAILED)


def print_trail(broken: str, trail: Iterable[tuple[object, ...]]) -> None:
    """Print a broken invariant and the numbered actions that lead to it."""
    click.echo(f"broken: {broken}")
    for number, action in enumerate(trail):
        click.echo(f"{number:4} {' '.join(map(str, action))}")
