"""Measures membership in the emulator: deaths known, false deaths, cost, agreement after a split.

And draws it.

One row a job (JSON lines): {"key", "what", "members", "protocol", "seed", ...figures}. A folder half played
goes on where it stopped. Times s (simulated), bytes with UDP and IP heads. docs/membership.md reads the
plots.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Callable

from ..emulator.peers import Crew
from .canvas import panels, save_figure
from .jobs import play_all

RESULTS = "membership.jsonl"
SIZES = (8, 40, 200, 1000)
STALLED, STALL, RUNS = 0.1, 5.0, 15.0  # share of members that stop now and then, s they stop, mean s between
KILLS = 3  # deaths in a run, one after another
HEARTBEAT_MOST = 200  # members up to which all-to-all heartbeats are played: they grow with the square


def jobs(seeds: list[int], hour: float, sizes=SIZES) -> list[dict]:
    """The whole matrix. `hour`: simulated s of each long run (false deaths), one a seed."""
    made = []
    for members in sizes:
        for protocol in ("lifeguard", "swim", "heartbeat"):
            if protocol == "heartbeat" and members > HEARTBEAT_MOST:
                continue
            beats = protocol == "heartbeat" and members > 40
            made.append(
                {
                    "what": "quiet",
                    "members": members,
                    "protocol": protocol,
                    "seed": seeds[0],
                    "seconds": 4.0 if beats else 30.0 if members <= 200 else 10.0,
                }
            )
            for seed in seeds[:1] if beats or members > 200 else seeds:
                made.append({"what": "death", "members": members, "protocol": protocol, "seed": seed})
            for seed in seeds[:1] if members > 200 else seeds:
                if protocol != "heartbeat":
                    made.append({"what": "heal", "members": members, "protocol": protocol, "seed": seed})
    large = max(size for size in sizes if size <= 200)
    for seed in seeds:
        for protocol in ("lifeguard", "swim", "heartbeat"):
            if protocol != "heartbeat" or seed == seeds[0]:
                short = 10.0 if protocol == "heartbeat" else hour
                made.append(
                    {"what": "loss", "members": large, "protocol": protocol, "seed": seed, "seconds": short}
                )
                made.append(
                    {
                        "what": "stalls",
                        "members": large,
                        "protocol": protocol,
                        "seed": seed,
                        "seconds": 30.0 if protocol == "heartbeat" else hour,
                    }
                )
    for job in made:
        job["key"] = json.dumps(job, sort_keys=True)
    return sorted(made, key=lambda job: -job["members"] * job.get("seconds", 10.0))  # the longest first


def play(job: dict) -> dict:
    """One job's row; the names of the figures are those that `plot` and the tables read."""
    crew, members = Crew(job["members"], job["seed"], job["protocol"]), job["members"]
    return job | {"quiet": quiet, "death": death, "heal": heal, "loss": loss, "stalls": stalls}[job["what"]](
        crew, job, members
    )


def rate(crew: Crew, members: int, seconds: float, before: tuple[int, int] = (0, 0)) -> dict:
    """Datagrams and bytes that a member sends a second."""
    datagrams, size = crew.sent()
    return {
        "datagrams_per_s": (datagrams - before[0]) / members / seconds,
        "bytes_per_s": (size - before[1]) / members / seconds,
    }


def quiet(crew: Crew, job: dict, members: int) -> dict:
    """What a member sends while nothing happens."""
    crew.run(1.0)
    before = crew.sent()
    crew.run(job["seconds"])
    return rate(crew, members, job["seconds"], before)


