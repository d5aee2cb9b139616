"""Blocking reads of RESP2 values from a connection's file."""

from __future__ import annotations

from typing import BinaryIO

RespValue = bytes | None | list["RespValue"]

END_OF_LINE = b"\r\n"


def read_value(lines: BinaryIO) -> RespValue:
    """Read one RESP2 value. Raises ValueError at the end of the connection.

    Simple strings, errors and integers are returned as the complete line, including the type byte.
    """
    line = lines.readline()
    if not line.endswith(END_OF_LINE):
        raise ValueError(f"connection ended: expected a line that ends with CRLF, got {line!r}")
    kind = line[:1]
    content = line[1:-2]
    if kind == b"*":
        return [read_value(lines) for _ in range(int(content))]
    if kind == b"$":
        return None if content == b"-1" else lines.read(int(content) + 2)[:-2]
    return line[:-2]


def read_command(lines: BinaryIO) -> list[bytes]:
    """Read a command, an array of bulk strings.

    Raises ValueError at the end of the connection or for any other value.
    """
    command = read_value(lines)
    if not isinstance(command, list):
        raise ValueError(f"expected a command as an array of bulk strings, got {command!r}")
    words = [word for word in command if isinstance(word, bytes)]
    if len(words) != len(command):
        raise ValueError(f"expected only bulk strings in a command, got {command!r}")
    return words
