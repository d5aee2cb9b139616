"""Codec of API requests and responses, between clients and the gateway and between the gateway and servers.

It maps the terms of the wire protocol to those of the program: an API call is a request, `c` is the route,
`t` the plan, `d` the time left, `spread` the number of quota holders, `first` the first gateway, `r` a retry,
`k` the idempotency key and BUSY a rejection.
"""

from __future__ import annotations

import re
from math import ceil

from ..site import Idempotency, Route
from . import resp
from .errors import InvalidRequestError

# Number of arguments of each command, including its name.
ARGUMENT_COUNTS = {b"CALL.GET": 4, b"CALL.POST": 5}
POST_ARGUMENT_COUNT = 5
CUSTOMER_ID_LIMIT = 2**33  # Customer ids are below this value.
MAX_IDEMPOTENCY_KEY_BYTES = 64
MAX_PARAMETERS = 32  # Names and values of a request; the protocol has eight.

HEXADECIMAL_ID = re.compile(rb"[0-9a-fA-F]{16}")
DECIMAL_NUMBER = re.compile(rb"\d{1,9}(\.\d{1,9})?")
WHOLE_NUMBER = re.compile(rb"\d{1,9}")
METRIC_NAME = re.compile(rb"[a-z][a-z0-9_]{0,31}")

ENCODED_FAILURE = b"-ERR failed\r\n"
"""The response to a failed request; the request may or may not have been executed."""


class ParsedRequest:
    """A client's request, parsed and validated.

    It is forwarded with the client's bytes unchanged, except for the time left. Times are in seconds.
    `route_name` and `plan_name` are None if the client did not specify them.
    """

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
        "time_left_index",
        "size_bytes",
    )

    def __init__(self, arguments: list[bytes]) -> None:
        """Parse a command: its name, the customer id, the request id, the parameters and the body of a POST.

        Raises InvalidRequestError.
        """
        if len(arguments) != ARGUMENT_COUNTS.get(arguments[0]):
            raise InvalidRequestError("a GET has three words after its name, a POST four")
        self.arguments = arguments
        self.is_write = len(arguments) == POST_ARGUMENT_COUNT
        self.size_bytes = sum(map(len, arguments))
        self.customer_id = parse_hexadecimal_id(arguments[1], "customer")
        self.request_id = parse_hexadecimal_id(arguments[2], "id")
        if self.customer_id >= CUSTOMER_ID_LIMIT:
            raise InvalidRequestError("there is no such customer")
        values = self._split_parameters()
        self.route_name = values.get(b"c")
        self.plan_name = values.get(b"t")
        self.time_left = parse_decimal(values, b"d") / 1000
        self.units = parse_decimal(values, b"units")
        self.quota_holders = parse_whole_number(values, b"spread")
        self.first_gateway = parse_whole_number(values, b"first")
        self.is_retry = b"r" in values
        self.has_idempotency_key = b"k" in values
        has_valid_key = 0 < len(values.get(b"k", b"1")) <= MAX_IDEMPOTENCY_KEY_BYTES
        if values.get(b"r", b"1") != b"1" or not has_valid_key or not self.time_left:
            raise InvalidRequestError("r, k or d can't be read")

    def _split_parameters(self) -> dict[bytes, bytes]:
        """Return the parameters by name.

        Raises InvalidRequestError if one has no value or is repeated, or if there are too many: their objects
        would take a multiple of the text's memory.
        """
        if self.arguments[3].count(b",") >= MAX_PARAMETERS:
            raise InvalidRequestError("too many names and values")
        values: dict[bytes, bytes] = {}
        for index, parameter in enumerate(self.arguments[3].split(b",")):
            name, separator, value = parameter.partition(b"=")
            if not separator or name in values:
                raise InvalidRequestError("the names and values can't be read")
            values[name] = value
            if name == b"d":
                self.time_left_index = index
        return values

    def validate(self, route: Route, gateways: int, max_units: float) -> None:
        """Check the request against the site's settings. Raises InvalidRequestError."""
        is_read_route = route.idempotency is Idempotency.IDEMPOTENT
        if self.is_write is is_read_route or (
            route.idempotency is Idempotency.KEYED and not self.has_idempotency_key
        ):
            raise InvalidRequestError("a c that is not called in this way")
        if (
            not 0 < self.units <= max_units
            or not 0 < self.quota_holders <= gateways
            or self.first_gateway >= gateways
        ):
            raise InvalidRequestError("units, spread or first are out of range")

    def encode_for_server(self, time_left: float) -> bytes:
        """Encode the command for a server, with `time_left` seconds, at least 1 ms, as its time left."""
        parameters = self.arguments[3].split(b",")
        parameters[self.time_left_index] = b"d=%d" % max(1, round(time_left * 1000))
        return resp.encode_command(*self.arguments[:3], b",".join(parameters), *self.arguments[4:])


