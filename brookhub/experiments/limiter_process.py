"""A limiter process of an experiment: its start, signals and end, and the reading of its log."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from ..fakes import Endpoint

LogLine = dict[str, Any]  # A parsed line of a limiter's structured log.
# Maximum seconds from SIGTERM to the end of the process; longer than the longest client timeout.
SHUTDOWN_TIMEOUT = 6.0
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"


def free_endpoint(address: str, kind: int = socket.SOCK_STREAM) -> Endpoint:
    """Return an endpoint at an IP address, with a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        endpoint: Endpoint = probe.getsockname()
        return endpoint


class Limiter:
    """A limiter's process. It can be restarted and has the same endpoints each time.

    The owner has to call `end`.

    Attributes:
        index: Index of the limiter in its fleet.
        address: IP address of the limiter.
        write_config: Writes the start file to `config_path`; called before each start.
        source_folder: Folder from which the process imports `brookhub`; None to import it as this process
            does. It may be changed between two starts.
        endpoint: Endpoint for clients.
        udp_endpoint: Endpoint for peers.
        config_path: Path of the start file, which is in the `folder` given to the constructor. If there is a
            source folder, that path must be absolute.
        log_path: Path of the log, in the same folder.
        starts: Number of times the process was started.
    """

    def __init__(
        self,
        index: int,
        address: str,
        folder: Path,
        write_config: Callable[[Limiter], None],
        source_folder: Path | None = None,
    ) -> None:
        self.index = index
        self.address = address
        self.write_config = write_config
        self.source_folder = source_folder
        self.endpoint = free_endpoint(address)
        self.udp_endpoint = free_endpoint(address, socket.SOCK_DGRAM)
        self.config_path = folder / f"n{index}.json"
        self.log_path = folder / f"n{index}.log"
        self.log_lock = threading.Lock()  # Guards log_lines and log_offset.
        self.log_lines: list[LogLine] = []  # Lines read so far.
        self.log_offset = 0  # Number of bytes read so far.
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    @property
    def name(self) -> str:
        """Name of the limiter in its fleet."""
        return f"n{self.index}"

    def start(self) -> None:
        """Start the process without waiting until it is ready."""
        self.starts += 1
        self.write_config(self)
        environment = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
        with open(self.log_path, "a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "brookhub"],
                stderr=log,
                stdout=log,
                env={**environment, "NODE_CONFIG": str(self.config_path)},
                cwd=self.source_folder,  # `python -m` searches the working directory first for the package.
            )

    def is_ready(self) -> bool:
        """Return whether the limiter answers PING."""
        with suppress(OSError, ValueError), socket.create_connection(self.endpoint, 1.0) as connection:
            connection.settimeout(1.0)
            connection.sendall(PING)
            return connection.recv(64) == PONG
        return False

    def is_alive(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.is_alive():
            self.process.send_signal(number)

    def end(self, number: int = signal.SIGKILL) -> None:
        """End the process by a signal and wait for its end; kill it after SHUTDOWN_TIMEOUT."""
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)  # A stopped process would not handle SIGTERM.
        self.send_signal(number)
        with suppress(subprocess.TimeoutExpired):
            self.process.wait(SHUTDOWN_TIMEOUT)
        if self.is_alive():
            self.process.kill()
            self.process.wait()

    def kill(self) -> None:
        """Kill the process without waiting for its end; call `end` afterwards to wait."""
        self.send_signal(signal.SIGKILL)

    def lines(self) -> list[LogLine]:
        """Return the structured log since the first start. Reads only the lines added since the last call."""
        with self.log_lock:
            if self.log_path.exists():
                self.read_log()
            return list(self.log_lines)

    def read_log(self) -> None:
        """Read the complete lines that were added to the log. The caller must hold `log_lock`."""
        with open(self.log_path, "rb") as log:
            log.seek(self.log_offset)
            added = log.read()
        complete = added[: added.rfind(b"\n") + 1]
        self.log_offset += len(complete)
        for line in complete.decode(errors="replace").splitlines():
            with suppress(ValueError):
                self.log_lines.append(json.loads(line))
