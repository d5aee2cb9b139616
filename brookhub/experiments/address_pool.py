"""Ranges of loopback addresses, which give concurrent experiments on one machine disjoint addresses."""

from __future__ import annotations

import socket

from .errors import ExperimentError

RANGE_COUNT = 16  # Maximum number of experiments that run on one machine at a time.
FIRST_HOST = 10  # Limiter i of range r has the address 127.r.(FIRST_HOST + i).1.
GUARD_PORT = 18017  # Port of 127.r.(FIRST_HOST - 1).1 that is bound while range r is in use.


class AddressRange:
    """A range of addresses that no other experiment uses until `close` is called.

    Raises ExperimentError if all ranges are in use.
    """

    def __init__(self) -> None:
        for number in range(RANGE_COUNT):
            guard = socket.socket()
            try:
                guard.bind((f"127.{number}.{FIRST_HOST - 1}.1", GUARD_PORT))
            except OSError:
                guard.close()
                continue
            self.number = number
            self.guard = guard
            return
        raise ExperimentError(
            f"address pool: expected a free range, got all {RANGE_COUNT} on this machine in use"
        )

    def address(self, index: int) -> str:
        """Return the IP address of the limiter at position `index` of the fleet."""
        return f"127.{self.number}.{FIRST_HOST + index}.1"

    def close(self) -> None:
        """Release the range."""
        self.guard.close()
