"""Ranges of loopback addresses, so that several labs on one machine have none in common."""

from __future__ import annotations

import socket

from .errors import ExperimentError

LANES = 16  # labs at a time on one machine
FIRST = 10  # limiter i of a lane has the address 127.LANE.(FIRST + i).1
GUARD = 18017  # port at 127.LANE.(FIRST - 1).1 that is held as long as the lane is in use


class Lane:
    """A range that no other lab uses until `close`. Raises ExperimentError where none is free."""

    def __init__(self) -> None:
        for self.number in range(LANES):
            self.guard = socket.socket()
            try:
                self.guard.bind((f"127.{self.number}.{FIRST - 1}.1", GUARD))
                return
            except OSError:
                self.guard.close()
        raise ExperimentError(f"{LANES} labs are played on this machine already")

    def address(self, index: int) -> str:
        """The address of a limiter by its number."""
        return f"127.{self.number}.{FIRST + index}.1"

    def close(self) -> None:
        """Leave the range to others."""
        self.guard.close()
