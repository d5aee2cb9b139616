"""Measures what limiters do together.

A bad server found, cold servers filled, fairness while the fleet grows; in the emulator.

One row a job (JSON lines): {"key", "what", "way", "limiters", "seed", ...figures}; a folder half played goes
on where it stopped. `signals` off is the baseline in the same run. Times s (simulated). docs/choices.md reads
the plot and the tables.
"""

from __future__ import annotations

from collections.abc import Callable
from importlib import resources
from pathlib import Path

from ..config import Experiment, loads
from ..emulator import Fleet
from .canvas import panels, save_figure
from .jobs import keyed, play_all

RESULTS = "together.jsonl"
WAYS = ("none", "counter", "peers")  # how words travel
PART_WAYS = ("stretch", "matching")  # how a limiter's part of the servers is chosen
BAD_AT, BAD_FOR, RUN = 3.0, 20.0, 24.0  # s: when a server turns bad, for how long, the run
FEW, MANY, GROWS, SHRINKS = 40, 200, 5.0, 15.0  # limiters before and after, s when they come and go
TURN = 5.0  # s over which they do
# limiters, servers, load, at which each needs a part of them
PARTS = (
    (40, 60, 0.25),
    (200, 60, 0.5),
    (200, 100, 0.5),
)
# s: when a server is replaced and a limiter killed, and when parts are compared
CHANGE_AT, CHANGED_AT = (
    (8.0, 18.0),
    (16.0, 26.0),
)


def base(limiters: int, way: str, **servers) -> dict:
    """The embedded experiment's fleet of 60 servers with membership, at the load of its plans."""
    raw = loads(
        resources.files("brookhub.experiments").joinpath("default.toml").read_text(), Experiment, "default"
    ).model_dump()
    raw["sweep"], raw["faults"], raw["duration_s"] = {}, [], RUN
    fleet = raw["fleet"]
    fleet["limiters"] = limiters
    fleet["servers"].update({"count": 60, "places": 8, "service_s": 0.05} | servers)
    fleet["membership"] = {"on": True, "signals": way == "peers"}
    fleet["counter"]["signals"] = way == "counter"
    return raw


def jobs(seeds: list[int]) -> list[dict]:
    """All runs to be played."""
    made = []
    for seed in seeds:
        for way in WAYS:
            for kind in ("failing", "silent", "slow"):
                made += [
                    {
                        "what": "bad",
                        "kind": kind,
                        "way": way,
                        "limiters": limiters,
                        "scale": scale,
                        "seed": seed,
                    }
                    for limiters, scale in ((40, 1.0), (200, 0.5), (200, 1.0))
                ]
            made.append({"what": "errors", "way": way, "limiters": 200, "scale": 1.0, "seed": seed})
            made.append({"what": "link", "way": way, "limiters": 40, "scale": 1.0, "seed": seed})
        for way in ("none", "peers"):
            made += [
                {"what": "cold", "kind": kind, "way": way, "limiters": limiters, "seed": seed}
                for limiters in (8, 40, 200)
                for kind in ("replace", "split")
            ]
            made.append({"what": "grow", "way": way, "limiters": MANY, "seed": seed})
        made += [
            {
                "what": "parts",
                "way": way,
                "limiters": limiters,
                "servers": servers,
                "scale": scale,
                "seed": seed,
            }
            for way in PART_WAYS
            for limiters, servers, scale in PARTS
        ]
    return sorted(keyed(made), key=lambda job: job["what"] not in ("cold", "grow"))  # the longest first


def play(job: dict) -> dict:
    """One row."""
    return job | {"bad": bad, "errors": errors, "link": link, "cold": cold, "grow": grow, "parts": parts}[
        job["what"]
    ](job)


