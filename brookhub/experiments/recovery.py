"""Measures a counter that is lost, split or replaced.

Units over each customer's quota and ceiling, and s until counts agree again.

In the emulator, with and without recovery in one run; one row a job (JSON lines), a folder half played goes
on where it stopped. "over": the most units that a customer got in any span beyond burst + rate x span, in
bursts; the same for the ceiling. docs/counter-recovery.md reads the plot and the table.
"""

from __future__ import annotations

from collections.abc import Callable
from importlib import resources
from pathlib import Path
from typing import Any

from ..config import Experiment, loads
from ..emulator import Fleet
from ..emulator.customers import EmulatedCustomer
from .canvas import panels, save_figure
from .jobs import keyed, play_all

RESULTS = "recovery.jsonl"
AT, AFTER = 12.0, 10.0  # s: when the counter is hurt, and the run goes on after that
LOAD = 1.5  # times the plans' calls: above every quota, so that whatever is granted too much is used
REPEAT_SHARE = 0.1  # of those refused that ask again
LOOK = 0.05  # s between looks at whether counts agree
KINDS = ("none", "wipe", "lose", "swap", "split")
LIMITERS, LENGTHS = (4, 40, 200), (4.0, 12.0)
# The plans of the default experiment; with a soft plan under a hard ceiling beside them
SETS = "quotas", "national"
# Customers of a soft plan who ask for three times their quota and two and a half times their ceiling, and
# borrow what they get beyond the quota: what holds them is the ceiling alone.
NATIONAL = {
    "name": "national",
    "rate": 20.0,
    "burst": 40.0,
    "ceiling_rate": 24.0,
    "ceiling_burst": 48.0,
    "value": 1.0,
    "beyond_value": 0.5,
    "beyond_cost": 0.1,
    "customers": 8,
    "calls_per_s": 40.0,
}


def jobs(seeds: list[int]) -> list[dict]:
    """All runs to be played."""
    made = []
    for seed in seeds:
        for way in ("off", "on"):
            for limiters in LIMITERS:
                for kind in KINDS:
                    made += [
                        {"kind": kind, "way": way, "limiters": limiters, "for_s": for_s, "seed": seed}
                        | ({"plans": plans} if plans != SETS[0] else {})
                        for plans in SETS
                        for for_s in (LENGTHS if kind in ("swap", "split") else (0.0,))
                    ]
    return sorted(keyed(made), key=lambda job: -job["limiters"] * (20 + job["for_s"]))


def bound(rate: float, burst: float, kind: str, asked: float, beat: float, wait: float) -> float:
    """The stated bound of what a customer may get over its quota or its ceiling in any span, in units.

    `rate`: units a second, `asked`: units a second that the customer asks for; times in s; a split is one in parts that
    are larger than `missing_most` (docs/counter-recovery.md).
    """
    gap = beat + 3 * wait  # until the last limiter knows: a beat, the register, a claim, a token
    change = min(burst, asked * gap)  # what a window's count held is not seen meanwhile
    changes = {"none": 0, "wipe": 1, "lose": 1, "swap": 2, "split": 2}[kind]
    # Until a whole beat's roll lacks the other side
    sides = rate * (4 * beat + wait) if kind == "split" else 0.0
    return changes * change + sides


