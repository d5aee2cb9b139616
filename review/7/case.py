"""Bad clients send commands that cannot be used, hundreds at once: requests of the usual clients are lost.

The usual clients send a modest load, the servers are sound, and nothing else fails. A request is lost if its
connection is closed without its answer, or if the answer comes later than half a second after its time.
"""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
from pathlib import Path
from time import monotonic

from rig_2 import (
    ROOT,
    Attempt,
    Call,
    Connection,
    Gateway,
    Ids,
    Platform,
    Record,
    answer_of,
    make_call,
    run_case,
)

BAD_CLIENTS = 120
COMMANDS_AT_ONCE = 200
BAD_SECONDS = 15.0
USUAL_CONNECTIONS = 30
NEW_SHARE = 0.25  # Share of the requests that come on a new connection: "connections are always new".
CALLS_PER_S = 40.0
D_MS = {"fetch": 2000, "list": 4000, "submit": 4000}  # Half of each client timeout.
SLACK_S = 0.5 + 0.05  # "Up to half a second after its time it only earns nothing"; 50 ms more on sockets.


async def send_usual_load(gateway: Gateway, ids: Ids, record: Record, seconds: float) -> list[Call]:
    """Send the usual clients' requests for some seconds, some on new connections; return them."""
    chance = random.Random(7)
    connections = [await Connection.open(gateway.port, record) for _ in range(USUAL_CONNECTIONS)]
    calls: list[Call] = []
    until = monotonic() + seconds
    while monotonic() < until:
        connections = [connection for connection in connections if connection.ended_at is None]
        idle = [connection for connection in connections if not connection.waiting]
        is_new = not idle or chance.random() < NEW_SHARE
        if is_new:
            idle = [await Connection.open(gateway.port, record)]
            connections += idle
        route = chance.choice(list(D_MS))
        call = make_call(ids, route, customer=100 + chance.randrange(500), d_ms=D_MS[route])
        call.is_first = is_new
        chance.choice(idle).send(call)
        calls.append(call)
        await asyncio.sleep(chance.expovariate(CALLS_PER_S))
    await asyncio.sleep(max(D_MS.values()) / 1000 + 2)
    return calls


def judge(calls: list[Call], attempts: dict[bytes, list[Attempt]], record: Record) -> dict[str, int]:
    """Count how the usual clients' requests ended."""
    ends = ("answered in time", "answered too late", "closed", "closed but forwarded", "never answered")
    counts = dict.fromkeys((*ends, "lost on a new connection"), 0)
    for call in calls:
        waited = (call.answered_at or call.ended_at or monotonic()) - call.sent_at
        if call.answered_at is not None:
            is_late = waited > call.d_ms / 1000 + SLACK_S
            end = "answered too late" if is_late else "answered in time"
        elif call.ended_at is not None:
            end = "closed but forwarded" if call.request in attempts else "closed"
        else:
            end = "never answered"
        counts[end] += 1
        counts["lost on a new connection"] += call.is_first and end in ("answered too late", "never answered")
        if end != "answered in time":
            record.write("judge", f"{call.request.decode()} d={call.d_ms} {end} after {waited:.3f}")
    return counts


async def case(folder: Path, record: Record, trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    chance = random.Random(8)

    async def work(attempt: Attempt) -> bytes:
        await asyncio.sleep(chance.uniform(0.1, 0.4))
        return answer_of(attempt, attempt.request)

    platform = Platform(record, work)
    await platform.start()
    gateway = await platform.gateway(folder)
    ids = Ids()
    await asyncio.sleep(2)
    bad_clients = None
    if trouble:
        words = [str(gateway.port), str(BAD_CLIENTS), str(COMMANDS_AT_ONCE), str(BAD_SECONDS)]
        bad_clients = subprocess.Popen([sys.executable, str(ROOT / "review" / "bad_2.py"), *words])
        record.write("bad clients", f"{BAD_CLIENTS} begin, {COMMANDS_AT_ONCE} commands at once")
    try:
        calls = await send_usual_load(gateway, ids, record, BAD_SECONDS - 3)
    finally:
        if bad_clients:
            bad_clients.kill()
            bad_clients.wait()
    counts = judge(calls, platform.attempts(), record)
    record.write("judge", str(counts))
    print(counts)
    log = gateway.log.read_text()
    for reason in ("deadline-passed", "idle-timeout", "no-request", "evicted"):
        record.write("gateway log", f"{reason}: {log.count(chr(34) + reason + chr(34))}")
    return counts["answered too late"] + counts["closed but forwarded"] + counts["never answered"] > 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).with_name("record.txt"), case))
