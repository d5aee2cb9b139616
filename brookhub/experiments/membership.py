"""Measurements of membership in the emulator: death detection, false deaths, cost, agreement after a split.

Each job writes one row (JSON lines): {"key", "what", "members", "protocol", "seed", ...}. A run on a folder
that already has some of the rows adds the missing ones. Times are in seconds of simulated time, and bytes
include UDP and IP headers. The table and the plot are shown in docs/membership.md.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from ..emulator.peers import MemberCluster as MemberCluster
from ..emulator.peers import Traffic
from .figures import panels, save_figure
from .jobs import Job, Progress, Row, add_keys, no_progress, run_jobs

RESULTS = "membership.jsonl"
SIZES = (8, 40, 200, 1000)  # Numbers of members.
PROTOCOLS = ("lifeguard", "swim", "heartbeat")
HEARTBEAT = "heartbeat"  # All-to-all heartbeats: their cost grows with the square of the number of members.
MAX_HEARTBEAT_SIZE = 200  # Heartbeats are not run with more members.
# With more members, runs of heartbeats are shorter than those of the other protocols.
FULL_HEARTBEAT_SIZE = 40
LARGE_SIZE = 200  # With more members, runs are short and have a single seed.
DEATHS = 3  # Deaths in a run, one after another.
STALLED_SHARE = 0.1  # Share of the members that are suspended repeatedly.
STALL_TIME = 5.0  # Seconds that a member is suspended.
MEAN_RUN_TIME = 15.0  # Mean seconds between two stalls of a member.
LOSS = 0.1  # Share of the packets that are lost.
CONVERGED_AFTER = 3.0  # Seconds after which a new cluster has converged.
DETECTION_TIME = 6.0  # A death that is not known to all members after these seconds counts as unknown.
SPLIT_TIME = 20.0  # Seconds that a split lasts.
HEAL_LIMIT = 30.0  # Seconds after which a run ends even if the members do not agree.
DEFAULT_DURATION = 10.0  # Seconds, used to sort jobs without a duration.


def jobs(seeds: Sequence[int], hour: float, sizes: Sequence[int] = SIZES) -> list[Job]:
    """Return all jobs, those that take the most time first.

    `hour` is the duration (in seconds of simulated time) of each run that counts false deaths. There is one
    such run for each protocol, kind of fault and seed. Those of heartbeats are shorter and use only the first
    seed.
    """
    all_jobs = [
        job for members in sizes for protocol in PROTOCOLS for job in size_jobs(members, protocol, seeds)
    ]
    largest_size = max(size for size in sizes if size <= LARGE_SIZE)
    for seed in seeds:
        for protocol in PROTOCOLS:
            if protocol != HEARTBEAT or seed == seeds[0]:
                all_jobs += long_jobs(largest_size, protocol, seed, hour)
    return sorted(add_keys(all_jobs), key=lambda job: -job["members"] * job.get("seconds", DEFAULT_DURATION))


def size_jobs(members: int, protocol: str, seeds: Sequence[int]) -> list[Job]:
    """Return the jobs that are run for every number of members."""
    if protocol == HEARTBEAT and members > MAX_HEARTBEAT_SIZE:
        return []
    is_costly = protocol == HEARTBEAT and members > FULL_HEARTBEAT_SIZE
    is_large = members > LARGE_SIZE
    quiet_time = 4.0 if is_costly else DEFAULT_DURATION if is_large else 30.0
    base: Job = {"members": members, "protocol": protocol}
    all_jobs = [{"what": "quiet", **base, "seed": seeds[0], "seconds": quiet_time}]
    all_jobs += [
        {"what": "death", **base, "seed": seed} for seed in (seeds[:1] if is_costly or is_large else seeds)
    ]
    if protocol != HEARTBEAT:
        all_jobs += [{"what": "heal", **base, "seed": seed} for seed in (seeds[:1] if is_large else seeds)]
    return all_jobs


def long_jobs(members: int, protocol: str, seed: int, hour: float) -> list[Job]:
    """Return the jobs that count false deaths."""
    is_heartbeat = protocol == HEARTBEAT
    base: Job = {"members": members, "protocol": protocol, "seed": seed}
    return [
        {"what": "loss", **base, "seconds": 10.0 if is_heartbeat else hour},
        {"what": "stalls", **base, "seconds": 30.0 if is_heartbeat else hour},
    ]


def run_job(job: Job) -> Row:
    """Run a job and return its row."""
    cluster = MemberCluster(job["members"], job["seed"], job["protocol"])
    return job | MEASUREMENTS[job["what"]](cluster, job)


def rates(cluster: MemberCluster, job: Job, before: Traffic | None = None) -> Row:
    """Return the mean datagrams and bytes that each member sent per second of the job's duration.

    `before` is the traffic at the start of that time; None means that there was none.
    """
    traffic = cluster.traffic()
    before = before or Traffic(0, 0)
    return {
        "datagrams_per_s": (traffic.datagrams - before.datagrams) / job["members"] / job["seconds"],
        "bytes_per_s": (traffic.bytes - before.bytes) / job["members"] / job["seconds"],
    }


def quiet(cluster: MemberCluster, job: Job) -> Row:
    """Measure the traffic of a cluster without faults."""
    cluster.run(1.0)
    before = cluster.traffic()
    cluster.run(job["seconds"])
    return rates(cluster, job, before)


def death(cluster: MemberCluster, job: Job) -> Row:
    """Measure the time until a death is known to half of the living members and to all of them."""
    cluster.run(CONVERGED_AFTER)
    is_costly = job["protocol"] == HEARTBEAT and job["members"] > FULL_HEARTBEAT_SIZE
    times_to_half: list[float] = []
    times_to_all: list[float] = []
    unknown = 0
    for _ in range(1 if is_costly else DEATHS):
        victim = cluster.rng.choice([name for name, member in cluster.members.items() if member.is_alive])
        cluster.deaths.clear()
        cluster.members[victim].kill()
        killed_at = cluster.engine.now
        cluster.run(DETECTION_TIME)
        living = sum(member.is_alive for member in cluster.members.values())
        times = sorted(known_at - killed_at for known_at in cluster.deaths.get(victim, {}).values())
        if len(times) == living:
            times_to_half.append(times[len(times) // 2])
            times_to_all.append(times[-1])
        else:
            unknown += 1
    return {"half_s": times_to_half, "all_s": times_to_all, "unknown": unknown, "false": cluster.false_deaths}


def heal(cluster: MemberCluster, job: Job) -> Row:
    """Measure the time until all members agree again after a split into halves."""
    cluster.run(CONVERGED_AFTER)
    first_half = set(cluster.names[: job["members"] // 2])
    cluster.network.is_blocked = lambda sender, receiver: (sender in first_half) != (receiver in first_half)
    cluster.run(SPLIT_TIME)
    cluster.network.is_blocked = None
    healed_at = cluster.engine.now
    before = cluster.traffic()
    while not cluster.has_converged() and cluster.engine.now - healed_at < HEAL_LIMIT:
        cluster.run(0.1)
    return {
        "agree_s": cluster.engine.now - healed_at,
        "agreed": cluster.has_converged(),
        "bytes_to_agree": (cluster.traffic().bytes - before.bytes) / job["members"],
    }


def false_deaths(cluster: MemberCluster, job: Job) -> Row:
    """Run for the job's duration and count false deaths, once per death and once per observer."""
    cluster.run(job["seconds"])
    return {
        "false_per_hour": cluster.false_deaths * 3600 / job["seconds"],
        "false": cluster.false_deaths,
        "observed": cluster.observed_false_deaths,
        **rates(cluster, job),
    }


