"""Wires the parts together, runs them, and ends them when asked to."""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path
from random import Random
from time import monotonic, sleep, time

from ..policy import Gateway
from ..routing.clients import ClientLimits, Clients
from ..routing.connections import Reconnector
from ..routing.counter import Counter
from ..routing.discovery import Discovery
from ..routing.port import SocketPort
from ..routing.servers import Servers
from ..site import GatewaySettings
from ..transport.sockets import Listener
from ..transport.threads import small_stacks, spawn
from . import log, start_file
from .start_file import Start, StartError

SPARE = 24  # descriptors kept for the log, the listener, discovery and what is being closed
COUNTER_LINKS = 2  # enough to have one while the other is dialled anew
SERVER_PART = 0.25  # of the descriptors, for connections to servers: they are few for each, clients are many
# Of the memory, for answers not read by one client, by all; also bodies, values
CLIENT_HELD, ALL_HELD = 0.005, 0.2
LARGEST = 1 / 64  # of the memory, for one value of a server
STALLED = 20.0  # s that a client may leave its answers unread
MUTE, IDLE = 2.0, 4.0  # s until a client's connection is closed on which nothing whole came, or nothing since
LINGER = 1.0  # s for a client to hear that its connection ends
IDLE_PART = 0.5  # of the time after which servers close idle connections: they are left well before
# Seconds after an answer in which more than belongs to it may yet come: second ones were seen 3.9 ms late.
SETTLE = 0.01
COUNTER_CONNECT, COUNTER_SILENT = 0.5, 1.0  # s to come up; s without a word while calls wait
DISCOVERY_CONNECT, DISCOVERY_SILENT = 1.0, 4.5  # s to come up; s without a line: two are due every 4 s
PAUSES = (0.05, 1.0)  # s between two dials, doubled while they bring nothing
# Seconds of pause for each gateway where lists are asked for: discovery has them all to answer, one by one
LIST_TAKES = 0.1
LIST_SOON, LIST_LATE = 0.5, 2.0  # shares of the time to ask in: the longest first pause, the longest of all
# Seconds after discovery was last heard until it is called again: a change counts as told 6 s after it had it
# and could be reached, whatever became of the calls before, and the answer needs a moment
LIST_AGAIN = 5.25
GRAIN = 0.001  # s between looks at the timers: each costs a thread's wake; no timer is that exact
GARBAGE = 5000  # objects made between two looks for garbage in cycles: that of about a hundred API calls
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
# Seconds after SIGTERM while new connections still come: 0.4 s, and some way; what waits then is taken
ACCEPTS_ON = 0.45
# Seconds after SIGTERM by which all is answered: the longest client timeout, this at the most, and some more;
# SIGKILL may come 0.7 s after that
LONGEST, AFTER = 3.0, 0.2


def list_pauses(settings: GatewaySettings) -> tuple[float, float]:
    """The pauses (s) between two dials of discovery, the first and the longest.

    Where lists are asked for, its line is that of the whole fleet, and what all ask at one moment it answers
    late or not at all: each waits for its part.
    """
    if not settings.polls_server_list:
        return PAUSES
    first = max(PAUSES[0], min(LIST_TAKES * settings.gateways, LIST_SOON * settings.server_list_max_age))
    return first, max(first, PAUSES[1], LIST_LATE * settings.server_list_max_age)


