"""Commands to the shared counter, and its responses."""

from __future__ import annotations

import re

from . import resp
from .errors import MalformedError

TOTAL = re.compile(rb"[-+]?(\d{1,18}(\.\d{0,18})?|\.\d{1,18})([eE][-+]?\d{1,2})?")  # finite, as decimal text
REJECTION_CODES = (b"BUSY", b"ERR")
PING = resp.encode_command(b"PING")


def encode_add(name: int, amount: float, lifetime: float) -> bytes:
    """The command that adds an amount to a count and returns its total.

    A count that does not exist yet begins at 0 and lives `lifetime` seconds, at least 1 ms.
    """
    amount_text = f"{amount:.6f}".rstrip("0").rstrip(".")
    lifetime_ms = max(1, round(lifetime * 1000))
    return resp.encode_command(b"ADDGET", b"%d" % name, amount_text.encode(), b"%d" % lifetime_ms)


def decode_total(response: resp.RespValue) -> float | None:
    """The total in a response, or None where the counter rejected the command and added nothing.

    Raises MalformedError for anything else: the amount may have been added.
    """
    if isinstance(response, resp.ErrorReply) and response.split(b" ", 1)[0] in REJECTION_CODES:
        return None
    if type(response) is bytes and TOTAL.fullmatch(response):
        return float(response)
    raise MalformedError("the counter's answer is neither a total nor an error")
