"""A planned restart while clients send many commands at once: a forwarded request is never answered.

Gateways get SIGTERM one after another. Connections that stay open carry many commands at once: most are of a
customer beyond its quota, which the gateway rejects at once, and some are of a class that must not run twice.
A client whose connection is closed before an answer sends the request once more on a new connection.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from rig_2 import Attempt, Call, Connection, Gateway, Ids, Platform, Record, answer_of, make_call, run_case

ROUNDS = 24  # At most; the case ends with the first round that breaks the rule.
CONNECTIONS = 40
REJECTED_BETWEEN = 30  # Commands of the customer beyond its quota before each one of the other customers.
CALLS = 5  # Calls of the other customers on each connection.
SENT_AFTER_S = (0.42, 0.43, 0.44, 0.43)  # Seconds from SIGTERM to the commands, by round.
HEAVY_CUSTOMER = 5


def heavy_call(ids: Ids) -> Call:
    """Return a call of the customer that asks for more than its quota."""
    return make_call(ids, "fetch", plan="starter", customer=HEAVY_CUSTOMER, units=4)


async def send_at_once(gateway: Gateway, ids: Ids, record: Record, delay: float, trouble: bool) -> list[Call]:
    """Restart a gateway under its clients; return the calls that were sent after SIGTERM."""
    connections = [await Connection.open(gateway.port, record) for _ in range(CONNECTIONS)]
    for number, connection in enumerate(connections):
        connection.send(make_call(ids, "fetch", customer=100 + number))
    heavy = await Connection.open(gateway.port, record)
    await asyncio.sleep(0.5)
    heavy.send(*[heavy_call(ids) for _ in range(12)])
    if trouble:
        gateway.signal(signal.SIGTERM)
    await asyncio.sleep(delay)
    calls: list[Call] = []
    for number, connection in enumerate(connections):
        batch: list[Call] = []
        for index in range(CALLS):
            batch += [heavy_call(ids) for _ in range(REJECTED_BETWEEN)]
            batch.append(make_call(ids, "once", customer=1000 + 100 * number + index, d_ms=4000))
        connection.send(*batch)
        calls += batch
    if trouble:
        await gateway.ended(6)
    await asyncio.wait([asyncio.create_task(call.done.wait()) for call in calls], timeout=6)
    for connection in [*connections, heavy]:
        connection.close()
    return calls


async def send_again(calls: list[Call], gateway: Gateway, record: Record) -> None:
    """Send the calls whose connection ended without their answer once more, on new connections."""
    ended = [call for call in calls if call.ended_at is not None and call.route == "once"]
    for start in range(0, len(ended), 10):
        connection = await Connection.open(gateway.port, record)
        again = [
            Call(call.request, call.route, 0.0, call.d_ms, command=call.command)
            for call in ended[start:][:10]
        ]
        connection.send(*again)
        await asyncio.wait([asyncio.create_task(call.done.wait()) for call in again], timeout=5)
        connection.close()


async def case(folder: Path, record: Record, trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""

    async def work(attempt: Attempt) -> bytes:
        await asyncio.sleep(0.005)
        return answer_of(attempt, attempt.request)

    platform = Platform(record, work)
    await platform.start()
    ids = Ids()
    other = await platform.gateway(folder, number=1)
    lost = twice = unanswered = 0
    for number in range(ROUNDS if trouble else 2):
        gateway = await platform.gateway(folder)
        delay = SENT_AFTER_S[number % len(SENT_AFTER_S)]
        calls = await send_at_once(gateway, ids, record, delay, trouble)
        run_before = platform.attempts()
        for call in calls:
            if call.ended_at is not None and call.request in run_before:
                lost += 1
                record.write("judge", f"{call.request.decode()} {call.route}: forwarded, closed, no answer")
        unanswered += sum(call.ended_at is None and call.answered_at is None for call in calls)
        gateway.end()
        await send_again(calls, other, record)
        run = platform.attempts()
        for call in calls:
            if call.route == "once" and len(run.get(call.request, [])) > 1:
                twice += 1
                record.write("judge", f"{call.request.decode()} {call.route}: ran twice")
        if lost + twice + unanswered:
            break
    result = f"forwarded but closed without an answer: {lost}; ran twice: {twice}; no end: {unanswered}"
    record.write("judge", result)
    print(result)
    return lost + twice + unanswered > 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).with_name("record.txt"), case))
