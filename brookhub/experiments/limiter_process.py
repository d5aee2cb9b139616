"""One process of the program in a lab: started, signalled, ended by its id, its log read."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Callable

ENDS_IN = 6.0  # s for a limiter to end after SIGTERM, longer than its longest client timeout


def free_port(address: str, kind: int = socket.SOCK_STREAM) -> int:
    """A port of an address that nobody uses now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Limiter:
    """One process of the program, started again at the same address as often as asked.

    `write_config` writes its start file to `config` before each start.
    """

    def __init__(
        self, index: int, address: str, folder: Path, write_config: Callable[[Limiter], None]
    ) -> None:
        self.index, self.address, self.write_config = index, address, write_config
        self.at = (self.address, free_port(self.address))
        self.udp = (self.address, free_port(self.address, socket.SOCK_DGRAM))
        self.config = folder / f"n{index}.json"
        self.log_path = folder / f"n{index}.log"
        self.process: subprocess.Popen | None = None
        self.starts = 0

    def start(self) -> None:
        """Start the process; it may not be ready yet."""
        self.starts += 1
        self.write_config(self)
        environment = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
        with open(self.log_path, "a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "brookhub"],
                stderr=log,
                stdout=log,
                env={**environment, "NODE_CONFIG": str(self.config)},
            )

    def ready(self) -> bool:
        """Whether it answers PING."""
        with suppress(OSError, ValueError), socket.create_connection(self.at, 1.0) as sock:
            sock.settimeout(1.0)
            sock.sendall(b"*1\r\n$4\r\nPING\r\n")
            return sock.recv(64) == b"+PONG\r\n"
        return False

    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def hit(self, number: int) -> None:
        """Send it a signal, if it runs."""
        if self.alive():
            self.process.send_signal(number)

    def end(self, number: int = signal.SIGKILL) -> None:
        """Have it end by a signal, and kill it where that takes too long."""
        if self.process is not None:
            self.hit(signal.SIGCONT)  # a stopped process would not hear SIGTERM
            self.hit(number)
            with suppress(subprocess.TimeoutExpired):
                self.process.wait(ENDS_IN)
            if self.alive():
                self.process.kill()
                self.process.wait()

    def lines(self) -> list[dict]:
        """Its structured log so far, all starts."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines() if self.log_path.exists() else ():
            with suppress(ValueError):
                found.append(json.loads(line))
        return found
