"""The command line: `brookhub run | check-config | emulate | lab sweep | lab plot | version` (click).

Exit codes: 0 done; 1 a rule was broken in a strict emulation; 2 a configuration or start that can't be used.
"""

from __future__ import annotations

import json
import os
import sys
from importlib import resources
from pathlib import Path

import click

from .config import ConfigError, Experiment, GatewayFile, MembershipFile, PlanFile, SiteFile, load
from .program import log

DEFAULT = "limiters"  # the embedded experiment of `brookhub emulate` without a file


def experiment_of(path: str | None) -> Experiment:
    if path:
        return load(path, Experiment)
    text = resources.files("brookhub.lab").joinpath("default.toml").read_text()
    from .config import loads

    return loads(text, Experiment, "embedded default")


def refuse(broken: ConfigError) -> None:
    click.echo(f"brookhub: {broken}", err=True)
    sys.exit(2)


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


@main.command()
@click.option(
    "--config", "path", type=click.Path(dir_okay=False), help="start file, TOML or JSON (else NODE_CONFIG)"
)
def run(path: str | None) -> None:
    """Run the gateway on sockets in the foreground (as `python -m brookhub`)."""
    if path:
        os.environ["NODE_CONFIG"] = path
    from .program.run import main as serve

    sys.exit(serve())


@main.command("check-config")
@click.argument("path", type=click.Path(dir_okay=False))
@click.option(
    "--kind",
    type=click.Choice(["auto", "experiment", "gateway", "membership", "plan", "site"]),
    default="auto",
    show_default=True,
)
def check_config(path: str, kind: str) -> None:
    """Check a configuration file; one line naming key and line for the first fault, exit 2."""
    if kind == "auto":
        try:
            text = Path(path).read_text(errors="replace")
        except OSError as broken:
            refuse(ConfigError(path, "", 0, broken.strerror or str(broken)))
        kind = (
            "experiment"
            if "[fleet" in text
            else "membership"
            if "[[peers]]" in text
            else "plan"
            if "[[machines]]" in text
            else "site"
            if "[[tier]]" in text
            else "gateway"
        )
    try:
        if kind == "experiment":
            load(path, Experiment)
        elif kind == "membership":
            load(path, MembershipFile)
        elif kind == "plan":
            load(path, PlanFile)
        elif kind == "site":
            load(path, SiteFile)
        elif path.endswith(".json"):
            from .program import startfile

            startfile.read({"NODE_CONFIG": path})
        else:
            load(path, GatewayFile)
    except ConfigError as broken:
        refuse(broken)
    except Exception as broken:  # the JSON start file's own checks (StartError)
        click.echo(f"brookhub: {broken}", err=True)
        sys.exit(2)
    click.echo(f"{path}: a good {kind} file")


@main.command()
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
    from .emulator import Fleet, RuleBrokenError
    from .lab.sweep import with_value

    try:
        spec = experiment_of(experiment)
    except ConfigError as broken:
        refuse(broken)
    if duration:
        spec = with_value(spec, "duration_s", duration)
    if limiters:
        spec = with_value(spec, "fleet.limiters", limiters)
    if strict is not None:
        spec = with_value(spec, "strict", strict)
    try:
        result = Fleet(spec, seed=seed).run()
    except RuleBrokenError as broken:
        click.echo(str(broken), err=True)
        sys.exit(1)
    click.echo(json.dumps(result.metrics(), sort_keys=True))
    sys.exit(1 if result.broken and spec.strict else 0)


@main.group()
def lab() -> None:
    """Sweeps and plots over experiments."""


@lab.command()
@click.argument("experiment", type=click.Path(dir_okay=False))
@click.option("--out", type=click.Path(file_okay=False), help="results folder (default: lab/NAME)")
@click.option("--processes", type=int, help="worker processes (default: the experiment's, else one a core)")
@click.option("--limit", type=int, help="play at most so many points now; the rest on the next call")
@click.option("--plot/--no-plot", "draw", default=True)
def sweep(experiment: str, out: str | None, processes: int | None, limit: int | None, draw: bool) -> None:
    """Play the experiment's grid, resuming where results exist, then plot."""
    from .lab import plot as plotting
    from .lab import sweep as sweeping

    try:
        spec = load(experiment, Experiment)
    except ConfigError as broken:
        refuse(broken)
    folder = Path(out or f"lab/{spec.name}")
    played = sweeping.sweep(spec, folder, processes, limit)
    click.echo(f"{played} points played into {folder / sweeping.RESULTS}")
    if draw and sweeping.done(folder):
        click.echo(f"plot: {plotting.plot(folder, spec.name)}")