def loss(cluster: MemberCluster, job: Job) -> Row:
    """Count false deaths with packet loss."""
    cluster.network.loss = LOSS
    return false_deaths(cluster, job)


def stalls(cluster: MemberCluster, job: Job) -> Row:
    """Count false deaths while some members are suspended repeatedly."""

    def schedule_stall(name: str, delay: float) -> None:
        cluster.engine.call_later(delay, lambda: stall(name))

    def stall(name: str) -> None:
        cluster.suspend(name, STALL_TIME)
        schedule_stall(name, STALL_TIME + cluster.rng.expovariate(1 / MEAN_RUN_TIME))

    for name in cluster.rng.sample(cluster.names, max(1, round(STALLED_SHARE * job["members"]))):
        schedule_stall(name, cluster.rng.expovariate(1 / MEAN_RUN_TIME))
    return false_deaths(cluster, job) | {"stalled_deaths": cluster.suspended_deaths}


MEASUREMENTS: dict[str, Callable[[MemberCluster, Job], Row]] = {
    "quiet": quiet,
    "death": death,
    "heal": heal,
    "loss": loss,
    "stalls": stalls,
}


def measure(
    out: Path,
    seeds: Sequence[int],
    hour: float,
    processes: int | None = None,
    sizes: Sequence[int] = SIZES,
    progress: Progress = no_progress,
) -> list[Row]:
    """Run the jobs that have no row in the folder `out` yet, and return the rows of these jobs.

    Rows of other sizes, seeds or durations in the folder are not returned.
    """
    requested_jobs = jobs(seeds, hour, sizes)
    keys = {job["key"] for job in requested_jobs}
    return [
        row
        for row in run_jobs(out / RESULTS, requested_jobs, run_job, processes, progress)
        if row["key"] in keys
    ]


