"""Blocking reads of RESP2 values from a connection's file."""

from __future__ import annotations

from typing import BinaryIO

RespValue = bytes | None | list["RespValue"]

END_OF_LINE = b"\r\n"


def read_value(lines: BinaryIO) -> RespValue:
    """One RESP2 value; raises ValueError at the end of the connection.

    Simple strings, errors and integers are returned as the whole line, type byte included.
    """
    line = lines.readline()
    if not line.endswith(END_OF_LINE):
        raise ValueError("the connection ended")
    kind = line[:1]
    content = line[1:-2]
    if kind == b"*":
        return [read_value(lines) for _ in range(int(content))]
    if kind == b"$":
        return None if content == b"-1" else lines.read(int(content) + 2)[:-2]
    return line[:-2]


def read_command(lines: BinaryIO) -> list[bytes]:
    """A command, an array of strings; raises ValueError at the end of the connection or for other values."""
    command = read_value(lines)
    if not isinstance(command, list):
        raise ValueError("a command is an array")
    words = [word for word in command if isinstance(word, bytes)]
    if len(words) != len(command):
        raise ValueError("a command has strings only")
    return words