def death(crew: Crew, job: dict, members: int) -> dict:
    """When a death is known, by half and by all."""
    crew.run(3.0)
    half, everyone, unknown = [], [], 0
    for _number in range(1 if members > 40 and job["protocol"] == "heartbeat" else KILLS):
        victim = crew.rng.choice([name for name, seat in crew.seats.items() if seat.alive])
        crew.deaths.clear()
        crew.seats[victim].kill()
        began = crew.engine.now
        crew.run(6.0)
        living = sum(seat.alive for seat in crew.seats.values())
        times = sorted(at - began for at in crew.deaths.get(victim, {}).values())
        if len(times) == living:
            half.append(times[len(times) // 2])
            everyone.append(times[-1])
        else:
            unknown += 1
    return {"half_s": half, "all_s": everyone, "unknown": unknown, "false": crew.false}


def heal(crew: Crew, job: dict, members: int) -> dict:
    """When all agree after a split."""
    crew.run(3.0)
    side = set(crew.names[: members // 2])
    crew.net.apart = lambda a, b: (a in side) != (b in side)
    crew.run(20.0)
    crew.net.apart = None
    began, before = crew.engine.now, crew.sent()
    while not crew.agree() and crew.engine.now - began < 30.0:
        crew.run(0.1)
    return {
        "agree_s": crew.engine.now - began,
        "agreed": crew.agree(),
        "bytes_to_agree": (crew.sent()[1] - before[1]) / members,
    }


def loss(crew: Crew, job: dict, members: int) -> dict:
    """False deaths under loss."""
    crew.net.loss = 0.1
    crew.run(job["seconds"])
    return {
        "false_per_hour": crew.false * 3600 / job["seconds"],
        "false": crew.false,
        "observed": crew.observed,
        **rate(crew, members, job["seconds"]),
    }


def stalls(crew: Crew, job: dict, members: int) -> dict:
    """False deaths with members that stop now and then."""

    def stall(name: str) -> None:
        crew.stall(name, STALL)
        crew.engine.after(STALL + crew.rng.expovariate(1 / RUNS), lambda: stall(name))

    for name in crew.rng.sample(crew.names, max(1, round(STALLED * members))):
        crew.engine.after(crew.rng.expovariate(1 / RUNS), lambda name=name: stall(name))
    crew.run(job["seconds"])
    return {
        "false_per_hour": crew.false * 3600 / job["seconds"],
        "false": crew.false,
        "observed": crew.observed,
        "stalled_deaths": crew.stalled_deaths,
        **rate(crew, members, job["seconds"]),
    }


def on_processes(
    folder: Path,
    seed: int,
    limiters: int = 8,
    quiet_s: float = 10.0,
    split_s: float = 8.0,
    loss_s: float = 30.0,
) -> dict:
    """The same on processes of the program over loopback, under a light load.

    Times from the log lines of all limiters (s), cost from the relays' counts. A figure is None where it was
    not reached in 15 s.
    """
    from datetime import datetime
    from time import monotonic, sleep, time

    from ..config.models import Experiment
    from .processes import ProcessFleet

    spec = Experiment.model_validate(
        {
            "name": "membership",
            "duration_s": 600.0,
            "seed": seed,
            "fleet": {
                "limiters": limiters,
                "membership": {"on": True},
                "servers": {"count": 6},
                "routes": [{"name": "look", "target_s": 0.5, "client_timeout_s": 2.0}],
                "plans": [{"name": "wide", "rate": 200, "burst": 400, "customers": 4, "calls_per_s": 10}],
            },
        }
    )

    def lines(one) -> list[dict]:
        return [line for line in one.lines() if line["event"] == "fleet"]

    def when(line: dict) -> float:
        return datetime.fromisoformat(line["timestamp"].replace("Z", "+00:00")).timestamp()

    def reached(holds, living, within: float = 15.0, began: float | None = None) -> float | None:
        """S until the last of all `living` first logged a line after `began` (now) that `holds`."""
        began, end = began or time(), monotonic() + within
        while monotonic() < end:
            first = [
                min((when(line) for line in lines(one) if when(line) >= began and holds(line)), default=None)
                for one in living
            ]
            if all(at is not None for at in first):
                return max(first) - began
            sleep(0.1)
        return None

    row = {"what": "processes", "members": limiters, "protocol": "lifeguard", "seed": seed}
    with ProcessFleet(spec, folder, seed) as lab:
        lab.start()
        sleep(4.0)
        ways = lab.mesh.directions.values()
        before = (sum(way.packets for way in ways), sum(way.bytes for way in ways))
        sleep(quiet_s)
        datagrams, size = (
            sum(way.packets for way in ways) - before[0],
            sum(way.bytes for way in ways) - before[1],
        )
        row |= {
            "datagrams_per_s": datagrams / limiters / quiet_s,
            "bytes_per_s": (size + 28 * datagrams) / limiters / quiet_s,
        }
        victim, rest = lab.limiters[3], [one for one in lab.limiters if one.index != 3]
        victim.process.kill()
        row["all_s"] = reached(lambda line: "n3 dead" in line["absent"], rest)
        victim.end()
        sleep(1.0)
        victim.start()
        started = time()
        lab.wait_ready(victim)
        row["back_s"] = reached(lambda line: line["present"] == limiters, rest, began=started)
        sleep(2.0)
        lab.split(lab.limiters[: limiters // 2])
        sleep(split_s)
        lab.heal()
        row["agree_s"] = reached(lambda line: line["present"] == limiters, lab.limiters)
        sleep(2.0)
        lab.mesh.set_all(loss=0.1, duplicate=0.1, reorder=0.1)
        began = time()
        sleep(loss_s)
        row["false"] = sum(
            any(" dead" in text for text in line["absent"])
            for one in lab.limiters
            for line in lines(one)
            if when(line) > began
        )
        row["seconds"] = loss_s
    return row


def measure(
    out: Path,
    seeds: list[int],
    hour: float,
    processes: int | None = None,
    sizes=SIZES,
    progress: Callable[[float], None] = lambda done: None,
) -> list[dict]:
    """Play what is not yet in `out`; the rows of what was asked for."""
    wanted = jobs(seeds, hour, sizes)
    keys = {job["key"] for job in wanted}
    return [row for row in play_all(out / RESULTS, wanted, play, processes, progress) if row["key"] in keys]


def mean(values: list[float]) -> float:
    """The mean."""
    return sum(values) / len(values)


def table(rows: list[dict]) -> str:
    """The figures as a Markdown table.

    A line for each what, size and protocol, mean (least to most) over the seeds.
    """
    lines = ["| what | members | protocol | runs | figures |", "| --- | --- | --- | --- | --- |"]
    groups: dict[tuple, list[dict]] = {}
    for row in rows:
        groups.setdefault((row["what"], row["members"], row["protocol"]), []).append(row)

    def span(values: list[float], digits: int = 2) -> str:
        return (
            f"{mean(values):.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"
            if values
            else "never"
        )

    for (what, members, protocol), own in sorted(groups.items()):
        if what == "death":
            half, everyone = ([value for row in own for value in row[name]] for name in ("half_s", "all_s"))
            text = f"known to half {span(half)} s, to all {span(everyone)} s; not known to all in 6 s: {sum(row['unknown'] for row in own)}"
        elif what == "heal":
            text = f"agree after {span([row['agree_s'] for row in own], 1)} s; {span([row['bytes_to_agree'] for row in own], 0)} B a member until then"
        elif what == "quiet":
            text = f"{span([row['bytes_per_s'] for row in own], 0)} B/s, {span([row['datagrams_per_s'] for row in own], 1)} datagrams/s a member"
        else:
            hours = sum(row["seconds"] for row in own) / 3600
            text = (
                f"{sum(row['false'] for row in own)} false in {hours:.2f} h "
                f"({sum(row['false'] for row in own) / hours:.1f} an hour; {sum(row['observed'] for row in own)} at single observers); "
                f"{span([row['bytes_per_s'] for row in own], 0)} B/s a member"
            )
        lines.append(f"| {what} | {members} | {protocol} | {len(own)} | {text} |")
    return "\n".join(lines)


def plot(rows: list[dict], png: Path) -> Path:
    """Four panels.

    Time until a death is known, bytes a second, false deaths an hour, time to agree after a split.
    """
    figure, axes = panels(4, (17, 4))

    def points(protocol, what, value):
        by_size: dict[int, list[float]] = {}
        for row in rows:
            if row["what"] == what and row["protocol"] == protocol:
                by_size.setdefault(row["members"], []).extend(value(row))
        return sorted((size, mean(values)) for size, values in by_size.items() if values)

    for protocol in ("lifeguard", "swim", "heartbeat"):
        for axis, what, value in (
            (axes[0], "death", lambda row: row["all_s"]),
            (axes[1], "quiet", lambda row: [row["bytes_per_s"]]),
            (axes[3], "heal", lambda row: [row["agree_s"]]),
        ):
            found = points(protocol, what, value)
            axis.plot([x for x, _ in found], [y for _, y in found], marker="o", label=protocol)
    for axis, title in (
        (axes[0], "s until a death is known to all"),
        (axes[1], "B/s sent by a member, quiet"),
        (axes[3], "s to agree after a split of 20 s"),
    ):
        axis.set_xscale("log")
        axis.set_xlabel("members")
        axis.set_title(title)
        axis.grid(alpha=0.3)
    axes[1].set_yscale("log")
    axes[0].legend()
    labels, heights = [], []
    for what in ("loss", "stalls"):
        for protocol in ("lifeguard", "swim", "heartbeat"):
            own = [row for row in rows if row["what"] == what and row["protocol"] == protocol]
            if own:
                labels.append(f"{protocol}\n{what}")
                heights.append(sum(row["false"] for row in own) * 3600 / sum(row["seconds"] for row in own))
    axes[2].bar(labels, heights)
    axes[2].tick_params(axis="x", labelsize=7)
    axes[2].set_yscale("symlog")
    axes[2].set_title("false deaths an hour, 200 members")
    return save_figure(figure, png)
