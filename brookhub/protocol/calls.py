"""API calls as clients and servers word them."""

from __future__ import annotations

import re
from math import ceil
from typing import Any

from ..site import Idempotency, Route
from . import resp

HEXADECIMAL = re.compile(rb"[0-9a-fA-F]{16}")
DECIMAL, WHOLE = re.compile(rb"\d{1,9}(\.\d{1,9})?"), re.compile(rb"\d{1,9}")
NAME = re.compile(rb"[a-z][a-z0-9_]{0,31}")  # of a figure in a load report
MOST_CUSTOMERS = 2**33  # their numbers lie below
LONGEST_KEY = 64  # bytes of the mark of a call that may be recognised again
VERBS = {b"CALL.GET": 4, b"CALL.POST": 5}  # and of how many words a command of each is


class BadCallError(Exception):
    """A command that is whole but asks for nothing that can be done."""


class Wording:
    """One API call as its client worded it. It goes to servers in the same words, but for the time left."""

    __slots__ = (
        "customer",
        "ident",
        "route",
        "plan",
        "patience",
        "units",
        "spread",
        "first",
        "repeated",
        "write",
        "keyed",
        "words",
        "fields",
        "at",
        "size",
    )

    def __init__(self, words: list[bytes]):
        if len(words) != VERBS.get(words[0]):
            raise BadCallError("a GET has three words after its name, a POST four")
        self.words, self.write, self.size = words, len(words) == 5, sum(map(len, words))
        self.customer, self.ident = hexadecimal(words[1], "customer"), hexadecimal(words[2], "id")
        if self.customer >= MOST_CUSTOMERS:
            raise BadCallError("there is no such customer")
        self.fields = words[3].split(b",")
        told = {}
        for at, field in enumerate(self.fields):
            name, equals, value = field.partition(b"=")
            if not equals or name in told:
                raise BadCallError("the names and values can't be read")
            told[name] = value
            if name == b"d":
                self.at = at
        self.route, self.plan = told.get(b"c"), told.get(b"t")
        self.patience, self.units = number(told, b"d", DECIMAL) / 1000, number(told, b"units", DECIMAL)
        self.spread, self.first = number(told, b"spread", WHOLE), number(told, b"first", WHOLE)
        self.repeated, self.keyed = b"r" in told, b"k" in told
        if (
            told.get(b"r", b"1") != b"1"
            or not 0 < len(told.get(b"k", b"1")) <= LONGEST_KEY
            or not self.patience
        ):
            raise BadCallError("r, k or d can't be read")

    def check(self, route: Route, gateways: int, largest: float) -> None:
        """Whether it fits what the settings tell. Raises BadCallError."""
        if (
            self.write is (route.idempotency is Idempotency.IDEMPOTENT)
            or route.idempotency is Idempotency.KEYED
            and not self.keyed
        ):
            raise BadCallError("a c that is not called in this way")
        if not 0 < self.units <= largest or not 0 < self.spread <= gateways or self.first >= gateways:
            raise BadCallError("units, spread or first are out of range")

    def for_server(self, seconds: float) -> bytes:
        """The command for a server, which may take so long."""
        fields = self.fields.copy()
        fields[self.at] = b"d=%d" % max(1, round(seconds * 1000))
        return resp.command(*self.words[:3], b",".join(fields), *self.words[4:])


def hexadecimal(word: bytes, what: str) -> int:
    """A number in hexadecimal digits. Raises BadCallError."""
    if not HEXADECIMAL.fullmatch(word):
        raise BadCallError(f"the {what} is not of 16 hexadecimal digits")
    return int(word, 16)


def number(told: dict[bytes, bytes], name: bytes, form: re.Pattern[bytes]) -> float:
    """A number among the fields of a command. Raises BadCallError."""
    value = told.get(name, b"")
    if not form.fullmatch(value):
        raise BadCallError(f"{name.decode()} is missing or not a number that can be served")
    return int(value) if form is WHOLE else float(value)


def proxied(value: bytes | bytearray) -> tuple[bytes | bytearray, ...]:
    """The answer with what a server said."""
    return resp.bulk_parts(value)


def rate_limited(seconds: float) -> bytes:
    """The answer that refuses, with a time to come back in (s; 0: no advice)."""
    return b"-BUSY %d\r\n" % ceil(seconds * 1000) if seconds > 0 else b"-BUSY\r\n"


ERRORED = b"-ERR failed\r\n"


class ServerAnswer:
    """What a server said to one try: a value, an error, or that it turned it away; and its figures."""

    __slots__ = ("value", "turned_away", "sound", "charged", "used", "report")

    def __init__(self, said: Any) -> None:
        self.value: bytes | bytearray | None = None
        self.turned_away, self.sound = False, True
        self.charged = 0.0
        self.used: float | None = None
        self.report: dict[str, float] = {}
        if isinstance(said, list) and said and type(said[0]) in (bytes, bytearray):
            self.value = said[0]
            for part in said[1:3]:  # what can't be read beside a good value is passed over
                if type(part) is bytes:
                    self.figures(part)
        elif isinstance(said, resp.Failure):
            self.turned_away = said.split(b" ", 1)[0] == b"BUSY"
            for part in said.split(b" "):
                self.figures(part)
        else:
            self.sound = False

    def figures(self, text: bytes) -> None:
        """Figures on use or a load report: names and numbers. What is not in that form is passed over."""
        for pair in text.split(b","):
            name, _, value = pair.partition(b"=")
            if not DECIMAL.fullmatch(value):
                continue
            if name == b"cost":
                self.charged = float(value)
            elif name == b"used":
                self.used = float(value)
            elif NAME.fullmatch(name):
                self.report[name.decode()] = float(value)
