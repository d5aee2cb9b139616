"""Case 2: a repeat whose connection comes up late is sent after the time in which servers drop repeats."""

from __future__ import annotations

import copy
import socket
import threading
from time import monotonic, sleep

from standins import SETTINGS, CannotRunError, Client, Fleet, Record, Server, encode, run_case, with_trouble

from brookhub.protocol.server_list import format_address

WINDOW = 2.0  # window_s of solve-submit: "a shorter window for repeats" than the site's 8 s.
CONNECT_TIMEOUT = 1.5  # connect_timeout_s; connections that come up late do so within "up to 1.5 s".
SLACK = 0.05  # "every time limit is 50 ms longer".
LONG_WORK = 1.4  # Seconds of work of a solve-submit; the limiter gives up on it after 1.25 s.
SHORT_WORK = 0.15  # Seconds of work of the requests that open connections before.
WARM_UP = 8  # Requests to each limiter, at once, before the one that counts.
JOIN_AFTER = 0.4  # Seconds after which discovery lists a second server in each hall.
ACCEPT_AFTER = 1.8  # Seconds after which these servers accept; the system's next try is 1 s after the first.
DEADLINE = 8.0
HALLS = ("hall-a", "hall-b", "hall-c")


class LateServer(Server):
    """A server whose connections come up late: until `accept`, its queue of new connections is full."""

    def listen(self, endpoint: tuple[str, int]) -> None:
        """Open the listener with the shortest queue, and do not accept yet."""
        self.listener = socket.create_server(endpoint, backlog=0)
        self.endpoint = self.listener.getsockname()
        self.address = format_address(self.endpoint)
        self.filler: socket.socket | None = None

    def fill(self) -> None:
        """Fill the queue, so that the system leaves further connection attempts without an answer."""
        self.filler = socket.create_connection(self.endpoint, timeout=5)

    def accept(self) -> None:
        """Accept connections from now on."""
        self.listener.listen(128)
        if self.filler:
            self.filler.close()
        threading.Thread(target=self.accept_all, args=(self.listener,), daemon=True).start()


class Halls:
    """What the servers run. The servers of a hall drop a repeat of a key for WINDOW seconds."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.lock = threading.Lock()
        self.arrivals: dict[bytes, list[float]] = {}  # By key: when each attempt arrived whole.
        self.runs: dict[bytes, list[float]] = {}  # By key: when it was run.

    def on_run(self, server: Server, words: list[bytes]) -> bytes:
        """Run a command, or drop it as a repeat."""
        fields = dict(field.split(b"=", 1) for field in words[3].split(b","))
        key = fields.get(b"k")
        if key is None:
            return words[2]
        now = monotonic()
        with self.lock:
            self.arrivals.setdefault(key, []).append(now)
            runs = self.runs.setdefault(key, [])
            is_repeat = bool(runs) and now - runs[0] <= WINDOW + SLACK
            if not is_repeat:
                runs.append(now)
            age = now - self.arrivals[key][0]
        what = "drops the repeat" if is_repeat else "RUNS"
        self.record.note(
            f"{server.name} ({server.zone}) {what} {key.decode()}, {age:.3f} s after its first attempt"
        )
        return words[2]


def work_of(server: Server, words: list[bytes]) -> float:
    """Return the seconds of a command's work."""
    is_first = b"c=solve-submit" in words[3] and not isinstance(server, LateServer)
    return LONG_WORK if is_first else SHORT_WORK


def play(record: Record) -> bool:
    """Send a tokened request to each limiter; return whether no key was sent again after the window."""
    settings = copy.deepcopy(SETTINGS)
    settings["classes"][2]["window_s"] = WINDOW
    settings["limits"]["connect_timeout_s"] = CONNECT_TIMEOUT
    halls = Halls(record)
    first = [Server(f"s-{hall}-1", hall, work_of, halls.on_run) for hall in HALLS]
    second = [LateServer(f"s-{hall}-2", hall, work_of, halls.on_run) for hall in HALLS]
    fleet = Fleet(record, list(first), settings=settings)
    try:
        fleet.start()
        sleep(3)  # The limiters connect to the counter, and their shares of the quotas fill.
        clients = [Client(fleet, index) for index in range(len(fleet.ports))]
        connections = warm_up(record, clients, first)
        if with_trouble():
            for server in second:
                server.fill()
        else:
            for server in second:
                server.accept()
        send_submits(record, clients)
        sleep(JOIN_AFTER)
        fleet.servers += second
        fleet.discovery.hosts = [server.entry() for server in fleet.servers]
        fleet.discovery.push(*[server.entry() for server in second])
        record.note("discovery lists a second server in each hall")
        sleep(ACCEPT_AFTER - JOIN_AFTER)
        if with_trouble():
            for server in second:
                server.accept()
        late = len(clients)  # Each limiter makes one attempt at a second server.
        record.note(f"connections to servers: {connections} on time, at most {late} late")
        if 3 * late > connections + late:
            raise CannotRunError("more than a third of the connections are late")
        for client in clients:
            client.wait_for(WARM_UP + 1, DEADLINE)
            record.note(f"limiter {clients.index(client)} answered: {client.answers[WARM_UP:]}")
    finally:
        fleet.stop()
    return judge(record, halls)


def warm_up(record: Record, clients: list[Client], servers: list[Server]) -> int:
    """Have the limiters open connections; return how many there are."""
    for index, client in enumerate(clients):
        for number in range(WARM_UP):
            request_id = b"%016x" % (1000 * (index + 1) + number)
            fields = b"c=grid-fetch,t=national,d=4000,units=1,spread=3,first=0"
            client.send(encode(b"CALL.GET", b"%016x" % (100 + number), request_id, fields))
    for client in clients:
        if not client.wait_for(WARM_UP, 5):
            raise CannotRunError("the first requests are not answered")
    sleep(0.5)
    return sum(len(server.connections) for server in servers)


def send_submits(record: Record, clients: list[Client]) -> None:
    """Send a tokened request to each limiter."""
    for index, client in enumerate(clients):
        key = b"key-%d" % index
        fields = b"c=solve-submit,t=national,d=8000,k=%b,units=1,spread=3,first=0" % key
        client.send(encode(b"CALL.POST", b"%016x" % (100 + index), b"%016x" % (1 + index), fields, b"body"))
        record.note(f"client sends {key.decode()} to limiter {index}")


def judge(record: Record, halls: Halls) -> bool:
    """Return whether every attempt of a key arrived within the window of its first one."""
    if len(halls.arrivals) < len(HALLS):
        raise CannotRunError("not every tokened request was sent to a server")
    late = 0
    for key, arrivals in sorted(halls.arrivals.items()):
        ages = [round(at - arrivals[0], 3) for at in arrivals]
        record.note(f"{key.decode()}: attempts after {ages} s, run {len(halls.runs[key])} times")
        late += ages[-1] > WINDOW + SLACK
    record.note(f"keys sent again after the window of {WINDOW} s: {late}")
    return late == 0


if __name__ == "__main__":
    run_case(__file__, play)
