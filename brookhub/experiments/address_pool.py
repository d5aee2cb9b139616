"""Ranges of loopback addresses, so that experiments on one machine have no address in common."""

from __future__ import annotations

import socket

from .errors import ExperimentError

RANGE_COUNT = 16  # experiments that can run on one machine at a time
FIRST_HOST = 10  # limiter i of range r has the address 127.r.(FIRST_HOST + i).1
GUARD_PORT = 18017  # this port of 127.r.(FIRST_HOST - 1).1 is bound as long as range r is in use


class AddressRange:
    """A range of addresses that no other experiment uses until `close`.

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
        raise ExperimentError(f"{RANGE_COUNT} labs are played on this machine already")

    def address(self, index: int) -> str:
        """The IP address of a limiter by its index in the fleet."""
        return f"127.{self.number}.{FIRST_HOST + index}.1"

    def close(self) -> None:
        """Release the range."""
        self.guard.close()
