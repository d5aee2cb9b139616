"""Fake of the shared counter: `ADDGET NAME AMOUNT LIFETIME_MS` over RESP2, with faults."""

from __future__ import annotations

import random
import socket
import threading
import time
from collections.abc import Callable
from enum import StrEnum
from time import monotonic
from typing import BinaryIO

from ..emulator.counter import CounterInstance as CounterInstance
from .listener import ANY_LOOPBACK_PORT, Endpoint, FakeListener
from .resp import read_command

PONG = b"+PONG\r\n"
BUSY = b"-BUSY\r\n"
NONSENSE = b"$3\r\nfoo\r\n"


class CounterMode(StrEnum):
    """Way in which the counter answers."""

    OK = "ok"
    BUSY = "busy"
    SILENT = "silent"
    NONSENSE = "nonsense"
    CLOSE = "close"


def first_instance(limiter: str) -> int:
    """Return the index of the first instance, which all limiters reach unless the counter is split."""
    return 0


class FakeCounter(FakeListener):
    """Fake counter whose faults can be changed while it runs.

    `mode` may be set at any time. Each answer is sent after `delay` seconds. `answer_loss` is the share of
    answers that are not sent although the amount was added. `instance_of` returns the index of the instance
    that a limiter, given by its IP address, reaches. `lock` guards `instances`, `instance_of`,
    `replaced_instances` and `request_count`.
    """

    def __init__(self, endpoint: Endpoint = ANY_LOOPBACK_PORT, delay: float = 0.0) -> None:
        self.mode = CounterMode.OK
        self.delay = delay
        self.answer_loss = 0.0
        self.random = random.Random(1)
        self.lock = threading.Lock()
        self.request_count = 0
        self.instances = [CounterInstance()]
        self.instance_of: Callable[[str], int] = first_instance
        self.replaced_instances: list[CounterInstance] | None = None  # Instances that `swap` replaced.
        super().__init__(endpoint)

    @property
    def totals(self) -> dict[bytes, float]:
        """Totals in units of the first instance, by name as sent, expired ones included."""
        counts = self.instances[0].counts
        return {name: count.total for name, count in counts.items() if isinstance(name, bytes)}

    def wipe(self) -> None:
        """Delete all counts."""
        with self.lock:
            for instance in self.instances:
                instance.counts.clear()

    def lose(self, share: float) -> None:
        """Delete a random share of the counts of each instance."""
        with self.lock:
            for instance in self.instances:
                names = list(instance.counts)
                for name in self.random.sample(names, round(share * len(names))):
                    del instance.counts[name]

    def swap(self) -> None:
        """Replace the instances with empty ones until `restore` is called."""
        with self.lock:
            self.replaced_instances = self.instances
            self.instances = [CounterInstance() for _ in self.instances]

    def restore(self) -> None:
        """Restore the instances that `swap` replaced."""
        with self.lock:
            self.instances = self.replaced_instances or self.instances
            self.replaced_instances = None

    def split(self, instance_of: Callable[[str], int]) -> None:
        """Add a second, empty instance.

        `instance_of` returns the index of the instance, 0 or 1, that a limiter reaches, from its IP address.
        """
        with self.lock:
            self.instances = [self.instances[0], CounterInstance()]
            self.instance_of = instance_of

    def heal(self) -> None:
        """End a split: connect all limiters to the first instance and drop the second."""
        with self.lock:
            self.instances = [self.instances[0]]
            self.instance_of = first_instance

    def serve(self, connection: socket.socket, lines: BinaryIO) -> None:
        """Answer the commands of a connection."""
        limiter = connection.getpeername()[0]
        while True:
            command = read_command(lines)
            if self.mode == CounterMode.CLOSE:
                return
            answer = PONG if command[0] == b"PING" else self.add(limiter, command)
            if self.delay:
                time.sleep(self.delay)
            if self.mode != CounterMode.SILENT and not self.loses_answer():
                connection.sendall(answer)

    def add(self, limiter: str, command: list[bytes]) -> bytes:
        """Execute an ADDGET command and return the answer of the current mode."""
        _, name, amount, lifetime_ms = command[:4]
        with self.lock:
            self.request_count += 1
            instance = self.instances[self.instance_of(limiter)]
            lifetime = float(lifetime_ms) / 1000
            total = instance.add(name, float(amount), lifetime, monotonic())
        if self.mode == CounterMode.BUSY:
            return BUSY
        if self.mode == CounterMode.NONSENSE:
            return NONSENSE
        text = b"%.7g" % total
        return b"$%d\r\n%b\r\n" % (len(text), text)

    def loses_answer(self) -> bool:
        """Return at random whether an answer is lost."""
        return self.answer_loss > 0 and self.random.random() < self.answer_loss
