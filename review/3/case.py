"""Case 3: bad clients that send halves of commands drive a limiter over its memory, and it is killed."""

from __future__ import annotations

import contextlib
import itertools
import random
import socket
import subprocess
import sys
import threading
from pathlib import Path
from time import monotonic, sleep

from standins import Client, Fleet, Record, Server, encode, run_case, with_trouble

# service/LATER.md: "32 to 192 MB depending on language and day, and 256 to 1,024 descriptors".
LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 1024}
BAD_CLIENTS = 900  # "Others connect by hundreds".
START_SECONDS = 2.0  # Time over which the bad clients begin.
BAD_PROCESSES = 3  # The processes that play them.
HALF = 65_000  # Bytes that a bad client sends of a command whose body has 64 KiB.
USUAL_CLIENTS = 10
SECONDS = 60.0
MEAN_WORK = 0.18  # Seconds; grid-fetch has 130 to 230 ms of work.
VICTIM = 0  # Index of the limiter that the bad clients connect to.
IDS = itertools.count(1)


def play(record: Record) -> bool:
    """Serve usual clients, with bad ones beside them; return whether the limiter stayed within its memory."""

    def work(server: Server, words: list[bytes]) -> float:
        return min(1.0, random.expovariate(1 / MEAN_WORK))

    servers = [
        Server(f"s-{number}", f"hall-{'abc'[number % 3]}", work, lambda server, words: words[2])
        for number in range(9)
    ]
    fleet = Fleet(record, servers, limits=LIMITS)
    floods: list[subprocess.Popen[bytes]] = []
    try:
        fleet.start()
        sleep(3)  # The limiters connect to the counter, and their shares of the quotas fill.
        end = monotonic() + SECONDS
        usual = [UsualClient(fleet, number, end) for number in range(USUAL_CLIENTS)]
        for client in usual:
            threading.Thread(target=client.run, daemon=True).start()
        if with_trouble():
            record.note(f"{BAD_CLIENTS} bad clients begin")
            for _ in range(BAD_PROCESSES):
                floods.append(start_flood(fleet.ports[VICTIM]))
        held = watch_memory(record, fleet, end)
        record.note(f"usual clients: {sum(client.answered for client in usual)} answers")
    finally:
        for flood in floods:
            flood.kill()
            flood.wait()
        fleet.stop()
    return held


def watch_memory(record: Record, fleet: Fleet, end: float) -> bool:
    """Act as the platform, which kills a limiter over `memory_mb`; return whether it never had to."""
    process = fleet.processes[VICTIM]
    limit_kib = LIMITS["memory_mb"] * 1024
    peak = 0
    noted_at = 0.0
    while monotonic() < end:
        status = read_status(process.pid)
        peak = max(peak, status["RssAnon"])
        if monotonic() - noted_at > 1:
            noted_at = monotonic()
            record.note(
                f"limiter {VICTIM}: {status['RssAnon']} KiB anonymous of {status['VmRSS']} KiB resident,"
                f" limit {limit_kib:.0f}; {status['Threads']} threads, {status['descriptors']} descriptors"
            )
        if status["RssAnon"] > limit_kib:
            record.note(f"limiter {VICTIM}: {status['RssAnon']} KiB is over {limit_kib:.0f}: killed")
            process.kill()
            return False
        sleep(0.05)
    record.note(f"limiter {VICTIM}: at most {peak} KiB anonymous, limit {limit_kib:.0f}")
    return True


def read_status(pid: int) -> dict[str, int]:
    """Return figures of a process from /proc: sizes in KiB, and the number of its threads and descriptors."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    figures = {name: int(fields[name].split()[0]) for name in ("RssAnon", "VmRSS", "Threads")}
    return {**figures, "descriptors": len(list(Path(f"/proc/{pid}/fd").iterdir()))}


class UsualClient:
    """A sound client that sends a request every half second, on a connection that it keeps."""

    def __init__(self, fleet: Fleet, number: int, end: float) -> None:
        self.fleet = fleet
        self.number = number
        self.end = end
        self.answered = 0

    def run(self) -> None:
        """Send requests until the end."""
        client: Client | None = None
        while monotonic() < self.end:
            with contextlib.suppress(OSError):
                if client is None or client.ended_at is not None:
                    client = Client(self.fleet, VICTIM)
                fields = b"c=grid-fetch,t=national,d=4000,units=1,spread=3,first=0"
                count = len(client.answers)
                client.send(encode(b"CALL.GET", b"%016x" % (100 + self.number), b"%016x" % next(IDS), fields))
                self.answered += client.wait_for(count + 1, 4.0)
            sleep(0.5)


def start_flood(port: int) -> subprocess.Popen[bytes]:
    """Start a process that plays a part of the bad clients."""
    return subprocess.Popen([sys.executable, "-B", __file__, "flood", str(port)])


def flood(port: int) -> None:
    """Play a part of the bad clients, each in a thread, for SECONDS at most."""
    for _ in range(BAD_CLIENTS // BAD_PROCESSES):
        threading.Thread(target=play_bad_client, args=(port,), daemon=True).start()
    sleep(SECONDS)


def play_bad_client(port: int) -> None:
    """Send half a command, stay and read; once turned away, do the same again."""
    sleep(random.uniform(0, START_SECONDS))
    key = b"%016x" % random.getrandbits(64)
    fields = b"c=solve-submit,t=national,d=8000,k=%b,units=1,spread=3,first=0" % key
    command = encode(b"CALL.POST", b"%016x" % 7, key, fields, b"x" * 64 * 1024)
    while True:
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=10) as connection:
                connection.sendall(command[:HALF])
                while connection.recv(4096):
                    pass
        except OSError:
            sleep(0.05)


if __name__ == "__main__":
    if sys.argv[1:2] == ["flood"]:
        flood(int(sys.argv[2]))
    else:
        run_case(__file__, play)
