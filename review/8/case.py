"""Clients send many requests at once and leave: attempts for them begin long after they have gone."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from time import monotonic

from rig_2 import Attempt, Call, Connection, Ids, Platform, Record, answer_of, make_call, run_case

ROUNDS = 6
CLIENTS = 10
REQUESTS_AT_ONCE = 500
LEAVE_AFTER_S = 0.03
BOUND_S = 0.1 + 0.05  # "More than 0.1 s after the close"; every time limit is 50 ms longer on sockets.


async def case(folder: Path, record: Record, trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""

    async def work(attempt: Attempt) -> bytes:
        await asyncio.sleep(0.2)
        return answer_of(attempt, attempt.request)

    platform = Platform(record, work)
    await platform.start()
    gateway = await platform.gateway(folder)
    ids = Ids()
    await asyncio.sleep(2)
    late = 0
    latest = 0.0
    for number in range(ROUNDS if trouble else 2):
        connections = [await Connection.open(gateway.port, record) for _ in range(CLIENTS)]
        calls: list[Call] = []
        for client, connection in enumerate(connections):
            first_customer = 1000 * client
            batch = [
                make_call(ids, "fetch" if index % 2 else "submit", customer=first_customer + index)
                for index in range(REQUESTS_AT_ONCE)
            ]
            connection.send(*batch)
            calls += batch
        if not trouble:  # The clients stay until they have all answers.
            await asyncio.wait([asyncio.create_task(call.done.wait()) for call in calls], timeout=15)
            unanswered = sum(call.answered_at is None for call in calls)
            record.write("judge", f"round {number}: {unanswered} of {len(calls)} without an answer")
            late += unanswered
            for connection in connections:
                connection.close()
            continue
        await asyncio.sleep(LEAVE_AFTER_S)
        for connection in connections:
            connection.close()
        await asyncio.sleep(0)  # The transports close their sockets in the next turn of the loop.
        left_at = monotonic()
        record.write("client", f"round {number}: all {CLIENTS} have closed their connections")
        await asyncio.sleep(3)
        requests = {call.request for call in calls}
        for request, attempts in platform.attempts().items():
            after = attempts[-1].arrived_at - left_at
            if request in requests and after > BOUND_S:
                late += 1
                latest = max(latest, after)
                record.write("judge", f"{request.decode()}: attempt {after:.3f} s after the close")
    if trouble:
        result = f"attempts later than {BOUND_S:.2f} s after the close: {late}, the latest {latest:.3f} s"
    else:
        result = f"requests without an answer: {late}"
    record.write("judge", result)
    print(result)
    return late > 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).with_name("record.txt"), case))
