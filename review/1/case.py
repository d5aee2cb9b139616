"""Case 1: a client that sends many commands at once gets no answer to requests that servers have served."""

from __future__ import annotations

import random
import threading
from time import monotonic, sleep

from standins import Client, Fleet, Record, Server, encode, run_case, with_trouble

COMMANDS = 32  # On one connection: "clients send many commands at once".
VALUE_BYTES = 64 * 1024  # "a value holds 64 KiB at most".
ROUNDS = 3  # For each limiter, each on a new connection.
MEAN_WORK = 0.18  # Seconds; grid-fetch has 130 to 230 ms of work.
MAX_WORK = 0.7
DEADLINE = 4.0  # Seconds that the client waits; the class's hard_limit_s.
SLACK = 0.5 + 0.05  # invariants.answer_slack_s, and "every time limit is 50 ms longer".


def play(record: Record) -> bool:
    """Send COMMANDS requests on each connection, at once or in turn; return whether all are answered."""
    run: dict[bytes, float] = {}
    lock = threading.Lock()

    def work(server: Server, words: list[bytes]) -> float:
        return min(MAX_WORK, random.expovariate(1 / MEAN_WORK))

    def on_run(server: Server, words: list[bytes]) -> bytes:
        with lock:
            run[words[2]] = monotonic()
        record.note(f"{server.name} runs {words[2].decode()}")
        return words[2].ljust(VALUE_BYTES, b"v")

    servers = [Server(f"s-{number}", f"hall-{'abc'[number % 3]}", work, on_run) for number in range(9)]
    fleet = Fleet(record, servers)
    lost = 0
    try:
        fleet.start()
        sleep(3)  # The limiters connect to the counter, and their shares of the quotas fill.
        for number in range(ROUNDS * len(fleet.ports)):
            lost += play_connection(record, fleet, number, run)
        for line in fleet.log_lines("slow-reader"):
            record.note("limiter's log: " + line)
    finally:
        fleet.stop()
    record.note(f"requests that a server ran and that got no answer: {lost}")
    return lost == 0


def play_connection(record: Record, fleet: Fleet, number: int, run: dict[bytes, float]) -> int:
    """Play one connection; return how many of its requests were run by a server and never answered."""
    ids = [b"%016x" % (1 + 1000 * number + position) for position in range(COMMANDS)]
    commands = [
        encode(
            b"CALL.GET",
            b"%016x" % (100 + position),
            request_id,
            b"c=grid-fetch,t=national,d=%d,units=1,spread=3,first=0" % (1000 * DEADLINE),
        )
        for position, request_id in enumerate(ids)
    ]
    client = Client(fleet, number % len(fleet.ports))
    for position, command in enumerate(commands):
        record.note(f"connection {number}: client sends {ids[position].decode()}")
        if not with_trouble():
            client.send(command)
            client.wait_for(position + 1, DEADLINE + SLACK)
    if with_trouble():
        client.send(b"".join(commands))
    client.wait_for(COMMANDS, DEADLINE + SLACK)
    lost = 0
    for position, request_id in enumerate(ids):
        if position < len(client.answers):
            at, answer = client.answers[position]
            is_value = answer.startswith(request_id)
            text = f"value of {len(answer)} bytes" if is_value else answer[:40].decode(errors="replace")
            record.note(f"connection {number}: answer to {request_id.decode()} {at:.3f}: {text}")
        else:
            was_run = request_id in run
            lost += was_run and client.ended_at is not None  # The limiter ended the connection itself.
            record.note(
                f"connection {number}: NO answer to {request_id.decode()}, run by a server: {was_run}"
            )
    if client.ended_at is not None:
        record.note(f"connection {number}: ended by the limiter")
    client.close()
    return lost


if __name__ == "__main__":
    run_case(__file__, play)