@lab.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@click.option("--title", default="")
@click.option("--png", type=click.Path(dir_okay=False))
def plot(folder: str, title: str, png: str | None) -> None:
    """Draw the plots of a results folder."""
    from .lab import plot as plotting

    click.echo(plotting.plot(Path(folder), title or Path(folder).name, Path(png) if png else None))


@lab.command()
@click.argument("experiment", type=click.Path(dir_okay=False))
@click.option(
    "--seed", "seeds", type=int, multiple=True, help="instead of the experiment's; may be given often"
)
@click.option(
    "--out", type=click.Path(file_okay=False), help="folder for logs and results (default: lab/NAME)"
)
def processes(experiment: str, seeds: tuple[int, ...], out: str | None) -> None:
    """Play an experiment on processes of the program over loopback, with its faults, and judge it."""
    from .lab import sweep as sweeping
    from .lab.processes import LabError, ProcessLab

    try:
        spec = load(experiment, Experiment)
    except ConfigError as broken:
        refuse(broken)
    folder, bad = Path(out or f"lab/{spec.name}-processes"), False
    folder.mkdir(parents=True, exist_ok=True)
    for seed in seeds or (spec.seed,):
        try:
            with (
                ProcessLab(spec, folder / f"seed-{seed}", seed) as played,
                click.progressbar(length=1000, label=f"seed {seed}", file=sys.stderr) as bar,
            ):
                outcome = played.play(lambda done, bar=bar: bar.update(int(done * 1000) - bar.pos))
        except LabError as met:
            click.echo(f"brookhub: {met}", err=True)
            sys.exit(2)
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
        bad = bad or bool(outcome.result.broken)
    sys.exit(1 if bad else 0)


@lab.command()
@click.argument("experiment", type=click.Path(dir_okay=False))
@click.option(
    "--seed", "seeds", type=int, multiple=True, help="instead of the experiment's; may be given often"
)
@click.option(
    "--out", type=click.Path(file_okay=False), help="folder for logs and results (default: lab/NAME-compare)"
)
def compare(experiment: str, seeds: tuple[int, ...], out: str | None) -> None:
    """Play an experiment in the emulator and on processes; exit 1 where a share is more than 5% apart."""
    from .lab.compare import compare as comparing
    from .lab.processes import LabError

    try:
        spec = load(experiment, Experiment)
    except ConfigError as broken:
        refuse(broken)
    folder = Path(out or f"lab/{spec.name}-compare")
    try:
        with click.progressbar(length=1000, label=spec.name, file=sys.stderr) as bar:
            rows = comparing(
                spec, folder, list(seeds or (spec.seed,)), lambda done: bar.update(int(done * 1000) - bar.pos)
            )
    except LabError as met:
        click.echo(f"brookhub: {met}", err=True)
        sys.exit(2)
    (folder / "compare.json").write_text(json.dumps(rows, indent=1, sort_keys=True))
    for row in rows:
        click.echo(
            f"seed {row['seed']}: "
            + ", ".join(
                f"{share} emulator {row['emulator'][share]:.3f} processes {row['processes'][share]:.3f}"
                for share in row["apart"]
            )
            + f"; p50 {row['emulator']['p50_ms']:.0f} and {row['processes']['p50_ms']:.0f} ms"
            + ("" if row["within"] else "  OVER 5%")
        )
    sys.exit(0 if all(row["within"] for row in rows) else 1)


@lab.command()
@click.option("--out", type=click.Path(file_okay=False), default="lab/membership", show_default=True)
@click.option("--seed", "seeds", type=int, multiple=True, help="may be given often (default: 1 to 6)")
@click.option(
    "--hour", type=float, default=600.0, show_default=True, help="simulated s of each long run, one a seed"
)
@click.option("--processes", type=int, help="worker processes (default: one a core)")
@click.option("--size", "sizes", type=int, multiple=True, help="members (default: 8, 40, 200, 1000)")
@click.option("--sockets", is_flag=True, help="instead on 8 processes of the program: about a minute a seed")
def membership(
    out: str,
    seeds: tuple[int, ...],
    hour: float,
    processes: int | None,
    sizes: tuple[int, ...],
    sockets: bool,
) -> None:
    """Measure membership against its baselines in the emulator: a table on standard output, a plot in the folder."""
    from .lab import membership as measuring

    folder = Path(out)
    if sockets:
        for seed in seeds or (1,):
            click.echo(json.dumps(measuring.on_processes(folder / f"seed-{seed}", seed), sort_keys=True))
        return
    with click.progressbar(length=1000, label="membership", file=sys.stderr) as bar:
        rows = measuring.measure(
            folder,
            list(seeds or range(1, 7)),
            hour,
            processes,
            sizes or measuring.SIZES,
            lambda done: bar.update(int(done * 1000) - bar.pos),
        )
    click.echo(measuring.table(rows))
    click.echo(f"plot: {measuring.plot(rows, folder / 'membership.png')}")


