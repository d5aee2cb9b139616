"""Encoder of commands to the shared counter and decoder of its replies."""

from __future__ import annotations

import re

from . import resp
from .errors import MalformedError, shorten

TOTAL = re.compile(rb"[-+]?(\d{1,18}(\.\d{0,18})?|\.\d{1,18})([eE][-+]?\d{1,2})?")  # A finite decimal number.
REJECTION_CODES = (b"BUSY", b"ERR")
PING = resp.encode_command(b"PING")


def encode_add(name: int, amount: float, lifetime: float) -> bytes:
    """Encode the command that adds an amount to a count; the counter replies with the new total.

    A count that does not exist is created with the value 0. It expires after `lifetime` seconds, or after
    1 ms if that is longer.
    """
    amount_text = f"{amount:.6f}".rstrip("0").rstrip(".")
    lifetime_ms = max(1, round(lifetime * 1000))
    return resp.encode_command(b"ADDGET", b"%d" % name, amount_text.encode(), b"%d" % lifetime_ms)


def decode_total(reply: resp.RespValue) -> float | None:
    """Return the total in a reply, or None if the counter rejected the command and added nothing.

    Raises MalformedError for any other reply; the amount may have been added then.
    """
    if isinstance(reply, resp.ErrorReply) and reply.split(b" ", 1)[0] in REJECTION_CODES:
        return None
    if type(reply) is bytes and TOTAL.fullmatch(reply):
        return float(reply)
    raise MalformedError(f"counter reply: expected a decimal total, BUSY or ERR, got {shorten(reply)}")
