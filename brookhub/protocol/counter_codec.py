"""Calls to the counter, and its answers."""

from __future__ import annotations

import re
from typing import Any

from . import resp
from .errors import MalformedError

NUMBER = re.compile(rb"[-+]?(\d{1,18}(\.\d{0,18})?|\.\d{1,18})([eE][-+]?\d{1,2})?")  # finite, as decimal text
PING = resp.encode_command(b"PING")


def encode_add(name: int, amount: float, lives: float) -> bytes:
    """Have an amount added to a number that lives so many seconds if it is new."""
    amount_text = f"{amount:.6f}".rstrip("0").rstrip(".")
    return resp.encode_command(
        b"ADDGET", b"%d" % name, amount_text.encode(), b"%d" % max(1, round(lives * 1000))
    )


def decode_total(said: Any) -> float | None:
    """The total in an answer, or None where nothing was added.

    Raises MalformedError on what is neither: it was added.
    """
    if isinstance(said, resp.ErrorReply) and said.split(b" ", 1)[0] in (b"BUSY", b"ERR"):
        return None
    if type(said) is bytes and NUMBER.fullmatch(said):
        return float(said)
    raise MalformedError("the counter's answer is neither a total nor an error")
