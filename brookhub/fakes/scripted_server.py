"""A fake upstream server that follows a script."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterable
from enum import StrEnum
from typing import BinaryIO

from .listener import FakeListener
from .resp import read_command

ANSWER = b"*3\r\n$2\r\nok\r\n$6\r\ncost=1\r\n$-1\r\n"
HALF_ANSWER = b"*3\r\n$10\r\nha"


class Behaviour(StrEnum):
    """What becomes of a request without a complete answer."""

    CLOSE = "close"  # the connection is closed
    HALF = "half"  # it is closed after half an answer
    SILENT = "silent"  # no answer, until the client ends the connection


Step = bytes | float | str  # an answer, the duration (s) of a request that is then echoed, or a Behaviour


class FakeServer(FakeListener):
    """An upstream server. Each request takes the next step of `script`; without one it gets `ANSWER`.

    `requests` holds the commands received, `connection_count` counts the connections. `lock` guards `script`
    and `requests`.
    """

    def __init__(self, script: Iterable[Step] = ()) -> None:
        self.script = list(script)
        self.requests: list[list[bytes]] = []
        self.connection_count = 0
        self.lock = threading.Lock()
        super().__init__()

    def serve(self, connection: socket.socket, lines: BinaryIO) -> None:
        """Answer the requests of a connection by the script."""
        self.connection_count += 1
        while True:
            command = read_command(lines)
            with self.lock:
                self.requests.append(command)
                step = self.script.pop(0) if self.script else ANSWER
            if isinstance(step, bytes):
                connection.sendall(step)
            elif isinstance(step, float):
                time.sleep(step)
                key = command[2]
                connection.sendall(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(key), key))
            else:
                self.misbehave(Behaviour(step), connection, lines)
                return

    def misbehave(self, behaviour: Behaviour, connection: socket.socket, lines: BinaryIO) -> None:
        """Fail a request; its connection is closed afterwards."""
        if behaviour is Behaviour.HALF:
            connection.sendall(HALF_ANSWER)
        elif behaviour is Behaviour.SILENT:
            lines.read()