@lab.command()
@click.option("--out", type=click.Path(file_okay=False), default="lab/choices", show_default=True)
@click.option("--seed", "seeds", type=int, multiple=True, help="may be given often (default: 1 to 5)")
@click.option("--processes", type=int, help="worker processes (default: one a core)")
def choices(out: str, seeds: tuple[int, ...], processes: int | None) -> None:
    """Measure ways to choose servers for each limiter: balance, load, churn; a table and a plot."""
    from .lab import choices as measuring

    folder = Path(out)
    with click.progressbar(length=1000, label="choices", file=sys.stderr) as bar:
        rows = measuring.measure(
            folder,
            list(seeds or range(1, 6)),
            processes=processes,
            progress=lambda done: bar.update(int(done * 1000) - bar.pos),
        )
    click.echo(measuring.table(rows))
    click.echo(f"plot: {measuring.plot(rows, folder / 'choices.png')}")


@lab.command()
@click.option("--out", type=click.Path(file_okay=False), default="lab/together", show_default=True)
@click.option("--seed", "seeds", type=int, multiple=True, help="may be given often (default: 1 to 4)")
@click.option("--processes", type=int, help="worker processes (default: one a core)")
def together(out: str, seeds: tuple[int, ...], processes: int | None) -> None:
    """Measure signals and turns in the emulator: bad and cold servers, fairness; tables and a plot."""
    from .lab import together as measuring

    folder = Path(out)
    with click.progressbar(length=1000, label="together", file=sys.stderr) as bar:
        rows = measuring.measure(
            folder, list(seeds or range(1, 5)), processes, lambda done: bar.update(int(done * 1000) - bar.pos)
        )
    click.echo(measuring.table(rows))
    click.echo(f"plot: {measuring.plot(rows, folder / 'together.png')}")


@lab.command("recovery")
@click.option("--out", type=click.Path(file_okay=False), default="lab/recovery", show_default=True)
@click.option("--seed", "seeds", type=int, multiple=True, help="may be given often (default: 1 to 3)")
@click.option("--processes", type=int, help="worker processes (default: one a core)")
def lab_recovery(out: str, seeds: tuple[int, ...], processes: int | None) -> None:
    """A counter wiped, swapped and split in the emulator, with and without recovery; a table and a plot."""
    from .lab import recovery as measuring

    folder = Path(out)
    with click.progressbar(length=1000, label="recovery", file=sys.stderr) as bar:
        rows = measuring.measure(
            folder, list(seeds or range(1, 4)), processes, lambda done: bar.update(int(done * 1000) - bar.pos)
        )
    click.echo(measuring.table(rows))
    click.echo(f"plot: {measuring.plot(rows, folder / 'recovery.png')}")
    click.echo(f"plot: {measuring.plot_ceiling(rows, folder / 'ceiling.png')}")


@lab.command("maintenance")
@click.option("--out", type=click.Path(file_okay=False), default="lab/maintenance", show_default=True)
@click.option("--seeds", type=int, default=1000, show_default=True, help="runs with random faults")
@click.option("--processes", type=int, help="worker processes (default: one a core)")
def lab_maintenance(out: str, seeds: int, processes: int | None) -> None:
    """Plans of work on 200 emulated limiters under random faults, against a timetable and no agreement; tables and a plot."""
    from .lab import maintenance as measuring

    folder = Path(out)
    with click.progressbar(length=1000, label="maintenance", file=sys.stderr) as bar:
        rows = measuring.measure(
            folder, seeds, processes, lambda done: bar.update(int(done * 1000) - bar.pos)
        )
    click.echo(measuring.table(rows))
    click.echo(f"plot: {measuring.plot(rows, folder / 'maintenance.png')}")


