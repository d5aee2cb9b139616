"""Bad clients, in a process of their own: each sends commands that cannot be used, hundreds at once.

As the page on the service says of such clients, they send at full speed, read what is sent to them, and send
the same thing again as soon as it is turned away. Their class does not exist.
"""

from __future__ import annotations

import contextlib
import socket
import sys
import threading
from time import monotonic

WORDS = (b"CALL.GET", b"%016x" % 5, b"%016x" % 9, b"c=nothing,t=wide,d=2000,units=1,spread=1,first=0")
COMMAND = b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in WORDS)


def send_at_full_speed(port: int, commands: int, until: float) -> None:
    """Be one bad client until a time (monotonic seconds); connect anew when the gateway closes."""
    while monotonic() < until:
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 5) as connection:
            while monotonic() < until:
                connection.sendall(COMMAND * commands)
                answers = 0
                while answers < commands:
                    received = connection.recv(65536)
                    if not received:
                        return
                    answers += received.count(b"\r\n")


def main() -> None:
    """Run the bad clients: PORT, their number, the commands that each sends at once, and seconds."""
    port, clients, commands = (int(word) for word in sys.argv[1:4])
    until = monotonic() + float(sys.argv[4])
    threads = [
        threading.Thread(target=send_at_full_speed, args=(port, commands, until)) for _ in range(clients)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
