"""`brookhub maintenance check | plan | status` and `brookhub lab plans | check`: work on machines."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from ..config import PlanFile
from ..maintenance import Plan
from .common import BROKEN, load_or_refuse, out_option, refuse

STATES_MOST = 50_000_000  # states that a search holds: more than this machine's memory has room for
ENDS_LOOKED_AT = 50  # ends of a search from which the plan is run on to its end


def plan_of(path: str) -> Plan:
    """The plan of a file; ends the program where it can't be used."""
    from ..program.start_file import read_plan

    load_or_refuse(path, PlanFile)
    return read_plan(Path(path))


@click.group()
def maintenance() -> None:
    """Plans of work on machines: check one, see its order, see from the logs how far it is."""


@maintenance.command()
@click.argument("path", type=click.Path(dir_okay=False))
def check(path: str) -> None:
    """Check a plan; prints its version and digest, or one line on its first fault (exit 2)."""
    plan = plan_of(path)
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
    help="s that work on a machine takes, for the time in all",
)
def show_order(path: str, work: float) -> None:
    """The order in which a plan takes its machines out, without failures, and the least time for it."""
    from ..maintenance import maintenance_order

    plan = plan_of(path)
    for number, one in enumerate(maintenance_order(plan, {}, frozenset()), 1):
        on = ", ".join([*one.servers, *([f"limiter {one.limiter}"] if one.limiter else [])])
        click.echo(f"{number:3} {one.name}  zone {one.zone or '-'}  capacity {one.capacity:g}  {on}")
    rounds = -(-len(plan.machines) // plan.max_out)
    click.echo(f"at least {rounds * (work + plan.warm_up_s):.0f} s with {work:.0f} s of work on each")


@maintenance.command()
@click.argument("logs", type=click.Path(dir_okay=False, exists=True), nargs=-1, required=True)
def status(logs: tuple[str, ...]) -> None:
    """How far a plan is, from limiters' logs (JSON lines): machines, leader, why it is halted."""
    from ..experiments.maintenance import read_status

    click.echo(read_status([Path(one) for one in logs]))


@click.command()
@out_option("lab/plans")
@click.option("--scenario", "scenarios", multiple=True, help="may be given often (default: all)")
@click.option(
    "--most",
    "mosts",
    type=int,
    multiple=True,
    help="machines out at once; may be given often (default: 1 and 2)",
)
@click.option("--seed", type=int, default=1, show_default=True)
def plans(out: Path, scenarios: tuple[str, ...], mosts: tuple[int, ...], seed: int) -> None:
    """Plans of work on eight processes, a fault at each step; a line a run, exit 1 where anything broke."""
    from ..experiments import plans as playing
    from ..experiments.errors import LabError

    any_broken = False
    unknown = [one for one in scenarios if one not in playing.SCENARIOS]
    if unknown:
        refuse(f"no scenario {unknown[0]!r}; there are: {', '.join(playing.SCENARIOS)}")
    for number, scenario in enumerate(scenarios or playing.SCENARIOS):
        for most in mosts or (1, 2):
            try:
                row = playing.play(scenario, most, out / f"{number}-{most}", seed)
            except LabError as met:
                refuse(met)
            click.echo(json.dumps(row, sort_keys=True))
            any_broken = any_broken or bool(row["broken"]) or not row["kept"] or not row["ended"]
    sys.exit(BROKEN if any_broken else 0)


@click.command("check")
@click.option("--voters", type=int, default=3, show_default=True)
@click.option("--most", type=int, default=1, show_default=True, help="machines out at once")
@click.option("--joins/--no-joins", default=False, help="the last voter joins while the plan runs")
@click.option(
    "--deviations", type=int, default=2, show_default=True, help="faults and delays on one trail at the most"
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
    most: int,
    joins: bool,
    deviations: int,
    depth: int,
    seconds: float,
    messages: bool,
    planted: str,
) -> None:
    """Check the maintenance core over its states, faults at every step; exit 1 with the trail of a break."""
    from ..model_checker import PLANTED, Model, ModelSettings, SearchLimits, search, sound_roles

    settings = ModelSettings(
        voters,
        most,
        machines=1 + most,
        last_voter_joins=joins,
        rounds=not messages,
        roles=PLANTED.get(planted, sound_roles),
    )
    model = Model(settings)
    found = search(model, SearchLimits(deviations, depth, states=STATES_MOST, seconds=seconds))
    click.echo(
        f"{found.states} states, {found.deviations} deviations, depth {found.depth}, {found.seconds:.0f} s, "
        f"{'all within the bounds' if found.complete else 'cut off by the time'}"
    )
    if found.violation is not None:
        click.echo(f"broken: {found.violation}")
        for number, action in enumerate(found.trail):
            click.echo(f"{number:4} {action}")
        sys.exit(BROKEN)
    obstacles = [model.obstacle_to_end(state) for state in found.samples[:ENDS_LOOKED_AT]]
    ended = obstacles.count(None)
    click.echo(f"from {ended} of {len(obstacles)} states, faults over, the plan came to its end")
    sys.exit(0 if ended == len(obstacles) else BROKEN)