@lab.command()
@click.option("--out", type=click.Path(file_okay=False), default="lab/plans", show_default=True)
@click.option("--scenario", "scenarios", multiple=True, help="may be given often (default: all)")
@click.option(
    "--most",
    "mosts",
    type=int,
    multiple=True,
    help="machines out at once; may be given often (default: 1 and 2)",
)
@click.option("--seed", type=int, default=1, show_default=True)
def plans(out: str, scenarios: tuple[str, ...], mosts: tuple[int, ...], seed: int) -> None:
    """Plans of work on eight processes, a fault at each step; a line a run, exit 1 where anything broke (about 40 s each)."""
    from .lab import plans as playing
    from .lab.processes import LabError

    bad = False
    unknown = [one for one in scenarios if one not in playing.SCENARIOS]
    if unknown:
        click.echo(
            f"brookhub: no scenario {unknown[0]!r}; there are: {', '.join(playing.SCENARIOS)}", err=True
        )
        sys.exit(2)
    for number, scenario in enumerate(scenarios or playing.SCENARIOS):
        for most in mosts or (1, 2):
            try:
                row = playing.play(scenario, most, Path(out) / f"{number}-{most}", seed)
            except LabError as met:
                click.echo(f"brookhub: {met}", err=True)
                sys.exit(2)
            click.echo(json.dumps(row, sort_keys=True))
            bad = bad or bool(row["broken"]) or not row["kept"] or not row["ended"]
    sys.exit(1 if bad else 0)


@lab.command("check")
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
    """Check the maintenance core over its states: faults at every step, up to so many; exit 1 with the trail where it breaks."""
    from .checker import PLANTED, Model, Register, search

    model = Model(
        voters,
        most,
        machines=1 + most,
        joins=joins,
        rounds=not messages,
        register=PLANTED.get(planted, Register),
    )
    found = search(model, deviations, depth, seconds=seconds, states=50_000_000)
    click.echo(
        f"{found.states} states, {found.deviations} deviations, depth {found.depth}, {found.seconds:.0f} s, "
        f"{'all within the bounds' if found.complete else 'cut off by the time'}"
    )
    if found.broken:
        click.echo(f"broken: {found.broken}")
        for number, action in enumerate(found.trail):
            click.echo(f"{number:4} {' '.join(map(str, action))}")
        sys.exit(1)
    held = [model.ends(state) for state in found.ends[:50]]
    click.echo(f"from {held.count('')} of {len(held)} states, faults over, the plan came to its end")
    sys.exit(0 if held.count("") == len(held) else 1)


@main.group()
def maintenance() -> None:
    """Plans of work on machines: check one, see its order, see from the logs how far it is."""


def plan_of(path: str):
    from .program import startfile

    try:
        load(path, PlanFile)
    except ConfigError as broken:
        refuse(broken)
    start = type("Named", (), {"maintenance": path})
    return startfile.plan(start)


@maintenance.command()
@click.argument("path", type=click.Path(dir_okay=False))
def check(path: str) -> None:
    """Check a plan; prints its version and digest, or one line on its first fault (exit 2)."""
    plan = plan_of(path)
    click.echo(
        f"{path}: a good plan, version {plan.version}, digest {plan.digest()}, {len(plan.machines)} machines, "
        f"{plan.most_out} out at once, a majority of {len(plan.voters)} voters permits"
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
def plan_(path: str, work: float) -> None:
    """The order in which a plan takes its machines out, without load or failures, and the least time that it needs."""
    from .maintenance import order

    plan = plan_of(path)
    for number, one in enumerate(order(plan, {}, frozenset()), 1):
        on = ", ".join([*one.servers, *([f"limiter {one.limiter}"] if one.limiter else [])])
        click.echo(f"{number:3} {one.name}  zone {one.zone or '-'}  capacity {one.capacity:g}  {on}")
    rounds = -(-len(plan.machines) // plan.most_out)
    click.echo(f"at least {rounds * (work + plan.fill_s):.0f} s with {work:.0f} s of work on each")


@maintenance.command()
@click.argument("logs", type=click.Path(dir_okay=False, exists=True), nargs=-1, required=True)
def status(logs: tuple[str, ...]) -> None:
    """How far a plan is, from the logs of one limiter or more (JSON lines): machines, steward, why it is halted."""
    from .lab.maintenance import read_status

    click.echo(read_status([Path(one) for one in logs]))


@main.command()
def version() -> None:
    """The program's version."""
    from importlib.metadata import PackageNotFoundError
    from importlib.metadata import version as installed

    try:
        click.echo(installed("brookhub"))
    except PackageNotFoundError:
        click.echo("brookhub (not installed)")