class Debt:
    """The most that came in any span beyond burst + rate x span: a store that may go below nothing."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.at, self.worst = rate, burst, burst, 0.0, 0.0

    def take(self, now: float, units: float) -> None:
        """So many units were served."""
        self.level = min(self.burst, self.level + (now - self.at) * self.rate) - units
        self.at, self.worst = now, max(self.worst, -self.level)


def agree(fleet: Fleet) -> bool:
    """Whether the keeper that all see holds, for each name of a window that runs, what the living limiters added."""
    keeper, sums = fleet.counter.instances[0], {}
    limiters = [limiter for limiter in fleet.limiters if limiter.is_alive]
    epochs = {limiter.recovery.epochs.epoch for limiter in limiters}
    if (
        len(fleet.counter.instances) > 1
        or len(epochs) > 1
        or not all(limiter.recovery.is_reconciled() for limiter in limiters)
    ):
        return False
    now, running = fleet.engine.now, set()
    for limiter in limiters:
        for name, entry in limiter.recovery.ledger.entries.items():
            sums[name] = sums.get(name, 0.0) + entry.units
            if entry.units and entry.expires_at - now > 2 / 3 * entry.lifetime:  # of three windows' life
                running.add(name)
    found = limiters[0].recovery.epochs
    return all(abs(keeper.total(found.count_name(name)) - sums[name]) < 1e-3 for name in running)


ACTIONS = {
    "none": (),
    "wipe": ("counter_wipe",),
    "lose": ("counter_lose",),
    "swap": ("counter_swap",),
    "split": ("counter_split",),
}  # the faults of each kind of run


def experiment_of(job: dict) -> Experiment:
    """The embedded experiment as a job changes it."""
    text = resources.files("brookhub.experiments").joinpath("default.toml").read_text()
    raw = loads(text, Experiment, "default").model_dump()
    raw["sweep"], raw["duration_s"] = {}, AT + job["for_s"] + AFTER
    raw["load"].update(scale=LOAD, repeat_share=REPEAT_SHARE)
    fleet = raw["fleet"]
    fleet["limiters"] = job["limiters"]
    if job.get("plans") == "national":
        fleet["plans"].append(dict(NATIONAL))
    for plan in fleet["plans"]:
        plan["customers"] = max(1, plan["customers"] // job.get("few", 1))
    if job.get("tokened"):
        fleet["routes"][1].update(repeat="tokened", group="zone", window_s=30.0)
    fleet["servers"].update(count=60, places=16)
    fleet["counter"].update(recovery=job["way"] == "on")
    raw["faults"] = [
        {"at_s": AT, "action": action, "share": 0.5, "for_s": job["for_s"]} for action in ACTIONS[job["kind"]]
    ]
    return Experiment.model_validate(raw)


class Watch:
    """What is watched on a run: use beyond quotas and ceilings, repeats of tokened requests, agreement."""

    def __init__(self, fleet: Fleet, job: dict) -> None:
        self.fleet, self.job = fleet, job
        self.over: dict[int, Debt] = {}  # customer -> use beyond its quota
        self.ceiling: dict[int, Debt] = {}
        self.agreed_at: float | None = None  # s after the fault
        self.ran: dict[int, set[int]] = {}  # token -> calls with it that reached a server
        self.sides: dict[int, set[int]] = {}  # token -> sides of the counter that it was asked on
        for customer in fleet.customers:
            self.watch_customer(customer)
        if job.get("tokened"):
            self.watch_tokens()
        if job["way"] == "on":
            fleet.engine.call_at(AT + job["for_s"] + LOOK, self.look)

    def watch_customer(self, customer: EmulatedCustomer) -> None:
        """Book what it is served as a debt."""
        plan, before = customer.plan, customer.record_served
        if not plan.is_soft:  # a soft plan's loans go beyond its quota
            self.over[customer.id] = Debt(plan.rate, plan.burst)
        if plan.ceiling_rate:
            self.ceiling[customer.id] = Debt(plan.ceiling_rate, plan.ceiling_burst)
        debts = [held[customer.id] for held in (self.over, self.ceiling) if customer.id in held]

        def served(now: float, units: float) -> None:
            before(now, units)
            for debt in debts:
                debt.take(now, units)

        customer.record_served = served

    def watch_tokens(self) -> None:
        """Note which requests of a token ran, and on which sides of the counter they came."""
        fleet, take, note = self.fleet, self.fleet.servers.receive, self.fleet.checker.record

        def taken(one, limiter) -> None:
            self.ran.setdefault(one.request.token, set()).add(one.request.id)
            take(one, limiter)

        def noted(what, *facts) -> None:
            note(what, *facts)
            if what == "arrive":
                token = fleet.limiters[facts[0]].requests[facts[1]].token
                self.sides.setdefault(token, set()).add(facts[0] % len(fleet.counter.instances))

        fleet.servers.receive, fleet.checker.record = taken, noted

    def look(self) -> None:
        """Look until all agree again."""
        if agree(self.fleet):
            self.agreed_at = self.fleet.engine.now - AT - self.job["for_s"]
        else:
            self.fleet.engine.call_later(LOOK, self.look)

    def bounds(self, held: dict[int, Debt]) -> dict[int, float]:
        """The stated bound (units) of each of these customers."""
        counter = self.fleet.experiment.fleet.counter
        customers = {one.id: one for one in self.fleet.customers}
        return {
            ident: bound(
                debt.rate,
                debt.burst,
                self.job["kind"],
                customers[ident].requests_per_s * (1 + REPEAT_SHARE),
                counter.beat_s,
                counter.wait_s,
            )
            for ident, debt in held.items()
        }


def share_of_bound(held: dict[int, Debt], bounds: dict[int, float]) -> float:
    """The worst use beyond, as a share of what the bound allows."""
    return max((debt.worst / bounds[ident] for ident, debt in held.items() if bounds[ident]), default=0.0)


def play(job: dict) -> dict:
    """One row.

    `plans`: of SETS; `few`: the plans' customers are divided by it; `tokened`: the second route is (tests).
    """
    experiment = experiment_of(job)
    fleet = Fleet(experiment, seed=job["seed"], keep_trail=False)
    watch = Watch(fleet, job)
    metrics = fleet.run().metrics()
    bounds = watch.bounds(watch.over)
    worst = [debt.worst / debt.burst for debt in watch.over.values()]
    soft = [one for one in fleet.customers if one.id not in watch.over]
    of_ceiling = [one.served_units / (one.plan.ceiling_rate * experiment.duration_s) for one in soft]
    return job | {
        "over": max(worst),
        "over_mean": sum(worst) / len(worst),
        "bound": max(bounds[ident] / debt.burst for ident, debt in watch.over.items()),
        "of_bound": share_of_bound(watch.over, bounds),
        "ceiling_over": max(debt.worst / debt.burst for debt in watch.ceiling.values()),
        "ceiling_of_bound": share_of_bound(watch.ceiling, watch.bounds(watch.ceiling)),
        "of_ceiling": sum(of_ceiling) / max(1, len(soft)),
        "served": metrics["served_share"],
        "broken": metrics["broken"],
        "agreed_s": watch.agreed_at,
        "epochs": len({entry.fields["epoch"] for entry in fleet.recovery_log if "epoch" in entry.fields}),
        "twice": sum(len(calls) > 1 for calls in watch.ran.values()),
        "both_sides": sum(len(them) > 1 for them in watch.sides.values()),
        "resent": sum(
            limiter.recovery.replay.replayed_counts for limiter in fleet.limiters if limiter.recovery
        ),
        "counter_calls": fleet.counter.calls,
    }


def measure(
    out: Path,
    seeds: list[int],
    processes: int | None = None,
    progress: Callable[[float], None] = lambda done: None,
) -> list[dict]:
    """Play what is not yet in `out`; returns all rows."""
    return play_all(out / RESULTS, jobs(seeds), play, processes, progress)


def groups(rows: list[dict], plans: str = SETS[0]) -> dict[tuple, list[dict]]:
    """Rows by kind of fault, its length, limiters and way."""
    found: dict[tuple, list[dict]] = {}
    for row in sorted(
        rows, key=lambda row: (KINDS.index(row["kind"]), row["for_s"], row["limiters"], row["way"])
    ):
        if row.get("plans", SETS[0]) == plans:
            found.setdefault((row["kind"], row["for_s"], row["limiters"], row["way"]), []).append(row)
    return found


def mean(own: list[dict], key: str) -> float:
    """The mean of a figure."""
    return sum(row[key] for row in own) / len(own)


def table(rows: list[dict]) -> str:
    """Markdown: the worst customer of the worst seed, means elsewhere; over in bursts."""
    lines = [
        "| fault | for, s | limiters | recovery | over, worst customer (mean of all) | of the bound | served | counts agree after, s (worst) | epochs | calls to the counter |",
        "| --- " * 10 + "|",
    ]
    for (kind, for_s, limiters, way), own in groups(rows).items():
        agreed = [row["agreed_s"] for row in own]
        when = (
            "-"
            if way == "off"
            else "not"
            if None in agreed
            else f"{sum(agreed) / len(own):.1f} ({max(agreed):.1f})"
        )
        lines.append(
            f"| {kind} | {for_s:g} | {limiters} | {way} | {max(row['over'] for row in own):.2f} ({mean(own, 'over_mean'):.3f}) | "
            f"{max(row['of_bound'] for row in own):.2f} | {mean(own, 'served'):.3f} | "
            f"{when} | {max(row['epochs'] for row in own)} | {mean(own, 'counter_calls'):.0f} |"
        )
    lines += [
        "",
        "| fault | for, s | limiters | recovery | over a ceiling, worst customer, ceiling's bursts | of the bound | of the ceiling's rate, used by soft plans "
        "| over a quota, worst hard customer | of the bound |",
        "| --- " * 9 + "|",
    ]
    for (kind, for_s, limiters, way), own in groups(rows, "national").items():
        lines.append(
            f"| {kind} | {for_s:g} | {limiters} | {way} | {max(row['ceiling_over'] for row in own):.2f} | "
            f"{max(row['ceiling_of_bound'] for row in own):.2f} | {mean(own, 'of_ceiling'):.2f} | {max(row['over'] for row in own):.2f} | "
            f"{max(row['of_bound'] for row in own):.2f} |"
        )
    return "\n".join(lines)


def set_titles(axes: Any, titles: tuple[str, ...]) -> None:
    """Titles, scales and legend of a plot's panels; the second has a line at the bound."""
    for axis, title in zip(axes, titles, strict=False):
        axis.set_xscale("log")
        axis.set_xlabel("limiters")
        axis.set_title(title, fontsize=9)
        axis.grid(alpha=0.3)
    axes[1].axhline(1.0, color="red", lw=0.8)
    axes[0].legend(fontsize=7)


