"""Fake upstream server that answers according to a script."""

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
    """Failure of a request that gets no complete answer."""

    CLOSE = "close"  # The connection is closed.
    HALF = "half"  # The connection is closed after a part of the answer.
    SILENT = "silent"  # No answer is sent until the client closes the connection.


Step = bytes | float | str
"""An answer, the seconds after which a request's key is echoed, or the name of a Behaviour."""


class FakeServer(FakeListener):
    """Fake upstream server that consumes a step of `script` for each request.

    When no step is left, it sends `ANSWER`. `requests` holds the commands received. `connection_count` is the
    number of connections so far. `lock` guards `script` and `requests`.
    """

    def __init__(self, script: Iterable[Step] = ()) -> None:
        self.script = list(script)
        self.requests: list[list[bytes]] = []
        self.connection_count = 0
        self.lock = threading.Lock()
        super().__init__()

    def serve(self, connection: socket.socket, lines: BinaryIO) -> None:
        """Answer the requests of a connection according to the script."""
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
                self.fail_request(Behaviour(step), connection, lines)
                return

    def fail_request(self, behaviour: Behaviour, connection: socket.socket, lines: BinaryIO) -> None:
        """Fail a request. The caller then closes the connection."""
        if behaviour is Behaviour.HALF:
            connection.sendall(HALF_ANSWER)
        elif behaviour is Behaviour.SILENT:
            lines.read()