def run(raw: dict, seed: int, before: Callable[[Fleet], None] = lambda fleet: None) -> tuple[Fleet, dict]:
    """Play an experiment; the fleet and its figures."""
    fleet = Fleet(Experiment.model_validate(raw), seed=seed, keep_trail=False)
    before(fleet)
    metrics = fleet.run().metrics()
    detectors = [limiter.detector for limiter in fleet.limiters if limiter.detector]
    return fleet, {
        "served": metrics["served_share"],
        "errored": metrics["errored_share"],
        "p99_ms": metrics["p99_ms"],
        "falls": metrics["cold_falls"],
        "broken": metrics["broken"],
        "words": sum(detector.sent_count for detector in detectors),
        "sent_to_bad": metrics["sent_to_bad"],
        "over": metrics["worst_overshoot"],
    }


def bad(job: dict) -> dict:
    """One of 60 servers fails, is silent or ten times slow.

    Tries that the whole fleet sent there meanwhile.
    """
    raw = base(job["limiters"], job["way"])
    raw["load"]["scale"] = job["scale"]
    raw["faults"] = [
        {"at_s": BAD_AT, "action": f"{job['kind']}_servers", "share": 0.001, "for_s": BAD_FOR, "factor": 10.0}
    ]
    return run(raw, job["seed"])[1]


def errors(job: dict) -> dict:
    """No server is bad, all fail one try in a hundred: what words about chance cost."""
    return run(base(job["limiters"], job["way"], error_share=0.01), job["seed"])[1]


def link(job: dict) -> dict:
    """The links of one limiter are broken to all servers: what it makes the others lose."""

    def cut(fleet: Fleet) -> None:
        fleet.engine.call_at(
            BAD_AT,
            lambda: fleet.limiters[0].unreachable_until.update(
                dict.fromkeys(fleet.servers.models, BAD_AT + BAD_FOR)
            ),
        )

    fleet, figures = run(base(job["limiters"], job["way"]), job["seed"], cut)
    others = fleet.limiters[1:]
    return figures | {
        "others_served": sum(limiter.served for limiter in others)
        / max(1, sum(limiter.received for limiter in others))
    }


def cold(job: dict) -> dict:
    """Six in ten servers replaced at once, or a zone lost that returns cold in a split.

    Sends to cold servers against rule 4's bound, and against what they can serve while they warm.
    """
    raw = base(job["limiters"], job["way"], service_s=0.1)
    for plan in raw["fleet"]["plans"]:
        plan["customers"] *= 5
    raw["load"]["scale"], raw["duration_s"] = 1.3, 18.0
    raw["faults"] = (
        [{"at_s": 5.0, "action": "replace_servers", "share": 0.6, "for_s": 1.0}]
        if job["kind"] == "replace"
        else [
            {"at_s": 4.0, "action": "split_limiters", "share": 0.5, "for_s": 12.0},
            {"at_s": 5.0, "action": "zone_lost", "zone": 0, "for_s": 2.0},
        ]
    )
    fleet, figures = run(raw, job["seed"])
    models = [model for model in fleet.servers.models.values() if model.peak_overload]
    room = sum(
        model.settings.concurrency
        / model.settings.service_time
        * (
            model.settings.cold_capacity * for_s
            + (1 - model.settings.cold_capacity) * for_s**2 / 2 / model.settings.warm_up_time
        )
        for model in models
        for for_s in [min(model.settings.warm_up_time, raw["duration_s"] - model.started_at)]
    )
    return figures | {
        "push": max(model.peak_overload for model in models),
        "used": fleet.servers.sent_to_warming / room,
    }


def jain(shares: list[float]) -> float:
    """Jain's index of fairness: 1 where all are equal, 1/n where one has all."""
    return sum(shares) ** 2 / (len(shares) * sum(one * one for one in shares)) if any(shares) else 0.0


