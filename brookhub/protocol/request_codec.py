"""API calls as clients and servers word them."""

from __future__ import annotations

import re
from math import ceil
from typing import Any

from ..site import Idempotency, Route
from . import resp
from .errors import InvalidRequestError

HEXADECIMAL = re.compile(rb"[0-9a-fA-F]{16}")
DECIMAL, WHOLE = re.compile(rb"\d{1,9}(\.\d{1,9})?"), re.compile(rb"\d{1,9}")
NAME = re.compile(rb"[a-z][a-z0-9_]{0,31}")  # of a figure in a load report
MOST_CUSTOMERS = 2**33  # their numbers lie below
LONGEST_KEY = 64  # bytes of the mark of a call that may be recognised again
ARGUMENT_COUNTS = {b"CALL.GET": 4, b"CALL.POST": 5}  # and of how many words a command of each is


class ParsedRequest:
    """One API call as its client worded it. It goes to servers in the same words, but for the time left."""

    __slots__ = (
        "customer_id",
        "request_id",
        "route_name",
        "plan_name",
        "time_left",
        "units",
        "quota_holders",
        "first_gateway",
        "is_retry",
        "is_write",
        "has_idempotency_key",
        "arguments",
        "parameters",
        "time_left_index",
        "size_bytes",
    )

    def __init__(self, words: list[bytes]):
        if len(words) != ARGUMENT_COUNTS.get(words[0]):
            raise InvalidRequestError("a GET has three words after its name, a POST four")
        self.arguments, self.is_write, self.size_bytes = words, len(words) == 5, sum(map(len, words))
        self.customer_id, self.request_id = hexadecimal(words[1], "customer"), hexadecimal(words[2], "id")
        if self.customer_id >= MOST_CUSTOMERS:
            raise InvalidRequestError("there is no such customer")
        self.parameters = words[3].split(b",")
        told = {}
        for at, field in enumerate(self.parameters):
            name, equals, value = field.partition(b"=")
            if not equals or name in told:
                raise InvalidRequestError("the names and values can't be read")
            told[name] = value
            if name == b"d":
                self.time_left_index = at
        self.route_name, self.plan_name = told.get(b"c"), told.get(b"t")
        self.time_left, self.units = number(told, b"d", DECIMAL) / 1000, number(told, b"units", DECIMAL)
        self.quota_holders, self.first_gateway = number(told, b"spread", WHOLE), number(told, b"first", WHOLE)
        self.is_retry, self.has_idempotency_key = b"r" in told, b"k" in told
        if (
            told.get(b"r", b"1") != b"1"
            or not 0 < len(told.get(b"k", b"1")) <= LONGEST_KEY
            or not self.time_left
        ):
            raise InvalidRequestError("r, k or d can't be read")

    def validate(self, route: Route, gateways: int, largest: float) -> None:
        """Whether it fits what the settings tell. Raises InvalidRequestError."""
        if (
            self.is_write is (route.idempotency is Idempotency.IDEMPOTENT)
            or route.idempotency is Idempotency.KEYED
            and not self.has_idempotency_key
        ):
            raise InvalidRequestError("a c that is not called in this way")
        if (
            not 0 < self.units <= largest
            or not 0 < self.quota_holders <= gateways
            or self.first_gateway >= gateways
        ):
            raise InvalidRequestError("units, spread or first are out of range")

    def encode_for_server(self, seconds: float) -> bytes:
        """The command for a server, which may take so long."""
        fields = self.parameters.copy()
        fields[self.time_left_index] = b"d=%d" % max(1, round(seconds * 1000))
        return resp.encode_command(*self.arguments[:3], b",".join(fields), *self.arguments[4:])


def hexadecimal(word: bytes, what: str) -> int:
    """A number in hexadecimal digits. Raises InvalidRequestError."""
    if not HEXADECIMAL.fullmatch(word):
        raise InvalidRequestError(f"the {what} is not of 16 hexadecimal digits")
    return int(word, 16)


def number(told: dict[bytes, bytes], name: bytes, form: re.Pattern[bytes]) -> float:
    """A number among the fields of a command. Raises InvalidRequestError."""
    value = told.get(name, b"")
    if not form.fullmatch(value):
        raise InvalidRequestError(f"{name.decode()} is missing or not a number that can be served")
    return int(value) if form is WHOLE else float(value)


def encode_served(value: bytes | bytearray) -> tuple[bytes | bytearray, ...]:
    """The answer with what a server said."""
    return resp.encode_bulk_parts(value)


def encode_rejected(seconds: float) -> bytes:
    """The answer that refuses, with a time to come back in (s; 0: no advice)."""
    return b"-BUSY %d\r\n" % ceil(seconds * 1000) if seconds > 0 else b"-BUSY\r\n"


ENCODED_FAILURE = b"-ERR failed\r\n"


class ServerResponse:
    """What a server said to one try: a value, an error, or that it turned it away; and its figures."""

    __slots__ = ("value", "is_rejected", "is_well_formed", "charged_units", "used_units", "load_report")

    def __init__(self, said: Any) -> None:
        self.value: bytes | bytearray | None = None
        self.is_rejected, self.is_well_formed = False, True
        self.charged_units = 0.0
        self.used_units: float | None = None
        self.load_report: dict[str, float] = {}
        if isinstance(said, list) and said and type(said[0]) in (bytes, bytearray):
            self.value = said[0]
            for part in said[1:3]:  # what can't be read beside a good value is passed over
                if type(part) is bytes:
                    self.read_figures(part)
        elif isinstance(said, resp.ErrorReply):
            self.is_rejected = said.split(b" ", 1)[0] == b"BUSY"
            for part in said.split(b" "):
                self.read_figures(part)
        else:
            self.is_well_formed = False

    def read_figures(self, text: bytes) -> None:
        """Figures on use or a load report: names and numbers. What is not in that form is passed over."""
        for pair in text.split(b","):
            name, _, value = pair.partition(b"=")
            if not DECIMAL.fullmatch(value):
                continue
            if name == b"cost":
                self.charged_units = float(value)
            elif name == b"used":
                self.used_units = float(value)
            elif NAME.fullmatch(name):
                self.load_report[name.decode()] = float(value)
