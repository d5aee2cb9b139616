"""The gateway process, which creates its components, runs them and shuts them down.

`main` is the entry point. The main thread waits for signals; all other work is done in the threads of the
connections, the listener and the timers.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path
from random import Random
from time import monotonic, sleep, time
from typing import TYPE_CHECKING

from ..policy import Gateway
from ..protocol.server_list import format_address
from ..routing.clients import Clients
from ..routing.connections import Reconnector
from ..routing.counter import CounterClient
from ..routing.discovery import DiscoveryClient
from ..routing.port import SocketGatewayPort
from ..routing.upstreams import UpstreamConnections
from ..transport.sockets import Listener
from ..transport.threads import start_thread, use_small_stacks
from . import limits, log, start_file
from .start_file import Address, StartError, StartFile

if TYPE_CHECKING:  # Imported at run time only if the start file needs them, to save memory.
    from ..maintenance import Plan
    from ..routing.maintenance import MaintenanceDriver
    from ..routing.peers import Peers
    from ..routing.recovery import RecoveryDriver

UNUSABLE_START_FILE = 2  # Exit code.
TIMER_RESOLUTION = 0.001  # Minimum seconds of sleep of the timer thread; a wake-up costs a thread switch.
GARBAGE_THRESHOLD = 5000  # Objects created between two collections; about 100 requests create as many.
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}

# Shutdown times in seconds. SIGKILL may follow 0.7 s after the longest client timeout has passed.
ACCEPT_TIME = 0.45  # The load balancer still sends new connections until 0.4 s after SIGTERM.
MAX_CLIENT_TIMEOUT = 3.0  # Maximum client timeout that the shutdown waits for.
DRAIN_GRACE = 0.2  # Additional time for responses after the longest client timeout.
DRAIN_POLL_INTERVAL = 0.02
FLUSH_TIME = 0.1  # Time to write the last responses.
LOG_FLUSH_TIME = 0.05  # Maximum time to write the last log lines.


class GatewayProcess:
    """A gateway that serves on sockets.

    Unless documented otherwise, its methods are called by the main thread without the event loop's lock.
    """

    def __init__(self, start: StartFile) -> None:
        """Create all components. Raises StartError if the start file cannot be used on this machine."""
        self.start = start
        self.log = log.open_log(start.name)
        self.connection_log = log.ConnectionLogger(self.log)
        self.random = Random(start.seed).random
        timeouts = [route.client_timeout for route in start.gateway_settings.routes]
        self.max_client_timeout = max(timeouts, default=MAX_CLIENT_TIMEOUT)
        self.port = SocketGatewayPort(self.log_internal_error, TIMER_RESOLUTION, self.log_suspension)
        self.upstreams = UpstreamConnections(self.port, self.connection_log, limits.upstream_settings(start))
        self.port.upstreams = self.upstreams
        self.discovery = self.create_discovery()
        self.counter = self.create_counter() if start.counter else None
        if self.counter:
            self.port.counter = self.counter
        self.clients = Clients(
            self.port,
            self.connection_log,
            start.gateway_settings,
            self.discovery.has_had_server,
            limits.client_limits(start),
        )
        self.port.gateway = Gateway(self.port, start.seed, start.gateway_settings, limits.max_accounts(start))
        self.recovery = self.create_recovery()
        self.peers = self.create_peers()
        self.maintenance = self.create_maintenance()
        if start.initial_server_list:
            self.port.run(monotonic(), self.discovery.on_update, start.initial_server_list)
        self.listener = self.create_listener()

    # Creation of the components

    def create_discovery(self) -> DiscoveryClient:
        """Create the discovery client."""
        start = self.start
        settings = limits.discovery_reconnect_settings(start.gateway_settings)

        def create_reconnector(address: Address) -> Reconnector:
            return Reconnector(
                "discovery",
                address,
                settings,
                self.random,
                self.connection_log,
                self.log_internal_error,
            )

        clock_offset = time() - monotonic()
        return DiscoveryClient(
            self.port,
            create_reconnector,
            start.zones,
            start.kinds,
            clock_offset,
            limits.DISCOVERY_READ_TIMEOUT,
        )

    def create_counter(self) -> CounterClient:
        """Create the client of the shared counter."""

        def create_reconnector(address: Address) -> Reconnector:
            return Reconnector(
                "counter",
                address,
                limits.COUNTER_RECONNECT_SETTINGS,
                self.random,
                self.connection_log,
                self.log_internal_error,
            )

        return CounterClient(
            self.port,
            create_reconnector,
            self.start.gateway_settings.counter_timeout,
            limits.COUNTER_CONNECTIONS,
            limits.COUNTER_READ_TIMEOUT,
        )

    def create_peers(self) -> Peers | None:
        """Create the fleet membership if the start file names peers and the settings allow peer messages.

        Otherwise return None without opening a socket, starting a thread or importing the module.
        """
        path = self.start.membership_path
        if path is None:
            return None
        file = start_file.read_membership_file(path)
        if not self.start.allows_peer_messages:
            self.log.warning("membership disabled", reason="the settings do not allow peer messages")
            return None
        from ..routing.peers import Peers

        try:
            return Peers(self.port, self.log, start_file.peer_settings(file), self.start.seed)
        except OSError as error:
            raise StartError(f"membership: can't listen at {file.listen}: {error.strerror}") from None

    def create_recovery(self) -> RecoveryDriver | None:
        """Create the counter's recovery if the start file names its file and the settings have a counter.

        Otherwise return None without importing the module.
        """
        start = self.start
        if start.recovery_path is None:
            return None
        file = start_file.read_recovery_file(start.recovery_path)
        if not start.counter:
            self.log.warning("recovery disabled", reason="the settings have no counter")
            return None
        from ..recovery import RecoverySettings
        from ..routing.recovery import RecoveryDriver, RecoveryDriverSettings

        settings = RecoveryDriverSettings(
            start.gateway_settings.index,
            start.gateway_settings.gateways,
            RecoverySettings(file.beat_s, file.missing_most),
            Path(file.ledger) if file.ledger else None,
        )
        driver = RecoveryDriver(self.port, self.log, settings, Random(start.seed ^ 1).random)
        self.port.recovery = driver.recovery
        return driver

    def create_maintenance(self) -> MaintenanceDriver | None:
        """Create the maintenance driver if the start file names a plan and there are peers."""
        path = self.start.maintenance_path
        if not self.peers or not path:
            return None
        plan = start_file.read_plan_if_present(path)
        from ..maintenance import Settings
        from ..routing.maintenance import MaintenanceDriver

        settings = Settings(request_timeout_s=self.max_client_timeout)
        driver = MaintenanceDriver(self.port, self.log, self.peers, self.discovery, settings)
        if plan:
            self.port.run(monotonic(), self.submit_plan, driver, plan)
        return driver

    def create_listener(self) -> Listener:
        """Create the socket that accepts clients. Called after all other components were created.

        A connection that is opened before the gateway can serve waits in the system's backlog, and the time
        limit of its request starts only when the request is read. When the socket was opened before the
        operators' files were read, requests were answered up to 0.5 s after their deadline.
        """
        host, port = self.start.listen
        try:
            return Listener(self.start.listen)
        except OSError as error:
            raise StartError(f"can't listen at {host}:{port}: {error.strerror}") from None

    # Callbacks of the components

    def submit_plan(self, driver: MaintenanceDriver, plan: Plan) -> None:
        """Submit a maintenance plan, and log a rejection. Called with the event loop's lock held."""
        rejection = driver.submit_plan(plan)
        if rejection:
            self.port.defer(lambda: self.log.error("plan submission failed", reason=rejection))

    def log_internal_error(self, error: BaseException) -> None:
        """Log an unhandled error with its traceback. Called by any thread."""
        self.log.error("internal error", exc_info=error)

    def log_suspension(self, seconds: float) -> None:
        """Log that this process was suspended for `seconds`. Called by any thread."""
        self.log.warning("process was suspended", seconds=round(seconds, 2))

    # Startup, reload and shutdown

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the accepted requests. SIGHUP reloads the start file."""
        use_small_stacks()
        gc.freeze()  # The objects that exist now are kept until the process exits.
        gc.set_threshold(GARBAGE_THRESHOLD)
        self.start_parts()
        self.log.info("serving")
        while signal.sigwait(SIGNALS) == signal.SIGHUP:
            self.reload()
        self.shut_down(monotonic())

    def start_parts(self) -> None:
        """Start the threads and the periodic tasks of all components."""
        port = self.port
        port.run(monotonic(), self.upstreams.retire_idle)
        port.run(monotonic(), self.clients.close_stale_connections)
        start_thread(port.run_timers)
        if self.counter and self.start.counter:
            port.run(monotonic(), self.counter.set_address, self.start.counter)
            port.run(monotonic(), self.counter.send_heartbeats)
        if self.recovery:
            port.run(monotonic(), self.recovery.start)
        port.run(monotonic(), self.discovery.set_address, self.start.discovery)
        if self.peers:
            self.peers.start()
        if self.maintenance:
            port.on_request_finished = self.maintenance.on_request_finished
            port.run(monotonic(), self.maintenance.start)
        start_thread(self.listener.accept_until_closed, self.clients.on_accepted, self.clients.slots)

    def reload(self) -> None:
        """Reload the start file and apply its discovery and counter addresses, peers and maintenance plan.

        All other changes take effect at the next start. An unusable file is logged and changes nothing.
        """
        try:
            start = start_file.read(os.environ, reload=True)
            peers = None
            if self.peers and start.membership_path:
                peers = start_file.peer_settings(start_file.read_membership_file(start.membership_path))
            plan = None
            if self.maintenance and start.maintenance_path:
                plan = start_file.read_plan_if_present(start.maintenance_path)
        except StartError as error:
            self.log.error("reload failed", reason=str(error))
            return
        self.port.run(monotonic(), self.discovery.set_address, start.discovery)
        if self.counter and start.counter:
            self.port.run(monotonic(), self.counter.set_address, start.counter)
        if self.peers and peers:
            self.port.run(monotonic(), self.peers.update_peers, peers)
        if self.maintenance and plan:
            self.port.run(monotonic(), self.submit_plan, self.maintenance, plan)
        needs_restart = (
            start.gateway_settings != self.start.gateway_settings or start.listen != self.start.listen
        )
        self.log.info(
            "reloaded",
            discovery=format_address(start.discovery),
            restart_required=needs_restart,
            counter=format_address(start.counter) if start.counter else None,
        )

    def shut_down(self, signalled_at: float) -> None:
        """Drain the clients and stop.

        `signalled_at` is the monotonic time in seconds at which the signal was received.
        """
        self.log.info("stopping")
        if self.peers:
            self.port.run(signalled_at, self.peers.leave)
        deadline = signalled_at + min(MAX_CLIENT_TIMEOUT, self.max_client_timeout) + DRAIN_GRACE
        self.port.run(signalled_at, self.clients.begin_shutdown)
        sleep(ACCEPT_TIME)
        self.listener.close(limits.LINGER_TIME / 4)
        self.port.run(monotonic(), self.clients.drain)
        while self.clients.connections and monotonic() < deadline:
            sleep(DRAIN_POLL_INTERVAL)
        if self.clients.connections:
            self.port.run(monotonic(), self.clients.fail_open_requests)
            sleep(FLUSH_TIME)
        self.log.info("stopped", connections=len(self.clients.connections))


def main() -> int:
    """Serve until a signal ends the program. Returns an exit code only if the program cannot start."""
    # Set before the first thread starts, so that all threads inherit it. An early signal stays pending until
    # `sigwait`.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        process = GatewayProcess(start_file.read(os.environ))
    except StartError as error:
        print(f"brookhub: {error}", file=sys.stderr)
        return UNUSABLE_START_FILE
    process.run()
    log.writer.flush(LOG_FLUSH_TIME)
    os._exit(0)  # Also ends the threads that are blocked on sockets.