def plot(rows: list[dict], png: Path) -> Path:
    """Worst overshoot against limiters by fault, with and without recovery; s until counts agree."""
    figure, axes = panels(3, (15, 4.5))
    for number, (kind, for_s) in enumerate(sorted({key[:2] for key in groups(rows)}, key=str)):
        label = f"{kind} {for_s:g} s" if for_s else kind
        for way, style in (("off", "--o"), ("on", "-o")):
            own = {
                key[2]: rows_
                for key, rows_ in groups(rows).items()
                if key[:2] == (kind, for_s) and key[3] == way
            }
            axes[0].plot(
                list(own),
                [max(row["over"] for row in them) for them in own.values()],
                style,
                color=f"C{number}",
                label=label if way == "on" else None,
            )
            if way == "on":
                axes[1].plot(
                    list(own),
                    [max(row["of_bound"] for row in them) for them in own.values()],
                    style,
                    color=f"C{number}",
                    label=label,
                )
                axes[2].plot(
                    list(own),
                    [max(row["agreed_s"] or float("nan") for row in them) for them in own.values()],
                    style,
                    color=f"C{number}",
                )
    titles = (
        "over a quota, bursts, worst customer (dashed: no recovery)",
        "the same, as a share of the stated bound",
        "s until counts agree again, worst",
    )
    set_titles(axes, titles)
    return save_figure(figure, png)


def plot_ceiling(rows: list[dict], png: Path) -> Path:
    """Units over a hard ceiling, worst customer of the soft plan, against limiters by fault.

    Part of the ceiling that was used.
    """
    figure, axes = panels(2, (11, 4.5))
    found = groups(rows, "national")
    for number, (kind, for_s) in enumerate(sorted({key[:2] for key in found}, key=str)):
        for way, style in (("off", "--o"), ("on", "-o")):
            own = {key[2]: them for key, them in found.items() if key[:2] == (kind, for_s) and key[3] == way}
            label = (f"{kind} {for_s:g} s" if for_s else kind) if way == "on" else None
            axes[0].plot(
                list(own),
                [max(row["ceiling_over"] for row in them) for them in own.values()],
                style,
                color=f"C{number}",
                label=label,
            )
            axes[1].plot(
                list(own), [mean(them, "of_ceiling") for them in own.values()], style, color=f"C{number}"
            )
    titles = (
        "over a hard ceiling, ceiling's bursts, worst customer (dashed: no recovery)",
        "used of the ceiling's rate, mean",
    )
    set_titles(axes, titles)
    return save_figure(figure, png)