class Program:
    """One gateway on sockets."""

    def __init__(self, start: Start):
        """Raises StartError where the start file asks for what can't be had."""
        self.start = start
        self.log = log.open_log(start.name)
        self.ends = log.Ends(self.log)
        self.chance = Random(start.seed).random
        self.longest = max((route.client_timeout for route in start.gateway_settings.routes), default=LONGEST)
        self.port = port = SocketPort(self.fault, GRAIN, self.woken)
        self.servers_most = max(8, int(start.sockets * SERVER_PART))
        port.servers = self.make_servers()
        port.discovery = self.discovery = self.make_discovery()
        if start.counter:
            port.counter = self.make_counter()
        self.clients = self.make_clients()
        port.gateway = Gateway(port, start.seed, start.gateway_settings)
        self.recovering = self.recover(start)
        self.peers = self.join(start)
        self.keeper = self.keep(start) if self.peers and start.maintenance else None
        if start.known:
            port.run(monotonic(), self.discovery.heard, start.known)
        self.listener = self.listen()

    def make_servers(self) -> Servers:
        """The connections to servers."""
        start = self.start
        return Servers(
            self.port,
            self.ends,
            start.connect_within,
            start.server_idle_for * IDLE_PART,
            SETTLE,
            self.servers_most,
            int(start.memory * LARGEST),
            int(start.memory * ALL_HELD),
        )

    def make_discovery(self) -> Discovery:
        """The watch on the server list."""
        start, pauses = self.start, list_pauses(self.start.gateway_settings)

        def reconnector(address: tuple[str, int]) -> Reconnector:
            return Reconnector(
                "discovery",
                address,
                DISCOVERY_CONNECT,
                pauses,
                self.chance,
                self.ends,
                self.fault,
                LIST_AGAIN,
            )

        ahead = time() - monotonic()
        return Discovery(self.port, reconnector, start.zones, start.kinds, ahead, DISCOVERY_SILENT)

    def make_counter(self) -> Counter:
        """The connections to the counter."""

        def reconnector(address: tuple[str, int]) -> Reconnector:
            return Reconnector(
                "counter", address, COUNTER_CONNECT, PAUSES, self.chance, self.ends, self.fault
            )

        wait = self.start.gateway_settings.counter_timeout
        return Counter(self.port, reconnector, wait, COUNTER_LINKS, COUNTER_SILENT)

    def make_clients(self) -> Clients:
        """The connections of clients; what descriptors the others leave."""
        start = self.start
        limits = ClientLimits(
            connections=max(8, start.sockets - self.servers_most - COUNTER_LINKS - SPARE),
            spare_connections=SPARE // 2,
            open_requests=start.most_calls,
            unread_bytes_of_one=int(start.memory * CLIENT_HELD),
            unread_bytes=int(start.memory * ALL_HELD),
            stalled_for=STALLED,
            lingers_for=LINGER,
            mute_for=MUTE,
            idle_for=IDLE,
        )
        return Clients(self.port, self.ends, start.gateway_settings, self.discovery.fit, limits)

    def listen(self) -> Listener:
        """Listen last.

        Who connects before requests are taken waits unseen, and its time begins once it is read.

        Listening before the operator's files were read, requests were answered up to 0.5 s after their
        deadline.
        """
        host, port = self.start.listen
        try:
            return Listener(self.start.listen)
        except OSError as broken:
            raise StartError(f"can't listen at {host}:{port}: {broken.strerror}") from None

    def join(self, start: Start):
        """The membership driver, where the start file names peers and the settings let limiters talk.

        Else nothing: no socket, no thread, and nothing of it imported.
        """
        if start.membership is None:
            return None
        spec = start_file.peers(start)
        if not start.may_talk:
            self.log.warning("membership refused", why="the settings do not allow peer messages")
            return None
        from ..routing.peers import Peers

        try:
            return Peers(self.port, self.log, spec, start.seed)
        except OSError as broken:
            raise StartError(f"membership: can't listen at {spec.listen}: {broken.strerror}") from None

    def recover(self, start: Start):
        """The driver of recovery, where the start file names its file and there is a counter.

        Else nothing of it is imported.
        """
        if start.recovery is None:
            return None
        spec = start_file.recovery(start)
        if not start.counter:
            self.log.warning("recovery refused", why="the settings have no counter")
            return None
        from ..recovery import RecoverySettings
        from ..routing.recovery import RecoveryDriver, RecoveryDriverSettings

        settings = RecoveryDriverSettings(
            start.gateway_settings.index,
            start.gateway_settings.gateways,
            RecoverySettings(spec.beat_s, spec.missing_most),
            Path(spec.ledger) if spec.ledger else None,
        )
        made = RecoveryDriver(self.port, self.log, settings, Random(start.seed ^ 1).random)
        self.port.recovery = made.recovery
        return made

    def keep(self, start: Start):
        """The driver of maintenance, where the start file names a plan and there are peers."""
        given = start_file.plan(start)
        from ..maintenance import Settings
        from ..routing.maintenance import Keeper

        keeper = Keeper(
            self.port, self.log, self.peers, self.discovery, Settings(request_timeout_s=self.longest)
        )
        if given:
            self.port.run(monotonic(), self.given, keeper, given)
        return keeper

    def given(self, keeper, plan) -> None:
        """Hand a plan of work to its driver; one that is refused is told in the log."""
        refused = keeper.give(plan)
        if refused:
            self.port.todo.append((lambda: self.log.error("plan not taken", why=refused),))

    def fault(self, met: BaseException) -> None:
        """What nobody expected: it is told with its trace, and the program goes on."""
        self.log.error("fault", exc_info=met)

    def woken(self, seconds: float) -> None:
        """This process stood still for so long."""
        self.log.warning("was stopped", seconds=round(seconds, 2))

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then answer what was taken; SIGHUP has the start file read again."""
        small_stacks()
        gc.freeze()  # what stands now stands to the end
        gc.set_threshold(GARBAGE)
        port = self.port
        port.run(monotonic(), port.servers.retire)
        port.run(monotonic(), self.clients.sweep)
        spawn("timers", port.run_timers)
        if port.counter:
            port.run(monotonic(), port.counter.move, self.start.counter)
            port.run(monotonic(), port.counter.beat)
        if self.recovering:
            port.run(monotonic(), self.recovering.start)
        port.run(monotonic(), self.discovery.move, self.start.discovery)
        if self.peers:
            self.peers.start()
        if self.keeper:
            self.port.watch = self.keeper.count
            self.port.run(monotonic(), self.keeper.start)
        spawn("accept", self.listener.run, self.clients.accepted)
        self.log.info("serving")
        while signal.sigwait(SIGNALS) == signal.SIGHUP:
            self.reload()
        self.stop(monotonic())

    def reload(self) -> None:
        """Read the start file again: discovery and the counter move to where it says.

        The rest holds from the next start on. One that can't be used changes nothing.
        """
        try:
            start = start_file.read(os.environ, again=True)
            peers = start_file.peers(start) if self.peers and start.membership else None
            plan = start_file.plan(start) if self.keeper else None
        except StartError as refused:
            return self.log.error("not reloaded", why=str(refused))
        self.port.run(monotonic(), self.discovery.move, start.discovery)
        if self.port.counter and start.counter:
            self.port.run(monotonic(), self.port.counter.move, start.counter)
        if peers:
            self.port.run(monotonic(), self.peers.relist, peers)
        if plan:
            self.port.run(monotonic(), self.given, self.keeper, plan)
        waits = start.gateway_settings != self.start.gateway_settings or start.listen != self.start.listen
        self.log.info(
            "reloaded",
            discovery="%s:%d" % start.discovery,
            waits_for_a_start=waits,
            counter="%s:%d" % start.counter if start.counter else None,
        )

    def stop(self, told_at: float) -> None:
        """Drain and end; `told_at`: when the signal came (s, monotonic)."""
        self.log.info("stopping")
        if self.peers:
            self.port.run(told_at, self.peers.leave)
        answers_by = told_at + min(LONGEST, self.longest) + AFTER
        self.port.run(told_at, self.clients.stop)
        sleep(ACCEPTS_ON)
        self.listener.close(LINGER / 4)
        self.port.run(monotonic(), self.clients.close)
        while self.clients.all and monotonic() < answers_by:
            sleep(0.02)
        if self.clients.all:
            self.port.run(monotonic(), self.clients.give_up_all)
            sleep(0.1)
        self.log.info("stopped", connections=len(self.clients.all))


def main() -> int:
    """Serve until a signal ends the program; exit code 2 where it can't start."""
    # Before the first thread; one that comes early waits its turn
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        program = Program(start_file.read(os.environ))
    except StartError as refused:
        print(f"brookhub: {refused}", file=sys.stderr)
        return 2
    program.run()
    os._exit(0)  # the threads that wait on sockets end with it
