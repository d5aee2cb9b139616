"""The command `brookhub experiments check`, which runs the model checker on the maintenance core."""

from __future__ import annotations

import sys

import click

from .common import EXIT_FAILED

MAX_STATES = 50_000_000  # Maximum states that a search keeps, to limit its memory.
MAX_CHECKED_ENDS = 50  # Maximum end states of a search from which the plan is run to its completion.


@click.command("check")
@click.option("--voters", type=int, default=3, show_default=True)
@click.option(
    "--most", "max_out", type=int, default=1, show_default=True, help="maximum number of machines out at once"
)
@click.option("--joins/--no-joins", default=False, help="whether the last voter joins while the plan runs")
@click.option(
    "--deviations",
    type=int,
    default=2,
    show_default=True,
    help="maximum number of faults and delays on a trail",
)
@click.option("--depth", type=int, default=40, show_default=True)
@click.option("--seconds", type=float, default=120.0, show_default=True)
@click.option("--messages", is_flag=True, help="deliver messages one by one instead of in rounds")
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
    """Check the maintenance core in all reachable states, with faults at every step.

    Exits with 1 and prints the trail if an invariant is broken.
    """
    from ..model_checker import PLANTED, Model, ModelSettings, SearchLimits, search, sound_roles

    settings = ModelSettings(
        voters,
        max_out,
        machines=1 + max_out,
        last_voter_joins=joins,
        rounds=not messages,
        roles=PLANTED.get(planted, sound_roles),
    )
    model = Model(settings)
    result = search(model, SearchLimits(deviations, depth, states=MAX_STATES, seconds=seconds))
    coverage = "all within the bounds" if result.complete else "cut off by the time"
    click.echo(
        f"{result.states} states, {result.deviations} deviations, depth {result.depth}, "
        f"{result.seconds:.0f} s, {coverage}"
    )
    if result.violation is not None:
        click.echo(f"broken: {result.violation}")
        for number, action in enumerate(result.trail):
            click.echo(f"{number:4} {action}")
        sys.exit(EXIT_FAILED)
    obstacles = [model.liveness_violation(state) for state in result.samples[:MAX_CHECKED_ENDS]]
    completed = obstacles.count(None)
    click.echo(f"from {completed} of {len(obstacles)} states, faults over, the plan came to its end")
    sys.exit(0 if completed == len(obstacles) else EXIT_FAILED)
