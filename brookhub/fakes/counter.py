"""A fake of the shared counter: `ADDGET NAME AMOUNT LIFETIME_MS` over RESP2, with faults."""

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
    """How the counter answers."""

    OK = "ok"
    BUSY = "busy"
    SILENT = "silent"
    NONSENSE = "nonsense"
    CLOSE = "close"


def first_instance(limiter: str) -> int:
    """The instance that a limiter reaches while there is one."""
    return 0


class FakeCounter(FakeListener):
    """The counter. `mode` may be set at any time; `delay` (s) passes before each answer.

    `answer_loss` is the share of answers that are lost, though the amount was added. `lock` guards
    `instances`, `instance_of`, `set_aside` and `request_count`.
    """

    def __init__(self, endpoint: Endpoint = ANY_LOOPBACK_PORT, delay: float = 0.0) -> None:
        self.mode = CounterMode.OK
        self.delay = delay
        self.answer_loss = 0.0
        self.random = random.Random(1)
        self.lock = threading.Lock()
        self.request_count = 0
        self.instances = [CounterInstance()]
        self.instance_of: Callable[[str], int] = (
            first_instance  # limiter's IP address -> index of its instance
        )
        self.set_aside: list[CounterInstance] | None = None  # the instances from before `swap`
        super().__init__(endpoint)

    @property
    def totals(self) -> dict[bytes, float]:
        """All totals of the first instance (units), by name as sent, expired ones included."""
        counts = self.instances[0].counts
        return {name: count.total for name, count in counts.items() if isinstance(name, bytes)}

    def wipe(self) -> None:
        """Forget all counts."""
        with self.lock:
            for instance in self.instances:
                instance.counts.clear()

    def lose(self, share: float) -> None:
        """Forget a random share of the counts."""
        with self.lock:
            for instance in self.instances:
                names = list(instance.counts)
                for name in self.random.sample(names, round(share * len(names))):
                    del instance.counts[name]

    def swap(self) -> None:
        """Put an empty counter in place of this one; `restore` undoes it."""
        with self.lock:
            self.set_aside = self.instances
            self.instances = [CounterInstance() for _ in self.instances]

    def restore(self) -> None:
        """Put the counter from before `swap` back."""
        with self.lock:
            self.instances = self.set_aside or self.instances
            self.set_aside = None

    def split(self, instance_of: Callable[[str], int]) -> None:
        """Add a second, empty instance: `instance_of` says which one a limiter (IP address) reaches."""
        with self.lock:
            self.instances = [self.instances[0], CounterInstance()]
            self.instance_of = instance_of

    def heal(self) -> None:
        """End a split: the first instance serves all limiters again, the second is dropped."""
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
        """Add what an ADDGET says; returns the answer of the current mode."""
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
        """Draw whether an answer is lost."""
        return self.answer_loss > 0 and self.random.random() < self.answer_loss