def grow(job: dict) -> dict:
    """A fleet of 40 limiters grows to 200 and shrinks back within 20 s, by planned starts and ends.

    How evenly limiters serve what they were asked, and customers get what they ask inside their quotas.
    """
    raw = base(job["limiters"], job["way"])
    raw["duration_s"] = SHRINKS + TURN + 4.0
    asked: dict[int, int] = {}

    def script(fleet: Fleet) -> None:
        step = TURN / (MANY - FEW)
        for number, limiter in enumerate(fleet.limiters[FEW:]):
            limiter.kill()
            fleet.engine.call_at(GROWS + number * step, lambda index=limiter.index: fleet.restart(index))
            fleet.engine.call_at(SHRINKS + number * step, lambda index=limiter.index: end(fleet, index))
        call = fleet.clients.send

        def counted(customer, route, is_retry: bool, token: int = 0) -> None:
            asked[customer.id] = asked.get(customer.id, 0) + (not is_retry)
            call(customer, route, is_retry, token)

        fleet.clients.send = counted

    def end(fleet: Fleet, index: int) -> None:
        limiter = fleet.limiters[index]
        limiter.is_draining = True
        limiter.member.core.leave()
        fleet.engine.call_later(max(route.client_timeout for route in fleet.routes) + 0.1, limiter.kill)

    fleet, figures = run(raw, job["seed"], script)
    shares = [limiter.served / limiter.received for limiter in fleet.limiters if limiter.received >= 10]
    return figures | {
        "jain_limiters": jain(shares),
        "jain_customers": jain(
            [
                customer.served_units / asked[customer.id]
                for customer in fleet.customers
                if asked.get(customer.id)
            ]
        ),
    }


