"""One process of the program in a lab: started, signalled, ended by its id, its log read."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
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

    `write_config` writes its start file to `config` before each start. The process imports `brookhub` from
    `source_folder`, or from where this process runs if that is None; it may be changed between two starts.
    `folder` has to be absolute where a source folder is given.
    """

    def __init__(
        self,
        index: int,
        address: str,
        folder: Path,
        write_config: Callable[[Limiter], None],
        source_folder: Path | None = None,
    ) -> None:
        self.index, self.address, self.write_config = index, address, write_config
        self.source_folder = source_folder
        self.at = (self.address, free_port(self.address))
        self.udp = (self.address, free_port(self.address, socket.SOCK_DGRAM))
        self.config = folder / f"n{index}.json"
        self.log_path = folder / f"n{index}.log"
        # Guards the two below: the log's lines so far, and the bytes of it that were read
        self.log_lock = threading.Lock()
        self.log_lines: list[dict] = []
        self.log_offset = 0
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
                cwd=self.source_folder,  # `python -m` looks there first for the package
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
        """Its structured log so far, all starts. Only what was added since the last call is read."""
        with self.log_lock:
            if self.log_path.exists():
                self.read_log()
            return list(self.log_lines)

    def read_log(self) -> None:
        """Read the whole lines that were added to the log. Called under `log_lock`."""
        with open(self.log_path, "rb") as log:
            log.seek(self.log_offset)
            added = log.read()
        whole = added[: added.rfind(b"\n") + 1]
        self.log_offset += len(whole)
        for line in whole.decode(errors="replace").splitlines():
            with suppress(ValueError):
                self.log_lines.append(json.loads(line))
