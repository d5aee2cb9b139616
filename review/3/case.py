"""Case 3: a request with an empty body that comes in two pieces is run early and answered twice."""

from __future__ import annotations

import threading
from time import monotonic, sleep

from standins import Client, Fleet, Record, Server, encode, run_case, with_trouble

CONNECTIONS = 9  # Three for each limiter, one after another.
PAUSE = 0.3  # Seconds between the two pieces of a request.
WORK = 0.1  # Seconds that a server needs.
DEADLINE = 8.0  # Seconds that the client waits; the class's hard_limit_s.
SLACK = 0.5 + 0.05  # invariants.answer_slack_s, and "every time limit is 50 ms longer".
QUIET = 1.0  # Seconds after the answer in which nothing more may come.
LAST_PIECE = b"\r\n"  # The end of the body; the body before it is empty.


def play(record: Record) -> bool:
    """Send requests with an empty body, in two pieces or whole; return whether each gets one answer."""
    run: dict[bytes, float] = {}
    lock = threading.Lock()

    def work(server: Server, words: list[bytes]) -> float:
        return WORK

    def on_run(server: Server, words: list[bytes]) -> bytes:
        with lock:
            run.setdefault(words[2], monotonic())
        record.note(f"{server.name} runs {words[2].decode()}")
        return b"done " + words[2]

    servers = [Server(f"s-{number}", f"hall-{'abc'[number % 3]}", work, on_run) for number in range(9)]
    fleet = Fleet(record, servers)
    broken = 0
    try:
        fleet.start()
        sleep(3)  # The limiters connect to the counter, and their shares of the quotas fill.
        for number in range(CONNECTIONS):
            broken += not play_request(record, fleet, number, run)
    finally:
        fleet.stop()
    record.note(f"requests without exactly one answer: {broken} of {CONNECTIONS}")
    return broken == 0


def play_request(record: Record, fleet: Fleet, number: int, run: dict[bytes, float]) -> bool:
    """Send a request on a new connection; return whether it got exactly one answer, in time."""
    request_id = b"%016x" % (1 + number)
    command = encode(
        b"CALL.POST",
        b"%016x" % (100 + number),
        request_id,
        b"c=solve-submit,t=national,d=%d,k=%b,units=1,spread=3,first=0" % (1000 * DEADLINE, request_id),
        b"",
    )
    client = Client(fleet, number % len(fleet.ports))
    if with_trouble():
        client.send(command[: -len(LAST_PIECE)])
        record.note(f"connection {number}: client sends {request_id.decode()} but for its last two bytes")
        sleep(PAUSE)
        sent_at = monotonic()
        client.send(LAST_PIECE)
    else:
        sent_at = monotonic()
        client.send(command)
    record.note(f"connection {number}: client has sent the last byte of {request_id.decode()}")
    client.wait_for(1, DEADLINE + SLACK)
    sleep(QUIET)
    for at, answer in client.answers:
        text = answer[:60].decode(errors="replace")
        record.note(f"connection {number}: answer {at - sent_at:+.3f} s from the last byte sent: {text}")
    if request_id in run:
        record.note(f"connection {number}: run {run[request_id] - sent_at:+.3f} s from the last byte sent")
    if client.ended_at is not None:
        record.note(f"connection {number}: ended by the limiter")
    client.close()
    return len(client.answers) == 1 and client.answers[0][0] <= sent_at + DEADLINE + SLACK


if __name__ == "__main__":
    run_case(__file__, play)