def parts(job: dict) -> dict:
    """Who uses which servers, read from the limiters' parts.

    One server replaced, one limiter killed meanwhile. `held`: limiters a server, largest over mean; `sends`:
    tries a server, the same; `pairs`: of a limiter and a server that were used in all; `server`, `limiter`:
    pairs changed by that over the least possible.
    """
    raw = base(job["limiters"], "none")
    raw["fleet"]["servers"]["count"], raw["load"]["scale"], raw["duration_s"] = (
        job["servers"],
        job["scale"],
        CHANGED_AT[1] + 1.0,
    )
    raw["fleet"]["membership"]["subsets"] = job["way"] == "matching"
    raw["faults"] = [{"at_s": CHANGE_AT[0], "action": "replace_servers", "share": 0.001, "for_s": 0.5}]
    seen: list[set[tuple[int, int]]] = []
    used: set[tuple[int, int]] = set()
    sends: dict[int, int] = {}

    def held(fleet: Fleet) -> set[tuple[int, int]]:
        return {
            (limiter.index, view.server.id)
            for limiter in fleet.limiters
            if limiter.is_alive
            for view in limiter.gateway.subset.members
        }

    def script(fleet: Fleet) -> None:
        for at in (CHANGE_AT[0] - 0.1, CHANGED_AT[0], CHANGE_AT[1] - 0.1, CHANGED_AT[1]):
            fleet.engine.call_at(at, lambda: seen.append(held(fleet)))
        fleet.engine.call_at(CHANGE_AT[1], fleet.limiters[job["limiters"] // 2].kill)
        take = fleet.servers.receive

        def taken(one, limiter) -> None:
            used.add((limiter.index, one.server.id))
            sends[one.server.id] = sends.get(one.server.id, 0) + 1
            take(one, limiter)

        fleet.servers.receive = taken

    fleet, figures = run(raw, job["seed"], script)
    before, replaced, settled, killed = seen
    servers = sorted({server for _, server in before})

    def largest(counts: list[int]) -> float:
        return max(counts) / (sum(counts) / len(counts))

    def changed(old: set, new: set, which: int) -> float:
        """Pairs that changed, over those of who came or went.

        A server's have to be replaced, each by one other.
        """
        moved = {one[which] for one in old} ^ {one[which] for one in new}
        least = sum(one[which] in moved for one in old | new)
        return len(old ^ new) / max(1, least * (2 if which else 1) / (2 if which and len(moved) > 1 else 1))

    return figures | {
        "held": largest([sum(server == one for _, server in before) for one in servers]),
        "sends": largest([sends.get(one, 0) for one in servers]),
        "pairs": len(used),
        "server": changed(before, replaced, 1),
        "limiter": changed(settled, killed, 0),
    }


def measure(
    folder: Path,
    seeds: list[int],
    processes: int | None = None,
    progress: Callable[[float], None] = lambda done: None,
) -> list[dict]:
    """Play what is not in the folder yet; all rows."""
    return play_all(folder / RESULTS, jobs(seeds), play, processes, progress)


COLUMNS = {
    "bad": ("sent_to_bad", "served", "p99_ms", "words"),
    "errors": ("served", "errored", "words"),
    "link": ("others_served", "served", "words"),
    "cold": ("push", "used", "served", "falls"),
    "parts": ("held", "sends", "pairs", "server", "limiter", "served"),
    "grow": ("jain_limiters", "jain_customers", "served", "errored", "over"),
}


def groups(rows: list[dict]) -> dict[tuple, list[dict]]:
    """Rows by what they measure."""
    found: dict[tuple, list[dict]] = {}
    for row in sorted(
        rows,
        key=lambda row: (
            row["what"],
            row.get("kind", ""),
            row["limiters"],
            row.get("scale", 0),
            (WAYS + PART_WAYS).index(row["way"]),
        ),
    ):
        kind = row.get("kind", f"{row['servers']} servers" if "servers" in row else "")
        found.setdefault((row["what"], kind, row["limiters"], row.get("scale", ""), row["way"]), []).append(
            row
        )
    return found


def table(rows: list[dict]) -> str:
    """Markdown: the mean over the seeds, in brackets the least and the most."""
    lines, head = [], None
    for (what, kind, limiters, scale, way), own in groups(rows).items():
        if what != head:
            head = what
            lines += [
                "",
                f"| {what} | limiters | load | words by | " + " | ".join(COLUMNS[what]) + " |",
                "| --- " * (4 + len(COLUMNS[what])) + "|",
            ]
        cells = []
        for name in COLUMNS[what]:
            values = [row[name] for row in own]
            digits = 0 if max(values) >= 10 else 3
            cells.append(
                f"{sum(values) / len(values):.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"
            )
        lines.append(f"| {kind} | {limiters} | {scale} | {way} | " + " | ".join(cells) + " |")
    return "\n".join(lines).strip()


def plot(rows: list[dict], png: Path) -> Path:
    """Tries lost on a bad server by way, and cold servers' use against rule 4's bound."""
    figure, (left, right) = panels(2, (12, 4.5))
    kinds = [key for key in groups(rows) if key[0] == "bad"]
    places = sorted({key[1:4] for key in kinds})
    for offset, way in enumerate(WAYS):
        values = [
            [row["sent_to_bad"] for row in groups(rows).get(("bad", *place, way), [])] for place in places
        ]
        left.boxplot(
            values,
            positions=[n * 4 + offset for n in range(len(places))],
            widths=0.8,
            showfliers=False,
            boxprops={"color": f"C{offset}"},
            medianprops={"color": f"C{offset}"},
        )
        left.plot([], [], color=f"C{offset}", label=f"words: {way}")
    left.set_xticks(
        [n * 4 + 1 for n in range(len(places))],
        [f"{kind}\n{limiters}, {scale}" for kind, limiters, scale in places],
        fontsize=7,
    )
    left.set_yscale("log")
    left.set_title(f"tries sent to one bad server in {BAD_FOR:.0f} s (limiters, load)")
    left.legend()
    for mark, kind in (("o", "replace"), ("s", "split")):
        for colour, way in (("C0", "none"), ("C2", "peers")):
            own = [row for row in rows if row["what"] == "cold" and row["kind"] == kind and row["way"] == way]
            right.plot(
                [row["limiters"] for row in own],
                [row["push"] for row in own],
                mark,
                color=colour,
                label=f"{kind}, words: {way}",
                alpha=0.6,
            )
    right.axhline(1.0, color="red", lw=0.8)
    right.set_xscale("log")
    right.set_xlabel("limiters")
    right.set_title("most sends to a cold server, as a share of rule 4's bound")
    right.legend(fontsize=7)
    return save_figure(figure, png)
