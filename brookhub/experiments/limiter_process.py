"""A limiter of an experiment: one process of the program, started, signalled and ended by its id, its log."""

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

LogLine = dict[str, Any]  # a line of the program's structured log
SHUTDOWN_TIMEOUT = 6.0  # s for a limiter to end after SIGTERM, longer than the longest client timeout
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"


def free_endpoint(address: str, kind: int = socket.SOCK_STREAM) -> Endpoint:
    """An IP address with a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        endpoint: Endpoint = probe.getsockname()
        return endpoint


class Limiter:
    """A limiter's process, which may be started again, always at the same endpoints.

    `write_config` writes its start file to `config` before each start. The process imports `brookhub` from
    `source_folder`, or from where this process runs if that is None; it may be changed between two starts.
    `folder` gets the start file and the log; it has to be absolute where a source folder is given. `starts`
    counts the starts. The owner ends the process by `end`.
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
        self.config = folder / f"n{index}.json"
        self.log_path = folder / f"n{index}.log"
        # Guards the next two: the log's lines so far, and the number of bytes read
        self.log_lock = threading.Lock()
        self.log_lines: list[LogLine] = []
        self.log_offset = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    @property
    def name(self) -> str:
        """Its name in the fleet."""
        return f"n{self.index}"

    def start(self) -> None:
        """Start the process; it is not ready yet."""
        self.starts += 1
        self.write_config(self)
        environment = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
        with open(self.log_path, "a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "brookhub"],
                stderr=log,
                stdout=log,
                env={**environment, "NODE_CONFIG": str(self.config)},
                cwd=self.source_folder,  # `python -m` looks there first for the package
            )

    def ready(self) -> bool:
        """Whether it answers PING."""
        with suppress(OSError, ValueError), socket.create_connection(self.endpoint, 1.0) as connection:
            connection.settimeout(1.0)
            connection.sendall(PING)
            return connection.recv(64) == PONG
        return False

    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.alive():
            self.process.send_signal(number)

    def end(self, number: int = signal.SIGKILL) -> None:
        """End the process by a signal and wait for it; after SHUTDOWN_TIMEOUT it is killed."""
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)  # a stopped process would not get SIGTERM
        self.send_signal(number)
        with suppress(subprocess.TimeoutExpired):
            self.process.wait(SHUTDOWN_TIMEOUT)
        if self.alive():
            self.process.kill()
            self.process.wait()

    def kill(self) -> None:
        """Kill the process without waiting for its end, which `end` does afterwards."""
        self.send_signal(signal.SIGKILL)

    def lines(self) -> list[LogLine]:
        """The structured log so far, of all starts. Reads only what was added since the last call."""
        with self.log_lock:
            if self.log_path.exists():
                self.read_log()
            return list(self.log_lines)

    def read_log(self) -> None:
        """Read the complete lines that were added to the log. Needs `log_lock`."""
        with open(self.log_path, "rb") as log:
            log.seek(self.log_offset)
            added = log.read()
        complete = added[: added.rfind(b"\n") + 1]
        self.log_offset += len(complete)
        for line in complete.decode(errors="replace").splitlines():
            with suppress(ValueError):
                self.log_lines.append(json.loads(line))