def parse_hexadecimal_id(text: bytes, description: str) -> int:
    """Parse an id of 16 hexadecimal digits. Raises InvalidRequestError."""
    if not HEXADECIMAL_ID.fullmatch(text):
        raise InvalidRequestError(f"the {description} is not of 16 hexadecimal digits")
    return int(text, 16)


def parse_decimal(values: dict[bytes, bytes], name: bytes) -> float:
    """Parse the decimal number in a request parameter. Raises InvalidRequestError."""
    value = values.get(name, b"")
    if not DECIMAL_NUMBER.fullmatch(value):
        raise InvalidRequestError(f"{name.decode()} is missing or not a number that can be served")
    return float(value)


def parse_whole_number(values: dict[bytes, bytes], name: bytes) -> int:
    """Parse the whole number in a request parameter. Raises InvalidRequestError."""
    value = values.get(name, b"")
    if not WHOLE_NUMBER.fullmatch(value):
        raise InvalidRequestError(f"{name.decode()} is missing or not a number that can be served")
    return int(value)


def encode_served(value: bytes | bytearray) -> tuple[bytes | bytearray, ...]:
    """Encode the response with a server's value, as parts to be sent in order."""
    return resp.encode_bulk_parts(value)


def encode_rejected(retry_after: float) -> bytes:
    """Encode the response that rejects a request.

    `retry_after` is in seconds; with 0 the response gives no retry delay.
    """
    if retry_after > 0:
        return b"-BUSY %d\r\n" % ceil(retry_after * 1000)
    return b"-BUSY\r\n"


class ServerResponse:
    """A server's response to an attempt: a value, a rejection or an error, each with metrics.

    `value` is None unless the request was served. `is_well_formed` is False if the response is none of the
    three. `charged_units` is the cost of the request, 0 if the server did not report it. `used_units` is the
    customer's usage, None if not reported. `load_report` maps the names of the server's other metrics to
    their values.
    """

    __slots__ = ("value", "is_rejected", "is_well_formed", "charged_units", "used_units", "load_report")

    def __init__(self, response: resp.RespValue) -> None:
        self.value: bytes | bytearray | None = None
        self.is_rejected = False
        self.is_well_formed = True
        self.charged_units = 0.0
        self.used_units: float | None = None
        self.load_report: dict[str, float] = {}
        if isinstance(response, list) and response:
            self._read_served(response)
        elif isinstance(response, resp.ErrorReply):
            self._read_error(response)
        else:
            self.is_well_formed = False

    def _read_served(self, items: list[resp.RespItem] | list[bytes]) -> None:
        value = items[0]
        if type(value) is not bytes and type(value) is not bytearray:
            self.is_well_formed = False
            return
        self.value = value
        for item in items[1:3]:
            if type(item) is bytes:  # Items of other types after a valid value are ignored.
                self._read_metrics(item)

    def _read_error(self, error: resp.ErrorReply) -> None:
        words = error.split(b" ")
        self.is_rejected = words[0] == b"BUSY"
        for word in words:
            self._read_metrics(word)

    def _read_metrics(self, text: bytes) -> None:
        """Parse metrics of the form NAME=NUMBER, separated by commas; ignore anything else."""
        for metric in text.split(b","):
            name, _, value = metric.partition(b"=")
            if not DECIMAL_NUMBER.fullmatch(value):
                continue
            if name == b"cost":
                self.charged_units = float(value)
            elif name == b"used":
                self.used_units = float(value)
            elif METRIC_NAME.fullmatch(name):
                self.load_report[name.decode()] = float(value)