def mean(values: Sequence[float]) -> float:
    """Return the mean of the values, of which there must be at least one."""
    return sum(values) / len(values)


def mean_and_range(values: Sequence[float], decimals: int = 2) -> str:
    """Return the mean with the minimum and maximum in brackets, or "never" without values."""
    if not values:
        return "never"
    return f"{mean(values):.{decimals}f} ({min(values):.{decimals}f} to {max(values):.{decimals}f})"


def figures_text(measurement: str, rows: Sequence[Row]) -> str:
    """Return the figures of rows of one kind, as a cell of the table."""
    if measurement == "death":
        to_half = [value for row in rows for value in row["half_s"]]
        to_all = [value for row in rows for value in row["all_s"]]
        unknown = sum(row["unknown"] for row in rows)
        return (
            f"known to half {mean_and_range(to_half)} s, to all {mean_and_range(to_all)} s; "
            f"not known to all in 6 s: {unknown}"
        )
    if measurement == "heal":
        agreed = mean_and_range([row["agree_s"] for row in rows], 1)
        sent = mean_and_range([row["bytes_to_agree"] for row in rows], 0)
        return f"agree after {agreed} s; {sent} B a member until then"
    sent = mean_and_range([row["bytes_per_s"] for row in rows], 0)
    if measurement == "quiet":
        datagrams = mean_and_range([row["datagrams_per_s"] for row in rows], 1)
        return f"{sent} B/s, {datagrams} datagrams/s a member"
    hours = sum(row["seconds"] for row in rows) / 3600
    false = sum(row["false"] for row in rows)
    observed = sum(row["observed"] for row in rows)
    return (
        f"{false} false in {hours:.2f} h ({false / hours:.1f} an hour; {observed} at single observers); "
        f"{sent} B/s a member"
    )


def table(rows: Sequence[Row]) -> str:
    """Return a Markdown table with a line for each measurement, size and protocol, over the seeds."""
    lines = ["| what | members | protocol | runs | figures |", "| --- | --- | --- | --- | --- |"]
    groups: dict[tuple[str, int, str], list[Row]] = {}
    for row in rows:
        groups.setdefault((row["what"], row["members"], row["protocol"]), []).append(row)
    for (measurement, members, protocol), group in sorted(groups.items()):
        text = figures_text(measurement, group)
        lines.append(f"| {measurement} | {members} | {protocol} | {len(group)} | {text} |")
    return "\n".join(lines)


def plot_by_size(
    axis: Any, rows: Sequence[Row], measurement: str, values_of: Callable[[Row], list[float]], title: str
) -> None:
    """Draw the means of a figure against the number of members, with a line per protocol."""
    for protocol in PROTOCOLS:
        by_size: dict[int, list[float]] = {}
        for row in rows:
            if row["what"] == measurement and row["protocol"] == protocol:
                by_size.setdefault(row["members"], []).extend(values_of(row))
        means = {size: mean(values) for size, values in sorted(by_size.items()) if values}
        axis.plot(list(means), list(means.values()), marker="o", label=protocol)
    axis.set_xscale("log")
    axis.set_xlabel("members")
    axis.set_title(title)
    axis.grid(alpha=0.3)


def plot_false_deaths(axis: Any, rows: Sequence[Row]) -> None:
    """Draw bars of the false deaths per hour, by protocol and fault (packet loss or stalls)."""
    hourly_deaths: dict[str, float] = {}
    for measurement in ("loss", "stalls"):
        for protocol in PROTOCOLS:
            group = [row for row in rows if row["what"] == measurement and row["protocol"] == protocol]
            if group:
                seconds = sum(row["seconds"] for row in group)
                hourly_deaths[f"{protocol}\n{measurement}"] = (
                    sum(row["false"] for row in group) * 3600 / seconds
                )
    axis.bar(list(hourly_deaths), list(hourly_deaths.values()))
    axis.tick_params(axis="x", labelsize=7)
    axis.set_yscale("symlog")
    axis.set_title("false deaths an hour, 200 members")


def plot(rows: Sequence[Row], png: Path) -> Path:
    """Draw detection time, cost, false deaths and time to agree into the file `png`, and return its path."""
    figure, axes = panels(4, (17, 4))
    plot_by_size(axes[0], rows, "death", lambda row: row["all_s"], "s until a death is known to all")
    plot_by_size(axes[1], rows, "quiet", lambda row: [row["bytes_per_s"]], "B/s sent by a member, quiet")
    plot_by_size(axes[3], rows, "heal", lambda row: [row["agree_s"]], "s to agree after a split of 20 s")
    axes[1].set_yscale("log")
    axes[0].legend()
    plot_false_deaths(axes[2], rows)
    return save_figure(figure, png)
